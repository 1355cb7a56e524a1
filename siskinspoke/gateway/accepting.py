"""Accept the connections of clients, and close those unread that the processor has no time for."""

import socket
from collections.abc import Awaitable, Callable

import trio

from siskinspoke.coordination.connection_limit import INTERVAL_MS
from siskinspoke.gateway.context import Gateway
from siskinspoke.transport.accepting import accept_waiting, stream_of

# Connections accepted in one turn of the event loop: without a limit, and with one.
MAX_ACCEPTED = 8
MAX_ACCEPTED_IF_LIMITED = 512
# Pause after the process ran out of descriptors.
EXHAUSTED_SECONDS = 0.1

Serve = Callable[[trio.SocketStream], Awaitable[None]]


class Acceptor:
    """Owns the public listening socket of an entry VM."""

    def __init__(self, gateway: Gateway, listener: socket.socket, serve: Serve):
        self._gateway = gateway
        self._limit = gateway.connection_limit
        self._listener = listener
        self._serve = serve
        self._interval_ended = trio.Event()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Accept connections until the shutdown ends that, and serve each in a task of its own."""
        self._listener.setblocking(False)
        with self._listener:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._follow_lateness)
                task_status.started()
                accepting = trio.CancelScope()
                nursery.start_soon(self._end_with_shutdown, accepting)
                with accepting:
                    while True:
                        await trio.lowlevel.wait_readable(self._listener)
                        if self._limit.is_limited:
                            # Those that wait until the end of the interval are counted together.
                            await self._interval_ended.wait()
                        await self._accept(nursery)
                await self._accept(nursery, MAX_ACCEPTED_IF_LIMITED)
                self._listener.close()

    async def _end_with_shutdown(self, accepting: trio.CancelScope) -> None:
        """Stop accepting connections when the shutdown asks for it."""
        await self._gateway.listening_ended.wait()
        accepting.cancel()

    async def _accept(self, nursery: trio.Nursery, most: int = MAX_ACCEPTED) -> None:
        most = MAX_ACCEPTED_IF_LIMITED if self._limit.is_limited else most
        # Those that are closed unread have descriptors until then.
        most = min(most, self._gateway.clients.connections.table.spare_count)
        waiting, is_exhausted = accept_waiting(self._listener, most)
        admitted = self._limit.admit(len(waiting))
        for connection in waiting[:admitted]:
            nursery.start_soon(self._serve, stream_of(connection))
        for connection in waiting[admitted:]:
            connection.close()
        if admitted < len(waiting):
            self._gateway.counters.count("client.shed", len(waiting) - admitted)
        if is_exhausted:
            self._gateway.counters.count("client.exhausted")
            self._gateway.log.note("connections.exhausted", open=self._gateway.open_requests)
            await trio.sleep(EXHAUSTED_SECONDS)

    async def _follow_lateness(self) -> None:
        """Adjust the limit after each interval, and log when it begins and ends."""
        gateway, limit = self._gateway, self._limit
        while True:
            due = trio.current_time() + INTERVAL_MS / 1000
            await trio.sleep_until(due)
            late_ms = 1000 * (trio.current_time() - due)
            was_limited = limit.is_limited
            limit.end_interval(late_ms)
            ended, self._interval_ended = self._interval_ended, trio.Event()
            ended.set()
            if limit.is_limited != was_limited:
                gateway.log.note(
                    "connections.limited" if limit.is_limited else "connections.unlimited",
                    per_interval=round(limit.per_interval, 1) if limit.is_limited else None,
                    late=round(late_ms),
                    open=gateway.open_requests,
                    shed=gateway.counters.totals.get("client.shed", 0),
                )
