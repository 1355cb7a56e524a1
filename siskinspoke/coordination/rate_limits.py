"""The rate limits that backend servers have named, as one entry VM has heard of them.

A limit concerns one start of a server, and holds for as long as the server says so: an answer
without one ends it.  Times are in milliseconds.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

Start = tuple[str, int]

# A server that starts anew under its name answers before its announcement is heard, so what was
# heard within this time of that may be a word of the new process.
FORMER_MS = 3_000.0


@dataclass(slots=True)
class RateLimit:
    """Requests a second that a server takes from all VMs together, and when it last said so."""

    rate: float
    since: float
    heard_at: float


class RateLimits:
    """Keep the limits in force by the server's start."""

    def __init__(self) -> None:
        self._limits: dict[Start, RateLimit] = {}
        self._lifted_at: dict[Start, float] = {}
        self._closed_until: dict[Start, float] = {}

    def find(self, start: Start) -> RateLimit | None:
        """Return the limit of a server, None where it has named none."""
        return self._limits.get(start)

    def name(self, start: Start, rate: float, now: float) -> bool:
        """Take in that a server names a limit; return whether that is news."""
        known = self._limits.get(start)
        if now < max(self._lifted_at.get(start, now), known.heard_at if known else now):
            return False
        is_news = known is None or known.rate != rate
        since = now if known is None else known.since
        self._limits[start] = RateLimit(rate, since, now)
        return is_news

    def lift(self, start: Start, sent_at: float, now: float) -> bool:
        """Take in that a request of a time was answered without a limit; return whether it is news.

        An answer to a request that was sent before the limit was heard of may be older than that.
        """
        known = self._limits.get(start)
        if known is None or sent_at < known.heard_at:
            return False
        del self._limits[start]
        self._closed_until.pop(start, None)
        self._lifted_at[start] = now
        return True

    def started(self, former: Start, start: Start, now: float) -> None:
        """Take in that a server has started anew; the last words of before may be the new one's."""
        known = self._limits.get(former)
        if known is not None and now - known.heard_at < FORMER_MS:
            self.name(start, known.rate, known.heard_at)

    def close(self, start: Start, until: float) -> None:
        """Note that no request may be sent to a server for a while."""
        self._closed_until[start] = until

    def closed_until(self, start: Start) -> float:
        """Return until when no request may be sent to a server; the past where one may be."""
        return self._closed_until.get(start, -math.inf)

    def forget(self, servers: Iterable[str]) -> None:
        """Keep the limits of these servers only."""
        kept = set(servers)
        for records in (self._limits, self._lifted_at, self._closed_until):
            for start in [start for start in records if start[0] not in kept]:
                del records[start]

    def __len__(self) -> int:
        return len(self._limits)
