"""Parses the JSON records of the platform's store into the product's own types.

The records hold the configuration, the registered targets and the operators' requests.
"""

import json
import math
import struct
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any, TypeVar

from google.protobuf.message import DecodeError

from ..errors import CorruptRecordError
from ..internal.core.serving.configurationcheck import ConfigurationDocument, KeyedCustomer
from ..internal.core.serving.rollouts import (
    RolloutMark,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
    Stage,
)
from ..internal.core.serving.routetable import (
    DEFAULT_TOKEN_BYTES,
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
from ..internal.core.serving.streamorigins import DefaultVersion
from ..internal.core.serving.targettable import Registration, RegistrationState
from ..internal.ids import (
    CustomerName,
    DataCentre,
    Incarnation,
    ModelName,
    ServiceName,
    SoftwareVersion,
    StoreEra,
    TargetId,
    WeightVersion,
)
from ..internal.schema.log_pb2 import DefaultVersion as DefaultVersionMessage
from ..internal.schema.log_pb2 import QuarantineEntry

CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
MODEL_VERSION_PREFIX = "version/"
# Orders in the operators' topic, statuses in the topic of statuses, and what the instances note of
# a rollout in their own topic, all by service.
ROLLOUT_PREFIX = "rollout/"
# Times in milliseconds and counts are far smaller; larger integers do not fit into a float.
MAX_NUMBER = 1e15
# What the decoding of a response or record with arbitrary content can raise.
DECODE_ERRORS = (
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    ArithmeticError,
    RecursionError,
    struct.error,
)

_Parsed = TypeVar("_Parsed")


@dataclass(frozen=True)
class DesiredVersion:
    """The version of a model's weights that operators want on all targets."""

    model: ModelName
    version: WeightVersion


@dataclass(frozen=True)
class FieldProblem:
    """Why a field of a record cannot be parsed."""

    # Names and indices from the record's name on, such as "config.routes[0].host".
    field: str
    text: str
    remedy: str
    # Counted from 1, if the text is not JSON.
    line: int | None = None

    def __str__(self) -> str:
        return f"{self.field} {self.text}"


class InvalidFieldsError(CorruptRecordError):
    """Fields of a record are missing or have a wrong type."""

    def __init__(self, *problems: FieldProblem) -> None:
        more = f" (and {len(problems) - 1} more)" if len(problems) > 1 else ""
        super().__init__(f"{problems[0]}{more}")
        self.problems = problems


class _JsonObject:
    """Reads the fields of one JSON object; raises InvalidFieldsError for a wrong type."""

    def __init__(self, value: object, name: str) -> None:
        if not isinstance(value, dict):
            raise _report(name, "is not an object", "write fields in braces")
        self._value: dict[str, Any] = value
        self.name = name

    def has(self, name: str) -> bool:
        return self._value.get(name) is not None

    def get_string(self, name: str, default: str | None = None) -> str:
        value = self._value.get(name, default)
        if not isinstance(value, str) or (default is None and not value):
            problem = "is missing, empty or not a string"
            raise _report(f"{self.name}.{name}", problem, "give a text in quotes")
        return value

    def get_number(self, name: str, default: float | None = None) -> float:
        value = self._value.get(name, default)
        if (
            isinstance(value, bool)
            or not isinstance(value, int | float)
            or abs(value) > MAX_NUMBER
            or math.isnan(value)
        ):
            raise _report(
                f"{self.name}.{name}", "is not a number", f"give one of at most {MAX_NUMBER:g}"
            )
        return value

    def get_integer(self, name: str, default: int | None = None) -> int:
        value = self.get_number(name, default)
        if not isinstance(value, int):
            problem = "is not an integer"
            raise _report(f"{self.name}.{name}", problem, "give one without fraction or exponent")
        return value

    def get_boolean(self, name: str) -> bool:
        value = self._value.get(name, False)
        if not isinstance(value, bool):
            raise _report(f"{self.name}.{name}", "is not a boolean", "give true or false")
        return value

    def get_objects(self, name: str) -> list["_JsonObject"]:
        values = self._value.get(name) or []
        if not isinstance(values, list):
            raise _report(f"{self.name}.{name}", "is not a list", "write objects in brackets")
        return [_JsonObject(value, f"{self.name}.{name}[{i}]") for i, value in enumerate(values)]

    def get_strings(self, name: str) -> list[str]:
        values = self._value.get(name) or []
        if not isinstance(values, list) or not all(isinstance(value, str) for value in values):
            problem = "is not a list of strings"
            raise _report(f"{self.name}.{name}", problem, "write texts in quotes in brackets")
        return values

    def get_object(self, name: str) -> "_JsonObject":
        return _JsonObject(self._value.get(name), f"{self.name}.{name}")


def _report(field: str, text: str, remedy: str) -> InvalidFieldsError:
    return InvalidFieldsError(FieldProblem(field, text, remedy))


def _parse_object(value: bytes, name: str) -> _JsonObject:
    try:
        return _JsonObject(json.loads(value), name)
    except (ValueError, RecursionError) as error:
        line = error.lineno if isinstance(error, json.JSONDecodeError) else None
        remedy = "correct the text at this place"
        problem = FieldProblem(name, f"is not JSON: {error}", remedy, line)
        raise InvalidFieldsError(problem) from error


def parse_configuration(value: bytes) -> RouteTable:
    """Parses a configuration; raises CorruptRecordError."""
    document = parse_configuration_document(value)
    return RouteTable(
        version=document.version,
        routes=document.routes,
        services={service.name: service for service in document.services},
        customers_by_api_key={
            key: item.customer for item in document.customers for key in item.api_keys
        },
        requires_api_keys=document.requires_api_keys,
        limits=document.limits,
    )


def parse_configuration_document(value: bytes) -> ConfigurationDocument:
    """Parses a configuration with all that it repeats.

    Raises InvalidFieldsError with the first problem of each part and of each item of its lists.
    """
    document = _parse_object(value, CONFIGURATION_KEY)
    problems: list[FieldProblem] = []
    version = _collect(problems, lambda: document.get_integer("version"))
    routes = _parse_list(problems, document, "routes", _parse_route)
    services = _parse_list(problems, document, "services", _parse_service)
    customers = _parse_list(problems, document, "tenants", _parse_keyed_customer)
    limits: CallerLimits | None = CallerLimits()
    if document.has("limits"):
        limits = _collect(problems, lambda: _parse_limits(document.get_object("limits")))
    if problems or version is None or limits is None:
        raise InvalidFieldsError(*problems)
    return ConfigurationDocument(
        version, routes, services, customers, document.has("tenants"), limits
    )


def _collect(problems: list[FieldProblem], parse: Callable[[], _Parsed]) -> _Parsed | None:
    """Parses a part; returns None and adds to the problems if it is invalid."""
    try:
        return parse()
    except InvalidFieldsError as error:
        problems.extend(error.problems)
        return None


def _parse_list(
    problems: list[FieldProblem],
    document: _JsonObject,
    name: str,
    parse: Callable[[_JsonObject], _Parsed],
) -> tuple[_Parsed, ...]:
    items = _collect(problems, lambda: document.get_objects(name)) or []
    parsed = (_collect(problems, partial(parse, item)) for item in items)
    return tuple(item for item in parsed if item is not None)


def _parse_route(item: _JsonObject) -> Route:
    if item.has("split"):
        weighted_services = tuple(
            WeightedService(ServiceName(part.get_string("service")), part.get_number("weight"))
            for part in item.get_objects("split")
        )
    else:
        weighted_services = (WeightedService(ServiceName(item.get_string("service")), 1.0),)
    try:
        kind = CallKind(item.get_string("kind"))
    except ValueError as error:
        remedy = "give one of " + ", ".join(kind.value for kind in CallKind)
        raise _report(f"{item.name}.kind", f"is unknown: {error}", remedy) from error
    return Route(
        name=item.get_string("name"),
        host=item.get_string("host").lower(),
        path_prefix=item.get_string("path_prefix"),
        kind=kind,
        services=weighted_services,
        timeout_s=item.get_number("timeout_ms") / 1000,
        latency_objective_s=item.get_number("target_latency_ms", 1000) / 1000,
        priority=item.get_integer("priority", 0),
        max_attempts=max(1, item.get_integer("max_attempts", 1)),
        is_public=item.get_boolean("public"),
        has_prompt=item.get_boolean("sticky"),
        is_resumable=item.get_boolean("resumable"),
        max_event_gap_s=item.get_number("gap_aim_ms", 0) / 1000,
    )


def _parse_service(item: _JsonObject) -> Service:
    return Service(
        name=ServiceName(item.get_string("name")),
        max_connections=item.get_integer("max_conns", 0),
        cold_duration_s=item.get_number("cold_start_s", 0),
        cold_rate=item.get_number("cold_per_s", 0),
        engine=_parse_engine(item.get_object("engine")) if item.has("engine") else None,
        store=_parse_store(item) if item.has("kv_store_addr") else None,
    )


def _parse_engine(item: _JsonObject) -> EngineProfile:
    return EngineProfile(
        slots=item.get_integer("slots", 1),
        cache_tokens=item.get_integer("kv_capacity", 0),
        max_event_polls=item.get_integer("max_inflight", 0),
        token_bytes=item.get_integer("kv_token_bytes", 0) or DEFAULT_TOKEN_BYTES,
    )


def _parse_store(item: _JsonObject) -> StoreProfile:
    return StoreProfile(
        address=item.get_string("kv_store_addr"),
        data_centre=DataCentre(item.get_string("zone")),
        cache_tokens=item.get_integer("kv_capacity", 0),
        link_bits_per_s=item.get_number("link_mbps", 0) * 1e6,
        transfer_setup_s=item.get_number("first_ms", 0) / 1000,
        max_event_polls=item.get_integer("max_inflight", 0),
    )


def _parse_customer(item: _JsonObject) -> Customer:
    return Customer(
        name=CustomerName(item.get_string("name")),
        priority=item.get_integer("priority") if item.has("priority") else None,
        is_isolated=item.get_boolean("isolated"),
    )


def _parse_keyed_customer(item: _JsonObject) -> KeyedCustomer:
    return KeyedCustomer(_parse_customer(item), tuple(item.get_strings("api_keys")))


def _parse_limits(item: _JsonObject) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        max_head_bytes=item.get_integer("max_header_bytes", default.max_head_bytes),
        max_body_bytes=item.get_integer("max_body_bytes", default.max_body_bytes),
        head_timeout_s=item.get_number("header_timeout_ms", default.head_timeout_s * 1000) / 1000,
        idle_timeout_s=item.get_number("idle_timeout_ms", default.idle_timeout_s * 1000) / 1000,
    )


