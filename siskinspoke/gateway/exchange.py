"""A short exchange with a backend server, outside of any client's request."""

from typing import NamedTuple

import trio

from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.gateway.context import Gateway, now_ms
from siskinspoke.gateway.restrictions import apply_restrictions
from siskinspoke.transport.http1 import PeerError, RequestHead, connect

# Longest answer to a question or an order.
MAX_REPLY_BYTES = 1_000_000


class Reply(NamedTuple):
    """A server's complete answer to a question or an order."""

    status: int
    body: bytes


async def ask(
    gateway: Gateway,
    server: ServerRecord,
    head: RequestHead,
    body: bytes,
    seconds: float,
    max_idle_ms: float,
) -> Reply | None:
    """Send one request and return its answer, or None if none arrived within ``seconds``.

    A pooled connection is reused if it was used within ``max_idle_ms``.  The caller counts
    exchanges without an answer.
    """
    announcement = server.announcement
    connection = gateway.pool.take(server, now_ms(), max_idle_ms)
    sent_at = now_ms()
    try:
        with trio.move_on_after(seconds):
            if connection is None:
                connection = await connect(
                    announcement.host, announcement.port, gateway.settings.host, now_ms()
                )
            await connection.send_request(head, body)
            answer = await connection.read_head()
            apply_restrictions(gateway, "", server, gateway.wire.decode_answer(answer), sent_at)
            reply = await connection.read_short_body(MAX_REPLY_BYTES)
            if connection.prepare_reuse(now_ms()):
                gateway.pool.put(server, connection)
            return Reply(answer.status, reply)
    except (OSError, PeerError):
        return None
    finally:
        if connection is not None and not connection.idle:
            connection.reset()
    return None
