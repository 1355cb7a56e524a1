"""Tests of the readiness and metrics pages."""

import trio

from siskinspoke.core.counters import Counters
from siskinspoke.core.latencies import Latencies
from siskinspoke.transport.pages import Page, metrics_pages, serve_pages
from tests.client_resources import unlogged_resources


async def _get(stream: trio.SocketStream, path: str) -> bytes:
    await stream.send_all(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    data = b""
    with trio.fail_after(2):
        while b"\r\n\r\n" not in data:
            data += await stream.receive_some()
        head, _, body = data.partition(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
        while len(body) < length:
            body += await stream.receive_some()
    return head + b"\r\n\r\n" + body


def _run(pages, scenario):
    async def main():
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                serve_pages, pages, unlogged_resources(), "127.0.0.1", 0
            )
            port = listeners[0].socket.getsockname()[1]
            await scenario(port)
            nursery.cancel_scope.cancel()

    trio.run(main)


class TestPages:
    """Pages are generated for each request."""

    def test_answers_change_on_one_connection(self):
        status = [200]

        async def scenario(port):
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            assert (await _get(stream, "/readyz")).startswith(b"HTTP/1.1 200")
            status[0] = 503
            assert (await _get(stream, "/readyz")).startswith(b"HTTP/1.1 503")
            assert (await _get(stream, "/other")).startswith(b"HTTP/1.1 404")

        _run({"/readyz": lambda: Page(status[0])}, scenario)

    def test_invalid_http_closes_only_its_connection(self):
        async def scenario(port):
            bad = await trio.open_tcp_stream("127.0.0.1", port)
            await bad.send_all(b"\x00\x01nonsense\r\n\r\n")
            with trio.fail_after(2):
                received = b"".join([data async for data in bad])
            assert received.startswith(b"HTTP/1.1 400")
            good = await trio.open_tcp_stream("127.0.0.1", port)
            assert (await _get(good, "/readyz")).startswith(b"HTTP/1.1 200")

        _run({"/readyz": lambda: Page(200)}, scenario)

    def test_metrics(self):
        counters, latencies = Counters(), Latencies()
        counters.count("ended.served", 3)
        latencies.record("first_token", 120)

        async def scenario(port):
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            text = (await _get(stream, "/metrics")).decode()
            assert "siskinspoke_ended_served_total 3.0" in text
            assert 'siskinspoke_first_token_ms{quantile="0.5"}' in text

        _run(metrics_pages(counters, latencies), scenario)
