"""Records of the platform's store: configuration, registered targets, operators' requests."""

import json
import math
from dataclasses import dataclass
from typing import Any

from ..errors import CorruptRecordError
from ..internal.core.serving.routetable import (
    CallerLimits,
    CallKind,
    Customer,
    EngineProfile,
    Route,
    RouteTable,
    Service,
    StoreProfile,
    WeightedService,
)
from ..internal.core.serving.targettable import Registration, RegistrationState
from ..internal.ids import (
    CustomerName,
    DataCentre,
    Incarnation,
    ModelName,
    ServiceName,
    TargetId,
    WeightVersion,
)

CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
MODEL_VERSION_PREFIX = "version/"


@dataclass(frozen=True)
class NamedVersion:
    """The version of a model's weights that operators want everywhere."""

    model: ModelName
    version: WeightVersion


class _Reader:
    """Reads the fields of one JSON object and checks their types."""

    def __init__(self, value: object, name: str) -> None:
        if not isinstance(value, dict):
            raise CorruptRecordError(f"{name} is not an object")
        self._value: dict[str, Any] = value
        self._name = name

    def has(self, name: str) -> bool:
        return self._value.get(name) is not None

    def text(self, name: str, default: str | None = None) -> str:
        value = self._value.get(name, default)
        if not isinstance(value, str) or (default is None and not value):
            raise CorruptRecordError(f"{self._name}.{name} is not a text")
        return value

    def number(self, name: str, default: float | None = None) -> float:
        value = self._value.get(name, default)
        if (
            isinstance(value, bool)
            or not isinstance(value, int | float)
            or not math.isfinite(value)
        ):
            raise CorruptRecordError(f"{self._name}.{name} is not a number")
        return value

    def integer(self, name: str, default: int | None = None) -> int:
        value = self.number(name, default)
        if not isinstance(value, int):
            raise CorruptRecordError(f"{self._name}.{name} is not a whole number")
        return value

    def flag(self, name: str) -> bool:
        value = self._value.get(name, False)
        if not isinstance(value, bool):
            raise CorruptRecordError(f"{self._name}.{name} is neither true nor false")
        return value

    def items(self, name: str) -> list["_Reader"]:
        values = self._value.get(name) or []
        if not isinstance(values, list):
            raise CorruptRecordError(f"{self._name}.{name} is not a list")
        return [_Reader(value, f"{self._name}.{name}[{i}]") for i, value in enumerate(values)]

    def texts(self, name: str) -> list[str]:
        values = self._value.get(name) or []
        if not isinstance(values, list) or not all(isinstance(value, str) for value in values):
            raise CorruptRecordError(f"{self._name}.{name} is not a list of texts")
        return values

    def child(self, name: str) -> "_Reader":
        return _Reader(self._value.get(name), f"{self._name}.{name}")


def _open(value: bytes, name: str) -> _Reader:
    try:
        return _Reader(json.loads(value), name)
    except ValueError as error:
        raise CorruptRecordError(f"{name} is not JSON: {error}") from error


def read_configuration(value: bytes) -> RouteTable:
    """Reads a configuration; raises CorruptRecordError."""
    reader = _open(value, CONFIGURATION_KEY)
    customers = reader.items("tenants")
    return RouteTable(
        version=reader.integer("version"),
        routes=tuple(_read_route(item) for item in reader.items("routes")),
        services={s.name: s for s in map(_read_service, reader.items("services"))},
        customers_by_api_key={
            key: customer
            for item in customers
            for customer in [_read_customer(item)]
            for key in item.texts("api_keys")
        },
        requires_api_keys=reader.has("tenants"),
        limits=_read_limits(reader.child("limits")) if reader.has("limits") else CallerLimits(),
    )


