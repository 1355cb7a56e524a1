"""Tests of the minimal HTTP server: an invalid request closes only its own connection."""

import gc
import random

import pytest
import trio

from siskinspoke.coordination.read_budget import HeldData
from siskinspoke.transport.calls import BodyLimits, Call, Reply, serve_calls
from siskinspoke.transport.http1 import BadRequestError
from tests.client_resources import unlogged_resources

BOUNDS = BodyLimits(max_bytes=1_000, timeout_seconds=0.3)
VALID_REQUEST = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
UNUSUAL_REQUESTS = [
    b"HEAD /x HTTP/1.1\r\nHost: a\r\n\r\n",
    b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET /x HTTP/1.1\r\nHost: a\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n\r\n",
    b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\nab",
    b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab",
    b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n",
    b"A" * 20_000,
    b"\x00\xff\r\n\r\n",
]


async def answer(call: Call) -> Reply:
    """Answer with the call's path, or raise an exception for /fault."""
    if call.path == "/fault":
        raise ValueError("a fault")
    return Reply(200, call.path.encode(), "text/plain")


async def exchange(port: int, data: bytes) -> bytes:
    """Send bytes and return the first data received within 1 s."""
    received = b""
    with trio.move_on_after(1.0):
        try:
            async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
                await stream.send_all(data)
                received = await stream.receive_some()
        except trio.BrokenResourceError:
            return received
    return received


class TestUnusualRequests:
    """Guards against an unusual request that ends the server and with it the control VM."""

    @pytest.mark.parametrize("data", [*UNUSUAL_REQUESTS, VALID_REQUEST.replace(b"/x", b"/fault")])
    def test_other_connections_are_served(self, data):
        async def run():
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(
                    serve_calls, answer, BOUNDS, unlogged_resources(), "127.0.0.1", 0
                )
                port = listeners[0].socket.getsockname()[1]
                await exchange(port, data)
                assert (await exchange(port, VALID_REQUEST)).startswith(b"HTTP/1.1 200")
                nursery.cancel_scope.cancel()

        trio.run(run)

    def test_corrupted_bytes(self):
        async def run():
            rng = random.Random(1)
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(
                    serve_calls, answer, BOUNDS, unlogged_resources(), "127.0.0.1", 0
                )
                port = listeners[0].socket.getsockname()[1]
                async with trio.open_nursery() as callers:
                    for _ in range(200):
                        data = bytearray(rng.choice(UNUSUAL_REQUESTS))
                        for _ in range(rng.randrange(1, 5)):
                            data[rng.randrange(len(data))] = rng.randrange(256)
                        callers.start_soon(exchange, port, bytes(data))
                assert (await exchange(port, VALID_REQUEST)).startswith(b"HTTP/1.1 200")
                nursery.cancel_scope.cancel()

        trio.run(run)


class TestUnreadAnswers:
    """Clients that ask for long answers and read none."""

    def test_connections_are_closed(self):
        """Guards against answers that are held for good, in no share of the memory plan."""
        resources = unlogged_resources()

        async def answer_at_length(call):
            return Reply(200, b"x" * 8_000_000)

        async def run():
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(
                    serve_calls, answer_at_length, BOUNDS, resources, "127.0.0.1", 0
                )
                port = listeners[0].socket.getsockname()[1]
                streams = [await trio.open_tcp_stream("127.0.0.1", port) for _ in range(3)]
                for stream in streams:
                    await stream.send_all(VALID_REQUEST)
                with trio.fail_after(5):
                    while resources.arrivals.budget.peak < 3 * 8_000_000:
                        await trio.sleep(0.01)
                    while resources.connections.table.count:
                        await trio.sleep(0.01)
                assert resources.arrivals.budget.held == 0
                nursery.cancel_scope.cancel()

        trio.run(run)


class TestRefusedBodies:
    """Bodies over the limit, whose connections are read on for a while."""

    def test_body_is_freed(self):
        """Guards against refused bodies that stay in memory and no longer count."""
        resources = unlogged_resources()
        limits = BodyLimits(max_bytes=1_000_000, timeout_seconds=2.0)
        body = b"f4240\r\n" + b"x" * 1_000_000 + b"\r\n" + b"1\r\nx\r\n"
        head = b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"

        async def run():
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(
                    serve_calls, answer, limits, resources, "127.0.0.1", 0
                )
                port = listeners[0].socket.getsockname()[1]
                async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
                    await stream.send_all(head + body)
                    assert (await stream.receive_some()).startswith(b"HTTP/1.1 413")
                    await trio.sleep(0.05)
                    held = [item for item in gc.get_objects() if type(item) is HeldData]
                    frames = [item for item in gc.get_objects() if type(item) is BadRequestError]
                    assert not [item for item in held if item.size]
                    assert not frames
                nursery.cancel_scope.cancel()

        trio.run(run)
