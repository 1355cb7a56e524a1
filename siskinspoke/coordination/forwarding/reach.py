"""Tracks which servers this VM can reach, by their service and failure domain."""

import math
from collections.abc import Iterable
from typing import NamedTuple

# A failed connection is reason to wait for a survey for this long.  Milliseconds.
FAILURE_WINDOW_MS = 2_500.0
# A service whose servers have answered requests within this time is in reach.  Milliseconds.
ANSWER_WINDOW_MS = 500.0


class Area(NamedTuple):
    """The servers of one service in one failure domain."""

    service: str
    domain: str


class Reach:
    """The areas of which no probed server answers, and the last attempts of requests."""

    def __init__(self) -> None:
        self._unreachable: set[Area] = set()
        self._failed_at = -math.inf
        self._answered_at: dict[str, float] = {}

    @property
    def unreachable(self) -> frozenset[Area]:
        """Return the areas that this VM cannot reach."""
        return frozenset(self._unreachable)

    def record_failure(self, now: float) -> None:
        """Record a connection that failed."""
        self._failed_at = now

    def record_answer(self, service: str, now: float) -> None:
        """Record that a server of a service answered a request."""
        self._answered_at[service] = now

    def has_answered_since(self, at: float) -> bool:
        """Return whether any server has answered a request since a time."""
        return any(answered_at >= at for answered_at in self._answered_at.values())

    def has_failed_recently(self, now: float) -> bool:
        """Return whether a connection failed a short time ago."""
        return now - self._failed_at < FAILURE_WINDOW_MS

    def record_probes(self, area: Area, answered: Iterable[bool]) -> bool:
        """Record which servers of an area answered; return whether that changes its state."""
        results = list(answered)
        if not results:
            return False
        before = area in self._unreachable
        if any(results):
            self._unreachable.discard(area)
        else:
            self._unreachable.add(area)
        return before != (area in self._unreachable)

    def retain(self, areas: Iterable[Area]) -> None:
        """Drop areas whose servers are all gone."""
        self._unreachable &= set(areas)

    def is_out_of_reach(self, service: str, areas: Iterable[Area], now: float) -> bool:
        """Return whether none of the servers of a service can be reached, given all areas.

        Servers that answer requests are in reach, also if they are slow to answer probes.
        """
        if now - self._answered_at.get(service, -math.inf) < ANSWER_WINDOW_MS:
            return False
        own = {area for area in areas if area.service == service}
        return bool(own) and own <= self._unreachable
