"""Splitting a byte stream into server-sent events."""

import re

TERMINATOR = re.compile(rb"\n\n|\r\n\r\n")
ID_FIELD = b"id:"
# How a line of an event begins, a comment included.
FIELDS = (b"data", b"id", b"event", b"retry", b":")
LINE_ENDS = b"\r\n"
NO_LINE_END = re.compile(rb"[^\r\n]")
MAX_TERMINATOR_BYTES = 4
# Longest event.
MAX_EVENT_BYTES = 524_288


class InvalidStreamError(Exception):
    """The received bytes are no stream of events."""


class EventSplitter:
    """Split received bytes into complete events; incomplete events are buffered."""

    def __init__(self) -> None:
        self._rest = bytearray()
        # Whether the incomplete event has more than line ends, and how much of it was searched.
        self._has_begun = False
        self._searched = 0
        self.last_id: str | None = None
        self.event_count = 0

    @property
    def incomplete(self) -> bytes:
        """Return the bytes after the last complete event, unless they are line ends only."""
        return bytes(self._rest) if self._has_begun else b""

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes; return the events completed by them, with their terminators.

        Line ends between two events belong to the second one.  Raise InvalidStreamError if an event
        is too long, or has no field.
        """
        self._rest += data
        events = []
        while (end := self._find_end()) is not None:
            event = bytes(self._rest[:end])
            del self._rest[:end]
            self._has_begun, self._searched = False, 0
            self._record(event)
            events.append(event)
        if len(self._rest) > MAX_EVENT_BYTES:
            raise InvalidStreamError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return events

    def _find_end(self) -> int | None:
        if not self._has_begun:
            begin = NO_LINE_END.search(self._rest, self._searched)
            self._has_begun = begin is not None
            self._searched = len(self._rest) if begin is None else begin.start()
        found = TERMINATOR.search(self._rest, self._searched)
        if found is not None:
            return found.end()
        # A terminator may have arrived in part.
        if self._has_begun:
            self._searched = max(self._searched, len(self._rest) - MAX_TERMINATOR_BYTES + 1)
        return None

    def _record(self, event: bytes) -> None:
        if not _has_field(event):
            raise InvalidStreamError("the stream has bytes that are no event")
        self.event_count += 1
        event_id = parse_event_id(event)
        if event_id is not None:
            self.last_id = event_id


def _has_field(event: bytes) -> bool:
    """Return whether an event has a field or a comment."""
    content = event.lstrip(LINE_ENDS)
    if content.startswith(FIELDS):
        return True
    return any(line.startswith(FIELDS) for line in content.splitlines())


def parse_event_id(event: bytes) -> str | None:
    """Return the id of an event, or None if it has none."""
    for line in event.splitlines():
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return None
