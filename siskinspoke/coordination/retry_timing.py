"""Decide when a short prompt without a first token is retried at another server.

A server may accept a request and never answer it while it still accepts connections and answers
other requests, which only a timeout can detect.  A retry is useful only while its first token can
still arrive within the target; in an overload none can, and retries would add to the load.
"""

from typing import NamedTuple

# Nearly all first tokens arrive within this multiple of the expected time.  Most first checks defer
# the retry until little of the target is left.
FIRST_CHECK_FACTOR = 1.3
# A retry that would be due sooner than this is made at once: checks run every 20 ms, and the next
# one would be too late.
RETRY_LEAD_MS = 25.0


class RetryDecision(NamedTuple):
    """Whether to retry elsewhere now; if not, check again after ``recheck_after_ms``."""

    now: bool
    recheck_after_ms: float = 0.0


def first_check_after_ms(expected_ms: float) -> float:
    """Return the time after sending at which a missing first token is first checked."""
    return FIRST_CHECK_FACTOR * expected_ms


def decide_retry(left_ms: float, best_ms: float | None, margin_ms: float) -> RetryDecision | None:
    """Return whether to retry elsewhere, or None if no retry would be in time.

    ``left_ms`` is the time left of the target, ``best_ms`` the expected time to first token at the
    best other server, None if there is none, and ``margin_ms`` the delay to allow beyond that.
    The retry is made as late as possible, since most late first tokens still arrive.
    """
    if best_ms is None or best_ms > left_ms:
        return None
    spare_ms = left_ms - best_ms - margin_ms
    if spare_ms <= RETRY_LEAD_MS:
        return RetryDecision(now=True)
    return RetryDecision(now=False, recheck_after_ms=spare_ms - RETRY_LEAD_MS)
