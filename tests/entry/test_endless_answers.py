"""Servers of the product's own interface that send bytes without end."""

from contextlib import asynccontextmanager

import pytest
import trio

from siskinspoke.core.counters import Counters
from siskinspoke.entry.backend import Backend
from siskinspoke.protocol.claims import Target
from tests.platform.standin_server import Close, Endless, StandinServer


@asynccontextmanager
async def backend_and_server(behaviour):
    """Run a stand-in server, and yield a backend client, its target and the server."""
    async with trio.open_nursery() as nursery, Backend(Counters()) as backend:
        server = StandinServer("e1")
        server.script.append(behaviour)
        await nursery.start(server.serve)
        yield backend, Target("e1", 1, server.host, server.port), server
        nursery.cancel_scope.cancel()


class TestCrashes:
    """Only a connection that is refused or closed shows that a process is dead."""

    @pytest.mark.parametrize("form", ["line of the head", "headers"])
    def test_malformed_head_is_no_crash(self, form):
        """Guards against taking a server for crashed that sends bytes which are no answer."""

        async def run():
            async with backend_and_server(Endless(form)) as (backend, target, _):
                assert not await backend.refuses_connections(target)

        trio.run(run)

    def test_closed_connection_is_a_crash(self):
        """Guards against missing a crash behind a middlebox that accepts connections."""

        async def run():
            async with backend_and_server(Close()) as (backend, target, _):
                assert await backend.refuses_connections(target)

        trio.run(run)
