"""Exposes counters and latency histograms in the Prometheus text format."""

import re
from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.metrics_core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
    SummaryMetricFamily,
)

from siskinspoke.core.counters import Counters
from siskinspoke.core.latencies import Latencies, Summary


def _metric_name(name: str) -> str:
    return "siskinspoke_" + re.sub(r"[^a-zA-Z0-9_]", "_", name)


class _Collector:
    def __init__(self, counters: Counters, latencies: Latencies):
        self._counters = counters
        self._latencies = latencies

    def collect(self) -> Iterator[Metric]:
        for name, total in self._counters.totals.items():
            yield CounterMetricFamily(_metric_name(name), f"Events: {name}", value=total)
        for name, value in self._counters.gauges.items():
            yield GaugeMetricFamily(_metric_name(name), f"Last value: {name}", value=value)
        yield from map(_summary_family, self._latencies.summaries())


def _summary_family(summary: Summary) -> Metric:
    """Return a summary with its quantiles as a metric."""
    family = SummaryMetricFamily(
        _metric_name(summary.name) + "_ms", f"Milliseconds: {summary.name}"
    )
    family.add_metric([], summary.count, summary.total_ms)
    for quantile, value in summary.quantiles.items():
        family.add_sample(family.name, {"quantile": str(quantile)}, value)
    return family


def exposition(counters: Counters, latencies: Latencies) -> bytes:
    """Return all counters, gauges and histograms in the text format."""
    registry = CollectorRegistry()
    registry.register(_Collector(counters, latencies))
    return generate_latest(registry)
