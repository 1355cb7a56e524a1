"""A token bucket whose tokens may be taken a little ahead of time."""

from typing import NamedTuple


class Taken(NamedTuple):
    """Whether a token was taken, and when it may be used, or the next one taken; milliseconds."""

    granted: bool
    wait_ms: float


class TokenBucket:
    """Grant at most ``burst`` tokens at once and ``rate`` a second; times are in milliseconds.

    What is granted to be used later keeps to the rate, so in any T seconds at most
    ``burst + rate * T`` tokens are used.
    """

    def __init__(self, level: float, now: float):
        self._level = level
        self._filled_at = now

    def take(self, rate: float, burst: float, now: float, patience_ms: float = 0.0) -> Taken:
        """Take a token that may be used within a time, or return when there will be one."""
        self._level = min(burst, self._level + rate * max(0.0, now - self._filled_at) / 1000)
        self._filled_at = now
        wait_ms = max(0.0, (1 - self._level) / rate * 1000)
        granted = wait_ms <= patience_ms
        if granted:
            self._level -= 1
        return Taken(granted, wait_ms)
