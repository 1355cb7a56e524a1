"""Tests of the rate limits that servers announce."""

from siskinspoke.coordination.rate_limits import RESTART_OVERLAP_MS, RateLimits

START = ("i-1", 7)


class TestRateLimits:
    """What one VM knows of servers' limits."""

    def test_limit_is_new_once(self):
        limits = RateLimits()
        assert limits.record(START, 2.0, 100)
        assert not limits.record(START, 2.0, 200)
        assert limits.record(START, 1.0, 300)
        assert limits.find(START).rate == 1.0
        assert limits.find(START).since == 100

    def test_answer_without_a_limit_removes_it(self):
        limits = RateLimits()
        assert not limits.remove(START, 40, 50)
        limits.record(START, 2.0, 100)
        limits.block_until(START, 900)
        assert limits.remove(START, 150, 200)
        assert limits.blocked_until(START) < 200
        assert limits.find(START) is None

    def test_older_answers_change_nothing(self):
        """Answers on two connections may arrive out of order; the older must not undo the newer."""
        limits = RateLimits()
        limits.record(START, 2.0, 100)
        assert not limits.remove(START, 90, 120)
        assert limits.remove(START, 105, 110)
        assert not limits.record(START, 2.0, 107)
        assert limits.find(START) is None

    def test_limit_applies_to_one_incarnation(self):
        limits = RateLimits()
        limits.record(START, 2.0, 100)
        assert limits.find(("i-1", 8)) is None

    def test_limit_of_new_process_before_its_announcement(self):
        """A restarted server's announcement must not undo a limit it has already announced."""
        limits = RateLimits()
        limits.record(START, 2.0, 100)
        limits.carry_over(START, ("i-1", 8), 900)
        assert limits.find(("i-1", 8)).rate == 2.0
        limits.carry_over(("i-1", 8), ("i-1", 9), 100 + RESTART_OVERLAP_MS)
        assert limits.find(("i-1", 9)) is None

    def test_dropped_with_its_server(self):
        limits = RateLimits()
        limits.record(START, 2.0, 100)
        limits.prune(["i-2"])
        assert len(limits) == 0
