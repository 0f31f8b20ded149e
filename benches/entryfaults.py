"""Injects random faults into entry processes while ``tests.common.promises`` checks them.

All faults come from outside the processes: signals; links that are delayed, paused, cut or reset; a
store that is unavailable, compacts its topics, drops responses or comes back from an older copy;
and targets that reject, hang, break, send invalid statuses, name limits, ask for quiet, say that
they leave or are replaced.
"""

import random
import shutil
import signal
import subprocess
import time
from collections.abc import Iterator
from contextlib import AbstractContextManager, contextmanager
from pathlib import Path

from tests.common.entry import CUSTOMER
from tests.common.entryfleet import EntryFleet, EntryProcess, FleetCaller, FleetTarget, TargetFault
from tests.common.links import LinkState
from tests.common.promises import (
    DRAIN_BOUND_S,
    GRACE_S,
    STORE,
    CallKind,
    get_link_name,
    get_process_name,
    get_unplanned_name,
)

from .randomwork import RandomWork, Step

CALLERS = 8
KINDS = [CallKind.GET, CallKind.PAY, CallKind.PAY, CallKind.STREAM, CallKind.RESUMABLE]
MAX_FAULT_S = 4.0
MAX_LIMITED_S = 12.0
MAX_QUIET_S = 5.0
# Age of the copy from which the store comes back.
MAX_COPY_AGE_S = 6.0
# A process must exit at most this long after its grace period.
STOP_SLACK_S = 1.0
# The load balancer removes an instance after two failed checks, one second apart.
BALANCER_LAG_S = 2.0
RECOVERY_TIMEOUT_S = 15.0
RECOVERY_CALLS = 5
LINK_FAULTS = [
    LinkState.DELAYED,
    LinkState.PAUSED,
    LinkState.PAUSED_OUTWARD,
    LinkState.PAUSED_BACK,
    LinkState.CUT,
    LinkState.RESET,
]


