"""Back-offs requested by backend servers of the product's own interface."""

import random

import pytest
import trio

from siskinspoke.bench.slopes import announcement
from siskinspoke.coordination.directory import Directory
from siskinspoke.coordination.prefixes import PrefixIndex
from siskinspoke.coordination.routing import Router, RoutingRequest
from siskinspoke.core.counters import Counters
from siskinspoke.entry.backend import Backend
from siskinspoke.entry.context import now_ms, target_of
from siskinspoke.protocol.assembly import Assembler

HOST = "127.0.0.1"
ANSWER = b"HTTP/1.1 %d No\r\nRetry-After: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


async def choose_after_rejection(status: int, retry_after: bytes, path: str, servers: int = 1):
    """Send an attempt to a server that rejects it; return the server and the next choice."""

    async def serve(stream: trio.SocketStream) -> None:
        async with stream:
            await stream.receive_some(4_096)
            await stream.send_all(ANSWER % (status, retry_after))

    async def deliver(pieces) -> None:
        await trio.lowlevel.checkpoint()

    async with Backend(Counters()) as backend, trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, serve, 0)
        port = listeners[0].socket.getsockname()[1]
        directory = Directory(60_000)
        for number in range(servers):
            announced = announcement(number + 1, 1, "sala-a")
            announced = announced._replace(host=HOST, port=port, queued=[], free_tokens=400_000)
            directory.apply(
                announced._replace(total_tokens=400_000, prefill_rate=40_000.0), now_ms()
            )
        router = Router(directory, PrefixIndex(), "sala-a", backend.back_offs)
        target = target_of(directory.live(now_ms())[0])
        if path == "/v1/call":
            await backend.call(target, {})
        else:
            assembler = Assembler("r", 1, target.incarnation, 0)
            await backend.stream(target, path, {}, assembler, deliver, print, lambda: True)
        nursery.cancel_scope.cancel()
        work = RoutingRequest("redactor", 2_000, 10, 0, 0, [], 10_000.0)
        return target.server, router.choose(work, now_ms(), random.Random(1))


class TestBackOff:
    """A server that asks for a back-off gets no requests from this VM until it ends."""

    @pytest.mark.parametrize("path", ["/v1/generate", "/v1/call"])
    @pytest.mark.parametrize("status", [429, 503])
    def test_other_server_is_chosen(self, status, path):
        """Guards against sending the next request to a server that asked for a 3 s back-off."""
        server, chosen = trio.run(choose_after_rejection, status, b"3", path, 2)
        assert chosen.ok.servers[0].announcement.server != server

    def test_all_servers_back_off(self):
        """Guards against a refusal with a retry after 0.5 s while all servers back off for 3 s."""
        _, chosen = trio.run(choose_after_rejection, 503, b"3", "/v1/call")
        assert 2_500 <= chosen.error.retry_after_ms <= 5_000

    @pytest.mark.parametrize("value", [b"", b"-1", b"nan", b"Wed, 21 Oct 2026 07:28:00 GMT"])
    def test_invalid_retry_after(self, value):
        _, chosen = trio.run(choose_after_rejection, 503, value, "/v1/call")
        assert chosen.is_ok()
