"""Streams go on at another software version when an old write of a restarted worker comes late."""

import asyncio
import re
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from parts import HEARTBEAT_S, Deployment, Engine, build_model_configuration, build_prompt, call
from parts import run_case

# From the write that gets no answer to the report that the first worker drains.
REPORTS_AFTER_S = 0.2
DRAINS_S = 2.3
DOWN_S = 0.5
# Just after the third heartbeat of the new incarnation, 5.45 s after the write was sent: "or may be
# executed seconds later"; the bench's platform_lost: "done 1 to 6 s later".
LATE_S = REPORTS_AFTER_S + DRAINS_S + DOWN_S + 2 * HEARTBEAT_S + 0.05
# drain_ms, and a little longer.
SECOND_DRAINS_S = 2 * HEARTBEAT_S + 0.85
RATE_PER_S = 6
EVENTS, EVENT_S = 120, 0.06


async def main(deployment: Deployment, has_trouble: bool) -> bool:
    record, store = deployment.record, deployment.store
    engines = [
        Engine(store, record, f"e-{n}", "lm", f"zone-{n % 2 + 1}", events=EVENTS, event_s=EVENT_S)
        for n in range(1, 4)
    ]
    await deployment.start(build_model_configuration(), engines)
    first, second, _ = engines
    pending: set[asyncio.Task] = set()
    mixed: list[str] = []
    counts = {"whole": 0, "all": 0}

    async def send_one(machine, number: int) -> None:
        request_id = deployment.next_id()
        answer = await call(
            machine, "POST", "/plan/1", request_id, deadline_s=14.0, headers=build_prompt(number),
            body=b"{}", record=record,
        )
        versions = re.findall(r"data: (v\d)/", answer.body.decode())
        counts["all"] += 1
        counts["whole"] += answer.complete and len(versions) == EVENTS
        if len(set(versions)) > 1:
            mixed.append(request_id)
            record.add(f"client: {request_id} holds {versions.count('v1')} events of v1 and"
                       f" {versions.count('v2')} of v2")

    async def send_requests() -> None:
        number = 0
        while True:
            number += 1
            machine = deployment.machines[number % len(deployment.machines)]
            task = asyncio.create_task(send_one(machine, number))
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(1 / RATE_PER_S)

    async def upgrade(engine: Engine, drains_s: float) -> None:
        """A planned restart: the worker drains, leaves and starts again under its id as v2."""
        await engine.change_state("draining")
        await asyncio.sleep(drains_s)
        engine.stop_beats()
        await store.put("keyed.servers", engine.id, None)
        await engine.close()
        record.add(f"worker {engine.id}: has left")
        await asyncio.sleep(DOWN_S)
        engine.state, engine.born, engine.software = "ready", int(time.time() * 1000), "v2"
        await engine.start()
        record.add(f"worker {engine.id}: starts as v2, born {engine.born}")

    traffic = asyncio.create_task(send_requests())
    await asyncio.sleep(8.0)
    late = None
    if has_trouble:
        entry = first.build_entry()
        record.add(f"worker {first.id}: writes {entry}, and gets no answer from the store")
        late = asyncio.create_task(store.put_later(LATE_S, "keyed.servers", first.id, entry))
    await asyncio.sleep(REPORTS_AFTER_S)
    await upgrade(first, DRAINS_S)
    await upgrade(second, SECOND_DRAINS_S)
    traffic.cancel()
    await asyncio.sleep(9.0)
    if late is not None:
        await late
    await asyncio.gather(*pending)
    record.add(f"{len(mixed)} streams hold events of two versions; {counts['whole']} of"
               f" {counts['all']} streams were whole")
    return len(mixed) > 2


run_case(main, Path(__file__).parent, machine_count=3)