class EntryFaultRun(RandomWork):
    """One fault run against one fleet."""

    def __init__(self, fleet: EntryFleet, seed: int) -> None:
        super().__init__(seed)
        self._fleet = fleet
        self._ready = set(fleet.entries)

    def list_steps(self) -> list[tuple[str, Step]]:
        """Returns the steps of callers, the load balancer, operators and faults."""
        callers = [(f"caller-{number}", self._create_caller(number)) for number in range(CALLERS)]
        return [
            *callers,
            ("balancer", self._poll_readiness),
            ("keys", self._withdraw_key),
            ("weights", self._set_desired_version),
            ("processes", self._disturb_process),
            ("more processes", self._disturb_process),
            ("store links", self._disturb_store_link),
            ("store", self._disturb_store),
            ("targets", self._disturb_target),
            ("more targets", self._disturb_target),
            ("replacements", self._replace_target),
            ("limits", self._limit_target),
            ("quiet times", self._ask_for_quiet),
            ("departures", self._announce_departure),
            ("restores", self._restore_store),
        ]

    def check_recovery(self) -> None:
        """Checks that each instance serves again and all engines get the desired weights."""
        end = time.monotonic() + RECOVERY_TIMEOUT_S
        for entry in self._fleet.entries:
            with entry.lock:
                if not self._wait_serving(entry, end):
                    self._fleet.checker.add_violation("RECOVER", f"{entry.name} does not serve")
        while (outdated := self._fleet.list_outdated_engines()) and time.monotonic() < end:
            time.sleep(0.1)
        if outdated:
            self._fleet.checker.add_violation("VERSION", f"{outdated} have old weights")

    def _wait_serving(self, entry: EntryProcess, end: float) -> bool:
        caller = FleetCaller(self._fleet, f"recovery-{entry.name}")
        answered = 0
        while answered < RECOVERY_CALLS and time.monotonic() < end:
            status = caller.call(entry, CallKind.GET, self._fleet.keys[-1])
            answered = answered + 1 if status == 200 else 0
            time.sleep(0.02)
        caller.close()
        return answered == RECOVERY_CALLS

    def _create_caller(self, number: int) -> Step:
        caller = FleetCaller(self._fleet, f"c{number}")
        return lambda generator: self._call(caller, generator)

    def _call(self, caller: FleetCaller, generator: random.Random) -> None:
        entries = [entry for entry in self._fleet.entries if entry in self._ready]
        if not entries:
            self.pause(generator, 0.1, 0.2)
            return
        key = generator.choice(self._fleet.keys)
        caller.call(generator.choice(entries), generator.choice(KINDS), key)
        if generator.random() < 0.02:
            caller.close()
        self.pause(generator, 0.0, 0.05)

    def _poll_readiness(self, generator: random.Random) -> None:
        failed_checks = dict.fromkeys(self._fleet.entries, 0)
        while not self._stop.wait(BALANCER_LAG_S / 2):
            for entry in self._fleet.entries:
                failed_checks[entry] = 0 if entry.is_ready() else failed_checks[entry] + 1
                if failed_checks[entry] == 0:
                    self._ready.add(entry)
                elif failed_checks[entry] >= 2:
                    self._ready.discard(entry)

    def _withdraw_key(self, generator: random.Random) -> None:
        """Withdraws an API key, which one caller goes on using for a while."""
        self.pause(generator, 2.0, 6.0)
        if len(self._fleet.keys) <= 2 or self._stop.is_set():
            return
        key = self._fleet.keys[0]
        self._fleet.keys.remove(key)
        self._fleet.publish_configuration()
        self._fleet.checker.record_withdrawn_key(key)
        self.count("key withdrawn")
        caller = FleetCaller(self._fleet, f"old-{key.removeprefix(f'key-of-{CUSTOMER}/')}")
        for _ in range(20):
            caller.call(generator.choice(self._fleet.entries), CallKind.GET, key)
            self.pause(generator, 0.1, 0.5)
            caller.close()

    def _set_desired_version(self, generator: random.Random) -> None:
        self.pause(generator, 5.0, 10.0)
        self._fleet.set_desired_version()
        self.count("weight versions set")

    def _disturb_instance(self, entry: EntryProcess) -> AbstractContextManager[None]:
        """Records an unplanned restart or freeze of an instance."""
        name = entry.name
        return self._disturb(name, get_unplanned_name(name), get_process_name(name))

    @contextmanager
    def _disturb(self, *names: str) -> Iterator[None]:
        for name in names:
            self._fleet.disturbances.begin(name)
        try:
            yield
        finally:
            for name in names:
                self._fleet.disturbances.end(name)

    def _disturb_process(self, generator: random.Random) -> None:
        self.pause(generator, 0.5, 4.0)
        entry = generator.choice(self._fleet.entries)
        step = generator.choice(
            [self._kill, self._pause, self._stop_planned, self._stop_then_kill, self._flap]
        )
        with entry.lock:
            if self._check_alive(entry):
                self.count(f"process {step.__name__.strip('_')}")
                step(entry, generator)

    def _check_alive(self, entry: EntryProcess) -> bool:
        assert entry.process is not None
        code = entry.process.poll()
        if code is None:
            return True
        self._fleet.checker.add_violation("FAULT", f"{entry.name} ended by itself with {code}")
        entry.start()
        return False

    def _restart(self, entry: EntryProcess) -> None:
        entry.start()
        self._fleet.wait_ready(entry)

    def _kill(self, entry: EntryProcess, generator: random.Random) -> None:
        with self._disturb_instance(entry):
            entry.kill()
            self.pause(generator, 0.0, 2.0)
            entry.start()

    def _pause(self, entry: EntryProcess, generator: random.Random) -> None:
        with self._disturb_instance(entry):
            entry.send_signal(signal.SIGSTOP)
            if generator.random() < 0.3:
                entry.send_signal(signal.SIGHUP)
            self.pause(generator, 0.1, MAX_FAULT_S)
            entry.send_signal(signal.SIGCONT)

    def _stop_planned(self, entry: EntryProcess, generator: random.Random) -> None:
        with self._disturb(entry.name, get_process_name(entry.name)):
            was_ready = entry.is_ready()
            entry.send_signal(signal.SIGTERM)
            if generator.random() < 0.3:
                self.pause(generator, 0.0, 1.0)
                entry.send_signal(generator.choice([signal.SIGTERM, signal.SIGINT, signal.SIGHUP]))
            if generator.random() < 0.3:
                self._fleet.publish_configuration()
            self._wait_for_exit(entry, was_ready)
            entry.start()

    def _wait_for_exit(self, entry: EntryProcess, was_ready: bool) -> None:
        """Checks that a process exits in time.

        A process that was not ready yet may be ended by the signal itself.
        """
        assert entry.process is not None
        try:
            code = entry.process.wait(GRACE_S + STOP_SLACK_S)
        except subprocess.TimeoutExpired:
            threads = describe_threads(entry.process.pid)
            self._fleet.checker.add_violation(
                "GRACE", f"{entry.name} runs on after its grace period: {threads}"
            )
            entry.kill()
            return
        if code != 0 and (was_ready or code != -signal.SIGTERM):
            self._fleet.checker.add_violation("FAULT", f"{entry.name} stopped with code {code}")

    def _stop_then_kill(self, entry: EntryProcess, generator: random.Random) -> None:
        with self._disturb_instance(entry):
            entry.send_signal(signal.SIGTERM)
            self.pause(generator, 0.0, 2.0)
            entry.kill()
            entry.start()

    def _flap(self, entry: EntryProcess, generator: random.Random) -> None:
        """Kills a process twice, the second time while it starts, and pauses the next one."""
        with self._disturb_instance(entry):
            for _ in range(2):
                entry.kill()
                entry.start()
                self.pause(generator, 0.1, 0.8)
                entry.send_signal(signal.SIGHUP)
            entry.send_signal(signal.SIGSTOP)
            self.pause(generator, 0.1, 1.0)
            entry.send_signal(signal.SIGCONT)

    def _disturb_store_link(self, generator: random.Random) -> None:
        self.pause(generator, 0.5, 3.0)
        entry = generator.choice(self._fleet.entries)
        state = generator.choice(LINK_FAULTS)
        self.count(f"store link {state.value}")
        with self._disturb(entry.name, get_unplanned_name(entry.name)):
            entry.link.set_state(state)
            self.pause(generator, 0.2, MAX_FAULT_S)
            entry.link.set_state(LinkState.OPEN)

    def _disturb_store(self, generator: random.Random) -> None:
        self.pause(generator, 2.0, 8.0)
        store = self._fleet.store
        fault = generator.choice(["down", "silent", "forgets", "loses appends", "loses reads"])
        self.count(f"store {fault}")
        with self._disturb(STORE):
            if fault == "down":
                store.is_unavailable = True
            elif fault == "silent":
                self._fleet.set_store_state(LinkState.PAUSED)
            elif fault == "forgets":
                for topic in ("keyed.op", "keyed.servers"):
                    store.compact(topic)
            store.drops_append_responses = fault == "loses appends"
            store.drops_long_poll_responses = fault == "loses reads"
            self.pause(generator, 0.2, MAX_FAULT_S)
            store.is_unavailable = store.drops_append_responses = (
                store.drops_long_poll_responses
            ) = False
            if fault == "silent":
                self._fleet.set_store_state(LinkState.OPEN)

    def _disturb_target(self, generator: random.Random) -> None:
        self.pause(generator, 0.2, 2.0)
        target = generator.choice(self._fleet.targets)
        if generator.random() < 0.5:
            fault = generator.choice(list(TargetFault))
            self.count(f"target {fault.value}")
            with self._disturb(target.name):
                target.fault = fault
                self.pause(generator, 0.2, MAX_FAULT_S)
                target.fault = TargetFault.NONE
            return
        state = generator.choice(LINK_FAULTS)
        self.count(f"target link {state.value}")
        assert target.link is not None
        with self._disturb(target.name, get_link_name(target.name)):
            target.link.set_state(state)
            self.pause(generator, 0.2, MAX_FAULT_S)
            target.link.set_state(LinkState.OPEN)

    def _limit_target(self, generator: random.Random) -> None:
        """Lets a target name a limit on the rate of its calls for some seconds."""
        self.pause(generator, 0.5, 3.0)
        target = generator.choice(self._fleet.targets)
        name, rate = target.name, generator.uniform(0.5, 8.0)
        self.count("target limited")
        self._fleet.checker.record_limit(name, rate)
        target.rate_limit = rate
        self.pause(generator, 2.0, MAX_LIMITED_S)
        target.rate_limit = None
        self._fleet.checker.record_limit(name, None)

    def _ask_for_quiet(self, generator: random.Random) -> None:
        """Lets a target, or all of its service, ask for quiet at every call for some seconds."""
        self.pause(generator, 0.5, 3.0)
        targets = [generator.choice(self._fleet.targets)]
        if generator.random() < 0.3:
            service = targets[0].service
            targets = [target for target in self._fleet.targets if target.service == service]
        self.count("one asks for quiet" if len(targets) == 1 else "service asks for quiet")
        for target in targets:
            target.quiet_s = generator.uniform(0.0, MAX_QUIET_S)
        self.pause(generator, 0.2, MAX_FAULT_S)
        for target in targets:
            target.quiet_s = None

    def _announce_departure(self, generator: random.Random) -> None:
        """Lets a target say that it leaves, without a change of its registration, then ends it."""
        self.pause(generator, 0.5, 2.0)
        target = generator.choice(self._fleet.targets)
        name = target.name
        self.count("departure announced")
        target.is_leaving = True
        self.pause(generator, DRAIN_BOUND_S, DRAIN_BOUND_S + MAX_FAULT_S)
        # Another fault may have replaced the target meanwhile.
        if target.name == name:
            self._start_replacement(target, generator)

    def _restore_store(self, generator: random.Random) -> None:
        """Lets the store come back from an older copy; what it lost is written again later."""
        self.pause(generator, 1.0, 5.0)
        store = self._fleet.store
        copy = store.take_copy()
        self.pause(generator, 0.5, MAX_COPY_AGE_S)
        self.count("store restored")
        with self._disturb(STORE):
            if generator.random() < 0.5:
                self._fleet.set_store_state(LinkState.RESET)
                self.pause(generator, 0.0, 2.0)
                self._fleet.set_store_state(LinkState.OPEN)
            lost = store.restore(copy)
            self.pause(generator, 0.0, 2.0)
            store.write_again(copy, lost)

    def _replace_target(self, generator: random.Random) -> None:
        """Drains or cuts off a target, then starts another one at its address."""
        self.pause(generator, 1.0, 4.0)
        target = generator.choice(self._fleet.targets)
        old = target.name
        if generator.random() < 0.6:
            self.count("target drained")
            self._fleet.register_target(target, state="draining")
            self._fleet.checker.record_draining_target(old)
            self.pause(generator, 3.5, 6.0)
            self._start_replacement(target, generator)
        else:
            self.count("target lost")
            with self._disturb(old, get_link_name(old)):
                assert target.link is not None
                target.link.set_state(generator.choice([LinkState.RESET, LinkState.PAUSED]))
                self.pause(generator, 0.5, 2.0)
                self._start_replacement(target, generator)
                target.link.set_state(LinkState.OPEN)

    def _start_replacement(self, target: FleetTarget, generator: random.Random) -> None:
        services = [other.service for other in self._fleet.targets if other is not target]
        # Each service keeps at least two targets.
        service = min(("desk", "lm"), key=services.count)
        if services.count(service) > 2:
            service = generator.choice(["desk", "lm"])
        self._fleet.replace_target(target, service, is_cold=generator.random() < 0.7)


