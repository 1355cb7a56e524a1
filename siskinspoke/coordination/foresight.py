"""Learn how far first tokens come later than foreseen, and what margin that asks for.

Books are late by a datagram, engines read in passes, and a busy VM reads an answer some
milliseconds after it came, so an expected first token is the middle of what happens.  Who must be
in time has to reckon with the late ones.  Answers load pattern: second tries under load, which
came a few milliseconds after the target that they were made for.  Times are in milliseconds.
"""

# So large a part of first tokens comes within the margin.
QUANTILE = 0.8
# What the margin is before anything has been learnt.
FIRST_MARGIN_MS = 30.0
# The margin moves by this at each first token, times how surprising it was.
STEP_MS = 4.0
LEAST_MARGIN_MS = 10.0
MOST_MARGIN_MS = 80.0


class Foresight:
    """A running quantile of how much later first tokens come than foreseen.

    Each observation moves the estimate by a step, up or down in the ratio that keeps it at the
    quantile, so it needs no memory and follows a change of load within some twenty first tokens.
    """

    def __init__(self) -> None:
        self._margin_ms = FIRST_MARGIN_MS

    @property
    def margin_ms(self) -> float:
        """Return by how much a first token may be later than expected, most of the time."""
        return self._margin_ms

    def came(self, expected_ms: float, had_ms: float) -> None:
        """Take in a first token: when it was expected, and when it came."""
        is_late = had_ms - expected_ms > self._margin_ms
        moved = self._margin_ms + STEP_MS * (QUANTILE if is_late else QUANTILE - 1)
        self._margin_ms = min(MOST_MARGIN_MS, max(LEAST_MARGIN_MS, moved))
