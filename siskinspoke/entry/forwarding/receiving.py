"""Recognize requests that peers have forwarded."""

from collections.abc import Mapping

from loguru import logger

from siskinspoke.conf import Settings
from siskinspoke.core.codes import Failure, ResultCode
from siskinspoke.core.counters import Counters
from siskinspoke.protocol.forwarding import (
    FORWARD_HEADER,
    ForwardedRequest,
    decode_forwarded_request,
    digest_of,
)


def read_origin(
    settings: Settings,
    counters: Counters,
    headers: Mapping[str, str],
    target: str,
    body: bytes,
) -> ForwardedRequest | Failure | None:
    """Return what a peer tells of the request that it forwards, or None for a caller's request."""
    value = headers.get(FORWARD_HEADER.decode())
    if value is None:
        return None
    origin = decode_forwarded_request(settings.internal_key, value.encode())
    if origin is None or origin.digest != digest_of("POST", target, body):
        counters.count("forward.rejected")
        logger.warning("forward.rejected {}", {"target": target})
        return Failure(ResultCode.UNKNOWN_PEER, "the request is not from an entry VM")
    counters.count("forward.received")
    return origin
