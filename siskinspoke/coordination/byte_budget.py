"""Limit the bytes that one VM holds for clients that read more slowly than their servers send.

All functions are pure: the clock, in milliseconds, is passed in.
"""

# Bytes held for one answer, beyond which reading from its server pauses.
MAX_ANSWER_BYTES = 256 * 1024
# Share of the VM's bound from which new requests are refused.  The rest is for running answers.
REFUSAL_SHARE = 0.75
# Time over which the rate of release is measured.  Milliseconds.
RATE_WINDOW_MS = 1_000.0
# Forecast while no client reads, and the longest forecast.  Milliseconds.
UNKNOWN_FORECAST_MS = 1_000.0
MAX_FORECAST_MS = 30_000.0


class ByteBudget:
    """The bytes that a VM holds; a capacity of 0 holds nothing and accepts every request."""

    def __init__(self, capacity: int):
        self._capacity = capacity
        self._held = 0
        self._peak = 0
        self._window_start_ms = 0.0
        self._released = 0
        self._released_before = 0

    @property
    def enabled(self) -> bool:
        """Return whether the VM may hold anything."""
        return self._capacity > 0

    @property
    def held(self) -> int:
        """Return the bytes held now."""
        return self._held

    @property
    def peak(self) -> int:
        """Return the most bytes held at any time."""
        return self._peak

    def fits(self, answer_bytes: int, size: int) -> bool:
        """Return whether an answer of which ``answer_bytes`` are held may hold ``size`` more."""
        return answer_bytes + size <= MAX_ANSWER_BYTES and self._held + size <= self._capacity

    def accepts(self, size: int) -> bool:
        """Return whether a new request with a body of ``size`` bytes may be served.

        A VM that holds nothing accepts a body of any size; no later moment would be better.
        """
        return not self.enabled or not self._held or self._excess(size) <= 0

    def hold(self, size: int) -> None:
        """Add bytes, whether they fit or not."""
        if self.enabled:
            self._held += size
            self._peak = max(self._peak, self._held)

    def release(self, size: int, now: float) -> None:
        """Remove bytes that were added."""
        if self.enabled:
            self._advance_window(now)
            self._held -= size
            self._released += size

    def accepts_in_ms(self, size: int, now: float) -> float:
        """Return when ``accepts`` is expected to be true, from the current rate of release."""
        self._advance_window(now)
        excess = self._excess(size)
        if self.accepts(size):
            return 0.0
        released = self._released_before + self._released
        if released <= 0:
            return UNKNOWN_FORECAST_MS
        elapsed_ms = RATE_WINDOW_MS + now - self._window_start_ms
        return min(MAX_FORECAST_MS, excess * elapsed_ms / released)

    def _excess(self, size: int) -> float:
        return self._held + size - REFUSAL_SHARE * self._capacity

    def _advance_window(self, now: float) -> None:
        """Keep the bytes released in the current window and in the one before it."""
        elapsed_ms = now - self._window_start_ms
        if elapsed_ms < RATE_WINDOW_MS:
            return
        self._released_before = self._released if elapsed_ms < 2 * RATE_WINDOW_MS else 0
        self._released = 0
        self._window_start_ms = now


class HeldBytes:
    """The bytes that one request holds besides those of a buffer: its body and a whole answer."""

    def __init__(self, budget: ByteBudget):
        self._budget = budget
        self._size = 0

    def hold(self, size: int) -> None:
        """Add bytes."""
        self._budget.hold(size)
        self._size += size

    def release(self, now: float) -> None:
        """Release all bytes at the end of the request."""
        self._budget.release(self._size, now)
        self._size = 0
