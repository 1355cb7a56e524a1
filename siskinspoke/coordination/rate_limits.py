"""The rate limits that backend servers have announced to one entry VM.

A limit applies to one incarnation of a server, and until the server answers without one. Times are
in milliseconds.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

Start = tuple[str, int]

# A restarted server answers under its old name before its announcement is received, so a limit or
# back-off received within this time before may come from the new process.
RESTART_OVERLAP_MS = 3_000.0


@dataclass(slots=True)
class RateLimit:
    """The requests per second that a server takes from all VMs, and when it last said so."""

    rate: float
    since: float
    heard_at: float


class RateLimits:
    """The limits in force, keyed by server and incarnation."""

    def __init__(self) -> None:
        self._limits: dict[Start, RateLimit] = {}
        self._lifted_at: dict[Start, float] = {}
        self._closed_until: dict[Start, float] = {}

    def find(self, start: Start) -> RateLimit | None:
        """Return the limit of a server, or None if it has none."""
        return self._limits.get(start)

    def record(self, start: Start, rate: float, now: float) -> bool:
        """Record a server's limit; return whether it is new or changed."""
        known = self._limits.get(start)
        if now < max(self._lifted_at.get(start, now), known.heard_at if known else now):
            return False
        is_news = known is None or known.rate != rate
        since = now if known is None else known.since
        self._limits[start] = RateLimit(rate, since, now)
        return is_news

    def remove(self, start: Start, sent_at: float, now: float) -> bool:
        """Remove a limit if a request sent at ``sent_at`` was answered without one.

        Return whether a limit was removed. The answer to a request sent before the limit was
        received may be older than the limit, so it is ignored.
        """
        known = self._limits.get(start)
        if known is None or sent_at < known.heard_at:
            return False
        del self._limits[start]
        self._closed_until.pop(start, None)
        self._lifted_at[start] = now
        return True

    def carry_over(self, previous: Start, start: Start, now: float) -> None:
        """Record a restart; a recent limit may have come from the new process, so copy it."""
        known = self._limits.get(previous)
        if known is not None and now - known.heard_at < RESTART_OVERLAP_MS:
            self.record(start, known.rate, known.heard_at)

    def block_until(self, start: Start, until: float) -> None:
        """Block requests to a server until a time."""
        self._closed_until[start] = until

    def blocked_until(self, start: Start) -> float:
        """Return until when requests to a server are blocked, minus infinity if they are not."""
        return self._closed_until.get(start, -math.inf)

    def prune(self, servers: Iterable[str]) -> None:
        """Drop the limits of servers not in ``servers``."""
        kept = set(servers)
        for records in (self._limits, self._lifted_at, self._closed_until):
            for start in [start for start in records if start[0] not in kept]:
                del records[start]

    def __len__(self) -> int:
        return len(self._limits)
