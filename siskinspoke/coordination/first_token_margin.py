"""Estimate the margin to add to the expected time of a first token.

The work table is delayed by a datagram, engines prefill in passes, and a busy VM reads an answer
some milliseconds after its arrival, so the expected time is only the middle of a distribution.  A
request with a deadline has to allow for its upper part.  Without a margin, retries under load came
a few milliseconds after the target that they were made for.  Times are in milliseconds.
"""

# The share of first tokens that arrive within the margin.
QUANTILE = 0.8
# The margin before the first observation.
INITIAL_MARGIN_MS = 30.0
# Step of the margin at each first token, scaled by QUANTILE or 1 - QUANTILE.
STEP_MS = 4.0
MIN_MARGIN_MS = 10.0
MAX_MARGIN_MS = 80.0


class FirstTokenMargin:
    """A running quantile of the delay of first tokens beyond their expected time.

    Each observation moves the estimate up or down by a step, in the ratio that keeps it at the
    quantile.  So it stores no samples, and follows a change of load within about 20 first tokens.
    """

    def __init__(self) -> None:
        self._margin_ms = INITIAL_MARGIN_MS

    @property
    def margin_ms(self) -> float:
        """Return the delay beyond the expected time that most first tokens stay within."""
        return self._margin_ms

    def observe(self, expected_ms: float, actual_ms: float) -> None:
        """Update the margin with the expected and the actual time of a first token."""
        is_late = actual_ms - expected_ms > self._margin_ms
        moved = self._margin_ms + STEP_MS * (QUANTILE if is_late else QUANTILE - 1)
        self._margin_ms = min(MAX_MARGIN_MS, max(MIN_MARGIN_MS, moved))
