"""Links between control replicas: sealed messages in frames over TCP, each way its own.

HTTP would cost a replica 3 ms of CPU for each message; a frame costs a fraction of that, and
a claim needs several messages.
"""

import contextlib
from collections.abc import Awaitable, Callable
from typing import Any

import trio

from siskinspoke.core.counters import Counters
from siskinspoke.protocol import decode_message, encode_message, open_sealed, seal

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 256_000_000
READ_BYTES = 262_144
OUTBOX_MESSAGES = 512
CONNECT_SECONDS = 0.5
WRITE_SECONDS = 1.0
PAUSE_SECONDS = 0.1

Handler = Callable[[Any], Awaitable[None]]


class LinkSender:
    """Own the connection to one peer; messages that cannot leave are dropped and counted.

    Replication repeats what matters, so a full outbox may drop: a message that waited for a
    cut to heal would be of no use.
    """

    def __init__(
        self, host: str, port: int, key: bytes, counters: Counters, local_host: str | None = None
    ):
        self._address = (host, port)
        self._local_host = local_host
        self._key = key
        self._counters = counters
        self._send, self._receive = trio.open_memory_channel[Any](OUTBOX_MESSAGES)

    def send(self, item: Any) -> None:
        """Queue a message."""
        try:
            self._send.send_nowait(item)
        except trio.WouldBlock:
            self._counters.count("link.dropped")

    async def run(self) -> None:
        """Connect and send forever; after a break, connect anew."""
        while True:
            try:
                with trio.fail_after(CONNECT_SECONDS):
                    stream = await trio.open_tcp_stream(
                        *self._address, local_address=self._local_host
                    )
                async with stream, trio.open_nursery() as nursery:
                    nursery.start_soon(self._watch, stream, nursery.cancel_scope)
                    nursery.start_soon(self._pump, stream, nursery.cancel_scope)
            except (OSError, trio.TooSlowError):
                self._counters.count("link.broken")
            self._drain()
            await trio.sleep(PAUSE_SECONDS)

    async def _watch(self, stream: trio.SocketStream, scope: trio.CancelScope) -> None:
        """End the connection when the peer does.

        Followers send each other nothing until an election.  Without this the first vote
        request goes into the connection of a peer that has restarted since, is lost, and the
        election takes a timeout more.
        """
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.receive_some(1)
        self._counters.count("link.broken")
        scope.cancel()

    async def _pump(self, stream: trio.SocketStream, scope: trio.CancelScope) -> None:
        """Send queued messages until the peer is gone or takes none in time."""
        with contextlib.suppress(trio.BrokenResourceError, trio.TooSlowError):
            await self._send_forever(stream)
        scope.cancel()

    async def _send_forever(self, stream: trio.SocketStream) -> None:
        async for item in self._receive:
            frames = [self._frame(item)]
            while len(frames) < OUTBOX_MESSAGES:
                try:
                    frames.append(self._frame(self._receive.receive_nowait()))
                except trio.WouldBlock:
                    break
            data = b"".join(frames)
            with trio.fail_after(WRITE_SECONDS + len(data) / 10_000_000):
                await stream.send_all(data)
            self._counters.count("link.messages_sent", len(frames))
            self._counters.count("link.bytes_sent", len(data))

    def _frame(self, item: Any) -> bytes:
        body = seal(self._key, encode_message(item))
        return len(body).to_bytes(LENGTH_BYTES, "big") + body

    def _drain(self) -> None:
        """Drop what has queued up for a peer that cannot be reached."""
        while True:
            try:
                self._receive.receive_nowait()
            except trio.WouldBlock:
                return
            self._counters.count("link.dropped")


class LinkListener:
    """Hand every authentic message of every peer to a handler."""

    def __init__(self, key: bytes, counters: Counters, handle: Handler):
        self._key = key
        self._counters = counters
        self._handle = handle

    async def serve(self, host: str, port: int, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Listen forever."""
        await trio.serve_tcp(self._read, port, host=host, task_status=task_status)

    async def _read(self, stream: trio.SocketStream) -> None:
        buffered = bytearray()
        try:
            while data := await stream.receive_some(READ_BYTES):
                buffered += data
                while (frame := _take_frame(buffered)) is not None:
                    if not await self._accept(frame):
                        return
        except (OSError, trio.BrokenResourceError):
            self._counters.count("link.broken")

    async def _accept(self, frame: bytes) -> bool:
        """Handle one frame; False ends the connection of a peer that is not ours."""
        opened = open_sealed(self._key, frame)
        if opened.is_error():
            self._counters.count("link.refused.seal")
            return False
        decoded = decode_message(opened.ok)
        if decoded.is_error():
            self._counters.count("link.refused.message")
            return False
        self._counters.count("link.messages_received")
        await self._handle(decoded.ok)
        return True


def _take_frame(buffered: bytearray) -> bytes | None:
    """Cut the next whole frame off a buffer."""
    if len(buffered) < LENGTH_BYTES:
        return None
    length = int.from_bytes(buffered[:LENGTH_BYTES], "big")
    if length > MAX_FRAME_BYTES:
        raise trio.BrokenResourceError
    if len(buffered) < LENGTH_BYTES + length:
        return None
    frame = bytes(buffered[LENGTH_BYTES : LENGTH_BYTES + length])
    del buffered[: LENGTH_BYTES + length]
    return frame
