"""A request that crashes workers is never stopped while its path is asked for with other queries."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from parts import BOUNDS, KEY, Deployment, Worker, build_configuration, call, run_case

WORKERS = 6
# "the worker is back after some seconds"
BACK_S = 2.0
# The request comes again at this interval.
AGAIN_S = 1.5
COMES = 16
RATE_PER_S = 40
DEADLY, SOUND = "/look/find?q=deadly", os.environ.get("SOUND", "/look/find?q=") + "{}"


class FragileWorker(Worker):
    """Crashes when it begins to run one request, and is back after some seconds."""

    def __init__(self, *args: object) -> None:
        super().__init__(*args)
        self.crashes_on: str | None = None
        self.on_crash = lambda: None
        self._restart: asyncio.Task | None = None

    async def handle(self, request, writer, reader) -> bool:
        is_own = request.headers.get("expect-instance", self.id) == self.id
        if is_own and request.target == self.crashes_on and self._restart is None:
            request_id = request.headers["request-id"]
            self.arrivals.append((time.monotonic(), request_id))
            self.record.add(f"worker {self.id}: begins to run {request_id} {request.target}")
            self.on_crash()
            self._restart = asyncio.create_task(self._crash())
            await asyncio.sleep(1.0)
            return False
        return await super().handle(request, writer, reader)

    async def _crash(self) -> None:
        await asyncio.sleep(0.01)
        await self.restart(BACK_S, 0.0)
        self._restart = None


async def main(deployment: Deployment, has_trouble: bool) -> bool:
    record, store = deployment.record, deployment.store
    workers = [
        FragileWorker(store, record, f"w-{n}", "desk", f"zone-{n % 2 + 1}")
        for n in range(1, WORKERS + 1)
    ]
    crashes: list[float] = []
    for worker in workers:
        worker.on_crash = lambda: crashes.append(time.monotonic())
    await deployment.start(build_configuration(), workers)
    pending: set[asyncio.Task] = set()

    def send(number: int, target: str) -> str:
        request_id = deployment.next_id()
        machine = deployment.machines[number % len(deployment.machines)]
        task = asyncio.create_task(
            call(machine, "GET", target, request_id, deadline_s=1.5, headers=KEY, record=record)
        )
        pending.add(task)
        task.add_done_callback(pending.discard)
        return request_id

    async def send_requests() -> None:
        number = 0
        while True:
            number += 1
            send(number, SOUND.format(number))
            await asyncio.sleep(1 / RATE_PER_S)

    traffic = asyncio.create_task(send_requests())
    await asyncio.sleep(3.0)
    if has_trouble:
        for worker in workers:
            worker.crashes_on = DEADLY
    deadly: dict[str, float] = {}
    for number in range(COMES):
        deadly[send(number, DEADLY)] = time.monotonic()
        await asyncio.sleep(AGAIN_S)
    traffic.cancel()
    await asyncio.gather(*pending)
    late: set[str] = set()
    if len(crashes) >= 3:
        since = crashes[2] + BOUNDS["contact_ms"] / 1000
        reached = {request for w in workers for at, request in w.arrivals if at > since}
        late = {request for request, sent in deadly.items() if sent > since and request in reached}
    record.add(
        f"the request came {len(deadly)} times and crashed workers {len(crashes)} times; it reached"
        f" workers in {len(late)} retries later than contact_ms after the third crash"
    )
    return len(late) > 3


run_case(main, Path(__file__).parent, machine_count=3)
