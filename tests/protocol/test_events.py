"""Tests of splitting a stream into server-sent events."""

import time

import pytest

from siskinspoke.protocol.events import (
    MAX_EVENT_BYTES,
    EventSplitter,
    InvalidStreamError,
    parse_event_id,
)

EVENTS = [b"id: 1\ndata: one\n\n", b"id: 2\ndata: two\n\n", b"data: none\r\n\r\n"]


class TestSplitting:
    """Events are complete, wherever the received data is split."""

    @pytest.mark.parametrize("size", [1, 2, 3, 7, 1_000])
    def test_any_split(self, size):
        splitter, data, found = EventSplitter(), b"".join(EVENTS), []
        for start in range(0, len(data), size):
            found += splitter.feed(data[start : start + size])
        assert found == EVENTS
        assert splitter.last_id == "2"
        assert splitter.incomplete == b""

    def test_incomplete_event_is_buffered(self):
        splitter = EventSplitter()
        assert splitter.feed(EVENTS[0] + b"id: 2\nda") == [EVENTS[0]]
        assert splitter.last_id == "1"
        assert splitter.incomplete == b"id: 2\nda"

    def test_id_of(self):
        assert parse_event_id(b"data: x\nid:7\n\n") == "7"
        assert parse_event_id(b"data: x\n\n") is None

    @pytest.mark.parametrize("size", [1, 2, 3, 1_000])
    def test_empty_lines_belong_to_the_next_event(self, size):
        """Guards against passing on line ends without end as events."""
        data = b"\n\n\r\n" + EVENTS[0] + b"\n" + EVENTS[1] + b"\n\n"
        splitter, found = EventSplitter(), []
        for start in range(0, len(data), size):
            found += splitter.feed(data[start : start + size])
        assert b"".join(found) == data[:-2]
        assert len(found) == 2
        assert splitter.incomplete == b""


class TestLimits:
    """Bytes that are no events, or no end of one."""

    @pytest.mark.parametrize("data", [b"\0", b"\n", b"data: x\n", b"\r\n"])
    def test_event_without_end(self, data):
        """Guards against an event that is buffered without limit."""
        splitter, part = EventSplitter(), data * 8_192
        with pytest.raises(InvalidStreamError):
            for _ in range(MAX_EVENT_BYTES // len(part) + 2):
                assert splitter.feed(part) == []

    def test_bytes_without_a_field(self):
        """Guards against passing on bytes that are no event."""
        with pytest.raises(InvalidStreamError):
            EventSplitter().feed(b"\0\0\n\n")

    @pytest.mark.parametrize("line", [b": comment", b"retry: 5", b"event:x", b"x: y\ndata: z"])
    def test_unusual_events_are_valid(self, line):
        """Guards against breaking off a stream with comments or unknown fields."""
        assert EventSplitter().feed(line + b"\n\n") == [line + b"\n\n"]

    def test_long_event_is_valid(self):
        """Guards against a limit that cuts a long event."""
        event = b"data: " + b"x" * (MAX_EVENT_BYTES // 2) + b"\n\n"
        assert EventSplitter().feed(event) == [event]


class TestManyEvents:
    """The time of an event does not depend on how many arrive with it."""

    COUNT = 20_000
    MAX_RATIO = 5.0

    def split_seconds(self, events_per_read: int) -> float:
        """Return the processor time to split COUNT events, the best of three."""
        data = b"id: 1\ndata: x\n\n" * events_per_read
        times = []
        for _ in range(3):
            splitter, began = EventSplitter(), time.thread_time()
            for _ in range(self.COUNT // events_per_read):
                assert len(splitter.feed(data)) == events_per_read
            times.append(time.thread_time() - began)
        return min(times)

    def test_one_read(self):
        """Guards against searching all that has arrived for the end of each event."""
        assert self.split_seconds(self.COUNT) < self.MAX_RATIO * self.split_seconds(100)
