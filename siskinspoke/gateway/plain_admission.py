"""Plain calls of this VM that wait for a place at one of their servers."""

import math
import random
from collections.abc import Callable, Sequence
from itertools import count
from typing import NamedTuple

import trio

from siskinspoke.coordination.admission import AdmissionQueue, Refuse, Wait, Waiter
from siskinspoke.coordination.place_queue import PlaceChoice, PlaceQueue, TakePlace
from siskinspoke.coordination.server_places import PlaceEstimate, ServerPlaces
from siskinspoke.core.counters import Counters
from siskinspoke.core.decisions import DecisionLog
from siskinspoke.core.latencies import Latencies


class PlaceSearch(NamedTuple):
    """How a place is looked for, for one call.

    ``find`` returns the servers that the call may go to now.  It may wait until ``last_at``.
    ``request_id`` is for the log: callers may use one twice, so the waiter has a name of its own.
    """

    request_id: str
    service: str
    waiter: Waiter
    may_repeat: bool
    last_at: float
    find: Callable[[], Sequence[PlaceChoice]]


class PlainAdmission:
    """The places of plain servers, and the calls that wait for one; ``capacity`` limits these."""

    def __init__(
        self,
        capacity: int,
        counters: Counters,
        latencies: Latencies,
        log: DecisionLog,
        rng: random.Random,
    ):
        self.places = ServerPlaces()
        self._capacity = capacity
        self._counters = counters
        self._latencies = latencies
        self._log = log
        self._rng = rng
        self._queues: dict[str, PlaceQueue] = {}
        self._changed = trio.Event()
        self._numbers = count(1)

    def next_name(self) -> str:
        """Return a name for a waiter, unique in this VM."""
        return str(next(self._numbers))

    @property
    def waiting_count(self) -> int:
        """Return the number of calls that wait."""
        return sum(len(queue) for queue in self._queues.values())

    def places_changed(self) -> None:
        """Decide again on the calls that wait."""
        self._changed.set()
        self._changed = trio.Event()

    def take(self, search: PlaceSearch) -> TakePlace | None:
        """Return a place that a call takes now, or None; the caller ends it in ``places``."""
        queue = self._queue(search.service)
        choices = search.find()
        taken = queue.take(search.waiter, choices, search.may_repeat, _now_ms())
        if taken is not None:
            self.places.begin(taken.server)
        return taken

    async def admit(self, search: PlaceSearch) -> TakePlace | Refuse | None:
        """Return the place that a call takes, at once or after a wait, or its refusal.

        Return None if there is no server.  The caller ends the taken place in ``places``.
        """
        queue, waiter, began = self._queue(search.service), search.waiter, _now_ms()
        waited = False
        try:
            while True:
                changed, choices, now = self._changed, search.find(), _now_ms()
                if not choices:
                    return None
                decision = queue.decide(
                    waiter,
                    choices,
                    search.may_repeat,
                    search.last_at,
                    self._capacity - self.waiting_count,
                    now,
                    self._rng,
                )
                if not isinstance(decision, Wait):
                    break
                if not waited:
                    waited = True
                    self._counters.count("admission.waited")
                with trio.move_on_at(decision.until / 1000):
                    await changed.wait()
        finally:
            queue.leave(waiter.name)
            if waited:
                # The calls behind this one may take the place that it leaves.
                self.places_changed()
        if isinstance(decision, TakePlace):
            self.places.begin(decision.server)
        self._note(search, decision, choices, now - began if waited else None, len(queue))
        return decision

    def _queue(self, service: str) -> PlaceQueue:
        return self._queues.setdefault(service, PlaceQueue(AdmissionQueue()))

    def _note(
        self,
        search: PlaceSearch,
        decision: TakePlace | Refuse,
        choices: Sequence[PlaceChoice],
        waited_ms: float | None,
        known: int,
    ) -> None:
        """Count a decision, and log it if the call waited or was refused."""
        match decision:
            case Refuse(retry_after_ms=retry_after_ms, reason=reason):
                self._counters.count(f"admission.refused.{reason}")
                outcome = {
                    "decision": "refused",
                    "why": reason,
                    "retry_after": round(retry_after_ms),
                }
            case TakePlace(server=server, overtaken=overtaken):
                self._counters.count("admission.placed")
                self._counters.count("admission.overtaken", overtaken)
                outcome = {"decision": "placed", "server": server}
                if waited_ms is None:
                    return
        self._latencies.record("admission_wait", waited_ms or 0.0)
        self._log.note(
            "admission",
            request=search.request_id,
            **outcome,
            rank=search.waiter.rank,
            customer=search.waiter.customer,
            known=known,
            waited=round(waited_ms or 0.0),
            places={item.server: _describe(item.estimate) for item in choices},
        )


def _describe(estimate: PlaceEstimate) -> dict[str, float | bool | None]:
    """Return the fields of an estimate for the log; an input that is missing has no age."""
    ages = {
        "slots_age": estimate.slots_age_ms,
        "load_age": estimate.load_age_ms,
        "peers_age": estimate.peers_age_ms,
    }
    return {
        "slots": estimate.slots,
        "own": estimate.own,
        "others": round(estimate.others, 1),
        "full": estimate.is_full,
        **{name: round(age) if math.isfinite(age) else None for name, age in ages.items()},
    }


def _now_ms() -> float:
    return trio.current_time() * 1000
