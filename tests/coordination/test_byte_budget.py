"""The bytes that a VM holds for slow clients, in virtual time."""

import random

import pytest

from siskinspoke.coordination.byte_budget import (
    MAX_ANSWER_BYTES,
    MAX_FORECAST_MS,
    REFUSAL_SHARE,
    UNKNOWN_FORECAST_MS,
    ByteBudget,
)

CAPACITY = 4_000_000


def filled(held: int) -> ByteBudget:
    budget = ByteBudget(CAPACITY)
    budget.hold(held)
    return budget


class TestOff:
    """A VM without a bound behaves as if there were no accounting."""

    def test_accepts_everything_and_holds_nothing(self):
        """Guards against refusals on a VM whose settings ask for no buffers."""
        budget = ByteBudget(0)
        budget.hold(10**9)
        budget.release(10**9, 1.0)
        assert budget.accepts(10**9)
        assert not budget.fits(0, 1)
        assert (budget.held, budget.peak, budget.enabled) == (0, 0, False)


class TestAnswers:
    """What one answer may hold."""

    def test_bound_of_one_answer(self):
        """Guards against one client that reads nothing taking the VM's memory."""
        budget = filled(0)
        assert budget.fits(MAX_ANSWER_BYTES - 10, 10)
        assert not budget.fits(MAX_ANSWER_BYTES - 10, 11)

    def test_bound_of_the_vm(self):
        """Guards against many slow clients together taking more than the VM's bound."""
        budget = filled(CAPACITY - 10)
        assert budget.fits(0, 10)
        assert not budget.fits(0, 11)

    def test_a_hundred_slow_clients_stay_within_the_bound(self):
        """Replays servers that send at 40 times the rate at which a hundred clients read.

        Guards against a bound that holds for each answer and not for their sum.
        """
        rng = random.Random(5)
        budget = ByteBudget(CAPACITY)
        held = [0] * 100
        paused = 0
        for tick in range(2_000):
            for client in range(100):
                part = rng.randrange(1, 16_000)
                if budget.fits(held[client], part):
                    budget.hold(part)
                    held[client] += part
                else:
                    paused += 1
                read = min(held[client], rng.randrange(0, 400))
                budget.release(read, tick * 10.0)
                held[client] -= read
            assert max(held) <= MAX_ANSWER_BYTES
            assert budget.held == sum(held) <= CAPACITY
        assert paused
        assert budget.peak <= CAPACITY


class TestRequests:
    """When new requests are refused, and what they are told."""

    def test_refused_from_three_quarters_on(self):
        """Guards against requests that take the room which running answers still need."""
        edge = int(CAPACITY * REFUSAL_SHARE)
        assert filled(edge - 100).accepts(100)
        assert not filled(edge - 100).accepts(101)
        assert filled(edge + 100).fits(0, 1_000)

    def test_large_body_is_accepted_by_an_idle_vm(self):
        """Guards against a request that is refused forever."""
        assert filled(0).accepts(CAPACITY)

    def test_forecast_follows_the_rate_of_release(self):
        """Guards against a Retry-After that is far from the time at which requests are taken."""
        budget = filled(CAPACITY)
        edge = CAPACITY * REFUSAL_SHARE
        now = 0.0
        forecasts = {}
        while budget.held > edge:
            now += 10.0
            budget.release(2_000, now)
            forecasts[now] = budget.accepts_in_ms(0, now)
        for at, forecast in forecasts.items():
            if at >= 2_000.0:
                assert forecast == pytest.approx(now - at, rel=0.25, abs=50.0)

    def test_forecast_while_no_client_reads(self):
        """Guards against an infinite forecast, and one from a rate that is long past."""
        budget = filled(CAPACITY)
        assert budget.accepts_in_ms(0, 5.0) == UNKNOWN_FORECAST_MS
        budget.release(1, 6.0)
        assert budget.accepts_in_ms(0, 7.0) == MAX_FORECAST_MS
        assert budget.accepts_in_ms(0, 9_000.0) == UNKNOWN_FORECAST_MS

    def test_no_forecast_where_the_request_is_accepted(self):
        assert filled(10).accepts_in_ms(10, 0.0) == 0.0
