"""Tests of the adaptive timeouts of leaders, followers and elections."""

import random

import pytest

from siskinspoke.coordination.delays import WINDOW_MS, RecentDelays
from siskinspoke.coordination.election_timer import (
    MAX_BACKOFF_FACTOR,
    MAX_DELAY_FACTOR,
    ElectionTimer,
)
from siskinspoke.coordination.replica_types import Times

TIMES = Times(heartbeat_ms=100, election_ms=600)


class LowerBoundRandom(random.Random):
    """Random source that always returns the lower bound of a range."""

    def uniform(self, a, b):
        """Return the lower bound."""
        return a


class UpperBoundRandom(random.Random):
    """Random source that always returns the upper bound of a range."""

    def uniform(self, a, b):
        """Return the upper bound."""
        return b


def make_timer(rng: type[random.Random] = LowerBoundRandom) -> ElectionTimer:
    """Return a timer with deterministic timeouts."""
    return ElectionTimer(TIMES, rng())


class TestElectionTimer:
    """Timeouts adapt to measured delays within bounds."""

    def test_timeouts_without_delays_equal_the_configured_timeout(self):
        timer = make_timer()
        assert timer.follower_timeout(0) == 600
        assert timer.vote_timeout(0) == 600
        assert timer.leader_timeout(0) == 600

    def test_slow_sync_lengthens_only_vote_timeout(self):
        """Guards against a slow disk that delays the detection of a failed leader."""
        timer = make_timer()
        timer.sync_durations.add(1_000, 0)
        assert timer.vote_timeout(0) == 3_000
        assert timer.follower_timeout(0) == 600
        assert timer.leader_timeout(0) == 600

    def test_single_suspension_does_not_lengthen_timeouts(self):
        """Guards against one suspension of a VM that delays the next failover."""
        timer = make_timer()
        timer.turn_delays.add(5_000, 0)
        assert timer.follower_timeout(0) == 600
        timer.turn_delays.add(400, 0)
        assert timer.follower_timeout(0) == 1_200

    def test_slow_replies_lengthen_leader_timeout(self):
        timer = make_timer()
        for now in (0, 1):
            timer.round_trips.add(900, now)
        assert timer.leader_timeout(1) == 1_800

    def test_growth_is_bounded(self):
        timer = make_timer()
        for now in (0, 1):
            timer.turn_delays.add(60_000, now)
        assert timer.follower_timeout(1) == 600 * MAX_DELAY_FACTOR

    @pytest.mark.parametrize(("lost", "factor"), [(1, 2), (2, 4), (20, MAX_BACKOFF_FACTOR)])
    def test_lost_votes_widen_the_next_election(self, lost, factor):
        """Guards against candidates that split their votes again since they wait equally long."""
        earliest, latest = make_timer(), make_timer(UpperBoundRandom)
        for _ in range(lost):
            earliest.increase_backoff()
            latest.increase_backoff()
        assert earliest.vote_timeout(0) == 600
        assert latest.vote_timeout(0) == 1_200 * factor
        latest.reset_backoff()
        assert latest.vote_timeout(0) == 1_200


class TestRecentDelays:
    """Statistics over a sliding window."""

    def test_durations_outside_the_window_are_dropped(self):
        delays = RecentDelays()
        delays.add(900, 0)
        delays.add(20, WINDOW_MS / 2)
        delays.add(30, WINDOW_MS)
        assert delays.longest(WINDOW_MS) == 900
        assert delays.second_longest(WINDOW_MS) == 30
        assert delays.longest(WINDOW_MS + 1) == 30
