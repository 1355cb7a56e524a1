"""Decide which connection of a client gives way when a process has too many.

A connection is never closed for another one while its request runs.  All functions are pure.
"""

from collections import OrderedDict
from collections.abc import Callable
from enum import IntEnum

from siskinspoke.coordination.memory_plan import COSTS, ConnectionCosts


class ConnectionState(IntEnum):
    """What a connection does; the lowest gives way first."""

    # The request was refused; the client may still be sending it.
    REFUSED = 0
    # Nothing has arrived.
    SILENT = 1
    # A request was answered, and nothing of the next one has arrived.
    IDLE = 2
    # A part of a request has arrived.
    ARRIVING = 3
    # The request runs, or the peer holds the internal key.
    RUNNING = 4


# Part of the connections that may be open beyond the limit while they are being closed.
SPARE_DIVISOR = 8
ACTIVE_STATES = (ConnectionState.REFUSED, ConnectionState.ARRIVING, ConnectionState.RUNNING)


def _ignore() -> None:
    """Do nothing: the connection has left the table."""


class TrackedConnection:
    """A connection in the table."""

    def __init__(self, table: "ConnectionTable", on_evict: Callable[[], None]):
        self._table = table
        self._on_evict = on_evict
        self._state = ConnectionState.SILENT
        self._is_open = True

    @property
    def state(self) -> ConnectionState:
        """Return what the connection does."""
        return self._state

    @property
    def is_open(self) -> bool:
        """Return whether the connection counts."""
        return self._is_open

    def change(self, state: ConnectionState) -> bool:
        """Change the state; return False if there is no room for it.

        The state changes all the same: its request is to be refused.
        """
        return self._table._change(self, state)

    def close(self) -> None:
        """Stop counting the connection."""
        self._table._remove(self)


class ConnectionTable:
    """The open connections of a process, up to a number and an amount of memory."""

    def __init__(self, capacity: int, max_count: int, costs: ConnectionCosts = COSTS):
        self._costs = costs
        self._capacity = capacity
        self._max_count = max_count
        self._bytes = 0
        self._count = 0
        # In each state, the connection that has been in it for longest is the first.
        self._by_state: dict[ConnectionState, OrderedDict[TrackedConnection, None]] = {
            state: OrderedDict() for state in ConnectionState
        }

    @property
    def count(self) -> int:
        """Return how many connections are open."""
        return self._count

    @property
    def spare_count(self) -> int:
        """Return how many connections may be accepted before some of them are closed."""
        return max(1, self._max_count // SPARE_DIVISOR)

    @property
    def held(self) -> int:
        """Return the bytes that the open connections may take up."""
        return self._bytes

    def bytes_in(self, state: ConnectionState) -> int:
        """Return the memory that a connection in a state may take up."""
        return self._costs.active if state in ACTIVE_STATES else self._costs.idle

    def open(self, on_evict: Callable[[], None]) -> TrackedConnection | None:
        """Return a new connection, or None if all others have running requests.

        ``on_evict`` closes it when it has to give way.
        """
        if not self._make_room(self._costs.idle):
            return None
        connection = TrackedConnection(self, on_evict)
        self._add(connection)
        return connection

    def _change(self, connection: TrackedConnection, state: ConnectionState) -> bool:
        if not connection.is_open:
            return False
        self._take_out(connection)
        connection._state = state
        fits = self._make_room(self.bytes_in(state))
        self._add(connection)
        return fits

    def _make_room(self, size: int) -> bool:
        """Evict connections until there is room; return False if there is none."""
        while self._bytes + size > self._capacity or self._count >= self._max_count:
            victim = self._find_victim()
            if victim is None:
                return False
            self._evict(victim)
        return True

    def _find_victim(self) -> TrackedConnection | None:
        for state in ConnectionState:
            if state is not ConnectionState.RUNNING and self._by_state[state]:
                return next(iter(self._by_state[state]))
        return None

    def _evict(self, connection: TrackedConnection) -> None:
        on_evict = connection._on_evict
        self._remove(connection)
        on_evict()

    def _add(self, connection: TrackedConnection) -> None:
        self._by_state[connection.state][connection] = None
        self._bytes += self.bytes_in(connection.state)
        self._count += 1

    def _take_out(self, connection: TrackedConnection) -> None:
        del self._by_state[connection.state][connection]
        self._bytes -= self.bytes_in(connection.state)
        self._count -= 1

    def _remove(self, connection: TrackedConnection) -> None:
        if connection.is_open:
            self._take_out(connection)
            connection._is_open = False
            # The function refers to the connection: without the cycle, both are freed at once.
            connection._on_evict = _ignore
