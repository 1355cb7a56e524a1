"""Tests of the margin that first tokens need."""

import random
from statistics import mean

import pytest

from siskinspoke.coordination.foresight import (
    FIRST_MARGIN_MS,
    LEAST_MARGIN_MS,
    MOST_MARGIN_MS,
    QUANTILE,
    Foresight,
)


class TestMargin:
    """The margin is what most first tokens keep."""

    @pytest.mark.parametrize("spread", [20.0, 40.0])
    def test_comes_to_the_quantile(self, spread):
        rng, foresight = random.Random(1), Foresight()
        margins = []
        for _ in range(400):
            foresight.came(100.0, 100.0 + rng.uniform(-spread, spread))
            margins.append(foresight.margin_ms)
        kept = (mean(margins[100:]) + spread) / (2 * spread)
        assert kept == pytest.approx(QUANTILE, abs=0.12)

    def test_follows_a_burst_of_late_ones(self):
        foresight = Foresight()
        for _ in range(20):
            foresight.came(100.0, 300.0)
        assert foresight.margin_ms == MOST_MARGIN_MS

    def test_stays_within_bounds(self):
        foresight = Foresight()
        for _ in range(1_000):
            foresight.came(100.0, 20.0)
        assert foresight.margin_ms == LEAST_MARGIN_MS < FIRST_MARGIN_MS
