"""Pieces of an answer on their way from a backend server to the caller."""

from types import SimpleNamespace

import msgspec
import trio

from siskinspoke.core.counters import Counters
from siskinspoke.core.standstill import Standstill
from siskinspoke.entry.backend import Backend, Completed, Lost
from siskinspoke.entry.completions import CompletionJob
from siskinspoke.entry.requests import Completion
from siskinspoke.protocol.assembly import Assembler, Piece
from siskinspoke.protocol.claims import Target
from siskinspoke.protocol.engine import Chunk

HOST = "127.0.0.1"
WHOLE = (Chunk("r", 1, 7, 0, 1, "a ", False), Chunk("r", 1, 7, 1, 0, "", True))
# The watch gives a silent server up after half a second at the earliest.
BETWEEN_CHUNKS_SECONDS = 1.6


def make_job() -> CompletionJob:
    limits = SimpleNamespace(reader_timeout_ms=1_000)
    configuration = SimpleNamespace(limits=limits)
    context = SimpleNamespace(
        holder=SimpleNamespace(current=SimpleNamespace(configuration=configuration)),
        standstill=Standstill(0.0),
    )
    completion = Completion(
        "m", "x" * 40, 4, stream=True, timeout_ms=9_000, idempotent=True, key=None
    )
    return CompletionJob(context, None, completion, "r", trio.current_time() + 9)


async def serve(stream: trio.SocketStream, answers_questions: bool) -> None:
    """Speak as an engine that pauses between two chunks, and may answer small questions."""
    async with stream:
        asked = await stream.receive_some(4_096)
        if asked.startswith(b"GET"):
            if not answers_questions:
                await trio.sleep_forever()
            body = b'{"first":0,"events":[]}'
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n"
            await stream.send_all(head % len(body) + body)
            return
        await stream.send_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
        for chunk in WHOLE:
            await trio.sleep(BETWEEN_CHUNKS_SECONDS)
            await stream.send_all(msgspec.json.encode(chunk) + b"\n")


async def read_answer(answers_questions: bool):
    """Return how an attempt ends at a server that announces itself no more."""
    async with Backend(Counters()) as backend, trio.open_nursery() as nursery:
        listeners = await nursery.start(
            trio.serve_tcp, lambda stream: serve(stream, answers_questions), 0
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
    """What is given up in the moment in which it arrives is not counted as delivered."""

    def test_pieces_given_up_on_the_way_come_again(self):
        """A clerk's answer lacks words in its middle, and still ends as complete.

        An entry VM freezes in mid-answer and thaws.  Pieces have arrived and their server's
        announcements have lapsed, so the watch gives the attempt up before the pieces are
        handed on.  They were counted, and the next attempt began behind them.
        """

        async def run() -> CompletionJob:
            job = make_job()
            with trio.CancelScope() as given_up:
                given_up.cancel()
                await job._deliver([Piece(0, 2, "a b ")], None)
            return job

        job = trio.run(run)
        assert job.tokens == 0
        assert job._progress.text == []


class TestSilentServers:
    """A server that is silent and announces itself no more is asked before it is given up."""

    def test_busy_server_is_waited_for(self):
        """A resumed stream fails though its engine is well.

        The entry VM dies to which the engine announced itself, so its lease lapses at the
        others; the engine needs more than half a second for a token.
        """
        assert trio.run(read_answer, True) == Completed(1)

    def test_frozen_server_is_given_up(self):
        """A frozen engine keeps its connections open and answers nothing."""
        end = trio.run(read_answer, False)
        assert isinstance(end, Lost)
        assert end.reason == "server fell silent"
