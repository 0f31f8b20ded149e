"""By which traits calls are recognized that come again, or that have something in common.

Pattern: one call ends each target that runs it, and comes again with the same path, customer and
body, in one spelling or in several. Sound calls of the customer may have the same path and body,
too, and differ in the query, the method or the prompt only. A call therefore has a broad trait that
all its spellings share, and narrower ones by which it can be told from sound calls.
"""

import re
from hashlib import blake2b
from urllib.parse import unquote_to_bytes

from ..core.serving.crashcauses import CallIdentity, Trait
from .dialect import CallRequest

FINGERPRINT_BYTES = 16
VARIANT_BYTES = 8
# Calls with more parameters are recognized by the first ones in order, and by their whole query.
MAX_PARAMETERS = 8
_ESCAPE = re.compile(rb"%([0-9A-Fa-f]{2})")
# Characters that mean the same whether they are escaped or not (RFC 3986, section 2.3).
_UNRESERVED = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")


def list_parts(call: CallRequest) -> tuple[Trait, ...]:
    """Returns the shared parts of a call's prompt as traits; the last part is the call's own."""
    if call.prompt is None:
        return ()
    return tuple(Trait(f"part:{part.lower()}") for part, _ in call.prompt.parts[:-1])


def list_traits(call: CallRequest) -> tuple[Trait, ...]:
    """Returns all traits of a call."""
    fingerprint = compute_fingerprint(call)
    return (*list_parts(call), fingerprint, *list_variants(call, fingerprint))


def identify_call(call: CallRequest) -> CallIdentity:
    """Returns what is equal for calls that may be the same call again in another spelling."""
    return compute_fingerprint(call), _get_own_part(call)


def compute_fingerprint(call: CallRequest) -> Trait:
    """Returns a trait that calls share only if path, customer and body are the same.

    How a caller writes the host, the method, the query and the headers makes no difference: one
    call in several spellings must not count as several.
    """
    customer = call.customer.name if call.customer is not None else ""
    path = _ESCAPE.sub(_unescape_unreserved, call.path.encode("latin-1"))
    host = call.route.host.encode()
    digest = _compute_digest(FINGERPRINT_BYTES, customer.encode(), host, path, call.http.body)
    return Trait(f"call:{digest}")


def list_variants(call: CallRequest, fingerprint: Trait) -> tuple[Trait, ...]:
    """Returns narrower traits than the call's fingerprint, the broadest first.

    Calls share one if their fingerprint is the same, and a parameter of the query; or the whole
    query and the prompt's last part; or these and the method. The order of the parameters and the
    escaping of their characters make no difference.
    """
    parameters = _parse_parameters(call.http.target)
    whole = b"".join(len(item).to_bytes(4, "big") + item for pair in parameters for item in pair)
    own_part = _get_own_part(call).encode()
    digests = [
        f"parameter:{_compute_digest(VARIANT_BYTES, *pair)}"
        for pair in dict.fromkeys(parameters[:MAX_PARAMETERS])
    ]
    digests.append(f"query:{_compute_digest(VARIANT_BYTES, whole, own_part)}")
    digests.append(f"method:{_compute_digest(VARIANT_BYTES, whole, own_part, call.http.method)}")
    return tuple(Trait(f"{fingerprint}:{digest}") for digest in digests)


def _get_own_part(call: CallRequest) -> str:
    return call.prompt.parts[-1][0].lower() if call.prompt is not None and call.prompt.parts else ""


def _parse_parameters(target: bytes) -> list[tuple[bytes, bytes]]:
    """Returns names and values of the query in a request target, in order."""
    query = target.partition(b"?")[2].replace(b"+", b"%20")
    pairs = (item.partition(b"=") for item in query.split(b"&") if item)
    return sorted((unquote_to_bytes(name), unquote_to_bytes(value)) for name, _, value in pairs)


def _unescape_unreserved(match: re.Match[bytes]) -> bytes:
    code = int(match[1], 16)
    return bytes([code]) if code in _UNRESERVED else match[0].upper()


def _compute_digest(size: int, *items: bytes | bytearray) -> str:
    digest = blake2b(digest_size=size)
    for item in items:
        digest.update(len(item).to_bytes(8, "big"))
        digest.update(item)
    return digest.hexdigest()
