"""How long before its deadline a request gets its final reply."""

MIN_MARGIN_SECONDS = 0.03
MARGIN_SHARE = 0.02
MAX_MARGIN_SECONDS = 0.5
# Late timers may add at most this share of a request's timeout to the margin.
MAX_LATENESS_SHARE = 0.25


def margin_seconds(timeout_seconds: float, lateness_seconds: float = 0.0) -> float:
    """Return how long before the deadline the final reply must be sent to arrive in time.

    The caller's clock starts before its request reaches this VM and stops after the reply has
    crossed the network.  On a busy VM this takes more than a few milliseconds, and a longer
    deadline can spare more.  ``lateness_seconds`` is the lateness of this VM's timers, which also
    affects the timer that ends the request.
    """
    late = min(lateness_seconds, MAX_LATENESS_SHARE * timeout_seconds)
    margin = MIN_MARGIN_SECONDS + MARGIN_SHARE * timeout_seconds + late
    return min(margin, MAX_MARGIN_SECONDS)
