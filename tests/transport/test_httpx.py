"""HTTPX's behaviour with faulty servers, for which the gateway has an HTTP client of its own."""

import httpx
import trio

FIRST = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
EXTRA = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra"
CORRECT = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright"


class RawServer:
    """Answer each request with the next of ``answers``; send ``later`` after a delay."""

    def __init__(self, *answers: bytes, later: bytes = b"", later_seconds: float = 0.2):
        self._answers = list(answers)
        self._later = later
        self._later_seconds = later_seconds
        self.connections = 0
        self.requests = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        self.connections += 1
        try:
            while await stream.receive_some():
                self.requests += 1
                if not self._answers:
                    return
                await stream.send_all(self._answers.pop(0))
                if self._later:
                    later, self._later = self._later, b""
                    await trio.sleep(self._later_seconds)
                    await stream.send_all(later)
        except trio.BrokenResourceError:
            return
        finally:
            await trio.aclose_forcefully(stream)


def send_two_requests(server: RawServer, pause: float) -> list[str]:
    """Send two requests in sequence and return the bodies."""
    bodies = []

    async def run():
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            port = listeners[0].socket.getsockname()[1]
            nursery.start_soon(trio.serve_listeners, server.serve, listeners)
            async with httpx.AsyncClient(trust_env=False) as client:
                for _ in range(2):
                    response = await client.get(f"http://127.0.0.1:{port}/", timeout=3)
                    bodies.append(response.text)
                    await trio.sleep(pause)
            nursery.cancel_scope.cancel()

    trio.run(run)
    return bodies


class TestHttpx:
    """Unsolicited answers, immediate or late, and a close while a request is written."""

    def test_immediate_extra_answer_reaches_the_wrong_caller(self):
        """A server sends two answers to one request; the next caller receives the second."""
        server = RawServer(FIRST + EXTRA, CORRECT)
        assert send_two_requests(server, 0.1) == ["first", "extra"]
        assert server.connections == 1

    def test_late_extra_answer_reaches_the_wrong_caller(self):
        """The second answer arrives while the connection is in use again.

        The next caller cannot tell that it is not its own. The gateway therefore checks the request
        id of each answer before it forwards any data, which is impossible with HTTPX.
        """
        server = RawServer(FIRST, CORRECT, later=EXTRA)
        assert send_two_requests(server, 0.0) == ["first", "extra"]

    def test_close_during_write_proves_nothing(self):
        """The error is the same whether or not the server has read the request."""
        server = RawServer(FIRST)
        try:
            send_two_requests(server, 0.0)
        except* httpx.RemoteProtocolError:
            assert server.requests == 2
        else:
            raise AssertionError("the second request was answered")
