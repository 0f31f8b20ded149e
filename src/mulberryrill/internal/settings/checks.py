"""Semantic checks of settings messages; each problem says how to fix it.

Rules apply to a message type or to a suffix of field names, so that most new settings are checked
without a new rule. Zero selects a setting's default and is accepted for sizes and times.
"""

import ipaddress
import math
import re
from collections.abc import Callable, Iterator
from urllib.parse import urlsplit

from google.protobuf.descriptor import FieldDescriptor
from google.protobuf.message import Message

from ...errors import SettingsError
from ..core.claimfold import MAX_CLOCK_LEAD_MS, RETENTION_MARGIN_MS
from ..schema.settings_pb2 import (
    ControlSettings,
    EngineSettings,
    EntryBounds,
    EntrySettings,
    GatewaySettings,
    KeyPair,
    Listen,
    PeerSettings,
    PlainServiceSettings,
    PlatformSettings,
    SiteOperator,
    StoreSettings,
)

_IDENTITY_FIELDS = ("instance", "data_centre")
_TARGET_FIELDS = ("id", "data_centre", "listen")
REQUIRED_FIELDS: dict[type[Message], tuple[str, ...]] = {
    GatewaySettings: (
        *_IDENTITY_FIELDS,
        "name",
        "callers",
        "admin",
        "control_endpoint",
        "control_public_key",
        "keys",
    ),
    ControlSettings: (
        *_IDENTITY_FIELDS,
        "peer_endpoint",
        "gateway_endpoint",
        "operators",
        "admin",
        "keys",
        "log_url",
        "list_url",
        "gateway_url",
        "max_instances",
    ),
    EntrySettings: (
        *_IDENTITY_FIELDS,
        "callers_address",
        "readiness_address",
        "store_address",
        "peer_address",
        "bounds",
    ),
    EntryBounds: (
        "configuration_ms",
        "drain_ms",
        "grace_s",
        "order_lease_ms",
        "version_ms",
    ),
    EngineSettings: _TARGET_FIELDS,
    StoreSettings: _TARGET_FIELDS,
    PlainServiceSettings: _TARGET_FIELDS,
    PlatformSettings: ("listen",),
    Listen: ("host",),
    PeerSettings: (*_IDENTITY_FIELDS, "endpoint", "public_key"),
    SiteOperator: ("name", "token_sha256"),
}
# ZeroMQ's text form of a 32-byte CURVE key: 40 characters of the Z85 alphabet.
_CURVE_KEY_PATTERN = re.compile(r"[0-9a-zA-Z.\-:+=^!/*?&<>()\[\]{}@%$#]{40}")
_TOKEN_HASH_PATTERN = re.compile(r"[0-9a-f]{64}")
_CACHE_KEY_SECRET_PATTERN = re.compile(r"[0-9a-fA-F]{64}")
# Message senders are names joined by "/", which a name must not contain.
_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_NAME_FIELDS = ("instance", "data_centre", "name", "id")
_LOG_LEVELS = ("debug", "info", "warning", "error", "critical")
_ROUTING_POLICIES = ("full", "affinity", "least-loaded")
MAX_PORT = 65535


def check_settings(message: Message, file_name: str) -> None:
    """Raises SettingsError with all problems; ``file_name`` is used in messages."""
    problems = [f"{file_name}: {path}: {text}" for path, text in _check_message(message, "")]
    if problems:
        raise SettingsError(problems)


# Pairs of a field's path and the text of its problem.
Problems = Iterator[tuple[str, str]]


def _check_message(message: Message, prefix: str) -> Problems:
    for name in REQUIRED_FIELDS.get(type(message), ()):
        if not _is_set(message, name):
            yield f"{prefix}{name}", "missing; set it"
    for field, value in message.ListFields():
        path = f"{prefix}{field.name}"
        values = list(value) if field.is_repeated else [value]
        for index, item in enumerate(values):
            item_path = f"{path}[{index}]" if field.is_repeated else path
            if isinstance(item, Message):
                yield from _check_message(item, f"{item_path}.")
            else:
                yield from _check_value(field, item, item_path)
    check = _MESSAGE_CHECKS.get(type(message))
    if check is not None:
        yield from check(message, prefix)


def _is_set(message: Message, name: str) -> bool:
    field = message.DESCRIPTOR.fields_by_name[name]
    if field.message_type is not None and not field.is_repeated:
        return message.HasField(name)
    return bool(getattr(message, name))


def _check_value(field: FieldDescriptor, value: object, path: str) -> Problems:
    if isinstance(value, str):
        yield from _check_text(field.name, value, path)
    elif isinstance(value, float) and not math.isfinite(value):
        yield path, "must be a finite number"
    elif isinstance(value, int | float) and value < 0 and field.name != "seed":
        yield path, "must not be negative; leave it out for the default"


