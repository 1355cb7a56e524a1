"""Counters and gauges, kept in the process and optionally sent to statsd."""

from collections import Counter
from typing import Protocol

import statsd


class Sink(Protocol):
    """A receiver of counters and gauges, such as a statsd client."""

    def incr(self, stat: str, count: int = 1) -> None: ...

    def gauge(self, stat: str, value: float) -> None: ...


class Counters:
    """Counters and gauges by name; the ``status`` command prints the totals."""

    def __init__(self, sink: Sink | None = None):
        self._sink = sink
        self._totals: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}

    @property
    def totals(self) -> dict[str, int]:
        """Return all counters, counted since the process started."""
        return dict(self._totals)

    @property
    def gauges(self) -> dict[str, float]:
        """Return the last value of each gauge."""
        return dict(self._gauges)

    def count(self, name: str, amount: int = 1) -> None:
        self._totals[name] += amount
        if self._sink is not None:
            self._sink.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        self._gauges[name] = value
        if self._sink is not None:
            self._sink.gauge(name, value)


def create_counters(process: str, statsd_host: str, statsd_port: int) -> Counters:
    """Return counters that are also sent to statsd if a port is given.

    The host must be a numeric address: the statsd client resolves names on a blocking socket, which
    would stall all tasks of the process.
    """
    if not statsd_port:
        return Counters()
    return Counters(statsd.StatsClient(statsd_host, statsd_port, prefix=f"siskinspoke.{process}"))
