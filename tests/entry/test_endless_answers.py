"""Servers of the product's own interface that send bytes without end."""

from contextlib import asynccontextmanager

import httpx
import pytest
import trio

from siskinspoke.core.counters import Counters
from siskinspoke.entry.backend import MAX_RESPONSES_BYTES, Backend, Lost
from siskinspoke.protocol.assembly import Assembler
from siskinspoke.protocol.claims import Target
from tests.platform.standin_server import Close, Endless, StandinServer, Whole

FORMS = [
    "body",
    "chunks",
    "declared",
    "small chunks",
    "lines",
    "blank lines",
    "chunk length",
    "trailers",
    "line of the head",
    "headers",
]
SOCKET_BYTES = 8_000_000


@asynccontextmanager
async def backend_and_server(behaviour):
    """Run a stand-in server, and yield a backend client, its target and the server."""
    async with trio.open_nursery() as nursery, Backend(Counters()) as backend:
        server = StandinServer("e1")
        server.script.append(behaviour)
        await nursery.start(server.serve)
        yield backend, Target("e1", 1, server.host, server.port), server
        nursery.cancel_scope.cancel()


class TestBackend:
    """Each kind of request to a server ends soon, whatever the server sends."""

    @pytest.mark.parametrize("form", FORMS)
    def test_call(self, form):
        """Guards against a call whose answer fills the memory until its deadline."""

        async def run():
            async with backend_and_server(Endless(form)) as (backend, target, server):
                with trio.fail_after(3), pytest.raises(httpx.HTTPError):
                    await backend.call(target, {})
                assert server.endless_bytes <= MAX_RESPONSES_BYTES + SOCKET_BYTES

        trio.run(run)

    @pytest.mark.parametrize("form", FORMS)
    def test_stream(self, form):
        """Guards against an answer without a line that is buffered until its deadline."""

        async def run():
            async with backend_and_server(Endless(form)) as (backend, target, server):

                async def deliver(pieces):
                    raise AssertionError(pieces)

                with trio.fail_after(3):
                    end = await backend.stream(
                        target,
                        "/v1/start",
                        {},
                        Assembler("r", 1, 1, 0),
                        deliver,
                        lambda offset: None,
                        lambda: True,
                    )
                assert isinstance(end, Lost)
                assert server.endless_bytes < 2 * SOCKET_BYTES

        trio.run(run)

    @pytest.mark.parametrize("form", FORMS)
    def test_exchanges(self, form):
        """Guards against small requests and probes that read all that a server sends."""

        async def run():
            async with backend_and_server(Endless(form)) as (backend, target, server):
                with trio.fail_after(4):
                    assert await backend.post(target, "/v1/reserve", {}, 10.0) is None
                    assert await backend.cache_events(target, 0) is None
                    assert not await backend.refuses_connections(target)
                assert server.endless_bytes < 4 * SOCKET_BYTES

        trio.run(run)

    def test_sound_answer(self):
        """Guards against a limit that cuts a long answer of a plain service."""

        async def run():
            body = b'{"text":"%b"}' % (b"x" * 10_000_000)
            async with backend_and_server(Whole(body)) as (backend, target, _):
                response = await backend.call(target, {})
                assert response.status_code == 200
                assert response.content == body

        trio.run(run)


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
