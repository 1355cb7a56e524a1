"""Requests that entry VMs of the product's own interface forward to each other."""

import random
from types import SimpleNamespace

import trio

from siskinspoke.conf.settings import EntryVM
from siskinspoke.core.codes import ResultCode, RunStatus
from siskinspoke.core.counters import Counters
from siskinspoke.entry.forwarding.receiving import read_origin
from siskinspoke.entry.forwarding.sending import (
    HEALTH_CHECK_SECONDS,
    CallerRequest,
    Exchange,
    Forwarder,
    relay_events,
)
from siskinspoke.protocol.forwarding import ForwardedRequest, digest_of, encode_forwarded
from siskinspoke.transport.http import make_client

HOST = "127.0.0.1"
KEY = b"k"
TARGET = "/v1/completions"
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


class TestOrigin:
    """Guards against callers that pretend to be a peer, and against changed requests."""

    def read(self, key: bytes, body: bytes):
        origin = ForwardedRequest("entry-1", 3, 12.0, digest_of("POST", TARGET, b"body"))
        headers = {"X-Siskinspoke-Forward": encode_forwarded(key, origin).decode()}
        settings = SimpleNamespace(internal_key=KEY)
        return read_origin(settings, Counters(), headers, TARGET, body)

    def test_sealed_request(self):
        assert self.read(KEY, b"body").version == 3

    def test_other_key_or_body(self):
        assert self.read(b"other", b"body").code is ResultCode.UNKNOWN_PEER
        assert self.read(KEY, b"other").code is ResultCode.UNKNOWN_PEER

    def test_request_of_a_caller(self):
        assert read_origin(SimpleNamespace(), Counters(), {}, TARGET, b"body") is None


async def ask_peer(answer, seconds: float, body: bytes | None = None) -> tuple[bytes | None, float]:
    """Forward a request to a peer that runs ``answer``; return the events and the time it took."""
    listeners = await trio.open_tcp_listeners(0, host=HOST)
    port = listeners[0].socket.getsockname()[1]
    peer, began, ended = EntryVM("p", "a", HOST, port, 0, ""), trio.current_time(), []
    async with make_client() as client, trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, answer, listeners)
        request = client.build_request("POST", f"http://127.0.0.1:{port}{TARGET}", content=body)
        deadline = trio.current_time() + seconds
        exchange = Exchange(client, peer, request, deadline, lambda: ended.append(True))
        nursery.start_soon(exchange.run)
        events = None
        if await exchange.head() is not None:
            events = b"".join([data async for data in relay_events(exchange)])
        nursery.cancel_scope.cancel()
    assert ended
    return events, trio.current_time() - began


async def forward(answer) -> object:
    """Forward a request of a VM that has one peer, which runs ``answer`` or does not listen."""
    listeners = await trio.open_tcp_listeners(0, host=HOST)
    port = listeners[0].socket.getsockname()[1]
    own, peer = EntryVM("o", "a", HOST, 1, 0, ""), EntryVM("p", "a", HOST, port, 0, "")
    async with Forwarder(HOST) as forwarder, trio.open_nursery() as nursery:
        context = SimpleNamespace(
            vm=own,
            settings=SimpleNamespace(entries=[own, peer], internal_key=KEY),
            holder=SimpleNamespace(current=SimpleNamespace(version=1)),
            counters=Counters(),
            nursery=nursery,
            rng=random.Random(1),
            request_opened=lambda: None,
            request_closed=lambda: None,
        )
        if answer is None:
            await listeners[0].aclose()
        else:
            nursery.start_soon(trio.serve_listeners, answer, listeners)
        now = trio.current_time()
        request = CallerRequest(TARGET, b"{}", {}, "m", now, now + 5)
        found = await forwarder.forward(context, request)
        nursery.cancel_scope.cancel()
    return found


class TestNotRun:
    """Guards against a refusal "not run" of a request that a peer may have sent to a server."""

    def test_peer_breaks_off(self):
        async def reads_and_closes(stream):
            await stream.receive_some()
            await stream.aclose()

        found = trio.run(forward, reads_and_closes)
        assert found.run_status is RunStatus.UNKNOWN

    def test_peer_does_not_listen(self):
        assert trio.run(forward, None) is None


class TestBrokenPeer:
    """Guards against callers that wait for a peer that is gone, or take a part for the whole."""

    def test_peer_that_is_frozen(self):
        async def frozen(stream):
            await trio.sleep_forever()

        events, took = trio.run(ask_peer, frozen, 10.0)
        assert events is None
        assert took < 3 * HEALTH_CHECK_SECONDS

    def test_stream_that_breaks_off(self):
        async def breaks_off(stream):
            await stream.receive_some()
            await stream.send_all(HEAD + b"9\r\ndata: 1\n\n\r\n5\r\ndata:\r\n")
            await stream.aclose()

        events, _ = trio.run(ask_peer, breaks_off, 10.0)
        assert events.startswith(b"data: 1\n\ndata: ")
        assert b"ENGINE_LOST" in events
        assert events.endswith(b"\n\n")
