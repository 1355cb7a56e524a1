"""Small calls between machines over HTTP: a whole body in, a whole body out.

Served on the connections of the transparent path.  A registry answers an announcement of each
server about every second; quart on hypercorn needs several times the processor time for one, and
much of a small VM's start and memory to load.
"""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

import trio

from siskinspoke.transport.http1 import BadRequestError, ClientConnection, Headers

HEADER_BYTES = 8_192
# A caller asks every few seconds; one that says nothing for longer is gone.
IDLE_SECONDS = 30.0
# Methods whose answers have a body of their own, and nothing but an answer.
METHODS = frozenset({"GET", "POST", "PUT", "DELETE"})
# Of the listening socket: servers announce themselves all at once after a loss of all VMs.
BACKLOG = 1_024


class Call(NamedTuple):
    """One request; ``path`` is without its query."""

    method: str
    path: str
    body: bytes = b""


class Reply(NamedTuple):
    """One answer; an empty ``content_type`` names none."""

    status: int
    body: bytes = b""
    content_type: str = ""


class Bounds(NamedTuple):
    """How large a body may be, and how long it may take to come."""

    body_bytes: int
    body_seconds: float


Answer = Callable[[Call], Awaitable[Reply]]


async def serve_calls(
    answer: Answer, bounds: Bounds, host: str, port: int, task_status=trio.TASK_STATUS_IGNORED
) -> None:
    """Serve calls forever."""

    async def serve_one(stream: trio.SocketStream) -> None:
        connection = ClientConnection(stream, HEADER_BYTES)
        try:
            while await _serve_call(answer, bounds, connection):
                pass
        except (trio.BrokenResourceError, trio.ClosedResourceError, BadRequestError):
            # The caller has gone or speaks no HTTP; it sees a closed connection.
            return
        except Exception as error:
            # A request that nobody expects, or a fault of ours, must not end the VM.  The library
            # is loaded only here: no other call needs it.
            from loguru import logger

            logger.error("a call's connection failed: {!r}", error)
        finally:
            await connection.close()

    await trio.serve_tcp(serve_one, port, host=host, backlog=BACKLOG, task_status=task_status)


async def _serve_call(answer: Answer, bounds: Bounds, connection: ClientConnection) -> bool:
    """Answer one call; False when the connection is over."""
    came = False
    with trio.move_on_after(IDLE_SECONDS):
        came = await connection.wait_for_request()
    if not came:
        return False
    reply = Reply(408)
    with trio.move_on_after(bounds.body_seconds) as reading:
        head = await connection.read_head()
        try:
            body = await connection.read_body(bounds.body_bytes)
        except BadRequestError as error:
            await _send(connection, Reply(error.status or 400))
            return False
    if not reading.cancelled_caught:
        reply = Reply(405)
        if head.method in METHODS:
            reply = await answer(Call(head.method, head.target.partition("?")[0], body))
    await _send(connection, reply)
    return connection.next_cycle()


async def _send(connection: ClientConnection, reply: Reply) -> None:
    headers: Headers = [(b"Content-Length", b"%d" % len(reply.body))]
    if reply.content_type:
        headers.append((b"Content-Type", reply.content_type.encode()))
    await connection.send_whole(reply.status, headers, reply.body)
