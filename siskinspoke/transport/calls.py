"""A minimal HTTP server for small requests and answers that fit into memory.

It uses the HTTP/1.1 connections of the gateway. A registry answers an announcement of each server
about every second. Quart on Hypercorn needs several times the CPU time per request, and makes up
much of a small VM's startup time and memory.
"""

from collections.abc import Awaitable, Callable, Iterator, Mapping
from contextlib import contextmanager
from types import MappingProxyType
from typing import NamedTuple

import trio

from siskinspoke.transport.http1 import BadRequestError, ClientConnection, Headers

MAX_HEADER_BYTES = 8_192
# Clients send a request every few seconds; idle connections are closed after this time.
IDLE_TIMEOUT_SECONDS = 30.0
# Methods whose answer has a body and leaves the connection an HTTP connection.
SUPPORTED_METHODS = frozenset({"GET", "POST", "PUT", "DELETE"})
# After a restart of all VMs, all servers connect at once.
BACKLOG = 1_024


class Call(NamedTuple):
    """A request; ``path`` has no query string."""

    method: str
    path: str
    body: bytes = b""


class Reply(NamedTuple):
    """An answer; an empty ``content_type`` omits the header."""

    status: int
    body: bytes = b""
    content_type: str = ""


class BodyLimits(NamedTuple):
    """Limits on the size of a request body and on the time to receive it.

    ``by_prefix`` are limits in bytes for the paths with a prefix, in place of ``max_bytes``.
    """

    max_bytes: int
    timeout_seconds: float
    by_prefix: Mapping[str, int] = MappingProxyType({})

    def bytes_for(self, path: str) -> int:
        """Return the limit on the size of a body that is sent to a path."""
        for prefix, limit in self.by_prefix.items():
            if path.startswith(prefix):
                return limit
        return self.max_bytes


CallHandler = Callable[[Call], Awaitable[Reply]]


class OpenCalls:
    """The calls of a server that are not answered yet."""

    def __init__(self) -> None:
        self._count = 0
        self._all_answered = trio.Event()

    @contextmanager
    def call(self) -> Iterator[None]:
        """Count a call while the context is open."""
        self._count += 1
        try:
            yield
        finally:
            self._count -= 1
            if not self._count:
                self._all_answered.set()
                self._all_answered = trio.Event()

    async def wait_until_answered(self, seconds: float) -> None:
        """Wait until no call is open, for a limited time."""
        with trio.move_on_after(seconds):
            while self._count:
                await self._all_answered.wait()


async def serve_calls(
    handle: CallHandler,
    limits: BodyLimits,
    host: str,
    port: int,
    open_calls: OpenCalls | None = None,
    task_status=trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve calls until cancelled; ``open_calls`` counts those that are not answered yet."""
    open_calls = open_calls or OpenCalls()

    async def serve_connection(stream: trio.SocketStream) -> None:
        connection = ClientConnection(stream, MAX_HEADER_BYTES)
        try:
            while await _serve_call(handle, limits, connection, open_calls):
                pass
        except (trio.BrokenResourceError, trio.ClosedResourceError, BadRequestError):
            # The client has disconnected or sent invalid HTTP; its connection is closed.
            return
        except Exception as error:
            # An unexpected request or a bug must not end the process. Loguru is imported only here
            # because nothing else in this module needs it.
            from loguru import logger

            logger.error("unhandled error on an HTTP connection: {!r}", error)
        finally:
            await connection.close()

    await trio.serve_tcp(
        serve_connection, port, host=host, backlog=BACKLOG, task_status=task_status
    )


async def _serve_call(
    handle: CallHandler, limits: BodyLimits, connection: ClientConnection, open_calls: OpenCalls
) -> bool:
    """Answer one call; return False if the connection must be closed."""
    received = False
    with trio.move_on_after(IDLE_TIMEOUT_SECONDS):
        received = await connection.wait_for_request()
    if not received:
        return False
    with open_calls.call():
        return await _answer_call(handle, limits, connection)


async def _answer_call(
    handle: CallHandler, limits: BodyLimits, connection: ClientConnection
) -> bool:
    """Read and answer a call of which a part has arrived."""
    reply = Reply(408)
    with trio.move_on_after(limits.timeout_seconds) as timeout:
        head = await connection.read_head()
        try:
            body = await connection.read_body(limits.bytes_for(head.target))
        except BadRequestError as error:
            await _send(connection, Reply(error.status or 400))
            return False
    if not timeout.cancelled_caught:
        reply = Reply(405)
        if head.method in SUPPORTED_METHODS:
            reply = await handle(Call(head.method, head.target.partition("?")[0], body))
    await _send(connection, reply)
    return connection.next_cycle()


async def _send(connection: ClientConnection, reply: Reply) -> None:
    headers: Headers = [(b"Content-Length", b"%d" % len(reply.body))]
    if reply.content_type:
        headers.append((b"Content-Type", reply.content_type.encode()))
    await connection.send_response(reply.status, headers, reply.body)
