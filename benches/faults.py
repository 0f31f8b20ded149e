"""Runs real processes under random faults from a fixed seed and checks their histories.

Run: PYTHONPATH=src python -m benches.faults [--deployment entry] [--seed N] [--runs N]
[--seconds N]
With "--deployment entry" the entry processes run (benches/entryfaults.py), otherwise gateways and
control processes, as follows. Callers send streams, plain calls and calls that must run only once,
which they repeat with the same key at other instances. Operators change documents, drain a data
centre and put it back in service. Meanwhile processes are killed and paused, links to the platform
are cut or paused, and stand-ins fail. After all faults have ended, the history checks run.
Exits with 1 on a violation.
"""

import json
import random
import shutil
import sys
import time
from pathlib import Path

from absl import app, flags

from mulberryrill.errors import HttpError
from mulberryrill.internal.history.checks import run_checks
from mulberryrill.internal.history.reading import read_history
from mulberryrill.internal.standins.callers import create_idempotency_key
from tests.common.deployment import Deployment, create_site, read_owner
from tests.common.links import LinkState

from .entryfaults import run_entry_faults
from .randomwork import RandomWork, Step

INSTANCES = [f"{centre}-{number}" for centre in ("kariakoo", "msasani") for number in (1, 2)]
DATA_CENTRES = ("kariakoo", "msasani")
CALLERS = 6
# A call with a key is sent at most this often, at random instances, until it has a result.
MAX_SENDS = 8
SETTLE_S = 30.0
MAX_FAULT_S = 5.0
# The history check counts an order's time bound from its acceptance; the next order must not fall
# within it.
DRAIN_DURATION_S = 8.0

_SEED = flags.DEFINE_integer("seed", 1, "seed of callers and faults")
_SECONDS = flags.DEFINE_float("seconds", 600.0, "length of each run")
_RUNS = flags.DEFINE_integer("runs", 1, "number of runs, with one seed after the other")
_DEPLOYMENT = flags.DEFINE_enum("deployment", "gateway", ["gateway", "entry"], "programs to run")


