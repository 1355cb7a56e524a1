"""Bodies of requests: which are refused before they arrive, and which are served."""

import pytest
import trio

from siskinspoke.gateway.forwarding.receiving import ForwardServer
from tests.platform.site import HOST, KEY, gateway_site, read_answer, servers
from tests.platform.standin_server import Whole

BODY_BYTES = 4_194_304
CHUNKED, EXPECT = "Transfer-Encoding: chunked", "Expect: 100-continue"


def head(path: str, *lines: str, key: str = KEY) -> bytes:
    """Return the head of a request with a body."""
    fields = (f"Host: {HOST}", "Request-Id: r1", f"Api-Key: {key}", "Deadline-Ms: 2500")
    return "\r\n".join([f"POST {path} HTTP/1.1", *fields, *lines]).encode() + b"\r\n\r\n"


def chunked(body: bytes, size: int) -> bytes:
    """Return a body in chunks of a size."""
    parts = (body[start : start + size] for start in range(0, len(body), size))
    return b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"


class TestRefusalByHead:
    """A request that its head shows to be refused gets its answer before it sends the body."""

    @pytest.mark.parametrize(
        ("data", "status"),
        [
            (head("/again/x", f"Content-Length: {BODY_BYTES + 1}"), 413),
            (head("/again/x", f"Content-Length: {BODY_BYTES + 1}", EXPECT), 413),
            (head("/again/x", "Content-Length: 10000000000000000000"), 413),
            (head("/nothing/x", f"Content-Length: {BODY_BYTES}"), 404),
            (head("/nothing/x", CHUNKED), 404),
            (head("/again/x", CHUNKED, key="unknown"), 401),
            (head("/again/x", f"Content-Length: {BODY_BYTES}", EXPECT, key="unknown"), 401),
        ],
    )
    def test_answer_comes_first(self, tmp_path, data, status):
        """Guards against a body that is asked for, or taken in, and refused after that."""

        async def run():
            async with gateway_site(tmp_path) as site:
                async with await site.connect() as stream:
                    await stream.send_all(data)
                    with trio.fail_after(2):
                        answer = await read_answer(stream)
                        assert (answer.status, answer.whole) == (status, True)
                        # The gateway closes its sending side, and reads on.
                        assert await stream.receive_some() == b""
                    await stream.send_all(b"x")
                assert site.gateway.clients.arrivals.budget.held == 0

        trio.run(run)

    def test_stranger_at_the_peers_port(self, tmp_path):
        """Guards against bodies of strangers on the port for peers."""

        async def run():
            async with gateway_site(tmp_path) as site, trio.open_nursery() as nursery:
                (listener,) = await nursery.start(ForwardServer(site.gateway).serve, site.host, 0)
                port = listener.socket.getsockname()[1]
                async with await trio.open_tcp_stream(site.host, port) as stream:
                    await stream.send_all(head("/again/x", f"Content-Length: {BODY_BYTES}"))
                    with trio.fail_after(2):
                        answer = await read_answer(stream)
                    assert 400 <= answer.status < 500
                nursery.cancel_scope.cancel()

        trio.run(run)


class TestServedBodies:
    """A single request inside the limits is served, whatever the form of its body."""

    @pytest.mark.parametrize(
        ("framing", "body"),
        [
            (f"Content-Length: {BODY_BYTES}", b"x" * BODY_BYTES),
            (CHUNKED, chunked(b"x" * BODY_BYTES, 65_536)),
            (CHUNKED, chunked(b"x" * 20_000, 2)),
        ],
        ids=["length", "chunks", "small chunks"],
    )
    def test_body_is_served(self, tmp_path, framing, body):
        """Guards against a limit that a sound client meets in calm."""

        async def run():
            async with gateway_site(tmp_path) as site, servers(site, "plain", [Whole()]) as (one,):
                async with await site.connect() as stream:
                    await stream.send_all(head("/again/x", framing) + body)
                    answer = await read_answer(stream)
                assert answer.status == 200, answer.raw
                expected = BODY_BYTES if len(body) >= BODY_BYTES else 20_000
                assert len(one.seen[-1].body) == expected
                with trio.fail_after(2):
                    while site.gateway.clients.arrivals.budget.held:
                        await trio.sleep(0.01)

        trio.run(run)
