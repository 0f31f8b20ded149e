"""Checks a parsed configuration before it is sent, and compares it with the version in force.

An error means that calls cannot be served as the configuration says; a warning, that a setting has
no effect. Paths name fields of this module's types; the caller translates them to those of a file.
API keys never occur in messages.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, fields, is_dataclass
from enum import Enum

from .routetable import CallerLimits, Customer, Route, Service, WeightedService

# Attribute names and list indices, from the document to the field.
FieldPath = tuple[str | int, ...]


class Severity(Enum):
    """How serious a finding is."""

    ERROR = "error"
    WARNING = "warning"
    CHANGE = "change"


@dataclass(frozen=True)
class Finding:
    """One problem of a configuration, or one difference from the version in force."""

    severity: Severity
    path: FieldPath
    message: str


@dataclass(frozen=True)
class KeyedCustomer:
    """A customer with its API keys."""

    customer: Customer
    api_keys: tuple[str, ...]


@dataclass(frozen=True)
class ConfigurationDocument:
    """A configuration as it was written: lists are in order and may repeat names and keys."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    customers: tuple[KeyedCustomer, ...]
    # False if the configuration has no customers: calls then need no API key.
    requires_api_keys: bool
    limits: CallerLimits


def check_configuration(document: ConfigurationDocument) -> list[Finding]:
    """Returns the errors and warnings of a configuration, in the order of its parts."""
    return [
        *_check_names("routes", [route.name for route in document.routes]),
        *_check_routes(document),
        *_check_names("services", [service.name for service in document.services]),
        *_check_services(document.services),
        *_check_names("customers", [item.customer.name for item in document.customers]),
        *_check_keys(document.customers),
        *_check_limits(document.limits),
    ]


def compare_configurations(
    document: ConfigurationDocument, in_force: ConfigurationDocument
) -> list[Finding]:
    """Returns what differs from the version in force; a version that does not grow is an error."""
    findings: list[Finding] = []
    old, new = in_force.version, document.version
    if new > old:
        findings.append(Finding(Severity.CHANGE, ("version",), f"changes from {old} to {new}"))
    else:
        message = f"{new} is not above {old}, the version in force; use {old + 1}"
        findings.append(_report_error(("version",), message))
    if document.requires_api_keys != in_force.requires_api_keys:
        text = "need an API key" if document.requires_api_keys else "need no API key"
        findings.append(Finding(Severity.CHANGE, ("customers",), f"calls {text} from now on"))
    findings += _compare_items(
        "routes",
        "route",
        {r.name: r for r in in_force.routes},
        [(r.name, r) for r in document.routes],
    )
    findings += _compare_items(
        "services",
        "service",
        {s.name: s for s in in_force.services},
        [(s.name, s) for s in document.services],
    )
    findings += _compare_items(
        "customers",
        "customer",
        {c.customer.name: c for c in in_force.customers},
        [(c.customer.name, c) for c in document.customers],
    )
    findings += _compare_fields(("limits",), in_force.limits, document.limits)
    return findings


def _report_error(path: FieldPath, message: str) -> Finding:
    return Finding(Severity.ERROR, path, message)


def _check_names(section: str, names: list[str]) -> Iterator[Finding]:
    seen: set[str] = set()
    for index, name in enumerate(names):
        if name in seen:
            yield _report_error(
                (section, index, "name"),
                f"{name!r} is the name of an earlier one too; give each a name of its own",
            )
        seen.add(name)


def _check_routes(document: ConfigurationDocument) -> Iterator[Finding]:
    services = {service.name for service in document.services}
    # The last route with a host and prefix is the one that is found.
    found = {(route.host, route.path_prefix): i for i, route in enumerate(document.routes)}
    for index, route in enumerate(document.routes):
        other = found[route.host, route.path_prefix]
        if other != index:
            yield _report_error(
                ("routes", index, "path_prefix"),
                f"never matches, since {document.routes[other].name!r} has the same host and "
                "path prefix; remove one, or change its path prefix",
            )
        if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
            yield _report_error(
                ("routes", index, "path_prefix"),
                f"never matches, since {route.path_prefix!r} does not begin and end with a "
                "slash; add the slash",
            )
        for part in route.services:
            if part.service not in services:
                yield _report_error(
                    ("routes", index, "services"),
                    f"there is no service {part.service!r}; add it to the services, or "
                    "correct the name",
                )
        yield from _check_weights(index, route)
        yield from _check_route_limits(index, route)


def _check_weights(index: int, route: Route) -> Iterator[Finding]:
    weights = [part.weight for part in route.services]
    if any(weight < 0 for weight in weights):
        problem = "has a negative weight; use 0 for a service without calls"
    elif not any(weights):
        problem = "never matches a service; give at least one a weight above 0"
    else:
        return
    yield _report_error(("routes", index, "services"), problem)


