"""Tests of sealed frames, small and large."""

import pytest
import trio

from siskinspoke.protocol.feed import Publication
from siskinspoke.transport.frames import (
    LENGTH_BYTES,
    MAX_FRAME_BYTES,
    decode_frame,
    encode_frame,
    pop_frame,
)


class TestFrames:
    """Frames of any size survive a round trip; those sealed with another key are refused."""

    @pytest.mark.parametrize("routes", [0, 1, 1_000])
    def test_round_trip(self, routes):
        item = Publication(7, {"routes": [{"name": f"r{number}"} for number in range(routes)]})
        buffered = bytearray(encode_frame(b"k", item) + b"rest")
        frame = pop_frame(buffered)
        assert decode_frame(b"k", frame).ok == item
        assert buffered == b"rest"

    def test_large_messages_are_compressed(self):
        item = Publication(7, {"routes": [{"name": "r", "number": n} for n in range(1_000)]})
        assert len(encode_frame(b"k", item)) < 10_000

    def test_another_key(self):
        frame = encode_frame(b"k", Publication(7, {}))[LENGTH_BYTES:]
        assert decode_frame(b"other", frame).is_error()

    def test_long_frame_is_not_buffered(self):
        """Guards against a program without the key that fills the memory with one frame."""
        length = (MAX_FRAME_BYTES + 1).to_bytes(LENGTH_BYTES, "big")
        with pytest.raises(trio.BrokenResourceError):
            pop_frame(bytearray(length))
        assert MAX_FRAME_BYTES <= 32_000_000
