"""Builds the responses to operators' read-only calls from the main task's state."""

from collections.abc import Iterable, Mapping
from typing import Any

from google.protobuf.message import Message

from ..clock import Clock
from ..ids import ServiceName
from ..schema.log_pb2 import AuditEntry
from ..schema.wire_pb2 import Member, MemberKind
from .documents import ConfigurationManager
from .messages import OperatorResponse
from .peers import Progress

# An instance that is no longer listed counts until its last progress report is this old.
UNLISTED_EXPIRY_S = 10.0


def show_document(configuration: ConfigurationManager, service: str) -> OperatorResponse:
    """Returns the current document, exactly as its author submitted it."""
    state = configuration.fold.documents.get(ServiceName(service))
    if state is None:
        return _build_unknown_service(service)
    return OperatorResponse(
        200,
        {
            "service": service,
            "revision": state.revision,
            "author": configuration.find_author(service),
            "recorded_unix_ms": state.recorded_unix_ms,
            "document": state.document,
        },
    )


def show_history(configuration: ConfigurationManager, service: str) -> OperatorResponse:
    """Returns all known changes in log order, including rejected ones."""
    entries = configuration.fold.list_audit_entries(ServiceName(service))
    if not entries and ServiceName(service) not in configuration.fold.documents:
        return _build_unknown_service(service)
    return OperatorResponse(
        200, {"service": service, "history": [_audit_entry_to_dict(e) for e in entries]}
    )


def show_in_force(
    service: str,
    revision: int,
    progress: Mapping[str, Progress],
    members: Iterable[Member],
    clock: Clock,
) -> OperatorResponse:
    """Returns for each instance whether all its gateways have applied the revision.

    A listed instance without a progress report counts as not having applied it. An instance that
    is not listed counts while its progress report is recent, because it may still be serving.
    """
    now = clock.monotonic()
    data_centres = {
        name: item.data_centre
        for name, item in progress.items()
        if now - item.observed_at < UNLISTED_EXPIRY_S
    }
    for member in members:
        if member.kind == MemberKind.entry:
            data_centres.setdefault(member.id, member.data_centre)
    instances: list[dict[str, object]] = []
    behind = []
    for name in sorted(data_centres):
        item = progress.get(name)
        in_force = item is not None and item.in_force_offset >= revision
        instances.append(
            {
                "instance": name,
                "data_centre": data_centres[name],
                "in_force": in_force,
                "in_force_offset": item.in_force_offset if item is not None else None,
                "age_ms": int((now - item.observed_at) * 1000) if item is not None else None,
            }
        )
        if not in_force:
            behind.append(name)
    return OperatorResponse(
        200,
        {
            "service": service,
            "revision": revision,
            "in_force": not behind,
            "behind": behind,
            "instances": instances,
        },
    )


def message_to_dict(message: Message) -> dict[str, object]:
    """Converts a protobuf message to JSON members: enum values by name, integers as numbers.

    ``json_format.MessageToDict`` writes 64-bit integers as strings, which operators do not expect.
    """
    return {
        field.name: (
            [_value_to_json(field, item) for item in getattr(message, field.name)]
            if field.is_repeated
            else _value_to_json(field, getattr(message, field.name))
        )
        for field in message.DESCRIPTOR.fields
    }


def _value_to_json(field: Any, value: Any) -> object:
    if isinstance(value, Message):
        return message_to_dict(value)
    if field.enum_type is not None:
        return field.enum_type.values_by_number[value].name.lower()
    return value.hex() if isinstance(value, bytes) else value


def _audit_entry_to_dict(entry: AuditEntry) -> dict[str, object]:
    return {**message_to_dict(entry), "revision": entry.offset if entry.accepted else 0}


def _build_unknown_service(service: str) -> OperatorResponse:
    body: dict[str, object] = {
        "title": "Unknown service",
        "detail": f"There is no document of {service!r}; create it with base_revision=0.",
    }
    return OperatorResponse(404, body)