def _check_route_limits(index: int, route: Route) -> Iterator[Finding]:
    if route.timeout_s <= 0:
        yield _report_error(
            ("routes", index, "timeout_s"),
            f"{route.timeout_s:g} s leave no time for a call; use a time above 0",
        )
    elif route.latency_objective_s > route.timeout_s:
        yield Finding(
            Severity.WARNING,
            ("routes", index, "latency_objective_s"),
            f"{route.latency_objective_s:g} s are above the timeout of {route.timeout_s:g} s, "
            "which ends a call before it is late; use at most the timeout",
        )
    if route.max_attempts > 1 and not route.is_repeatable:
        yield Finding(
            Severity.WARNING,
            ("routes", index, "max_attempts"),
            f"calls of this route may run once only, so {route.max_attempts} attempts have no "
            "effect; use 1, or change the kind of the route",
        )


def _check_services(services: Iterable[Service]) -> Iterator[Finding]:
    for index, service in enumerate(services):
        for name, profile in (("engine", service.engine), ("store", service.store)):
            if profile is not None and profile.cache_tokens < 0:
                yield _report_error(
                    ("services", index, name, "cache_tokens"),
                    f"a cache of {profile.cache_tokens} tokens is smaller than none; use 0 or more",
                )


def _check_keys(customers: Iterable[KeyedCustomer]) -> Iterator[Finding]:
    holders: dict[str, KeyedCustomer] = {}
    for index, item in enumerate(customers):
        for position, key in enumerate(item.api_keys):
            holder = holders.setdefault(key, item)
            if holder is not item:
                yield _report_error(
                    ("customers", index, "api_keys", position),
                    f"customer {holder.customer.name!r} has the same key; remove it from one",
                )


def _check_limits(limits: CallerLimits) -> Iterator[Finding]:
    if limits.max_head_bytes < 1:
        yield _report_error(
            ("limits", "max_head_bytes"),
            f"{limits.max_head_bytes} bytes admit no request; use 1 or more",
        )
    if limits.max_body_bytes < 1:
        yield _report_error(
            ("limits", "max_body_bytes"),
            f"{limits.max_body_bytes} bytes admit no request with a body; use 1 or more",
        )
    for name in ("head_timeout_s", "idle_timeout_s"):
        if getattr(limits, name) <= 0:
            yield _report_error(
                ("limits", name),
                f"{getattr(limits, name):g} s end connections before a request; use a time above 0",
            )


def _compare_items(
    section: str, noun: str, old: Mapping[str, object], new: list[tuple[str, object]]
) -> Iterator[Finding]:
    """Compares the items of a list by their names; the order has no meaning."""
    for index, (name, item) in enumerate(new):
        if name in old:
            yield from _compare_fields((section, index), old[name], item)
        else:
            yield Finding(Severity.CHANGE, (section, index), f"{noun} {name!r} is added")
    for name in sorted(old.keys() - {name for name, _ in new}):
        yield Finding(Severity.CHANGE, (section,), f"{noun} {name!r} is removed")


def _compare_fields(path: FieldPath, old: object, new: object) -> Iterator[Finding]:
    """Compares two instances of one dataclass, field by field."""
    assert is_dataclass(old) and is_dataclass(new)
    for item in fields(new):
        before, after = getattr(old, item.name), getattr(new, item.name)
        if item.name == "api_keys":
            yield from _compare_keys((*path, item.name), before, after)
        elif is_dataclass(before) and is_dataclass(after):
            yield from _compare_fields((*path, item.name), before, after)
        elif before != after:
            unit = " s" if item.name.endswith("_s") and not item.name.endswith("_per_s") else ""
            text = f"changes from {_format_value(before, unit)} to {_format_value(after, unit)}"
            yield Finding(Severity.CHANGE, (*path, item.name), text)


def _compare_keys(
    path: FieldPath, before: tuple[str, ...], after: tuple[str, ...]
) -> Iterator[Finding]:
    added, removed = {*after} - {*before}, {*before} - {*after}
    if added or removed:
        text = f"{len(added)} API keys are added and {len(removed)} removed"
        yield Finding(Severity.CHANGE, path, text)


def _format_value(value: object, unit: str) -> str:
    if value is None:
        return "none"
    if isinstance(value, Enum):
        return str(value.value)
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, int | float):
        return f"{value:.12g}{unit}"
    if isinstance(value, tuple):
        parts = [part for part in value if isinstance(part, WeightedService)]
        return ", ".join(f"{part.service!r} with weight {part.weight:g}" for part in parts)
    if is_dataclass(value):
        return ", ".join(f"{f.name} {getattr(value, f.name)}" for f in fields(value))
    return repr(value)