def parse_registration(key: str, value: bytes) -> Registration:
    """Parses a target's registration; raises CorruptRecordError if it is not usable."""
    item = _parse_object(value, f"registration of {key}")
    address = item.get_string("address")
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise CorruptRecordError(f"registration of {key}: {address!r} is not IP:PORT")
    try:
        state = RegistrationState(item.get_string("state"))
    except ValueError as error:
        raise CorruptRecordError(f"registration of {key}: {error}") from error
    # Start time of the target in Unix milliseconds; a target may keep its id after a restart.
    started_ms = item.get_integer("born", 0)
    return Registration(
        target=TargetId(key),
        service=ServiceName(item.get_string("service")),
        address=address,
        data_centre=DataCentre(item.get_string("zone")),
        state=state,
        incarnation=Incarnation(str(started_ms)),
        slots=item.get_integer("slots"),
        cold_s=item.get_number("cold_remaining_ms", 0) / 1000,
        order_count=item.get_integer("seq", 0),
        models=tuple(
            (ModelName(model.get_string("name")), WeightVersion(model.get_integer("version")))
            for model in item.get_objects("models")
        ),
        software=SoftwareVersion(item.get_string("version", "")),
        started_ms=started_ms,
    )


def parse_default_version(value: bytes) -> DefaultVersion:
    """Parses a service's default software version; raises CorruptRecordError."""
    try:
        message = DefaultVersionMessage.FromString(value)
    except DecodeError as error:
        raise CorruptRecordError(f"default version: {error}") from error
    era = StoreEra(message.era) if message.HasField("era") else None
    return DefaultVersion(SoftwareVersion(message.version), era)