def _check_text(name: str, value: str, path: str) -> Problems:
    if name in _NAME_FIELDS and not _NAME_PATTERN.fullmatch(value):
        yield path, f"invalid name {value!r}; use 1 to 63 letters, digits, '.', '_', '-'"
    elif name.endswith("public_key") or name == "secret_key":
        if not _CURVE_KEY_PATTERN.fullmatch(value):
            # The value is not shown, because it may be a secret.
            yield path, "not a CURVE key; give the 40 characters of its Z85 form"
    elif name == "cache_key_secret" and not _CACHE_KEY_SECRET_PATTERN.fullmatch(value):
        # The value is not shown, because it is a secret.
        yield path, "not a key; give 64 random hexadecimal digits, the same to all gateways"
    elif name == "token_sha256" and not _TOKEN_HASH_PATTERN.fullmatch(value):
        yield path, "not a SHA-256; give 64 hexadecimal digits in lower case"
    elif name.endswith("_url") and not _is_ip_url(value, ("http", "https")):
        yield path, "must be http://IP:PORT or https://IP:PORT with an IP address"
    elif name.endswith("endpoint") and not _is_ip_url(value, ("tcp",)):
        yield path, "must be tcp://IP:PORT with an IP address"
    elif name.endswith("_address") and not _is_ip_url(f"tcp://{value}", ("tcp",)):
        yield path, "must be IP:PORT with an IP address"
    elif name == "log_level" and value.lower() not in _LOG_LEVELS:
        yield path, f"use one of: {', '.join(_LOG_LEVELS)}"
    elif name == "routing_policy" and value not in _ROUTING_POLICIES:
        yield path, f"use one of: {', '.join(_ROUTING_POLICIES)}"


def _is_ip_url(value: str, schemes: tuple[str, ...]) -> bool:
    try:
        parts = urlsplit(value)
        port = parts.port
    except ValueError:
        return False
    is_bare = not (parts.username or parts.query or parts.fragment) and parts.path in ("", "/")
    return parts.scheme in schemes and is_bare and port is not None and _is_ip(parts.hostname or "")


def _is_ip(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _check_listen(message: Listen, prefix: str) -> Problems:
    if message.host and not _is_ip(message.host):
        yield f"{prefix}host", f"{message.host!r} is not an IP address; host names are not resolved"
    if message.port > MAX_PORT:
        yield f"{prefix}port", f"must be 0 to {MAX_PORT}; 0 lets the system choose"
    if bool(message.tls_certificate) != bool(message.tls_key):
        yield f"{prefix}tls_certificate", "needs tls_key too; give both files or none"


def _check_keys(message: KeyPair, prefix: str) -> Problems:
    for name in ("public_key", "secret_key"):
        if not getattr(message, name):
            yield f"{prefix}{name}", "missing; create a CURVE key pair, for example with pyzmq"


def _check_gateway(message: GatewaySettings, prefix: str) -> Problems:
    if message.store_link_bytes_per_second and not message.cache_key_secret:
        yield f"{prefix}cache_key_secret", "missing; gateways that use stores need a common key"


def _check_control(message: ControlSettings, prefix: str) -> Problems:
    names = [peer.instance for peer in message.peers]
    keys = [peer.public_key for peer in message.peers]
    if message.instance in names:
        yield f"{prefix}peers", "contains this instance; remove it"
    if len(set(names)) < len(names):
        yield f"{prefix}peers", "an instance is given twice; remove one"
    if len({*keys, message.keys.public_key}) < len(keys) + 1:
        yield f"{prefix}peers", "a public key is used twice; each instance needs its own key pair"
    tokens = [token for operator in message.site_operators for token in operator.token_sha256]
    if len(set(tokens)) < len(tokens):
        yield f"{prefix}site_operators", "a token is given twice; each belongs to one operator"
    min_retention_ms = message.key_window_ms + MAX_CLOCK_LEAD_MS + RETENTION_MARGIN_MS
    if message.key_window_ms and message.retention_ms and message.retention_ms < min_retention_ms:
        yield (
            f"{prefix}retention_ms",
            f"must be at least {min_retention_ms}, three minutes above key_window_ms, or claims"
            " expire from the log while they are still valid",
        )


_MESSAGE_CHECKS: dict[type[Message], Callable[..., Problems]] = {
    Listen: _check_listen,
    KeyPair: _check_keys,
    GatewaySettings: _check_gateway,
    ControlSettings: _check_control,
}
