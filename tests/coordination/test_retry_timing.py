"""Tests for retrying a prompt elsewhere when its first token is late."""

from siskinspoke.coordination.retry_timing import RetryDecision, decide_retry, first_check_after_ms

TARGET_MS = 300.0
MARGIN_MS = 30.0


class TestMoves:
    """A retry is made as late as possible, and only if it can be in time."""

    def test_waits_while_there_is_time(self):
        first_check = first_check_after_ms(90.0)
        chosen = decide_retry(TARGET_MS - first_check, 80.0, MARGIN_MS)
        assert not chosen.now
        assert first_check + chosen.recheck_after_ms + 80.0 < TARGET_MS

    def test_retries_when_time_runs_out(self):
        assert decide_retry(95.0, 90.0, MARGIN_MS) == RetryDecision(now=True)

    def test_no_retry_if_it_would_be_late(self):
        """After a loss of all engines all are overloaded, and retries would add to the load."""
        assert decide_retry(110.0, 160.0, MARGIN_MS) is None

    def test_no_retry_without_another_server(self):
        assert decide_retry(200.0, None, MARGIN_MS) is None

    def test_deferral_ends(self):
        left, checks = 200.0, 0
        while not (chosen := decide_retry(left, 80.0, MARGIN_MS)).now:
            left -= max(1.0, chosen.recheck_after_ms)
            checks += 1
            assert checks < 50
        assert left >= 80.0

    def test_margin_covers_a_retry_slower_than_expected(self):
        """Without a margin, a retry expected to take 61 ms was made with 80 ms left.

        Its first token came after 107 ms, 27 ms late.
        """
        left, expected = 200.0, 61.0
        while not (chosen := decide_retry(left, expected, MARGIN_MS)).now:
            left -= chosen.recheck_after_ms
        assert left >= expected + MARGIN_MS
