"""Tests of splitting a stream into server-sent events."""

import pytest

from siskinspoke.protocol.events import EventSplitter, parse_event_id

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
