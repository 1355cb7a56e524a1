"""Run clients that exceed limits, or stop short of them, in a process of their own.

``python -m tests.crowds.client_crowd TARGET FORM COUNT``, TARGET as JSON.  In the process of a
test, they would take the processor from the sound servers and clients there.
"""

import json
import subprocess
import sys
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import NamedTuple

import trio

from siskinspoke.testing.fleet import STOP_SECONDS

# A crowd is settled when all clients wait or have been closed, or after this time.
SETTLE_SECONDS = 20.0
# Time for the last answers to arrive before the clients close.
LAST_ANSWERS_SECONDS = 1.0
CHUNK_BYTES = 65_536
ANNOUNCED_BYTES = 1_000_000_000
FRAME_BYTES = 31_000_000
# A client that starts again does so at most this often.
MAX_STARTS = 8
RESTART_SECONDS = 0.2


class Target(NamedTuple):
    """Where the clients send to; ``size`` is the limit on a body in bytes."""

    host: str
    port: int
    path: str = "/again/x"
    headers: tuple[str, ...] = ()
    size: int = 4_194_304

    def head(self, *lines: str) -> bytes:
        """Return the head of a request with a body."""
        all_lines = [f"POST {self.path} HTTP/1.1", *self.headers, *lines]
        return "\r\n".join(all_lines).encode() + b"\r\n\r\n"


class Outcome(NamedTuple):
    """How the connections of a crowd ended, by status of the answer, ``closed`` or ``reset``."""

    ended: dict[str, int]


def chunk(size: int) -> bytes:
    """Return one chunk of a body."""
    return b"%x\r\n" % size + b"x" * size + b"\r\n"


async def send_length(target: Target, stream: trio.SocketStream, _closed: trio.Event) -> None:
    """Send a body that is one byte short of its end."""
    await stream.send_all(target.head(f"Content-Length: {target.size}"))
    await stream.send_all(b"x" * (target.size - 1))


