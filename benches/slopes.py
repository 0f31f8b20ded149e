"""Measures the cost of each control mechanism at several sizes and fits a slope.

Run: PYTHONPATH=src python -m benches.slopes [--only NAME]
Prints one row for each mechanism and size, then the slope between the smallest and largest size.
CPU time is the best of three runs; memory is what tracemalloc counts as still allocated. Since
tracemalloc does not see protobuf messages, the size of the serialized state is printed as well.
"""

import time
import tracemalloc
import uuid
from collections.abc import Callable
from dataclasses import dataclass

from absl import app, flags

from mulberryrill.internal.core.claimfold import ClaimFold
from mulberryrill.internal.core.configuration import ConfigurationFold
from mulberryrill.internal.core.membership import Membership
from mulberryrill.internal.core.messages import (
    MemberState,
    Priority,
    Record,
    RoutingRequest,
    TargetState,
)
from mulberryrill.internal.core.records import encode_record
from mulberryrill.internal.core.routing import Router, create_policy
from mulberryrill.internal.core.slotholder import SlotHolder
from mulberryrill.internal.core.slots import SlotClient
from mulberryrill.internal.ids import (
    CustomerName,
    DataCentre,
    GatewayId,
    Incarnation,
    InstanceId,
    Offset,
    PoolName,
    RequestId,
    ServiceName,
    TargetId,
)
from mulberryrill.internal.schema.documents_pb2 import ServiceDocument
from mulberryrill.internal.schema.log_pb2 import Claim, DocumentChange, LogBatch, LogEntry, Outcome
from mulberryrill.internal.schema.wire_pb2 import (
    GatewayReport,
    Heartbeat,
    Member,
    MemberKind,
    TargetNotice,
    TargetUse,
    TargetView,
)
from mulberryrill.internal.schema.wire_pb2 import MemberState as WireMemberState
from mulberryrill.internal.settings.files import parse_yaml

RETENTION_MS = 7 * 24 * 3600 * 1000
KEY_WINDOW_MS = 3600 * 1000
START_MS = 1_800_000_000_000
REPEATS = 3
DATA_CENTRE = DataCentre("dc-00")
_ONLY = flags.DEFINE_string("only", "", "measure only this mechanism")


@dataclass(frozen=True)
class Sample:
    """Cost at one size; ``cpu_us`` is the CPU time of one operation in microseconds."""

    size: int
    cpu_us: float
    allocated_bytes: int
    message_bytes: int


def measure(size: int, operations: int, work: Callable[[], object]) -> tuple[float, int, object]:
    """Returns CPU microseconds per operation, bytes still allocated and a result of ``work``."""
    best = float("inf")
    for _ in range(REPEATS):
        start = time.process_time()
        result = work()
        best = min(best, time.process_time() - start)
    del result
    tracemalloc.start()
    result = work()
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return best / operations * 1e6, allocated, result


def build_document_text(service: str, customers: int) -> str:
    """Returns a document's YAML text."""
    lines = [
        f"service: {service}",
        "owners: [asha]",
        "kind: model",
        "pool: language",
        'models: [{name: planner-7b, version: "3"}]',
        "priority: interactive",
        "deadline_ms: 5000",
        "customers:",
    ]
    for index in range(customers):
        digest = uuid.uuid5(uuid.NAMESPACE_OID, f"{service}/{index}").hex * 2
        lines.append(
            f'  - {{name: customer-{index}, token_sha256: ["{digest}"], '
            "requests_per_second: 20, concurrent: 16, weight: 1}"
        )
    return "\n".join(lines) + "\n"


def measure_configuration(size: int) -> Sample:
    """Folds ``size`` documents of 31 customers each, so that 200 have 6,200 customers."""
    records = []
    for index in range(size):
        change = DocumentChange(
            change_id=f"c{index}",
            service=f"service-{index}",
            author="asha",
            reason="first version",
            document=build_document_text(f"service-{index}", 31),
        )
        data = encode_record(LogBatch(entries=[LogEntry(document_change=change)]))
        records.append(Record(Offset(index + 1), START_MS + index, data))

    def fold() -> ConfigurationFold:
        result = ConfigurationFold(frozenset({"asha"}), RETENTION_MS)
        result.apply(Record(Offset(0), START_MS, b""))
        for record in records:
            result.apply(record)
        return result

    cpu_us, allocated, result = measure(size, size, fold)
    assert isinstance(result, ConfigurationFold)
    assert len(result.documents) == size
    return Sample(size, cpu_us, allocated, result.export().ByteSize())


