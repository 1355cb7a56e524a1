"""Servers and peers of the product's own interface whose answers are broken or cut off."""

from contextlib import asynccontextmanager

import httpx
import pytest
import trio

from siskinspoke.core.counters import Counters
from siskinspoke.entry.backend import Backend, Lost
from siskinspoke.protocol.assembly import Assembler
from siskinspoke.protocol.claims import Target
from siskinspoke.transport.http import make_client
from siskinspoke.transport.sockets import reset_connection
from tests.entry.test_forwarding import ask_peer
from tests.platform.broken_answers import (
    CUT_HEADS,
    FIELDS,
    FOLDED,
    FOREIGN,
    INVALID_FIELDS,
    INVALID_STATUSES,
    PART,
    STATUS,
    UNFRAMED,
    UNREAD_ENDS,
    unread,
)
from tests.platform.standin_server import Raw, StandinServer

INVALID_HEADS = INVALID_STATUSES | INVALID_FIELDS | FOLDED
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


class TestUnreadRequests:
    """A server answers before it has read a long request, without a length."""

    @pytest.mark.parametrize("end", UNREAD_ENDS)
    def test_cut_answer(self, end):
        """Guards against taking a part of a body for the whole, where the end was a reset."""

        async def run():
            broken = unread(UNFRAMED + PART, *UNREAD_ENDS[end])
            async with backend_and_server(broken) as (backend, target):
                for _ in range(TRIES):
                    with pytest.raises(httpx.HTTPError):
                        await backend.call(target, LONG_INPUT)

        trio.run(run)

    @pytest.mark.parametrize("end", UNREAD_ENDS)
    def test_cut_answer_to_a_small_request(self, end):
        """Guards against using a part of an answer to an order or a question."""

        async def run():
            broken = unread(UNFRAMED + b"{}", *UNREAD_ENDS[end])
            async with backend_and_server(broken) as (backend, target):
                for _ in range(TRIES):
                    assert await backend.post(target, "/v1/cancel", LONG_INPUT, 5.0) is None

        trio.run(run)

    @pytest.mark.parametrize("end", UNREAD_ENDS)
    def test_cut_stream(self, end):
        """Guards against ending a stream as complete whose connection was reset."""

        async def run():
            broken = unread(UNFRAMED + PIECE, *UNREAD_ENDS[end])
            async with backend_and_server(broken) as (backend, target):
                for _ in range(TRIES):
                    attempt_end, _ = await run_stream(backend, target, LONG_INPUT)
                    assert isinstance(attempt_end, Lost)

        trio.run(run)

    @pytest.mark.parametrize("end_after", [0.0, 0.02])
    def test_sound_early_answer(self, end_after):
        """Guards against failing an early answer that is whole, though the rest was not read."""

        async def run():
            sound = unread(UNFRAMED + b'{"a":1}', "finish", end_after)
            async with backend_and_server(sound) as (backend, target):
                for _ in range(TRIES):
                    response = await backend.call(target, LONG_INPUT)
                    assert (response.status_code, response.content) == (200, b'{"a":1}')

        trio.run(run)

    @pytest.mark.parametrize("end", UNREAD_ENDS)
    def test_early_answer_with_a_length(self, end):
        """Guards against failing an answer that its length proves whole."""

        async def run():
            data = STATUS + FIELDS + b"Content-Length: 7\r\n\r\n" + b'{"a":1}'
            async with backend_and_server(unread(data, *UNREAD_ENDS[end])) as (backend, target):
                for _ in range(TRIES):
                    response = await backend.call(target, LONG_INPUT)
                    assert (response.status_code, response.content) == (200, b'{"a":1}')

        trio.run(run)

    @pytest.mark.parametrize("end", ["reset", "close"])
    def test_forwarded_stream(self, end):
        """Guards against ending a stream as complete whose peer has reset the connection."""
        head = UNFRAMED.replace(b"\r\n\r\n", b"\r\nContent-Type: text/event-stream\r\n\r\n")

        async def answer(stream: trio.SocketStream) -> None:
            await stream.receive_some()
            await stream.send_all(head + b"data: x\n\n")
            if end == "reset":
                reset_connection(stream)
            else:
                await stream.aclose()

        async def run():
            events, _ = await ask_peer(answer, 3.0, LONG_INPUT["input"].encode())
            assert events.startswith(b"data: x\n\n")
            assert b"ENGINE_LOST" in events

        trio.run(run)


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
            data = INVALID_HEADS[form].replace(b"done", PIECE).replace(FOREIGN, b"")
            async with backend_and_server(Raw(data)) as (backend, target):
                end, delivered = await run_stream(backend, target, {})
                assert isinstance(end, Lost)
                assert delivered == []

        trio.run(run)

    @pytest.mark.parametrize("form", INVALID_HEADS)
    def test_exchanges(self, form):
        """Guards against orders and questions that are answered by an invalid head."""

        async def run():
            data = INVALID_HEADS[form].replace(b"done", b"{  }").replace(FOREIGN, b"")
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

    @pytest.mark.parametrize("body", [b" {}", b"\r\n {}", b"\n\t{}\r\n\r\n"])
    def test_body_that_begins_with_a_blank(self, body):
        """Guards against failing a sound answer for blanks in its body."""

        async def run():
            data = STATUS + FIELDS + b"Content-Length: %d\r\n\r\n" % len(body) + body
            async with backend_and_server(Raw(data)) as (backend, target):
                assert (await backend.call(target, {})).content == body

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


class TestKeptConnections:
    """Several answers on one connection."""

    def test_each_head_is_checked(self):
        """Guards against checking only the first answer of a connection."""

        async def run():
            answers = [
                STATUS + DONE,
                STATUS + DONE,
                STATUS + b"X-Name: 1\r\n X-Other: 1\r\n" + DONE,
            ]

            async def serve(stream: trio.SocketStream) -> None:
                for answer in answers:
                    await stream.receive_some()
                    await stream.send_all(answer)
                await trio.sleep_forever()

            async with trio.open_nursery() as nursery, make_client() as client:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                port = listeners[0].socket.getsockname()[1]
                nursery.start_soon(trio.serve_listeners, serve, listeners)
                for _ in range(2):
                    assert (await client.get(f"http://127.0.0.1:{port}/")).content == b"done"
                with pytest.raises(httpx.RemoteProtocolError):
                    await client.get(f"http://127.0.0.1:{port}/")
                nursery.cancel_scope.cancel()

        trio.run(run)