def _read_route(item: _Reader) -> Route:
    if item.has("split"):
        shares = tuple(
            WeightedService(ServiceName(part.text("service")), part.number("weight"))
            for part in item.items("split")
        )
    else:
        shares = (WeightedService(ServiceName(item.text("service")), 1.0),)
    try:
        kind = CallKind(item.text("kind"))
    except ValueError as error:
        raise CorruptRecordError(f"unknown kind of route: {error}") from error
    return Route(
        name=item.text("name"),
        host=item.text("host").lower(),
        path_prefix=item.text("path_prefix"),
        kind=kind,
        services=shares,
        timeout_s=item.number("timeout_ms") / 1000,
        latency_objective_s=item.number("target_latency_ms", 1000) / 1000,
        priority=item.integer("priority", 0),
        max_attempts=max(1, item.integer("max_attempts", 1)),
        is_public=item.flag("public"),
        has_prompt=item.flag("sticky"),
        is_resumable=item.flag("resumable"),
        max_event_gap_s=item.number("gap_aim_ms", 0) / 1000,
    )


def _read_service(item: _Reader) -> Service:
    return Service(
        name=ServiceName(item.text("name")),
        max_connections=item.integer("max_conns", 0),
        cold_duration_s=item.number("cold_start_s", 0),
        cold_rate=item.number("cold_per_s", 0),
        engine=_read_engine(item.child("engine")) if item.has("engine") else None,
        store=_read_store(item) if item.has("kv_store_addr") else None,
    )


def _read_engine(item: _Reader) -> EngineProfile:
    return EngineProfile(
        slots=item.integer("slots", 1),
        cache_tokens=item.integer("kv_capacity", 0),
        max_event_polls=item.integer("max_inflight", 0),
    )


def _read_store(item: _Reader) -> StoreProfile:
    return StoreProfile(
        address=item.text("kv_store_addr"),
        data_centre=DataCentre(item.text("zone")),
        cache_tokens=item.integer("kv_capacity", 0),
        link_bits_per_s=item.number("link_mbps", 0) * 1e6,
        transfer_setup_s=item.number("first_ms", 0) / 1000,
        max_event_polls=item.integer("max_inflight", 0),
    )


def _read_customer(item: _Reader) -> Customer:
    return Customer(
        name=CustomerName(item.text("name")),
        priority=item.integer("priority") if item.has("priority") else None,
        is_isolated=item.flag("isolated"),
    )


def _read_limits(item: _Reader) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        max_head_bytes=item.integer("max_header_bytes", default.max_head_bytes),
        max_body_bytes=item.integer("max_body_bytes", default.max_body_bytes),
        head_timeout_s=item.number("header_timeout_ms", default.head_timeout_s * 1000) / 1000,
        idle_timeout_s=item.number("idle_timeout_ms", default.idle_timeout_s * 1000) / 1000,
    )


def read_registration(key: str, value: bytes) -> Registration:
    """Reads a target's entry; raises CorruptRecordError if it names no usable target."""
    item = _open(value, f"entry of {key}")
    address = item.text("address")
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise CorruptRecordError(f"entry of {key}: {address!r} is not IP:PORT")
    try:
        state = RegistrationState(item.text("state"))
    except ValueError as error:
        raise CorruptRecordError(f"entry of {key}: {error}") from error
    return Registration(
        target=TargetId(key),
        service=ServiceName(item.text("service")),
        address=address,
        data_centre=DataCentre(item.text("zone")),
        state=state,
        # The Unix millisecond of the target's start; a target may keep its id over a restart.
        incarnation=Incarnation(str(item.integer("born", 0))),
        slots=item.integer("slots"),
        cold_s=item.number("cold_remaining_ms", 0) / 1000,
        order_count=item.integer("seq", 0),
        models=tuple(
            (ModelName(model.text("name")), WeightVersion(model.integer("version")))
            for model in item.items("models")
        ),
    )


def read_named_version(value: bytes) -> NamedVersion:
    """Reads operators' wish for a model version; raises CorruptRecordError."""
    item = _open(value, "model version")
    return NamedVersion(ModelName(item.text("model")), WeightVersion(item.integer("version")))
