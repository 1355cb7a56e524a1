"""What the clients of a process take up together: connections, and bodies in arrival."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import trio

from siskinspoke.coordination.connection_table import ConnectionTable, TrackedConnection
from siskinspoke.coordination.memory_plan import MemoryPlan
from siskinspoke.coordination.read_budget import HeldData, ReadBudget
from siskinspoke.coordination.socket_buffers import BACKLOG
from siskinspoke.core.counters import Counters
from siskinspoke.transport.accepting import prepare_listener

# Bodies below this size are never evicted.
MIN_EVICTED_BODY_BYTES = 4_096
# Events of a parser that are handled in one turn of the event loop without reading.
EVENTS_PER_TURN = 64
# Least time between two log lines of one kind.
LOG_INTERVAL_SECONDS = 1.0

Note = Callable[..., None]
Serve = Callable[[trio.SocketStream, TrackedConnection], Awaitable[None]]


class PeriodicNote:
    """Logs an event that may be frequent, at most once in an interval, with how often it came."""

    def __init__(self, note: Note, event: str):
        self._note = note
        self._event = event
        self._count = 0
        self._next_at = 0.0

    def record(self, **fields: Any) -> None:
        """Count the event, and log it if the interval has passed."""
        self._count += 1
        now = trio.current_time()
        if now < self._next_at:
            return
        self._note(self._event, count=self._count, **fields)
        self._count = 0
        self._next_at = now + LOG_INTERVAL_SECONDS


class ParserTurns:
    """Lets one connection at a time parse small pieces, for one turn of the event loop each.

    One read may bring thousands of chunks, and many connections may have such a read.  If each
    parsed a few of them in every turn, other requests would wait for all of these connections.
    """

    def __init__(self) -> None:
        self._lock = trio.Lock()

    async def wait(self) -> None:
        """Wait until it is this connection's turn."""
        async with self._lock:
            await trio.lowlevel.checkpoint()


class BodyArrivals:
    """The bodies that a process has received, within a budget."""

    def __init__(self, capacity: int, counters: Counters, note: Note):
        self._budget = ReadBudget(capacity, MIN_EVICTED_BODY_BYTES)
        self._turns = ParserTurns()
        self._counters = counters
        self._evicted = PeriodicNote(note, "body.evicted")
        self._refused = PeriodicNote(note, "body.refused")
        self._unread = PeriodicNote(note, "answer.unread")

    @property
    def budget(self) -> ReadBudget:
        """Return the budget that all bodies share."""
        return self._budget

    @property
    def turns(self) -> ParserTurns:
        """Return the turns that all parsers of bodies share."""
        return self._turns

    def open(self, on_evict: Callable[[], None]) -> HeldData:
        """Return a body that is about to arrive; ``on_evict`` ends the reading."""

        def evict() -> None:
            self._counters.count("body.evicted")
            self._evicted.record(held=self._budget.held)
            on_evict()

        return self._budget.open(evict)

    def record_refusal(self, status: int, reason: str) -> None:
        """Count a request that is refused before it is read, and log it."""
        self._counters.count("body.refused")
        self._refused.record(status=status, reason=reason)

    def record_unread_answer(self, size: int) -> None:
        """Count an answer that its client did not take in time, or that gave way, and log it."""
        self._counters.count("answer.unread")
        self._unread.record(size=size)


class OpenConnections:
    """The client connections of a process, within the limits of a table."""

    def __init__(self, table: ConnectionTable, counters: Counters, note: Note):
        self._table = table
        self._counters = counters
        self._evicted = PeriodicNote(note, "connections.evicted")
        self._refused = PeriodicNote(note, "connections.refused")

    @property
    def table(self) -> ConnectionTable:
        """Return the table that decides which connection gives way."""
        return self._table

    async def serve(self, stream: trio.SocketStream, serve: Serve) -> None:
        """Serve an accepted connection, or close it if there is no room."""
        with trio.CancelScope() as scope:
            connection: TrackedConnection | None = None

            def evict() -> None:
                self._counters.count(f"connections.evicted.{connection.state.name.lower()}")
                self._evicted.record(state=connection.state.name.lower(), open=self._table.count)
                # The descriptor is free at once, also if the task runs only later.
                stream.socket.close()
                scope.cancel()

            connection = self._table.open(evict)
            if connection is None:
                self._counters.count("connections.refused")
                self._refused.record(open=self._table.count)
                stream.socket.close()
                return
            try:
                await serve(stream, connection)
            finally:
                connection.close()
                stream.socket.close()


class ClientResources(NamedTuple):
    """The limits that all clients of a process share, on all of its addresses."""

    connections: OpenConnections
    arrivals: BodyArrivals


def client_resources(plan: MemoryPlan, counters: Counters, note: Note) -> ClientResources:
    """Return the limits for the clients of a process that follows a plan, and log the plan."""
    note("memory.plan", **plan._asdict())
    table = ConnectionTable(plan.connections, plan.max_connections, plan.costs)
    return ClientResources(
        OpenConnections(table, counters, note), BodyArrivals(plan.bodies, counters, note)
    )


async def serve_connections(
    resources: ClientResources,
    serve: Serve,
    host: str,
    port: int,
    task_status=trio.TASK_STATUS_IGNORED,
    handler_nursery: trio.Nursery | None = None,
) -> None:
    """Serve the connections to an address until cancelled.

    Connections in ``handler_nursery`` outlive the listening socket.
    """
    listeners = await trio.open_tcp_listeners(port, host=host, backlog=BACKLOG)
    for listener in listeners:
        prepare_listener(listener.socket)

    async def serve_one(stream: trio.SocketStream) -> None:
        await resources.connections.serve(stream, serve)

    await trio.serve_listeners(
        serve_one, listeners, handler_nursery=handler_nursery, task_status=task_status
    )
