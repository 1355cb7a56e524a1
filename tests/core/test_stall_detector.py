"""Tests of the detection of stalls of the own process."""

import pytest

from siskinspoke.coordination.deadlines import (
    MAX_MARGIN_SECONDS,
    MIN_MARGIN_SECONDS,
    margin_seconds,
)
from siskinspoke.core.stall_detector import (
    LATENESS_HALF_LIFE_SECONDS,
    READ_DELAY_SECONDS,
    TICK_SECONDS,
    StallDetector,
)


def detector_after_ticks(*times: float) -> StallDetector:
    """Return a detector created at 0 with ticks at the given times."""
    standstill = StallDetector(0.0)
    for now in times:
        standstill.tick(now)
    return standstill


class TestArrival:
    """The earliest time at which a request may have arrived."""

    def test_without_stalls(self):
        assert detector_after_ticks(0.05, 0.1, 0.15).earliest_arrival(0.16) == 0.16

    def test_read_before_the_first_tick_after_a_stall(self):
        """The request and the tick are due at the same time, and the request is handled first."""
        assert detector_after_ticks(0.05).earliest_arrival(3.1) == 0.05

    def test_read_just_after_a_stall(self):
        assert (
            detector_after_ticks(0.05, 3.1).earliest_arrival(3.1 + READ_DELAY_SECONDS / 2) == 0.05
        )

    def test_consecutive_stalls_are_merged(self):
        """The process runs only briefly between two stalls and has not read the request yet."""
        assert (
            detector_after_ticks(0.05, 2.0, 2.0 + READ_DELAY_SECONDS / 2, 4.0).earliest_arrival(
                4.01
            )
            == 0.05
        )

    def test_read_long_after_a_stall(self):
        standstill = detector_after_ticks(0.05, 3.1)
        now = 3.1
        while now < 3.1 + READ_DELAY_SECONDS:
            now += TICK_SECONDS
            standstill.tick(now)
        assert standstill.earliest_arrival(now + 0.01) == now + 0.01


class TestLateness:
    """The final response is sent earlier on a VM whose timers are late."""

    def test_without_late_timers(self):
        assert detector_after_ticks(TICK_SECONDS, 2 * TICK_SECONDS).timer_lateness == pytest.approx(
            0
        )

    def test_lateness_decays(self):
        standstill = detector_after_ticks(TICK_SECONDS, 2 * TICK_SECONDS + 0.08)
        assert standstill.timer_lateness == pytest.approx(0.08)
        now = 2 * TICK_SECONDS + 0.08
        for _ in range(int(LATENESS_HALF_LIFE_SECONDS / TICK_SECONDS)):
            now += TICK_SECONDS
            standstill.tick(now)
        assert standstill.timer_lateness == pytest.approx(0.04, rel=0.1)

    def test_final_response_is_earlier_on_a_busy_vm(self):
        """A timer that fires 0.2 s late must not send the final response after the deadline."""
        calm, busy = margin_seconds(4.0), margin_seconds(4.0, 0.2)
        assert busy == pytest.approx(calm + 0.2)
        assert margin_seconds(4.0, 9.0) == MAX_MARGIN_SECONDS

    def test_short_requests_keep_most_of_their_time(self):
        """A margin as long as a short request's time would refuse requests that can be served."""
        assert margin_seconds(0.2, 9.0) <= max(0.1, MIN_MARGIN_SECONDS)
