"""A token bucket whose tokens may be taken slightly in advance."""

from typing import NamedTuple


class TokenGrant(NamedTuple):
    """Whether a token was taken, and the time until it may be used or until the next one, in ms."""

    granted: bool
    wait_ms: float


class TokenBucket:
    """Grants at most ``burst`` tokens at once and ``rate`` per second; times are in milliseconds.

    Tokens taken in advance still respect the rate, so at most ``burst + rate * T`` tokens are used
    in any T seconds.
    """

    def __init__(self, level: float, now: float):
        self._tokens = level
        self._filled_at = now

    def take(
        self, rate: float, burst: float, now: float, max_wait_ms: float = 0.0, reserve: float = 0.0
    ) -> TokenGrant:
        """Take a token usable within ``max_wait_ms``, or return when the next one is available.

        ``reserve`` tokens must be left after it.
        """
        self._tokens = min(burst, self._tokens + rate * max(0.0, now - self._filled_at) / 1000)
        self._filled_at = now
        wait_ms = max(0.0, (1 + reserve - self._tokens) / rate * 1000)
        granted = wait_ms <= max_wait_ms
        if granted:
            self._tokens -= 1
        return TokenGrant(granted, wait_ms)