class FaultRun(RandomWork):
    """One fault run against one deployment."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        super().__init__(seed)
        self._deployment = deployment
        deployment.apply_documents()

    def list_steps(self) -> list[tuple[str, Step]]:
        """Returns the steps of callers, operators and faults."""
        callers = [(f"caller-{n}", self._call) for n in range(CALLERS)]
        return [
            *callers,
            ("operator", self._change_document),
            ("drain", self._drain),
            ("process-faults", self._fail_process),
            ("link-faults", self._fail_link),
            ("standin-faults", self._fail_standin),
        ]

    def _call(self, generator: random.Random) -> None:
        instance = generator.choice(INSTANCES)
        kind = generator.choice(["stream", "completion", "lookup", "pay", "pay"])
        if kind == "pay":
            self._pay(generator)
        elif kind == "lookup":
            response = self._deployment.call(instance, "stock", "/lookup", b"sugar?")
            self.count(f"lookup {response.status if response else 'cut'}")
        else:
            prompt = f"question {generator.randrange(40)} " * generator.choice([3, 900])
            text = self._deployment.complete(instance, prompt, 20, stream=kind == "stream")
            self.count(f"{kind} {'whole' if text is not None else 'not whole'}")
        self.pause(generator, 0, 0.2)

    def _pay(self, generator: random.Random) -> None:
        key = create_idempotency_key(int(time.time() * 1000))
        body = f"order {key}".encode()
        for _ in range(MAX_SENDS):
            instance = generator.choice(INSTANCES)
            response = self._deployment.call(instance, "stock", "/pay", body, key=key, timeout_s=8)
            self.count(f"pay {response.status if response else 'cut'}")
            if response is not None and response.status in (200, 409):
                return
            self.pause(generator, 0, 0.5)

    def _change_document(self, generator: random.Random) -> None:
        self.pause(generator, 0.5, 3)
        instance = generator.choice(INSTANCES)
        document = self._deployment.call_operator_api(instance, "GET", "/v1/documents/stock")
        body = document.parse_json()
        if document.status != 200 or not isinstance(body, dict):
            self.count(f"read document {document.status}")
            return
        base = int(body["revision"]) - generator.choice([0, 0, 0, 1])
        path = f"/v1/documents/stock?base_revision={base}&reason=fault%20run"
        text = str(body["document"]).encode()
        response = self._deployment.call_operator_api(instance, "PUT", path, text, read_owner(text))
        self.count(f"change {response.status}")

    def _drain(self, generator: random.Random) -> None:
        self.pause(generator, 5, 15)
        centre = generator.choice(DATA_CENTRES)
        for state, pause_s in (("DRAINED", DRAIN_DURATION_S), ("IN_SERVICE", 0.0)):
            self._send_order(generator, centre, state)
            self._stop.wait(pause_s)

    def _send_order(self, generator: random.Random, centre: str, state: str) -> None:
        """Sends an order to any reachable instance, with retries.

        A drained data centre must be put back in service.
        """
        body = json.dumps({"state": state, "reason": "fault run"}).encode()
        for _ in range(100):
            try:
                instance = generator.choice(INSTANCES)
                path = f"/v1/datacentres/{centre}/orders"
                response = self._deployment.call_operator_api(instance, "POST", path, body)
                self.count(f"order {state} {response.status}")
                if response.status // 100 == 2:
                    return
            except HttpError:
                self.count(f"order {state} not answered")

    def _fail_process(self, generator: random.Random) -> None:
        self.pause(generator, 0.5, 4)
        process = generator.choice(["gateway", "control"])
        name = f"{generator.choice(INSTANCES)}-{process}"
        if generator.random() < 0.5:
            self.count(f"kill {process}")
            self._deployment.kill(name)
            self.pause(generator, 0, 2)
            self._deployment.start_process(name)
            return
        self.count(f"pause {process}")
        self._deployment.pause(name)
        self.pause(generator, 0.1, MAX_FAULT_S)
        self._deployment.resume(name)

    def _fail_link(self, generator: random.Random) -> None:
        self.pause(generator, 1, 5)
        instance = generator.choice(INSTANCES)
        state = generator.choice([LinkState.CUT, LinkState.PAUSED])
        self.count(f"link {state.value}")
        self._deployment.set_link(instance, "platform", state)
        self.pause(generator, 0.5, MAX_FAULT_S)
        self._deployment.set_link(instance, "platform", LinkState.OPEN)

    def _fail_standin(self, generator: random.Random) -> None:
        self.pause(generator, 1, 5)
        centre = generator.choice(DATA_CENTRES)
        choices: list[tuple[str, dict[str, object]]] = [
            ("platform", {"lose_answers": 3}),
            ("platform", {"log": "down"}),
            ("platform", {"log": "slow", "delay_ms": 800}),
            ("platform", {"list": "down"}),
            (f"{centre}-engine-1", {"restart": True}),
            (f"{centre}-engine-1", {"cut_after_tokens": 4}),
            (f"{centre}-engine-1", {"stall_after_tokens": 4}),
            (f"{centre}-engine-1", {"wrong_attempt": 2}),
            (f"{centre}-service-1", {"lose_answers": 2}),
            (f"{centre}-service-1", {"reject": 2}),
        ]
        name, faults = generator.choice(choices)
        self.count(f"fault {next(iter(faults))}")
        self._deployment.set_faults(name, **faults)
        if name == "platform":
            self.pause(generator, 0.5, MAX_FAULT_S)
            self._deployment.set_faults("platform", log="up", list="up")


def run_faults(seed: int, seconds: float) -> bool:
    """Executes one run and prints its counts and violations; returns whether there were none."""
    links = [(instance, "platform") for instance in INSTANCES]
    deployment = Deployment(create_site(data_centres=2, instances=2), links=links)
    try:
        deployment.start()
        run = FaultRun(deployment, seed)
        deployment.wait_serving()
        run.run(seconds)
        time.sleep(SETTLE_S)
        results = run_checks(read_history(deployment.list_history_files()))
        has_no_violations = not any(result.violations for result in results)
        if not has_no_violations:
            copy_histories(deployment.list_history_files(), Path(f"run/faults-{seed}"))
    finally:
        deployment.close()
    print(f"seed {seed}, {seconds:g} s, {sum(run.counts.values())} operations")
    for what, count in sorted(run.counts.items()):
        print(f"  {what}: {count}")
    for result in results:
        print(f"{result.check}: {result.examined} examined, {len(result.violations)} violations")
        for violation in result.violations[:5]:
            print(f"  {violation}")
    return has_no_violations


def copy_histories(files: list[Path], folder: Path) -> None:
    """Copies the histories of a run with violations, for finding their cause."""
    folder.mkdir(parents=True, exist_ok=True)
    for file in files:
        shutil.copy(file, folder / file.name)
    print(f"histories are kept in {folder}")


def main(argv: list[str]) -> None:
    """Executes all runs and exits with 1 on a violation."""
    run = run_entry_faults if _DEPLOYMENT.value == "entry" else run_faults
    seeds = range(_SEED.value, _SEED.value + _RUNS.value)
    failed_seeds = [seed for seed in seeds if not run(seed, _SECONDS.value)]
    print(
        f"{len(seeds)} runs, violations with the seeds {failed_seeds}"
        if failed_seeds
        else "no violations"
    )
    sys.exit(1 if failed_seeds else 0)


if __name__ == "__main__":
    app.run(main)
