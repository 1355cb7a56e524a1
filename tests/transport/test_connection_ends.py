"""Answers without a length, which are whole only if their connection ends in order."""

import errno

import pytest
import trio

from siskinspoke.transport.connection_ends import proves_orderly_end
from siskinspoke.transport.http1 import PeerError, RequestHead, ServerConnection
from siskinspoke.transport.sockets import reset_connection

# Longer than the buffers of a connection.
BODY = b"x" * 8_000_000
REQUEST = RequestHead("POST", "/", [(b"Host", b"h"), (b"Content-Length", b"%d" % len(BODY))])
HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"


async def _finish(stream: trio.SocketStream) -> None:
    """End a connection in order, whose data is unread."""
    await stream.send_eof()
    await stream.aclose()


async def _reset_after_end(stream: trio.SocketStream) -> None:
    await stream.send_eof()
    reset_connection(stream)


async def _reset(stream: trio.SocketStream) -> None:
    reset_connection(stream)


async def _close(stream: trio.SocketStream) -> None:
    await stream.aclose()


async def read_after_send(answer: bytes, end) -> bytes:
    """Return the body that is read after the write of the request has failed."""
    async with trio.open_nursery() as nursery:

        async def serve(stream: trio.SocketStream) -> None:
            await stream.receive_some()
            await stream.send_all(answer)
            await end(stream)

        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        stream = await trio.open_tcp_stream(*listeners[0].socket.getsockname())
        connection = ServerConnection(stream, 0.0)
        try:
            await connection.send_request(REQUEST, BODY)
            await connection.read_head()
            body = b""
            while (data := await connection.read_body_part()) is not None:
                body += data
            return body
        finally:
            connection.reset()
            nursery.cancel_scope.cancel()


def run(answer: bytes, end) -> bytes:
    """Run ``read_after_send`` and return its body, or raise its error by itself."""

    async def guarded() -> bytes | PeerError:
        try:
            return await read_after_send(answer, end)
        except* PeerError as errors:
            found.extend(errors.exceptions)

    found: list[BaseException] = []
    body = trio.run(guarded)
    if found:
        raise found[0]
    return body


class TestFailedWrites:
    """A server ends its connection while the request is written, and the write fails."""

    @pytest.mark.parametrize("end", [_reset, _close])
    def test_reset(self, end):
        """Guards against an end that looks orderly after the write has reported the reset."""
        with pytest.raises(PeerError) as raised:
            run(HEAD + b"part", end)
        assert raised.value.closed

    @pytest.mark.parametrize("end", [_finish, _reset_after_end])
    def test_orderly_end_before_the_reset(self, end):
        """Guards against failing a whole answer, because the rest of the request was not read."""
        assert run(HEAD + b"whole", end) == b"whole"

    @pytest.mark.parametrize("end", [_reset, _close, _finish])
    def test_answer_with_a_length(self, end):
        """Guards against failing an answer that its length proves whole."""
        assert run(LENGTH + b"done", end) == b"done"

    @pytest.mark.parametrize("end", [_reset, _close, _finish])
    def test_part_of_an_answer_with_a_length(self, end):
        """Guards against taking an answer shorter than its length for whole."""
        with pytest.raises(PeerError):
            run(LENGTH + b"d", end)


class TestErrors:
    """What the error of a write proves."""

    @pytest.mark.parametrize("number", [errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH])
    def test_other_errors(self, number):
        """Guards against taking a broken connection for one that has ended in order."""
        assert not proves_orderly_end(OSError(number, "broken"))

    def test_error_without_a_cause(self):
        """Guards against taking an error of another kind for a proof."""
        assert not proves_orderly_end(trio.BrokenResourceError("the link is cut"))

    def test_wrapped_error(self):
        """Guards against missing the error of the socket behind that of a library."""
        error = trio.BrokenResourceError("broken")
        error.__cause__ = BrokenPipeError(errno.EPIPE, "Broken pipe")
        assert proves_orderly_end(error)
