"""Servers and peers of the product's own interface whose answers are broken or cut off."""

from contextlib import asynccontextmanager

import httpx
import pytest
import trio

from siskinspoke.core.counters import Counters
from siskinspoke.entry.backend import Backend, Lost
from siskinspoke.protocol.assembly import Assembler
from siskinspoke.protocol.claims import Target
from tests.platform.broken_answers import (
    CUT_HEADS,
    INVALID_FIELDS,
    INVALID_STATUSES,
)
from tests.platform.standin_server import Raw, StandinServer

INVALID_HEADS = INVALID_STATUSES | INVALID_FIELDS
# Longer than the buffers of a connection, so that it is still being written when the answer comes.
LONG_INPUT = {"input": "x" * 16_000_000}
# The order in which the event loop runs two tasks may decide what a call sees.
TRIES = 6
DONE = b"Content-Length: 4\r\n\r\ndone"
# A whole piece of a stream, without the line that ends the stream.
PIECE = b'["r",1,1,0,1,"a ",false]\n'


@asynccontextmanager
async def backend_and_server(behaviour):
    """Run a stand-in server, and yield a backend client and its target."""
    async with trio.open_nursery() as nursery, Backend(Counters()) as backend:
        server = StandinServer("e1")
        server.script.append(behaviour)
        await nursery.start(server.serve)
        yield backend, Target("e1", 1, server.host, server.port)
        nursery.cancel_scope.cancel()


async def run_stream(backend: Backend, target: Target, body: dict) -> tuple[object, list]:
    """Run a stream; return how it ended, and the pieces that were delivered."""
    delivered = []

    async def deliver(pieces):
        delivered.extend(pieces)

    end = await backend.stream(
        target,
        "/v1/start",
        body,
        Assembler("r", 1, 1, 0),
        deliver,
        lambda offset: None,
        lambda: True,
    )
    return end, delivered


class TestInvalidHeads:
    """The head of an answer that is no HTTP."""

    @pytest.mark.parametrize("form", INVALID_HEADS)
    def test_call(self, form):
        """Guards against an answer with an invalid head that is taken for an answer."""

        async def run():
            async with backend_and_server(Raw(INVALID_HEADS[form])) as (backend, target):
                with pytest.raises(httpx.HTTPError):
                    await backend.call(target, {})

        trio.run(run)

    @pytest.mark.parametrize("form", INVALID_HEADS)
    def test_stream(self, form):
        """Guards against a stream that begins with an invalid head."""

        async def run():
            data = INVALID_HEADS[form].replace(b"done", PIECE)
            async with backend_and_server(Raw(data)) as (backend, target):
                end, delivered = await run_stream(backend, target, {})
                assert isinstance(end, Lost)
                assert delivered == []

        trio.run(run)

    @pytest.mark.parametrize("form", INVALID_HEADS)
    def test_exchanges(self, form):
        """Guards against orders and questions that are answered by an invalid head."""

        async def run():
            data = INVALID_HEADS[form].replace(b"done", b"{  }")
            async with backend_and_server(Raw(data)) as (backend, target):
                assert await backend.post(target, "/v1/cancel", {}) is None
                assert not await backend.answers(target, 1.0)

        trio.run(run)

    @pytest.mark.parametrize("form", INVALID_HEADS)
    def test_is_no_crash(self, form):
        """Guards against taking a server for crashed that sends bytes which are no answer."""

        async def run():
            async with backend_and_server(Raw(INVALID_HEADS[form])) as (backend, target):
                assert not await backend.refuses_connections(target)

        trio.run(run)


class TestCutHeads:
    """A server that stops in the middle of the head of its answer."""

    @pytest.mark.parametrize("end", ["finish", "reset"])
    @pytest.mark.parametrize("place", CUT_HEADS)
    def test_call(self, place, end):
        """Guards against an empty or short body, taken for whole, after half a head."""

        async def run():
            async with backend_and_server(Raw(CUT_HEADS[place], end, 0.01)) as (backend, target):
                with pytest.raises(httpx.HTTPError):
                    await backend.call(target, {})

        trio.run(run)
