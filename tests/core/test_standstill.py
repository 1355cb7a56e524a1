"""Tests of what a process knows of its own standing still."""

import pytest

from siskinspoke.coordination.deadlines import (
    LEAST_MARGIN_SECONDS,
    MOST_MARGIN_SECONDS,
    margin_seconds,
)
from siskinspoke.core.standstill import (
    FADE_SECONDS,
    READ_SECONDS,
    TICK_SECONDS,
    Standstill,
)


def ticked(*times: float) -> Standstill:
    """Return a process that has run since 0 and ticked at these times."""
    standstill = Standstill(0.0)
    for now in times:
        standstill.tick(now)
    return standstill


class TestArrival:
    """Since when a request may have waited."""

    def test_of_a_process_that_runs(self):
        assert ticked(0.05, 0.1, 0.15).arrival(0.16) == 0.16

    def test_read_before_the_first_tick_after_a_standstill(self):
        """The request and the tick are due together, and the request happens to go first."""
        assert ticked(0.05).arrival(3.1) == 0.05

    def test_read_just_after_a_standstill(self):
        assert ticked(0.05, 3.1).arrival(3.1 + READ_SECONDS / 2) == 0.05

    def test_two_standstills_are_one(self):
        """The process gets its processor back for a moment only, before it has read anything."""
        assert ticked(0.05, 2.0, 2.0 + READ_SECONDS / 2, 4.0).arrival(4.01) == 0.05

    def test_read_long_after_a_standstill(self):
        standstill = ticked(0.05, 3.1)
        now = 3.1
        while now < 3.1 + READ_SECONDS:
            now += TICK_SECONDS
            standstill.tick(now)
        assert standstill.arrival(now + 0.01) == now + 0.01


class TestLateness:
    """How early the last word must leave on a VM whose timers are late."""

    def test_of_a_calm_vm(self):
        assert ticked(TICK_SECONDS, 2 * TICK_SECONDS).lateness == pytest.approx(0)

    def test_is_remembered_and_fades(self):
        standstill = ticked(TICK_SECONDS, 2 * TICK_SECONDS + 0.08)
        assert standstill.lateness == pytest.approx(0.08)
        now = 2 * TICK_SECONDS + 0.08
        for _ in range(int(FADE_SECONDS / TICK_SECONDS)):
            now += TICK_SECONDS
            standstill.tick(now)
        assert standstill.lateness == pytest.approx(0.04, rel=0.1)

    def test_last_word_leaves_earlier_on_a_busy_vm(self):
        """A timer that fires 0.2 s late sent the last word after the caller's time."""
        calm, busy = margin_seconds(4.0), margin_seconds(4.0, 0.2)
        assert busy == pytest.approx(calm + 0.2)
        assert margin_seconds(4.0, 9.0) == MOST_MARGIN_SECONDS

    def test_short_requests_keep_most_of_their_time(self):
        """A margin that takes a short request's whole time would refuse what could be served."""
        assert margin_seconds(0.2, 9.0) <= max(0.1, LEAST_MARGIN_SECONDS)
