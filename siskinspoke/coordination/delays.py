"""Statistics on recent durations."""

import heapq
from collections import deque

WINDOW_MS = 10_000.0
MAX_SAMPLES = 256


class RecentDelays:
    """Durations within a sliding time window; all times are in milliseconds."""

    def __init__(self) -> None:
        self._samples: deque[tuple[float, float]] = deque(maxlen=MAX_SAMPLES)

    def add(self, duration: float, now: float) -> None:
        """Add a duration measured at ``now``."""
        self._samples.append((now, duration))

    def longest(self, now: float) -> float:
        """Return the longest duration in the window, or 0."""
        return max(self._recent(now), default=0.0)

    def second_longest(self, now: float) -> float:
        """Return the second longest duration in the window, or 0.

        A single outlier, such as a suspension of the VM, has no effect.
        """
        return [*heapq.nlargest(2, self._recent(now)), 0.0, 0.0][1]

    def _recent(self, now: float) -> list[float]:
        while self._samples and self._samples[0][0] < now - WINDOW_MS:
            self._samples.popleft()
        return [duration for _, duration in self._samples]