def encode_default_version(default: DefaultVersion) -> bytes:
    """Encodes a service's default software version."""
    return DefaultVersionMessage(version=default.version, era=default.era).SerializeToString()


def parse_quarantine_entry(value: bytes) -> QuarantineEntry:
    """Parses an entry of the quarantine; raises CorruptRecordError."""
    entry = QuarantineEntry()
    try:
        entry.ParseFromString(value)
    except DecodeError as error:
        raise CorruptRecordError(f"quarantine entry: {error}") from error
    return entry


def parse_desired_version(value: bytes) -> DesiredVersion:
    """Parses the operators' desired version of a model; raises CorruptRecordError."""
    item = _parse_object(value, "model version")
    return DesiredVersion(
        ModelName(item.get_string("model")), WeightVersion(item.get_integer("version"))
    )


def parse_rollout_order(value: bytes) -> RolloutOrder:
    """Parses an order to move a service to a software version; raises CorruptRecordError.

    A duration that is no number is returned as one: the order is ignored with this reason.
    """
    item = _parse_object(value, "rollout order")
    try:
        duration_s = item.get_number("duration_s")
    except CorruptRecordError:
        duration_s = math.nan
    return RolloutOrder(
        ServiceName(item.get_string("service")),
        SoftwareVersion(item.get_string("target")),
        duration_s,
    )


def parse_rollout_status(value: bytes) -> RolloutStatus:
    """Parses the status of a rollout; raises CorruptRecordError."""
    item = _parse_object(value, "rollout status")
    try:
        state = RolloutState(item.get_string("state"))
    except ValueError as error:
        raise CorruptRecordError(f"rollout status: {error}") from error
    return RolloutStatus(state, SoftwareVersion(item.get_string("target")))


def encode_rollout_status(status: RolloutStatus) -> bytes:
    """Encodes the status of a rollout."""
    return json.dumps({"state": status.state.value, "target": status.version}).encode()


def parse_rollout_mark(value: bytes) -> RolloutMark:
    """Parses how much may move in a rollout; raises CorruptRecordError."""
    item = _parse_object(value, "rollout mark")
    try:
        stage = Stage(item.get_string("stage"))
    except ValueError as error:
        raise CorruptRecordError(f"rollout mark: {error}") from error
    return RolloutMark(
        SoftwareVersion(item.get_string("target")),
        stage,
        item.get_integer("ordered_ms"),
        item.get_number("duration_s"),
    )


def encode_rollout_mark(mark: RolloutMark) -> bytes:
    """Encodes how much may move in a rollout."""
    item = {
        "target": mark.version,
        "stage": mark.stage.value,
        "ordered_ms": mark.ordered_ms,
        "duration_s": mark.duration_s,
    }
    return json.dumps(item).encode()
