"""Which connection gives way when a process has too many."""

import random

import pytest

from siskinspoke.coordination.connection_table import (
    ConnectionState,
    ConnectionTable,
    TrackedConnection,
)
from siskinspoke.coordination.memory_plan import COSTS

ROOMY = 1_000_000_000


class World:
    """A table, its connections by number, and those that gave way, in their order."""

    def __init__(self, capacity: int, max_count: int):
        self.table = ConnectionTable(capacity, max_count)
        self.evicted: list[int] = []
        self.connections: dict[int, TrackedConnection] = {}

    def open(self, number: int, state: ConnectionState = ConnectionState.SILENT) -> bool:
        """Open a connection in a state; return whether there is room for it."""
        connection = self.table.open(lambda: self.evicted.append(number))
        if connection is None:
            return False
        self.connections[number] = connection
        return state is ConnectionState.SILENT or connection.change(state)


class TestOrder:
    """The order in which connections give way."""

    def test_states(self):
        """Guards against closing a request in arrival while silent connections stay."""
        world = World(ROOMY, max_count=4)
        for number, state in enumerate(reversed(list(ConnectionState)[:4])):
            world.open(number, state)
        for number in range(10, 14):
            world.open(number, ConnectionState.RUNNING)
        assert world.evicted == [3, 2, 1, 0]

    def test_oldest_of_a_state(self):
        """Guards against closing new connections, whose requests are still on their way."""
        world = World(ROOMY, max_count=3)
        for number in range(6):
            world.open(number)
        assert world.evicted == [0, 1, 2]

    def test_time_in_the_state_decides(self):
        """Guards against closing the connection of an active client for one that is unused."""
        world = World(ROOMY, max_count=2)
        world.open(0, ConnectionState.IDLE)
        world.open(1, ConnectionState.IDLE)
        world.connections[0].change(ConnectionState.RUNNING)
        world.connections[0].change(ConnectionState.IDLE)
        world.open(2)
        assert world.evicted == [1]


class TestRunningRequests:
    """A connection whose request runs never gives way."""

    def test_new_connections_are_refused(self):
        """Guards against cutting off a request that was accepted."""
        world = World(ROOMY, max_count=2)
        world.open(0, ConnectionState.RUNNING)
        world.open(1, ConnectionState.RUNNING)
        assert not world.open(2)
        assert not world.evicted

    def test_request_without_room(self):
        """Guards against more open requests than there is memory for."""
        world = World(COSTS.active + COSTS.idle, max_count=9)
        world.open(0, ConnectionState.RUNNING)
        world.open(1)
        assert not world.connections[1].change(ConnectionState.ARRIVING)
        assert world.connections[1].state is ConnectionState.ARRIVING


class TestClosing:
    """Closed connections no longer count."""

    def test_close_frees_room(self):
        """Guards against a table that fills with connections that have ended."""
        world = World(ROOMY, max_count=1)
        world.open(0, ConnectionState.RUNNING)
        world.connections[0].close()
        world.connections[0].close()
        assert world.table.count == 0
        assert world.table.held == 0
        assert not world.connections[0].change(ConnectionState.IDLE)
        assert world.open(1)


class TestCrowds:
    """Random crowds of clients beside sound ones."""

    @pytest.mark.parametrize("seed", range(30))
    def test_bounds_hold(self, seed):
        """Guards against more connections, or memory for them, than planned."""
        rng = random.Random(seed)
        capacity = rng.randint(20, 200) * COSTS.idle
        max_count = rng.randint(5, 120)
        world = World(capacity, max_count)
        for number in range(1_000):
            world.open(number)
            known = [item for item in world.connections.values() if item.is_open]
            chosen = rng.choice(known)
            action = rng.random()
            if action < 0.2:
                chosen.close()
            elif not chosen.change(rng.choice(list(ConnectionState))):
                # A request without room is refused, and its connection closed.
                chosen.close()
            open_now = [item for item in world.connections.values() if item.is_open]
            assert world.table.count == len(open_now) <= max_count
            assert world.table.held == sum(world.table.bytes_in(item.state) for item in open_now)
            assert world.table.held <= capacity

    @pytest.mark.parametrize("seed", range(30))
    def test_running_requests_end(self, seed):
        """Guards against closing a sound client's request for any crowd."""
        rng = random.Random(seed)
        world = World(ROOMY, max_count=50)
        running = set()
        for number in range(1_000):
            if world.open(number) and rng.random() < 0.02 and len(running) < 40:
                world.connections[number].change(ConnectionState.ARRIVING)
                world.connections[number].change(ConnectionState.RUNNING)
                running.add(number)
            else:
                state = rng.choice(list(ConnectionState)[:4])
                world.connections[number].change(state)
        assert running
        assert not running & set(world.evicted)
