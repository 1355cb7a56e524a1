"""Framing of sealed messages on a byte stream: length, seal, body."""

import math
import zlib
from collections.abc import AsyncIterator, Iterable
from typing import Any

import trio
from expression import Error, Result

from siskinspoke.coordination.connection_table import ConnectionState, TrackedConnection
from siskinspoke.coordination.read_budget import HeldData
from siskinspoke.protocol import decode_message, encode_message, seal, unseal
from siskinspoke.transport.client_resources import BodyArrivals

LENGTH_BYTES = 4
# A frame is buffered whole before its seal can be checked.
MAX_FRAME_BYTES = 32_000_000
READ_BYTES = 262_144
# Messages over this size are compressed; configurations shrink to a sixth. The first byte of a
# zlib stream is "x", that of an uncompressed message a bracket.
COMPRESSION_THRESHOLD_BYTES = 4_096
COMPRESSION_LEVEL = 1
COMPRESSED_PREFIX = b"x"
# A write times out after this time, plus the time for its size at 10 MB/s.
WRITE_TIMEOUT_SECONDS = 1.0
MIN_WRITE_BYTES_PER_SECOND = 10_000_000


def encode_frame(key: bytes, item: Any) -> bytes:
    """Encode a message as a frame."""
    message = encode_message(item)
    if len(message) > COMPRESSION_THRESHOLD_BYTES:
        message = zlib.compress(message, COMPRESSION_LEVEL)
    body = seal(key, message)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def decode_frame(key: bytes, frame: bytes) -> Result[Any, str]:
    """Decode a frame without its length prefix; return the reason if it is invalid."""
    message = unseal(key, frame)
    if message is None:
        return Error("seal")
    if message.startswith(COMPRESSED_PREFIX):
        # The sender holds the key, so the decompressed size needs no limit.
        message = zlib.decompress(message)
    decoded = decode_message(message)
    return decoded if decoded.is_ok() else Error("message")


def pop_frame(buffered: bytearray) -> bytes | None:
    """Remove the next complete frame from a buffer and return it without its length prefix."""
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


async def send_frames(stream: trio.SocketStream, frames: Iterable[bytes]) -> int:
    """Send frames, with a timeout, and return their total size in bytes."""
    data = b"".join(frames)
    with trio.fail_after(WRITE_TIMEOUT_SECONDS + len(data) / MIN_WRITE_BYTES_PER_SECOND):
        await stream.send_all(data)
    return len(data)


class FrameReader:
    """Reads the frames of a peer that has connected.

    Any program can connect. Until a frame has proved that the peer holds the internal key, what it
    sends counts towards the bodies in arrival, and may have to give way to them.
    """

    def __init__(
        self, stream: trio.SocketStream, tracked: TrackedConnection, arrivals: BodyArrivals
    ):
        self._stream = stream
        self._tracked = tracked
        self._arrivals = arrivals
        self._buffered = bytearray()
        self._held: HeldData | None = None
        self._proved = False

    def accept_key(self) -> None:
        """Record that the peer holds the internal key."""
        self._proved = True
        self._release()
        self._tracked.change(ConnectionState.RUNNING)

    async def frames(self, timeout_seconds: float = math.inf) -> AsyncIterator[bytes]:
        """Yield frames until the peer closes; raise TooSlowError if it sends nothing for too long.

        Raise BrokenResourceError if an unproved peer sends more than there is room for.
        """
        try:
            while True:
                with trio.fail_after(timeout_seconds):
                    data = await self._stream.receive_some(READ_BYTES)
                if not data:
                    return
                self._buffered += data
                self._hold(len(data))
                while (frame := pop_frame(self._buffered)) is not None:
                    yield frame
        finally:
            self._release()

    def _hold(self, size: int) -> None:
        if self._proved:
            return
        if self._held is None:
            self._tracked.change(ConnectionState.ARRIVING)
            self._held = self._arrivals.open(self._stream.socket.close)
        self._held.add(size)
        if self._held.is_evicted:
            self._buffered.clear()
            raise trio.BrokenResourceError

    def _release(self) -> None:
        if self._held is not None:
            self._held.release()
            self._held = None


async def receive_frames(stream: trio.SocketStream, timeout_seconds: float) -> AsyncIterator[bytes]:
    """Yield frames until the peer closes; raise TooSlowError if it sends nothing for too long."""
    buffered = bytearray()
    while True:
        with trio.fail_after(timeout_seconds):
            data = await stream.receive_some(READ_BYTES)
        if not data:
            return
        buffered += data
        while (frame := pop_frame(buffered)) is not None:
            yield frame