def measure_document_check(size: int) -> Sample:
    """Parses one document with ``size`` customers, as each gateway does for a change."""
    text = build_document_text("service", size)
    cpu_us, allocated, _ = measure(size, 1, lambda: parse_yaml(text, ServiceDocument, "document"))
    return Sample(size, cpu_us, allocated, len(text))


def create_idempotency_key(unix_ms: int, number: int) -> str:
    """Returns a UUIDv7 of a given time."""
    return str(uuid.UUID(int=(unix_ms << 80) | (7 << 76) | (2 << 62) | number))


def measure_claims(size: int) -> Sample:
    """Folds ``size`` claims with outcomes of 200 bytes, 20 claims in a record."""
    records = []
    for start in range(0, size, 20):
        batch = LogBatch()
        for number in range(start, start + 20):
            key = create_idempotency_key(START_MS, number)
            claim = Claim(
                claim_id=uuid.uuid5(uuid.NAMESPACE_OID, key).hex,
                customer=f"customer-{number % 6200}",
                service="payments",
                key=key,
                request_digest=b"d" * 32,
            )
            outcome = Outcome(
                claim_id=claim.claim_id,
                customer=claim.customer,
                service=claim.service,
                key=key,
                status=200,
                body=b"b" * 200,
            )
            batch.entries.add(claim=claim)
            batch.entries.add(outcome=outcome)
        records.append(Record(Offset(start // 20), START_MS, encode_record(batch)))

    def fold() -> ClaimFold:
        result = ClaimFold(KEY_WINDOW_MS)
        for record in records:
            result.apply(record)
        return result

    cpu_us, allocated, result = measure(size, size, fold)
    assert isinstance(result, ClaimFold)
    assert len(result) == size
    return Sample(size, cpu_us, allocated, sum(len(r.data) for r in records) // size)


def create_targets(count: int) -> dict[TargetId, TargetState]:
    """Returns healthy targets of one pool."""
    targets = [
        TargetState(
            target=TargetId(f"target-{index:04d}"),
            data_centre=DATA_CENTRE,
            pool=PoolName("language"),
            address=f"http://127.0.0.1:{index + 1}",
            state=MemberState.LIVE,
            incarnation=Incarnation(f"inc-{index:08x}"),
            healthy=True,
            running=index % 5,
            waiting=0,
            max_concurrency=64,
            models=frozenset({("planner-7b", "3")}),
        )
        for index in range(count)
    ]
    return {target.target: target for target in targets}


def measure_routing(size: int) -> Sample:
    """Chooses a target among ``size`` for a prompt of 6 blocks."""
    targets = list(create_targets(size).values())
    router = Router(create_policy("full"), DATA_CENTRE, 1)
    requests = [
        RoutingRequest(
            request_id=RequestId(f"r{number}"),
            service=ServiceName("planner"),
            customer=CustomerName("c"),
            pool=PoolName("language"),
            model="planner-7b",
            version="3",
            block_keys=tuple(b"%08d%08d" % (number % 20, block) for block in range(6)),
            prompt_tokens=12_000,
            priority=Priority.INTERACTIVE,
        )
        for number in range(50)
    ]

    def choose() -> None:
        for request in requests:
            decision = router.choose(request, targets, lambda _: 4, 1000.0)
            assert decision.target is not None
            router.record_start(request, decision.target, 1000.0)
            router.record_end(request, decision.target, 0, 0.2, 1000.5)

    cpu_us, allocated, _ = measure(size, len(requests), choose)
    return Sample(size, cpu_us, allocated, 0)


INSTANCES_PER_DATA_CENTRE = 26


def measure_slots(size: int) -> Sample:
    """Measures one report and its grant; 26 instances each use 4 of ``size`` targets."""
    targets = create_targets(size)
    instances = [InstanceId(f"entry-{index:03d}") for index in range(INSTANCES_PER_DATA_CENTRE)]
    rounds = 3
    last: dict[str, int] = {}

    def run() -> SlotHolder:
        # The instance that ranks first becomes the holder; the other holders stay idle.
        clients = {i: SlotClient(i, INSTANCES_PER_DATA_CENTRE, 0.0) for i in instances}
        holders = [
            SlotHolder(i, DATA_CENTRE, INSTANCES_PER_DATA_CENTRE, 5.0, 0.0) for i in instances
        ]
        now = 20.0
        holder = next(h for h in holders if h.tick(instances, now))
        for number in range(rounds + 1):
            now += 1.0
            for recipient, request in holder.tick(instances, now):
                holder.on_promise(clients[recipient].on_promise_request(request, now), now)
            for index, instance in enumerate(instances):
                uses = [
                    TargetUse(target=t, incarnation=targets[t].incarnation, in_flight=1, demand=1)
                    for t in list(targets)[index : index + 4]
                ]
                client = clients[instance]
                client.on_gateway_report(
                    GatewayReport(gateway=GatewayId(f"{instance}/0"), sent_at=now, uses=uses), now
                )
                report = client.build_report(now)
                grant = holder.on_report(report, targets, now)
                if grant is not None and number == rounds:
                    client.on_grant(grant, now)
                    last["bytes"] = report.ByteSize() + grant.ByteSize()
        return holder

    cpu_us, allocated, _ = measure(size, (rounds + 1) * INSTANCES_PER_DATA_CENTRE, run)
    return Sample(size, cpu_us, allocated, last["bytes"])


def measure_membership(size: int) -> Sample:
    """Applies a list of ``size`` entry instances with ten targets each, then finds the peers."""
    members = []
    for index in range(size):
        data_centre = f"dc-{index % 13:02d}"
        members.append(
            Member(
                id=f"entry-{index:03d}",
                kind=MemberKind.entry,
                data_centre=data_centre,
                state=WireMemberState.live,
                address="http://127.0.0.1:8000",
            )
        )
        for number in range(10):
            members.append(
                Member(
                    id=f"target-{index:03d}-{number}",
                    kind=MemberKind.engine,
                    data_centre=data_centre,
                    state=WireMemberState.live,
                    address="http://127.0.0.1:9000",
                    pool="language",
                )
            )

    def read() -> Membership:
        membership = Membership(InstanceId("entry-000"), DATA_CENTRE)
        membership.update_members(members, 1.0)
        membership.list_peers()
        membership.list_watched_targets()
        return membership

    cpu_us, allocated, result = measure(size, 1, read)
    assert isinstance(result, Membership)
    heartbeat = Heartbeat(
        instance="entry-000", data_centre="dc-00", folded_offset=1 << 30, in_force_offset=1 << 30
    )
    return Sample(size, cpu_us, allocated, len(result.list_peers()) * heartbeat.ByteSize())


def measure_target_notices(size: int) -> Sample:
    """Serializes a notice about ``size`` watched targets."""
    views = [
        TargetView(
            target=f"target-{index:04d}",
            incarnation=f"inc-{index:08x}",
            running=4,
            max_concurrency=64,
        )
        for index in range(size)
    ]
    notice = TargetNotice(instance="entry-000", targets=views)
    cpu_us, allocated, _ = measure(size, 1, notice.SerializeToString)
    return Sample(size, cpu_us, allocated, notice.ByteSize())


MECHANISMS: dict[str, tuple[Callable[[int], Sample], tuple[int, ...]]] = {
    "configuration fold, documents": (measure_configuration, (25, 100, 200)),
    "document parse, customers": (measure_document_check, (10, 100, 500)),
    "claim fold, claims": (measure_claims, (2_000, 10_000, 40_000)),
    "routing, targets": (measure_routing, (6, 60, 246)),
    "slots, targets": (measure_slots, (6, 60, 246)),
    "membership, instances": (measure_membership, (8, 80, 340)),
    "target notice, targets": (measure_target_notices, (1, 10, 20)),
}


def main(argv: list[str]) -> None:
    """Measures all mechanisms and prints the table."""
    print(f"{'mechanism, size':<32}{'size':>8}{'us each':>12}{'kept bytes':>14}{'msg bytes':>12}")
    for name, (function, sizes) in MECHANISMS.items():
        if _ONLY.value and _ONLY.value not in name:
            continue
        samples = [function(size) for size in sizes]
        for s in samples:
            print(
                f"{name:<32}{s.size:>8}{s.cpu_us:>12.1f}{s.allocated_bytes:>14}{s.message_bytes:>12}"
            )
        first, last = samples[0], samples[-1]
        span = last.size - first.size
        print(
            f"{'  slope per unit of size':<40}{(last.cpu_us - first.cpu_us) / span:>12.3f}"
            f"{(last.allocated_bytes - first.allocated_bytes) / span:>14.0f}"
            f"{(last.message_bytes - first.message_bytes) / span:>12.1f}"
        )


if __name__ == "__main__":
    app.run(main)
