"""In-process latency histograms."""

from collections.abc import Iterator
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS = 1, 600_000, 2
PERCENTILES = (50.0, 90.0, 95.0, 99.0)


class Summary(NamedTuple):
    """A summary of one histogram; ``quantiles`` maps quantiles from 0 to 1 to milliseconds."""

    name: str
    count: int
    total_ms: float
    quantiles: dict[float, float]


class Latencies:
    """Latency histograms in milliseconds, by name."""

    def __init__(self) -> None:
        self._histograms: dict[str, HdrHistogram] = {}
        self._sums: dict[str, float] = {}

    def record(self, name: str, milliseconds: float) -> None:
        """Record one latency."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._histograms[name] = HdrHistogram(
                LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS
            )
        histogram.record_value(min(HIGHEST_MS, max(LOWEST_MS, round(milliseconds))))
        self._sums[name] = self._sums.get(name, 0.0) + milliseconds

    def summaries(self) -> Iterator[Summary]:
        """Yield a summary of each histogram."""
        for name, histogram in self._histograms.items():
            quantiles = {
                percentile / 100: histogram.get_value_at_percentile(percentile)
                for percentile in PERCENTILES
            }
            yield Summary(name, histogram.total_count, self._sums[name], quantiles)
