"""Logging and metrics of a control replica: slow syncs and turns, lost elections, links."""

import math
from collections.abc import Callable, Mapping
from typing import Any

import trio

from siskinspoke.coordination.replica_types import LostElection
from siskinspoke.core.counters import Counters
from siskinspoke.core.latencies import Latencies
from siskinspoke.transport.links import LinkState

# A sync or delay of at least this duration is logged, at most once per SLOW_LOG_INTERVAL_MS.
SLOW_THRESHOLD_MS = 100.0
SLOW_LOG_INTERVAL_MS = 1_000.0

NoteEvent = Callable[..., None]


def discard_event(event: str, **fields: Any) -> None:
    """Ignore a log event."""


class ReplicaReport:
    """Log and count slow syncs, slow turns and lost elections of a replica."""

    def __init__(
        self,
        counters: Counters,
        latencies: Latencies | None = None,
        note: NoteEvent = discard_event,
        links: Callable[[], Mapping[str, LinkState]] = dict,
    ):
        self._counters = counters
        self._latencies = latencies or Latencies()
        self._note = note
        self._links = links
        self._slow_logged_at = -math.inf
        self._longest_ms = {"sync": 0.0, "turn": 0.0}

    def record_duration(self, kind: str, milliseconds: float, now: float) -> None:
        """Record the duration of a ``sync``, or the delay of a timer by the process's ``turn``."""
        self._latencies.record(f"replica_{kind}", milliseconds)
        self._longest_ms[kind] = max(self._longest_ms[kind], milliseconds)
        if milliseconds < SLOW_THRESHOLD_MS:
            return
        self._counters.count(f"replica.slow_{kind}")
        if now - self._slow_logged_at >= SLOW_LOG_INTERVAL_MS:
            self._slow_logged_at = now
            self._note("replica.slow", **self._take_longest())

    def record_lost_election(self, election: LostElection) -> None:
        """Log and count an election that ended without a majority."""
        self._counters.count("election.lost")
        for reason in election.refused.values():
            self._counters.count(f"election.refused.{reason}")
        self._counters.count("election.unanswered", len(election.silent))
        self._note(
            "election.lost", **election._asdict(), **self._take_longest(), links=self._link_fields()
        )

    def _take_longest(self) -> dict[str, float]:
        """Return the longest durations since the last call, and reset them."""
        fields = {f"{kind}_ms": round(value, 1) for kind, value in self._longest_ms.items()}
        self._longest_ms = dict.fromkeys(self._longest_ms, 0.0)
        return fields

    def _link_fields(self) -> dict[str, list]:
        now = trio.current_time()
        return {
            name: [state.connected, round(min(now - state.since, 1e6), 3), state.queued]
            for name, state in self._links().items()
        }
