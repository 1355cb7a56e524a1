"""Accept requests that peers forward, on a port of their own."""

import trio
from expression import Error, Ok, Result

from siskinspoke.coordination.socket_buffers import BACKLOG
from siskinspoke.core.codes import Failure, ResultCode
from siskinspoke.gateway.clients import Arrival, ClientServer
from siskinspoke.gateway.context import Gateway, now_ms
from siskinspoke.gateway.wire import Call, Prompt
from siskinspoke.protocol.forwarding import (
    FORWARD_HEADER,
    INTERNAL_HEADERS,
    ForwardedCall,
    decode_forwarded,
    digest_of,
)
from siskinspoke.transport.accepting import prepare_listener
from siskinspoke.transport.http1 import RequestHead

# The internal header is sent in addition to those of the client's request.
FORWARD_HEADER_BYTES = 32_768


def decode_forwarded_call(
    gateway: Gateway, head: RequestHead, body: bytes
) -> Result[Arrival, Failure]:
    """Return the request that a peer has forwarded, if it holds the internal key."""
    origin = _find_origin(gateway, head)
    if origin is None or origin.digest != digest_of(head.method, head.target, body):
        return Error(_reject(gateway, head))
    gateway.counters.count("forward.received")
    return Ok(Arrival(_call(head, body, origin), now_ms() - origin.elapsed_ms, origin))


def check_forwarded_head(gateway: Gateway, head: RequestHead) -> Failure | None:
    """Return the failure with which a head without the internal key is refused, or None."""
    return _reject(gateway, head) if _find_origin(gateway, head) is None else None


def _find_origin(gateway: Gateway, head: RequestHead) -> ForwardedCall | None:
    """Return what the peer tells of a request, or None if it does not hold the internal key."""
    values = [value for name, value in head.headers if name.lower() == FORWARD_HEADER.lower()]
    return decode_forwarded(gateway.settings.internal_key, values[0]) if values else None


def _reject(gateway: Gateway, head: RequestHead) -> Failure:
    has_header = any(name.lower() == FORWARD_HEADER.lower() for name, _ in head.headers)
    reason = "not sealed with the key of this VM" if has_header else "no internal header"
    gateway.counters.count("forward.rejected")
    gateway.log.note("forward.rejected", target=head.target, reason=reason)
    return Failure(ResultCode.UNKNOWN_PEER, "the request is not from an entry VM")


def _call(head: RequestHead, body: bytes, origin: ForwardedCall) -> Call:
    dropped = INTERNAL_HEADERS | {b"content-length"}
    return Call(
        id=origin.id,
        method=head.method,
        target=head.target,
        host=origin.host,
        headers=[item for item in head.headers if item[0].lower() not in dropped],
        body=body,
        deadline_ms=origin.deadline_ms,
        key=origin.key,
        prompt=None if origin.prompt is None else Prompt(*origin.prompt, origin.parts),
        resume_after=origin.resume_after,
    )


class ForwardServer:
    """Listens on the forward port; peers' requests are served as those of clients."""

    def __init__(self, gateway: Gateway):
        self._gateway = gateway

    async def serve(self, host: str, port: int, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve peers forever."""
        listeners = await trio.open_tcp_listeners(port, host=host, backlog=BACKLOG)
        for listener in listeners:
            prepare_listener(listener.socket)
        server = ClientServer(
            self._gateway, decode_forwarded_call, FORWARD_HEADER_BYTES, check_forwarded_head
        )
        await trio.serve_listeners(server.serve_one, listeners, task_status=task_status)
