"""Back-off periods that backend servers have requested from this VM.

A back-off applies to one incarnation of a server and to this VM only. Times are in milliseconds.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from siskinspoke.coordination.rate_limits import RESTART_OVERLAP_MS, Start

# A longer request is cut to this, after which the server is tried again, so that no value excludes
# it permanently.
MAX_BACK_OFF_MS = 3_600_000.0


class _BackOff(NamedTuple):
    until: float
    asked_at: float


class BackOffs:
    """The back-offs in force, keyed by server and incarnation."""

    def __init__(self) -> None:
        self._back_offs: dict[Start, _BackOff] = {}

    def add(self, start: Start, wait_ms: float, now: float) -> None:
        """Record that a server requested a back-off; a longer one already in force is kept."""
        until = max(self.until(start), now + min(wait_ms, MAX_BACK_OFF_MS))
        self._back_offs[start] = _BackOff(until, now)

    def until(self, start: Start) -> float:
        """Return the end of a server's back-off, or minus infinity if it has requested none."""
        back_off = self._back_offs.get(start)
        return -math.inf if back_off is None else back_off.until

    def carry_over(self, previous: Start, start: Start, now: float) -> None:
        """Record a restart; a recent back-off may have come from the new process, so copy it."""
        back_off = self._back_offs.get(previous)
        if back_off is not None and now - back_off.asked_at < RESTART_OVERLAP_MS:
            self._back_offs[start] = back_off

    def prune(self, servers: Iterable[str], now: float) -> None:
        """Drop expired back-offs and those of servers not in ``servers``."""
        kept = set(servers)
        for start, back_off in list(self._back_offs.items()):
            if start[0] not in kept or back_off.until <= now:
                del self._back_offs[start]

    def __len__(self) -> int:
        return len(self._back_offs)
