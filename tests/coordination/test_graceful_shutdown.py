"""Which requests a VM accepts while it shuts down, over grids of times."""

import itertools

import pytest

from siskinspoke.coordination.graceful_shutdown import (
    MIN_DURATIONS,
    RECENT_DURATIONS,
    RouteDurations,
    can_finish,
    shutdown_times,
    stream_forecast_ms,
)
from siskinspoke.coordination.routes import EngineCosts

GRACES = (500.0, 1_000.0, 2_000.0, 5_000.0, 8_000.0, 14_000.0, 60_000.0)
TIMEOUTS = (100.0, 1_000.0, 2_000.0, 4_000.0, 8_000.0, 30_000.0)
DEADLINES = (None, 100.0, 1_500.0, 3_600.0, 20_000.0)
AGE_SHARES = [number / 20 for number in range(21)]
BEGAN = 7_000.0


def request_left(timeout_ms: float, deadline_ms: float | None) -> float:
    return timeout_ms if deadline_ms is None else min(timeout_ms, deadline_ms)


class TestTimes:
    """The order of the times of a shutdown."""

    @pytest.mark.parametrize("grace", GRACES)
    def test_exit_comes_before_the_kill(self, grace):
        """Guards against a process that is killed while it still answers."""
        times = shutdown_times(BEGAN, grace)
        assert BEGAN < times.closes_idle_at_ms < times.cutoff_ms < times.exit_ms < BEGAN + grace

    @pytest.mark.parametrize("grace", GRACES)
    def test_most_of_a_short_grace_period_is_used(self, grace):
        """Guards against a fixed reserve that takes up a short grace period."""
        assert shutdown_times(BEGAN, grace).left_ms(BEGAN) >= 0.9 * grace


class TestCanFinish:
    """A request is accepted if and only if it ends before its VM does."""

    @pytest.mark.parametrize(
        ("grace", "timeout", "deadline"), list(itertools.product(GRACES, TIMEOUTS, DEADLINES))
    )
    def test_accepted_request_ends_before_the_cutoff(self, grace, timeout, deadline):
        """Guards against accepting a call that is still open when its VM ends."""
        times = shutdown_times(BEGAN, grace)
        left = request_left(timeout, deadline)
        for share in AGE_SHARES:
            now = BEGAN + share * grace
            assert can_finish(times, left, None, now) == (now + left <= times.cutoff_ms)

    @pytest.mark.parametrize(
        ("grace", "timeout", "deadline"), list(itertools.product(GRACES, TIMEOUTS, DEADLINES))
    )
    def test_no_request_is_accepted_after_one_was_refused(self, grace, timeout, deadline):
        """Guards against acceptance that starts again later in the shutdown."""
        times = shutdown_times(BEGAN, grace)
        left = request_left(timeout, deadline)
        for longest in (None, 20.0, 0.3 * left):
            accepted = [
                can_finish(times, left, longest, BEGAN + share * grace) for share in AGE_SHARES
            ]
            assert accepted == sorted(accepted, reverse=True)

    def test_long_grace_period_is_used(self):
        """Guards against a fixed time after which calls are refused that had time to end."""
        times = shutdown_times(BEGAN, 14_000.0)
        assert can_finish(times, 6_000.0, None, BEGAN + 7_500.0)
        assert not can_finish(times, 6_000.0, None, BEGAN + 8_000.0)

    def test_short_calls_of_a_patient_route_are_accepted(self):
        """Guards against refusing calls of 0.1 s since their route would allow 30 s."""
        times = shutdown_times(BEGAN, 8_000.0)
        assert not can_finish(times, 30_000.0, None, BEGAN)
        assert can_finish(times, 30_000.0, 100.0, BEGAN + 7_000.0)

    def test_forecast_needs_a_wide_margin_once_clients_go_elsewhere(self):
        """Guards against cutting a stream that took longer than those before it."""
        times = shutdown_times(BEGAN, 8_000.0)
        assert can_finish(times, 10_000.0, 2_500.0, BEGAN + 2_900.0)
        assert not can_finish(times, 10_000.0, 2_500.0, BEGAN + 3_100.0)


class TestForecasts:
    """How long requests are expected to take."""

    COSTS = EngineCosts(8, 315_000, 51, 0.85, 0.0085, 0.00285, 177.0, 0.184)

    def test_few_durations_allow_no_forecast(self):
        """Guards against a forecast from a few short calls."""
        durations = RouteDurations()
        for _ in range(MIN_DURATIONS - 1):
            durations.record("r", 10.0)
        assert durations.longest_ms("r") is None
        durations.record("r", 500.0)
        assert durations.longest_ms("r") == 500.0

    def test_old_durations_and_routes_are_forgotten(self):
        """Guards against state that grows, and against a forecast from a past overload."""
        durations = RouteDurations()
        durations.record("r", 9_000.0)
        for _ in range(RECENT_DURATIONS):
            durations.record("r", 10.0)
        assert durations.longest_ms("r") == 10.0
        durations.prune({"other"})
        assert durations.longest_ms("r") is None

    def test_stream_forecast_grows_with_its_size(self):
        """Guards against one forecast for short and long streams of a route."""
        short = stream_forecast_ms(300.0, 100, self.COSTS)
        long = stream_forecast_ms(300.0, 4_000, self.COSTS)
        assert 300.0 + 100 * 0.85 <= short < long
        assert long >= 300.0 + 4_000 * 0.85
