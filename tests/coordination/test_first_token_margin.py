"""Tests for the margin added to expected times of first tokens."""

import random
from statistics import mean

import pytest

from siskinspoke.coordination.first_token_margin import (
    INITIAL_MARGIN_MS,
    MAX_MARGIN_MS,
    MIN_MARGIN_MS,
    QUANTILE,
    FirstTokenMargin,
)


class TestMargin:
    """Most first tokens arrive within the margin."""

    @pytest.mark.parametrize("spread", [20.0, 40.0])
    def test_converges_to_the_quantile(self, spread):
        rng, margin = random.Random(1), FirstTokenMargin()
        margins = []
        for _ in range(400):
            margin.observe(100.0, 100.0 + rng.uniform(-spread, spread))
            margins.append(margin.margin_ms)
        within = (mean(margins[100:]) + spread) / (2 * spread)
        assert within == pytest.approx(QUANTILE, abs=0.12)

    def test_follows_a_burst_of_late_first_tokens(self):
        margin = FirstTokenMargin()
        for _ in range(20):
            margin.observe(100.0, 300.0)
        assert margin.margin_ms == MAX_MARGIN_MS

    def test_stays_within_bounds(self):
        margin = FirstTokenMargin()
        for _ in range(1_000):
            margin.observe(100.0, 20.0)
        assert margin.margin_ms == MIN_MARGIN_MS < INITIAL_MARGIN_MS
