"""Answers operators' read calls from the main task's state."""

from collections.abc import Iterable, Mapping

from google.protobuf.json_format import MessageToDict

from ..clock import Clock
from ..ids import ServiceName
from ..schema.log_pb2 import AuditEntry, DataCentreOrder, DataCentreState
from ..schema.wire_pb2 import Health, Member, MemberKind, MemberState, TargetView
from .documents import Configuration
from .messages import CallAnswer
from .peers import Progress


def show_document(configuration: Configuration, service: str) -> CallAnswer:
    """Returns the document in force, as its author wrote it."""
    state = configuration.fold.documents.get(ServiceName(service))
    if state is None:
        return _refuse_unknown(service)
    return CallAnswer(
        200,
        {
            "service": service,
            "revision": state.revision,
            "author": configuration.find_author(service),
            "recorded_unix_ms": state.recorded_unix_ms,
            "document": state.document,
        },
    )


def show_history(configuration: Configuration, service: str) -> CallAnswer:
    """Returns all known changes in log order, refused ones included."""
    entries = configuration.fold.list_history(ServiceName(service))
    if not entries and ServiceName(service) not in configuration.fold.documents:
        return _refuse_unknown(service)
    return CallAnswer(200, {"service": service, "entries": [_describe_audit(e) for e in entries]})


def show_in_force(
    service: str,
    revision: int,
    progress: Mapping[str, Progress],
    listed: Iterable[Member],
    clock: Clock,
) -> CallAnswer:
    """Returns for each instance whether its gateways have the revision in force.

    Listed instances without news count as not in force.
    """
    now = clock.monotonic()
    data_centres = {name: item.data_centre for name, item in progress.items()}
    for member in listed:
        if member.kind == MemberKind.entry:
            data_centres.setdefault(member.id, member.data_centre)
    instances: list[dict[str, object]] = []
    missing = []
    for name in sorted(data_centres):
        item = progress.get(name)
        in_force = item is not None and item.in_force_offset >= revision
        instances.append(
            {
                "instance": name,
                "data_centre": data_centres[name],
                "in_force": in_force,
                "in_force_offset": item.in_force_offset if item is not None else None,
                "age_ms": int((now - item.at) * 1000) if item is not None else None,
            }
        )
        if not in_force:
            missing.append(name)
    return CallAnswer(
        200,
        {
            "service": service,
            "revision": revision,
            "in_force": not missing,
            "missing": missing,
            "instances": instances,
        },
    )


def describe_order(order: DataCentreOrder) -> dict[str, object]:
    """Returns an order as JSON members."""
    return {
        "order_id": order.order_id,
        "data_centre": order.data_centre,
        "epoch": order.epoch,
        "state": DataCentreState.Name(order.state).lower(),
        "author": order.author,
        "reason": order.reason,
        "submitted_unix_ms": order.submitted_unix_ms,
    }


def describe_member(member: Member) -> dict[str, object]:
    """Returns a listed member as JSON members."""
    return {
        "id": member.id,
        "kind": MemberKind.Name(member.kind),
        "data_centre": member.data_centre,
        "address": member.address,
        "pool": member.pool,
        "state": MemberState.Name(member.state),
    }


def describe_view(view: TargetView) -> dict[str, object]:
    """Returns a target's view as JSON members."""
    return {
        "target": view.target,
        "health": Health.Name(view.health).lower(),
        "incarnation": view.incarnation,
        "running": view.running,
        "waiting": view.waiting,
        "max_concurrency": view.max_concurrency,
        "models": [{"name": model.name, "version": model.version} for model in view.models],
    }


def _describe_audit(entry: AuditEntry) -> dict[str, object]:
    members = MessageToDict(
        entry, preserving_proto_field_name=True, always_print_fields_with_no_presence=True
    )
    # JSON's form of 64-bit integers in Protocol Buffers is text; operators expect numbers.
    for name in ("offset", "base_revision", "submitted_unix_ms", "recorded_unix_ms"):
        members[name] = int(members[name])
    members["revision"] = entry.offset if entry.accepted else 0
    return members


def _refuse_unknown(service: str) -> CallAnswer:
    body: dict[str, object] = {
        "title": "Unknown service",
        "detail": f"There is no document of {service!r}; create it with base_revision=0.",
    }
    return CallAnswer(404, body)
