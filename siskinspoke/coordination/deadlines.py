"""How long before its deadline a request gets its last word."""

LEAST_MARGIN_SECONDS = 0.03
MARGIN_SHARE = 0.02
MOST_MARGIN_SECONDS = 0.5


def margin_seconds(timeout_seconds: float) -> float:
    """Return the time that the last word needs to reach the caller in time.

    The caller counts from before its request reached this VM until after the answer has crossed
    the network again.  On a busy VM that is more than a fixed few milliseconds, and a longer
    deadline can spare more.
    """
    margin = LEAST_MARGIN_SECONDS + MARGIN_SHARE * timeout_seconds
    return min(margin, MOST_MARGIN_SECONDS)
