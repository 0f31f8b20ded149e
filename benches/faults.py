"""Runs real processes under random faults from a fixed seed and checks the histories.

Run: PYTHONPATH=src python -m benches.faults [--deployment entry] [--seed N] [--runs N]
[--seconds N]
With "--deployment entry" the entry processes of the users' platform run (benches/entryfaults.py),
else gateways and control processes:
Callers send streams, plain calls and calls that must run once, which they repeat with the same key
at other instances; operators change documents and drain and return a data centre. Meanwhile
processes are killed and paused, links to the platform cut or stalled, and stand-ins fail. Then
everything is healed, and all checkers read the histories. Exits with 1 on a violation.
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
# Keys that were not answered are repeated this often at most, at random instances.
MAX_REPEATS = 8
SETTLE_S = 30.0
MAX_FAULT_S = 5.0
# The history's bound for an order is counted from its acceptance; later orders must not overlap it.
DRAINED_S = 8.0

_SEED = flags.DEFINE_integer("seed", 1, "seed of callers and faults")
_SECONDS = flags.DEFINE_float("seconds", 600.0, "length of each run")
_RUNS = flags.DEFINE_integer("runs", 1, "number of runs, with one seed after the other")
_DEPLOYMENT = flags.DEFINE_enum("deployment", "gateway", ["gateway", "entry"], "programs to run")


class FaultRun(RandomWork):
    """One run."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        super().__init__(seed)
        self._deployment = deployment
        deployment.apply_documents()

    def list_work(self) -> list[tuple[str, Step]]:
        """Returns callers, operators and faults."""
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
            answer = self._deployment.call(instance, "stock", "/lookup", b"sugar?")
            self.count(f"lookup {answer.status if answer else 'cut'}")
        else:
            prompt = f"question {generator.randrange(40)} " * generator.choice([3, 900])
            text = self._deployment.complete(instance, prompt, 20, stream=kind == "stream")
            self.count(f"{kind} {'whole' if text is not None else 'not whole'}")
        self.pause(generator, 0, 0.2)

    def _pay(self, generator: random.Random) -> None:
        key = create_idempotency_key(int(time.time() * 1000))
        body = f"order {key}".encode()
        for _ in range(MAX_REPEATS):
            instance = generator.choice(INSTANCES)
            answer = self._deployment.call(instance, "stock", "/pay", body, key=key, timeout_s=8)
            self.count(f"pay {answer.status if answer else 'cut'}")
            if answer is not None and answer.status in (200, 409):
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
        answer = self._deployment.call_operator_api(instance, "PUT", path, text, read_owner(text))
        self.count(f"change {answer.status}")

    def _drain(self, generator: random.Random) -> None:
        self.pause(generator, 5, 15)
        centre = generator.choice(DATA_CENTRES)
        for state, pause_s in (("DRAINED", DRAINED_S), ("IN_SERVICE", 0.0)):
            self._order(generator, centre, state)
            self._stop.wait(pause_s)

    def _order(self, generator: random.Random, centre: str, state: str) -> None:
        """Gives an order at any reachable instance; a return must not be left undone."""
        body = json.dumps({"state": state, "reason": "fault run"}).encode()
        for _ in range(100):
            try:
                instance = generator.choice(INSTANCES)
                path = f"/v1/datacentres/{centre}/orders"
                answer = self._deployment.call_operator_api(instance, "POST", path, body)
                self.count(f"order {state} {answer.status}")
                if answer.status // 100 == 2:
                    return
            except HttpError:
                self.count(f"order {state} not answered")

    def _fail_process(self, generator: random.Random) -> None:
        self.pause(generator, 0.5, 4)
        parts = generator.choice(["gateway", "control"])
        name = f"{generator.choice(INSTANCES)}-{parts}"
        if generator.random() < 0.5:
            self.count(f"kill {parts}")
            self._deployment.kill(name)
            self.pause(generator, 0, 2)
            self._deployment.start_process(name)
            return
        self.count(f"pause {parts}")
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
    """Carries out one run and prints its counts and violations; returns whether it was clean."""
    links = [(instance, "platform") for instance in INSTANCES]
    deployment = Deployment(create_site(data_centres=2, instances=2), links=links)
    try:
        deployment.start()
        run = FaultRun(deployment, seed)
        deployment.wait_serving()
        run.run(seconds)
        time.sleep(SETTLE_S)
        results = run_checks(read_history(deployment.list_history_files()))
        is_clean = not any(result.violations for result in results)
        if not is_clean:
            keep_histories(deployment.list_history_files(), Path(f"run/faults-{seed}"))
    finally:
        deployment.close()
    print(f"seed {seed}, {seconds:g} s, {sum(run.counts.values())} operations")
    for what, count in sorted(run.counts.items()):
        print(f"  {what}: {count}")
    for result in results:
        print(f"{result.check}: {result.examined} examined, {len(result.violations)} violations")
        for violation in result.violations[:5]:
            print(f"  {violation}")
    return is_clean


def keep_histories(files: list[Path], folder: Path) -> None:
    """Copies the histories of a run with violations, so that their cause can be found."""
    folder.mkdir(parents=True, exist_ok=True)
    for file in files:
        shutil.copy(file, folder / file.name)
    print(f"histories are kept in {folder}")


def main(argv: list[str]) -> None:
    """Runs and exits with 1 on a violation."""
    run = run_entry_faults if _DEPLOYMENT.value == "entry" else run_faults
    seeds = range(_SEED.value, _SEED.value + _RUNS.value)
    dirty = [seed for seed in seeds if not run(seed, _SECONDS.value)]
    print(f"{len(seeds)} runs, violations with the seeds {dirty}" if dirty else "no violations")
    sys.exit(1 if dirty else 0)


if __name__ == "__main__":
    app.run(main)
