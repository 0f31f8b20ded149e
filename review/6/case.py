"""After the engines of one rack lost power at once, sound requests are refused for an hour."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from parts import BOUNDS, Deployment, Engine, build_model_configuration, build_prompt, call, run_case

ENGINES = 6
# How long the rack is down: the site file's srv_crash has for_s = 4.5 and 14.0.
RACK_DOWN_S = 3.0
RATE_PER_S = 30
# The final fault: closing = { kind = "kill_all", down_s = 1.5 }, right after a configuration.
MACHINES_DOWN_S = 1.5


async def main(deployment: Deployment, has_trouble: bool) -> bool:
    record, store = deployment.record, deployment.store
    engines = [
        Engine(store, record, f"e-{n}", "lm", "zone-1") for n in range(1, ENGINES + 1)
    ]
    await deployment.start(build_model_configuration(), engines)
    await asyncio.sleep(2.0)
    pending: set[asyncio.Task] = set()
    answers: list[tuple[float, int, bool]] = []

    async def send_one(machine, number: int) -> None:
        sent = time.monotonic()
        answer = await call(
            machine, "POST", "/plan/1", deployment.next_id(), deadline_s=3.0,
            headers=build_prompt(number), body=b"{%d}" % number, record=record,
        )
        answers.append((sent, answer.status, answer.complete))

    async def send_requests() -> None:
        started, number = time.monotonic(), 0
        while True:
            number += 1
            machine = deployment.machines[number % len(deployment.machines)]
            task = asyncio.create_task(send_one(machine, number))
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(max(0.0, started + number / RATE_PER_S - time.monotonic()))

    traffic = asyncio.create_task(send_requests())
    await asyncio.sleep(12.0)
    if has_trouble:
        record.add("the rack of the engines loses power")
        await asyncio.gather(*(engine.restart(RACK_DOWN_S, 0.0) for engine in engines))
    else:
        await asyncio.sleep(RACK_DOWN_S)
    await asyncio.sleep(2.0)
    await store.put("keyed.op", "config", build_model_configuration(2))
    final_at = time.monotonic()
    for machine in deployment.machines:
        machine.send_signal(signal.SIGKILL)
        machine.process.wait()
    await asyncio.sleep(MACHINES_DOWN_S)
    for machine in deployment.machines:
        machine.start()
    back_at = time.monotonic()
    await asyncio.sleep(BOUNDS["recover_s"] + 8.0)
    traffic.cancel()
    await asyncio.gather(*pending)

    def count(name: str, group: list[tuple[float, int, bool]]) -> float:
        served = sum(status == 200 and whole for _, status, whole in group)
        record.add(f"{name}: {served} of {len(group)} requests were served")
        return served / len(group)

    before = count("before the final fault", [a for a in answers if a[0] < final_at])
    after = count("later than recover_s after the machines were back",
                  [a for a in answers if a[0] > back_at + BOUNDS["recover_s"]])
    return before >= 0.25 and after < 0.25


run_case(main, Path(__file__).parent, machine_count=3, zones=3)
