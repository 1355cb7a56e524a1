"""Splitting a byte stream into server-sent events."""

EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n")
ID_FIELD = b"id:"


class EventSplitter:
    """Split received bytes into complete events; incomplete events are buffered."""

    def __init__(self) -> None:
        self._rest = bytearray()
        self.last_id: str | None = None
        self.event_count = 0

    @property
    def incomplete(self) -> bytes:
        """Return the bytes after the last complete event."""
        return bytes(self._rest)

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes; return the events completed by them, with their terminators."""
        self._rest += data
        events = []
        while (end := self._find_end()) is not None:
            event = bytes(self._rest[:end])
            del self._rest[:end]
            self._record(event)
            events.append(event)
        return events

    def _find_end(self) -> int | None:
        ends = []
        for mark in EVENT_TERMINATORS:
            found = self._rest.find(mark)
            if found >= 0:
                ends.append(found + len(mark))
        return min(ends) if ends else None

    def _record(self, event: bytes) -> None:
        self.event_count += 1
        event_id = parse_event_id(event)
        if event_id is not None:
            self.last_id = event_id


def parse_event_id(event: bytes) -> str | None:
    """Return the id of an event, or None if it has none."""
    for line in event.splitlines():
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return None