async def send_chunks(target: Target, stream: trio.SocketStream, _closed: trio.Event) -> None:
    """Send a body in large chunks, without the last one."""
    await stream.send_all(target.head("Transfer-Encoding: chunked"))
    for _ in range(target.size // CHUNK_BYTES):
        await stream.send_all(chunk(CHUNK_BYTES))


async def send_small_chunks(target: Target, stream: trio.SocketStream, _closed) -> None:
    """Send a body in chunks of two bytes, without the last one."""
    await stream.send_all(target.head("Transfer-Encoding: chunked"))
    for _ in range(target.size // 2 // 8_192):
        await stream.send_all(chunk(2) * 8_192)


async def send_announced(target: Target, stream: trio.SocketStream, closed: trio.Event) -> None:
    """Announce a body far over the limit, and send it until the connection ends."""
    await stream.send_all(target.head(f"Content-Length: {ANNOUNCED_BYTES}"))
    while not closed.is_set():
        await stream.send_all(b"x" * CHUNK_BYTES)


async def send_endless(target: Target, stream: trio.SocketStream, closed: trio.Event) -> None:
    """Send chunks without end, until the connection ends."""
    await stream.send_all(target.head("Transfer-Encoding: chunked"))
    while not closed.is_set():
        await stream.send_all(chunk(CHUNK_BYTES))


async def send_expected(target: Target, stream: trio.SocketStream, _closed: trio.Event) -> None:
    """Ask for the interim answer, then send a body that is one byte short of its end."""
    await stream.send_all(target.head(f"Content-Length: {target.size}", "Expect: 100-continue"))
    await trio.sleep(RESTART_SECONDS)
    await stream.send_all(b"x" * (target.size - 1))


async def send_head(target: Target, stream: trio.SocketStream, closed: trio.Event) -> None:
    """Send a head without end, a line at a time."""
    await stream.send_all(target.head()[:-2])
    while not closed.is_set():
        await stream.send_all(b"X-More: 1\r\n")
        await trio.sleep(RESTART_SECONDS)


async def send_nothing(_target: Target, _stream: trio.SocketStream, _closed: trio.Event) -> None:
    """Send nothing."""


async def send_frame(_target: Target, stream: trio.SocketStream, _closed: trio.Event) -> None:
    """Send a frame between VMs that is one byte short of its end."""
    await stream.send_all(FRAME_BYTES.to_bytes(4, "big"))
    await stream.send_all(b"x" * (FRAME_BYTES - 1))


def final_status(received: bytes) -> str:
    """Return the status of the final answer, or an empty string if there is none."""
    lines = [line for line in received.split(b"\r\n") if line.startswith(b"HTTP/1.1 ")]
    statuses = [line.split(b" ")[1].decode() for line in lines]
    return next((status for status in statuses if not status.startswith("1")), "")


FORMS: dict[str, Callable] = {
    "length": send_length,
    "chunks": send_chunks,
    "small chunks": send_small_chunks,
    "announced": send_announced,
    "endless": send_endless,
    "expected": send_expected,
    "head": send_head,
    "silent": send_nothing,
    "frame": send_frame,
}
RESTARTING_FORMS = frozenset({"expected"})


class Crowd:
    """Clients of one form, and how their connections ended."""

    def __init__(self, target: Target, form: str):
        self._target = target
        self._form = form
        self._ended: Counter[str] = Counter()
        self._busy = 0
        self._settled = trio.Event()

    async def run(self, count: int) -> None:
        """Run clients until standard input is closed, then print how they ended."""
        self._busy = count
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(self._run_client)
            with trio.move_on_after(SETTLE_SECONDS):
                await self._settled.wait()
            print("settled", flush=True)
            await trio.to_thread.run_sync(sys.stdin.read)
            await trio.sleep(LAST_ANSWERS_SECONDS)
            nursery.cancel_scope.cancel()
        print(json.dumps(self._ended), flush=True)

    async def _run_client(self) -> None:
        starts = MAX_STARTS if self._form in RESTARTING_FORMS else 1
        for number in range(starts):
            self._ended[await self._run_connection(is_last=number == starts - 1)] += 1
            await trio.sleep(RESTART_SECONDS)

    def _count_settled(self) -> None:
        self._busy -= 1
        if self._busy <= 0:
            self._settled.set()

    async def _run_connection(self, is_last: bool) -> str:
        """Send on one connection until it ends; return how it ended."""
        try:
            stream = await trio.open_tcp_stream(self._target.host, self._target.port)
        except OSError:
            if is_last:
                self._count_settled()
            return "refused"
        closed, received, is_reset = trio.Event(), bytearray(), False
        async with stream, trio.open_nursery() as nursery:
            sending = trio.CancelScope()
            nursery.start_soon(self._receive, stream, closed, received, sending)
            with sending:
                try:
                    await FORMS[self._form](self._target, stream, closed)
                except trio.BrokenResourceError:
                    is_reset = True
            if is_last:
                self._count_settled()
        return "reset" if is_reset else final_status(bytes(received)) or "closed"

    async def _receive(
        self,
        stream: trio.SocketStream,
        closed: trio.Event,
        received: bytearray,
        sending: trio.CancelScope,
    ) -> None:
        """Receive until the connection ends or a refusal arrives, then stop sending."""
        try:
            while data := await stream.receive_some():
                received += data
                if final_status(bytes(received)):
                    break
        except trio.BrokenResourceError:
            pass
        closed.set()
        sending.cancel()


class RunningCrowd:
    """A crowd in a process of its own."""

    def __init__(self, process: subprocess.Popen):
        self._process = process

    def end(self) -> Counter[str]:
        """Let the clients close; return how their connections ended."""
        output, _ = self._process.communicate(timeout=SETTLE_SECONDS + STOP_SECONDS)
        return Counter(json.loads(output))


@contextmanager
def client_crowd(
    target: Target, form: str, count: int, settle: bool = True
) -> Iterator[RunningCrowd]:
    """Run a crowd while the context is open, which is entered when the crowd is settled.

    Without ``settle``, it is entered as the crowd starts.
    """
    command = [sys.executable, "-m", __spec__.name, json.dumps(target), form, str(count)]
    pipe = subprocess.PIPE
    with subprocess.Popen(command, stdin=pipe, stdout=pipe, text=True) as process:
        try:
            if settle:
                assert process.stdout.readline() == "settled\n"
            yield RunningCrowd(process)
        finally:
            process.kill()
            process.wait(STOP_SECONDS)


if __name__ == "__main__":
    host, port, path, headers, size = json.loads(sys.argv[1])
    crowd = Crowd(Target(host, port, path, tuple(headers), size), sys.argv[2])
    trio.run(crowd.run, int(sys.argv[3]))
