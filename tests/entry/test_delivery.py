"""Delivery of answer pieces from a backend server to the caller."""

from types import SimpleNamespace

import msgspec
import trio

from siskinspoke.coordination.forwarding.reach import Reach
from siskinspoke.core.counters import Counters
from siskinspoke.core.stall_detector import StallDetector
from siskinspoke.entry.backend import Backend, Completed, Lost
from siskinspoke.entry.completions import CompletionJob
from siskinspoke.entry.requests import Completion
from siskinspoke.protocol.assembly import Assembler, Piece
from siskinspoke.protocol.claims import Target
from siskinspoke.protocol.engine import Chunk

HOST = "127.0.0.1"
CHUNKS = (Chunk("r", 1, 7, 0, 1, "a ", False), Chunk("r", 1, 7, 1, 0, "", True))
# Longer than the 0.5 s of silence after which the watchdog may cancel an attempt.
CHUNK_INTERVAL_SECONDS = 1.6


def make_job() -> CompletionJob:
    limits = SimpleNamespace(reader_timeout_ms=1_000)
    configuration = SimpleNamespace(limits=limits)
    context = SimpleNamespace(
        holder=SimpleNamespace(current=SimpleNamespace(configuration=configuration)),
        stall_detector=StallDetector(0.0),
        reach=Reach(),
    )
    completion = Completion(
        "m", "x" * 40, 4, stream=True, timeout_ms=9_000, idempotent=True, key=None
    )
    return CompletionJob(context, None, completion, "r", trio.current_time() + 9)


async def serve_engine(stream: trio.SocketStream, answers_probes: bool) -> None:
    """Act as an engine that pauses between chunks and, optionally, answers probes."""
    async with stream:
        asked = await stream.receive_some(4_096)
        if asked.startswith(b"GET"):
            if not answers_probes:
                await trio.sleep_forever()
            body = b'{"first":0,"events":[]}'
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n"
            await stream.send_all(head % len(body) + body)
            return
        await stream.send_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
        for chunk in CHUNKS:
            await trio.sleep(CHUNK_INTERVAL_SECONDS)
            await stream.send_all(msgspec.json.encode(chunk) + b"\n")


async def read_answer(answers_probes: bool):
    """Return the end of an attempt at a server that has stopped sending announcements."""
    async with Backend(Counters()) as backend, trio.open_nursery() as nursery:
        listeners = await nursery.start(
            trio.serve_tcp, lambda stream: serve_engine(stream, answers_probes), 0
        )
        port = listeners[0].socket.getsockname()[1]
        target = Target("engine-1", 7, HOST, port)
        nursery.start_soon(backend.watch_forever)

        async def deliver(pieces: list[Piece]) -> None:
            await trio.lowlevel.checkpoint()

        end = await backend.stream(
            target,
            "/v1/generate",
            {},
            Assembler("r", 1, 7, 0),
            deliver,
            lambda number: None,
            lambda: False,
        )
        nursery.cancel_scope.cancel()
    return end


class TestDelivery:
    """Pieces whose delivery is cancelled do not count as delivered."""

    def test_cancelled_pieces_are_not_counted(self):
        """Guards against a gap in an answer that is reported as complete.

        An entry VM resumes after a freeze.  Pieces have arrived, but the lease of their server
        has expired, so the watchdog cancels the attempt before the pieces are delivered.  If
        they were counted, the next attempt would begin after them.
        """

        async def run() -> CompletionJob:
            job = make_job()
            with trio.CancelScope() as scope:
                scope.cancel()
                await job._deliver([Piece(0, 2, "a b ")], None)
            return job

        job = trio.run(run)
        assert job.tokens == 0
        assert job._progress.text == []


class TestSilentServers:
    """A silent server without announcements is probed before its attempt is cancelled."""

    def test_busy_server_keeps_its_attempt(self):
        """Guards against a resumed stream that fails although its engine is healthy.

        The entry VM that received the announcements of the engine dies, so the lease expires at
        the other VMs, and the engine takes more than half a second for a token.
        """
        assert trio.run(read_answer, True) == Completed(1)

    def test_frozen_server_loses_its_attempt(self):
        """A frozen engine keeps its connections open and does not answer the probe."""
        end = trio.run(read_answer, False)
        assert isinstance(end, Lost)
        assert end.reason == "the server stopped responding"
