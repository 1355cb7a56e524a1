"""Until when backend servers want no requests of this VM, by their own word.

It concerns one start of a server, and this VM alone.  Times are in milliseconds.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from siskinspoke.coordination.rate_limits import FORMER_MS, Start

# A server that asks for more than this is asked again after it, so that no value keeps one out
# for good.
MOST_MS = 3_600_000.0


class _BackOff(NamedTuple):
    until: float
    asked_at: float


class BackOffs:
    """Keep the back-offs in force by the server's start."""

    def __init__(self) -> None:
        self._asked: dict[Start, _BackOff] = {}

    def ask(self, start: Start, wait_ms: float, now: float) -> None:
        """Take in that a server wants nothing for a time; an earlier word that is longer stands."""
        until = max(self.until(start), now + min(wait_ms, MOST_MS))
        self._asked[start] = _BackOff(until, now)

    def until(self, start: Start) -> float:
        """Return until when a server wants nothing; the past where it does not say."""
        found = self._asked.get(start)
        return -math.inf if found is None else found.until

    def started(self, former: Start, start: Start, now: float) -> None:
        """Take in that a server has started anew; the last words of before may be the new one's."""
        found = self._asked.get(former)
        if found is not None and now - found.asked_at < FORMER_MS:
            self._asked[start] = found

    def forget(self, servers: Iterable[str], now: float) -> None:
        """Keep what is in force, of these servers only."""
        kept = set(servers)
        for start, found in list(self._asked.items()):
            if start[0] not in kept or found.until <= now:
                del self._asked[start]

    def __len__(self) -> int:
        return len(self._asked)
