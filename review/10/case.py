"""A worker that has left gets requests again when one of its earlier writes is executed late."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from parts import BOUNDS, KEY, Deployment, Worker, build_configuration, call, run_case

# "or may be executed seconds later"; the bench's platform_lost: "done 1 to 6 s later".
LATE_S = 5.8
# More than contact_ms after the lost answer, so that the store is stable again.
LEAVES_AFTER_S = 3.2
LINGERS_S = 4.2
RATE_PER_S = 60


async def main(deployment: Deployment, has_trouble: bool) -> bool:
    record, store = deployment.record, deployment.store
    workers = [Worker(store, record, f"w-{n}", "desk", f"zone-{n % 2 + 1}", work_s=0.3) for n in range(1, 4)]
    await deployment.start(build_configuration(), workers)
    leaver = workers[0]
    pending: set[asyncio.Task] = set()
    sent_at: dict[str, float] = {}
    lost: list[str] = []

    async def send_one(machine, method: str, path: str, request_id: str) -> None:
        answer = await call(
            machine, method, path, request_id, deadline_s=1.5, headers=KEY, record=record
        )
        if answer.status in (0, 502, 504):
            lost.append(request_id)

    async def send_requests() -> None:
        number = 0
        while True:
            number += 1
            request_id = deployment.next_id()
            sent_at[request_id] = time.monotonic()
            method, path = [("GET", "/look/1"), ("POST", "/book/1")][number % 2]
            machine = deployment.machines[number % len(deployment.machines)]
            task = asyncio.create_task(send_one(machine, method, path, request_id))
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(1 / RATE_PER_S)

    traffic = asyncio.create_task(send_requests())
    await asyncio.sleep(2.0)
    late = None
    if has_trouble:
        entry = leaver.build_entry()
        record.add(f"worker {leaver.id}: writes {entry}, and gets no answer from the store")
        late = asyncio.create_task(store.put_later(LATE_S, "keyed.servers", leaver.id, entry))
    await asyncio.sleep(LEAVES_AFTER_S)
    leaver.stop_beats()
    await store.put("keyed.servers", leaver.id, None)
    gone_at = time.monotonic()
    record.add(f"store: acknowledges that {leaver.id} is gone; it serves for {LINGERS_S} s more")
    await asyncio.sleep(LINGERS_S)
    await leaver.close()
    record.add(f"worker {leaver.id}: exits")
    await asyncio.sleep(1.0)
    traffic.cancel()
    if late is not None:
        await late
    await asyncio.gather(*pending)
    limit = gone_at + BOUNDS["drain_ms"] / 1000
    late_arrivals = [
        request for at, request in leaver.arrivals if at > limit and sent_at[request] > limit
    ]
    record.add(
        f"{len(late_arrivals)} requests were sent and reached {leaver.id} later than drain_ms after the"
        f" acknowledgement; {len(set(lost) & set(late_arrivals))} of them were lost at its exit;"
        f" {len(sent_at)} sent in all"
    )
    return bool(late_arrivals)


run_case(main, Path(__file__).parent, machine_count=3)