def run_entry_faults(seed: int, seconds: float) -> bool:
    """Executes one run and prints its counts and violations; returns whether there were none."""
    fleet = EntryFleet()
    try:
        fleet.start()
        run = EntryFaultRun(fleet, seed)
        run.run(seconds)
        run.check_recovery()
        fleet.checker.check_whole_run()
        violations = list(fleet.checker.violations)
        if violations:
            copy_logs(fleet, Path(f"run/faults-{seed}"))
    finally:
        fleet.close()
    print(f"seed {seed}, {seconds:g} s")
    for what, count in sorted((run.counts + fleet.checker.counts).items()):
        print(f"  {what}: {count}")
    for violation in violations:
        print(f"violation: {violation}")
    return not violations


def describe_threads(pid: int) -> str:
    """Returns what holds each thread of a process, for one that does not exit."""
    threads = []
    for task in sorted(Path(f"/proc/{pid}/task").glob("*")):
        try:
            lines = (task / "status").read_text().splitlines()
            state = next((line for line in lines if line.startswith("State")), "")
            waits_in = (task / "wchan").read_text()
        except OSError as error:
            threads.append(f"{task.name}: {error}")
        else:
            threads.append(f"{task.name}: {state.removeprefix('State:').strip()} {waits_in}")
    return "; ".join(threads)


def copy_logs(fleet: EntryFleet, folder: Path) -> None:
    """Copies the logs of a run with violations, for finding their cause."""
    folder.mkdir(parents=True, exist_ok=True)
    for entry in fleet.entries:
        shutil.copy(entry.log_file, folder / entry.log_file.name)
    print(f"logs are kept in {folder}")
