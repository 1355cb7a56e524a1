"""The decision log: one JSON line per decision on a request or per change of state.

A separate thread writes the lines from a bounded queue, since a standard output that is not read
would otherwise block the process. When the queue is full, lines are dropped; the next line written
contains the number dropped.
"""

import queue
import sys
import threading
import time
from typing import Any, TextIO

import msgspec

MAX_QUEUED_LINES = 2_000


class DecisionLog:
    """A structured log whose writes never block."""

    def __init__(self, process: str, out: TextIO = sys.stdout):
        self._process = process
        self._out = out
        self._queue: queue.Queue[bytes | None] = queue.Queue(MAX_QUEUED_LINES)
        self._dropped = 0
        self._thread = threading.Thread(target=self._write_forever, daemon=True)
        self._thread.start()

    @property
    def dropped(self) -> int:
        """Return the number of lines dropped since the last line was queued."""
        return self._dropped

    def note(self, event: str, **fields: Any) -> None:
        """Write an event with the data that explains it; times are in milliseconds."""
        line = {"at": round(time.time(), 3), "vm": self._process, "event": event, **fields}
        if self._dropped:
            line["dropped_before"] = self._dropped
        try:
            self._queue.put_nowait(msgspec.json.encode(line, enc_hook=str))
        except queue.Full:
            self._dropped += 1
            return
        self._dropped = 0

    def _write_forever(self) -> None:
        while (line := self._queue.get()) is not None:
            try:
                self._out.write(line.decode() + "\n")
                if self._queue.empty():
                    self._out.flush()
            except (OSError, ValueError):
                # The reader is gone, or the output was closed at process exit, so the error cannot
                # be reported anywhere.
                return

    def close(self) -> None:
        """Flush the queued lines, with a timeout."""
        self._queue.put(None)
        self._thread.join(timeout=1.0)
