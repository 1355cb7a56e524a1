"""Until when backend servers want no requests of this VM, by their own word.

It concerns one start of a server, and this VM alone.  Times are in milliseconds.
"""

import math
from collections.abc import Iterable

from siskinspoke.coordination.rate_limits import Start

# A server that asks for more than this is asked again after it, so that no value keeps one out
# for good.
MOST_MS = 3_600_000.0


class BackOffs:
    """Keep the back-offs in force by the server's start."""

    def __init__(self) -> None:
        self._until: dict[Start, float] = {}

    def ask(self, start: Start, wait_ms: float, now: float) -> None:
        """Take in that a server wants nothing for a time; an earlier word that is longer stands."""
        self._until[start] = max(self.until(start), now + min(wait_ms, MOST_MS))

    def until(self, start: Start) -> float:
        """Return until when a server wants nothing; the past where it does not say."""
        return self._until.get(start, -math.inf)

    def forget(self, servers: Iterable[str], now: float) -> None:
        """Keep what is in force, of these servers only."""
        kept = set(servers)
        for (name, incarnation), until in list(self._until.items()):
            if name not in kept or until <= now:
                del self._until[name, incarnation]

    def __len__(self) -> int:
        return len(self._until)
