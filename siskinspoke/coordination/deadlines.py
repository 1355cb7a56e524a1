"""How long before its deadline a request gets its last word."""

LEAST_MARGIN_SECONDS = 0.03
MARGIN_SHARE = 0.02
MOST_MARGIN_SECONDS = 0.5
# Timers that are late may take at most this share of a request's time.
MOST_LATE_SHARE = 0.25


def margin_seconds(timeout_seconds: float, lateness_seconds: float = 0.0) -> float:
    """Return the time that the last word needs to reach the caller in time.

    The caller counts from before its request reached this VM until after the answer has crossed
    the network again.  On a busy VM that is more than a fixed few milliseconds, and a longer
    deadline can spare more.  ``lateness_seconds`` is by how much this VM's timers are late: the
    one that ends the request is one of them.
    """
    late = min(lateness_seconds, MOST_LATE_SHARE * timeout_seconds)
    margin = LEAST_MARGIN_SECONDS + MARGIN_SHARE * timeout_seconds + late
    return min(margin, MOST_MARGIN_SECONDS)
