"""A worker that has left gets requests again when one of its heartbeats is executed late.

As review/10, but the store keeps records as the users' page says: a worker's entry changes when
more than ``seq`` changes, so a heartbeat with nothing new adds no record. Before the worker leaves,
the others of its service are replaced one after the other.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from parts import BOUNDS, KEY, Deployment, Worker, build_configuration, call, run_case  # noqa: E402

# "or may be executed seconds later"; the bench's platform_lost: "done 1 to 6 s later".
LATE_S = 5.8
# More than contact_ms after the lost answer, so that the store is stable again.
LEAVES_AFTER_S = 3.2
LINGERS_S = 4.2
COLD_S = 3.0
RATE_PER_S = 60


class QuietWorker(Worker):
    """Writes its entry at each heartbeat; the entry changes when more than ``seq`` changes."""

    def __init__(self, *args, is_new: bool = False, **options) -> None:
        super().__init__(*args, **options)
        self._last_entry: dict | None = None
        if is_new:
            self.cold_until = time.monotonic() + COLD_S

    async def beat(self) -> None:
        self.seq += 1
        entry = self.build_entry()
        content = {key: value for key, value in entry.items() if key != "seq"}
        if content == self._last_entry:
            return
        self._last_entry = content
        await self.store.put("keyed.servers", self.id, entry)
        self.record.add(f"worker {self.id}: its entry becomes {entry}")


async def main(deployment: Deployment, has_trouble: bool) -> bool:
    record, store = deployment.record, deployment.store

    def create(number: int, is_new: bool) -> QuietWorker:
        zone = f"zone-{number % 2 + 1}"
        return QuietWorker(
            store, record, f"w-{number}", "desk", zone, work_s=0.3, is_new=is_new
        )

    workers = [create(number, False) for number in (1, 2, 3)]
    configuration = build_configuration(cold_start_s=COLD_S, cold_per_s=12.0)
    await deployment.start(configuration, workers)
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
    # Planned work: the other workers are replaced, the new one first.
    for number, old in ((4, workers[1]), (5, workers[2])):
        new = create(number, True)
        workers.append(new)
        await new.start()
        await asyncio.sleep(COLD_S + 2.0)
        await old.change_state("draining")
        await asyncio.sleep(BOUNDS["drain_ms"] / 1000 + 1.0)
        old.stop_beats()
        await store.put("keyed.servers", old.id, None)
        await old.close()
        record.add(f"worker {old.id}: has drained and exits")
    new = create(6, True)
    workers.append(new)
    await new.start()
    await asyncio.sleep(COLD_S + 2.0)
    late = None
    if has_trouble:
        leaver.seq += 1
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
    for worker in workers:
        worker.stop_beats()
    limit = gone_at + BOUNDS["drain_ms"] / 1000
    late_arrivals = [
        request for at, request in leaver.arrivals if at > limit and sent_at[request] > limit
    ]
    record.add(
        f"{len(late_arrivals)} requests were sent and reached {leaver.id} later than drain_ms after"
        f" the acknowledgement; {len(set(lost) & set(late_arrivals))} of them were lost at its"
        f" exit; {len(sent_at)} sent in all"
    )
    return bool(late_arrivals)


run_case(main, Path(__file__).parent, machine_count=3)
