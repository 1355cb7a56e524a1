"""Limits on what a backend server may send for one answer."""

import pytest
import trio
import trio.testing

from siskinspoke.transport.chunks import MIN_CHUNKS
from siskinspoke.transport.http1 import (
    CHUNKS_PER_TURN,
    MAX_INTERIM_ANSWERS,
    InvalidAnswerError,
    RequestHead,
    ServerConnection,
)

INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunks(data: bytes, count: int) -> bytes:
    """Return chunks with the same data."""
    return b"%x\r\n%b\r\n" % (len(data), data) * count


async def read(data: bytes) -> bytes:
    """Return the body of an answer that a server sends."""
    own, servers = trio.testing.memory_stream_pair()
    connection = ServerConnection(own, 0.0)
    await connection.send_request(RequestHead("GET", "/", [(b"Host", b"h")]), b"")
    await servers.send_all(data)
    await servers.aclose()
    await connection.read_head()
    body = b""
    while (part := await connection.read_body_part()) is not None:
        body += part
    return body


class TestInterimAnswers:
    """Answers with status 1xx come before an answer."""

    def test_some_are_skipped(self):
        """Guards against a limit that fails a sound answer."""
        assert trio.run(read, INTERIM * MAX_INTERIM_ANSWERS + WHOLE) == b"done"

    def test_too_many(self):
        """Guards against reading interim answers without end."""
        with pytest.raises(InvalidAnswerError):
            trio.run(read, INTERIM * (MAX_INTERIM_ANSWERS + 1) + WHOLE)


class TestChunks:
    """Chunks take processor time, however small they are."""

    @pytest.mark.parametrize("data", [b"abc", b"data: x\n\n"])
    def test_short_chunks_of_a_long_answer(self, data):
        """Guards against a limit that cuts a sound stream of short events."""
        count = 3 * MIN_CHUNKS
        assert trio.run(read, CHUNKED + chunks(data, count) + b"0\r\n\r\n") == data * count

    def test_tiny_chunks_of_a_short_answer(self):
        """Guards against a limit that cuts a short answer."""
        count = MIN_CHUNKS - 1
        assert trio.run(read, CHUNKED + chunks(b"x", count) + b"0\r\n\r\n") == b"x" * count

    def test_tiny_chunks_without_end(self):
        """Guards against an answer whose parsing takes all of the processor."""
        with pytest.raises(InvalidAnswerError):
            trio.run(read, CHUNKED + chunks(b"x", MIN_CHUNKS))

    def test_other_tasks_run(self):
        """Guards against parsing thousands of chunks in one turn of the event loop."""
        turns = []

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(count_turns)
                await read(CHUNKED + chunks(b"abcd", MIN_CHUNKS) + b"0\r\n\r\n")
                nursery.cancel_scope.cancel()

        async def count_turns() -> None:
            while True:
                turns.append(1)
                await trio.lowlevel.checkpoint()

        trio.run(run)
        assert len(turns) >= MIN_CHUNKS // CHUNKS_PER_TURN
