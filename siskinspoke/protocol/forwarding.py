"""The header of a request that an entry VM forwards to a peer over HTTP/1.1.

The request line, the other headers and the body are those of the client's request.
"""

import base64
import binascii
from hashlib import blake2b
from typing import Any, NamedTuple

from siskinspoke.protocol.codec import decode_message, encode_message, message
from siskinspoke.protocol.seal import seal, unseal

FORWARD_HEADER = b"X-Siskinspoke-Forward"
# On the answer to a forwarded request: a result code, 0 for a server's answer.
RESULT_HEADER = b"X-Siskinspoke-Forward-Result"
# Headers that a client or a server must not set.
INTERNAL_HEADERS = frozenset((FORWARD_HEADER.lower(), RESULT_HEADER.lower()))
DIGEST_BYTES = 16


@message
class ForwardedCall(NamedTuple):
    """What a peer needs to know of a client's request beyond its head and body.

    ``version`` is the configuration by which the sender routed it; a peer with an older one refuses
    it. ``elapsed_ms`` is the time since its arrival at the sender. ``runs`` and ``delivered`` are
    the numbers of servers that may have run it and that were sent it. ``digest`` binds the header
    to the method, target and body.
    """

    sender: str
    version: int
    id: str
    host: str
    key: str
    service: str
    deadline_ms: float | None
    elapsed_ms: float
    prompt: tuple[int, int] | None
    resume_after: str | None
    runs: int
    delivered: int
    digest: str
    parts: tuple[str, ...] = ()


@message
class ForwardedRequest(NamedTuple):
    """What a peer needs to know of a request to the product's own interface, beyond the request.

    The fields are those of ``ForwardedCall``.
    """

    sender: str
    version: int
    elapsed_ms: float
    digest: str


def digest_of(method: str, target: str, body: bytes) -> str:
    """Return the digest of a request's method, target and body."""
    digest = blake2b(digest_size=DIGEST_BYTES)
    digest.update(f"{method} {target}\n".encode())
    digest.update(body)
    return digest.hexdigest()


def encode_forwarded(key: bytes, call: ForwardedCall | ForwardedRequest) -> bytes:
    """Return the value of the header, authenticated with the key shared by the VMs."""
    return base64.b64encode(seal(key, encode_message(call)))


def decode_forwarded(key: bytes, value: bytes) -> ForwardedCall | None:
    """Return the call in a header's value, or None if it is not authentic."""
    decoded = _decode(key, value)
    return decoded if isinstance(decoded, ForwardedCall) else None


def decode_forwarded_request(key: bytes, value: bytes) -> ForwardedRequest | None:
    """Return the request in a header's value, or None if it is not authentic."""
    decoded = _decode(key, value)
    return decoded if isinstance(decoded, ForwardedRequest) else None


def _decode(key: bytes, value: bytes) -> Any:
    try:
        body = unseal(key, base64.b64decode(value, validate=True))
    except binascii.Error:
        return None
    decoded = None if body is None else decode_message(body)
    return None if decoded is None or decoded.is_error() else decoded.ok
