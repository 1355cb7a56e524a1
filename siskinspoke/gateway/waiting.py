"""Requests of this VM that wait for room, in an order that all VMs of the cell share.

A VM gives room to the request that stands first in the order.  Where that is another VM's, its own
first request tries some milliseconds later for each request ahead of it: the other VM takes the
room if its request fits, and otherwise the room is not left idle.
"""

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import trio

from siskinspoke.coordination.admission import (
    MAX_WAIT_TARGETS,
    AdmissionQueue,
    Decision,
    PlaceNow,
    Refuse,
    Wait,
    Waiter,
    retry_after_ms,
)
from siskinspoke.core.counters import Counters
from siskinspoke.core.decisions import DecisionLog
from siskinspoke.core.latencies import Latencies
from siskinspoke.protocol.peers import WaitBegan

# Delay of a request for each one of another VM that is ahead of it, and its limit.  Milliseconds.
STEP_MS = 4.0
MAX_DELAY_MS = 40.0
# Own requests that are tried in a row for room that they do not fit, at one wake-up.
MAX_MISFITS = 3


class WaitOutcome(NamedTuple):
    """The place that a request got, or None with the reason and Retry-After of its refusal."""

    place: Any
    refusal: Refuse | None
    waited_ms: float
    ahead: int


@dataclass(frozen=True)
class Search:
    """How room is looked for, for one request.

    ``find`` returns a place and takes it, or None.  ``release`` gives back a place whose request
    has gone.  ``room_in_ms`` forecasts room, after the requests that are ahead.  ``refused_now``
    returns why the VM takes no more requests, "" if it does.  ``wait_targets`` is the longest wait
    in units of the target, and ``wait_targets_alone`` that of a request which is the only one that
    lacks room: nobody else loses what it takes.  ``size`` compares requests of one service: where
    there is no room for one, the larger ones are not tried.
    """

    find: Callable[[], Any]
    release: Callable[[Any], None]
    room_in_ms: Callable[[Sequence[Waiter]], float]
    refused_now: Callable[[], str] = lambda: ""
    wait_targets: float = MAX_WAIT_TARGETS
    size: float = 0.0
    wait_targets_alone: float | None = None


@dataclass
class _Waiting:
    """A waiting request of this VM; ``try_at`` is when it may take room out of turn."""

    waiter: Waiter
    search: Search
    number: int
    place: Any = None
    expected_ms: float = 0.0
    try_at: float = math.inf
    woken: trio.Event = field(default_factory=trio.Event)


class WaitingRequests:
    """The queues of all services; ``capacity`` is the number of requests of this VM."""

    def __init__(
        self,
        capacity: int,
        counters: Counters,
        latencies: Latencies,
        log: DecisionLog,
        rng: random.Random,
        begin_wait: Callable[[WaitBegan], None] = lambda item: None,
        end_wait: Callable[[int], None] = lambda number: None,
        wait_key: Callable[[int], str] = str,
    ):
        self._capacity = capacity
        self._counters = counters
        self._latencies = latencies
        self._log = log
        self._rng = rng
        self._begin_wait = begin_wait
        self._end_wait = end_wait
        self._wait_key = wait_key
        self._queues: dict[str, AdmissionQueue] = {}
        self._own: dict[str, _Waiting] = {}
        self._last_number = 0
        self._heard_at = -math.inf

    @property
    def enabled(self) -> bool:
        """Return whether requests may wait at this VM."""
        return self._capacity > 0

    @property
    def own_count(self) -> int:
        """Return the number of waiting requests of this VM."""
        return len(self._own)

    def anybody_waits(self) -> bool:
        """Return whether a request of this VM or another is known to wait."""
        return self.enabled and any(self._queues.values())

    def add_remote(self, prefix: str, items: Sequence[WaitBegan]) -> None:
        """Add requests of another VM; their names begin with ``prefix``."""
        if not self.enabled:
            return
        now = self._heard_at = _now_ms()
        for item in items:
            waiter = Waiter(
                f"{prefix}{item.number}",
                item.rank,
                item.customer,
                now - item.waited_ms,
                now + item.target_in_ms,
                now + item.leaves_in_ms,
                item.cost_ms,
                item.value,
                item.returned,
            )
            queue = self.queue(item.service)
            queue.add(waiter)
            queue.note_shortage(now, item.rank, waiter.arrived_at)

    def remove_remote(self, prefix: str, numbers: Sequence[int]) -> None:
        """Remove requests of another VM that no longer wait."""
        self._heard_at = _now_ms()
        for queue in self._queues.values():
            for number in numbers:
                queue.remove(f"{prefix}{number}")

    def remove_vm(self, prefix: str) -> None:
        """Remove all requests of a VM that is silent or has restarted."""
        removed = sum(queue.remove_with_prefix(prefix) for queue in self._queues.values())
        if removed:
            self.room_changed()

    def expire(self, now: float) -> None:
        """Remove requests of other VMs whose callers have left; their removal was not heard."""
        for queue in self._queues.values():
            for waiter in queue.ordered(now):
                if waiter.leaves_at < now and waiter.name not in self._own:
                    queue.remove(waiter.name)

    def room_changed(self) -> None:
        """Give room that may have become free to waiting requests of this VM, in order."""
        now = _now_ms()
        if self._own:
            for queue in self._queues.values():
                self._give_room(queue, now)

    async def admit(self, service: str, waiter: Waiter, search: Search) -> WaitOutcome:
        """Return a place for a request, at once or after a wait, or its refusal.

        ``waiter.name`` is the request's ID, for the log; the queue has a name of its own for it.
        """
        queue, began = self.queue(service), _now_ms()
        self._last_number += 1
        item = _Waiting(
            waiter._replace(name=self._wait_key(self._last_number)), search, self._last_number
        )
        ahead = len(queue.ahead(item.waiter, began))
        decision, waited = self._decide(queue, item, may_try=not ahead), 0.0
        if isinstance(decision, Wait):
            decision = await self._wait(service, queue, item, decision)
            waited = _now_ms() - began
        self._note(waiter, decision, ahead, waited, len(queue), item.expected_ms)
        refusal = decision if isinstance(decision, Refuse) else None
        return WaitOutcome(item.place, refusal, waited, ahead)

    async def _wait(
        self, service: str, queue: AdmissionQueue, item: _Waiting, decision: Decision
    ) -> Decision:
        queue.add(item.waiter)
        self._own[item.waiter.name] = item
        self._begin_wait(_announcement(service, item, _now_ms()))
        self._counters.count("admission.waited")
        is_settled = False
        try:
            self._give_room(queue, _now_ms())
            while item.place is None and isinstance(decision, Wait):
                with trio.move_on_at(min(decision.until, item.try_at) / 1000):
                    await item.woken.wait()
                if item.place is not None:
                    break
                item.woken = trio.Event()
                is_due = _now_ms() >= item.try_at
                if is_due:
                    item.try_at = math.inf
                decision = self._decide(queue, item, is_due or self._stands_first(queue, item))
            is_settled = True
            return PlaceNow() if item.place is not None else decision
        finally:
            self._own.pop(item.waiter.name, None)
            queue.remove(item.waiter.name)
            self._end_wait(item.number)
            if item.place is not None and not is_settled:
                # The client left in the tick in which its request got room.
                item.search.release(item.place)
            self.room_changed()

    def _decide(self, queue: AdmissionQueue, item: _Waiting, may_try: bool) -> Decision:
        now = _now_ms()
        closed = item.search.refused_now()
        if closed:
            return Refuse(retry_after_ms(0.0, self._rng), closed)
        if may_try:
            self._try(queue, item, now)
        room_in = 0.0
        if item.place is None:
            room_in = item.search.room_in_ms(queue.ahead(item.waiter, now))
            item.expected_ms = item.expected_ms or room_in
        has_place, wait_targets = item.place is not None, item.search.wait_targets
        alone_targets = item.search.wait_targets_alone
        if alone_targets is not None and queue.is_alone(item.waiter.arrived_at, now):
            wait_targets = alone_targets
        decision = queue.decide(item.waiter, has_place, room_in, now, self._rng, wait_targets)
        is_full = len(self._own) >= self._capacity and item.waiter.name not in self._own
        if isinstance(decision, Wait) and is_full:
            return Refuse(retry_after_ms(room_in, self._rng), "full")
        return decision

    def _try(self, queue: AdmissionQueue, item: _Waiting, now: float) -> bool:
        """Look for room for a request; return whether it has some."""
        item.place = item.search.find()
        if item.place is None:
            return False
        overtaken = queue.place(item.waiter, now)
        if overtaken:
            self._counters.count("admission.overtaken", overtaken)
        return True

    def _give_room(self, queue: AdmissionQueue, now: float) -> None:
        remote = misfits = 0
        smallest_misfit = math.inf
        for waiter in queue.ordered(now):
            item = self._own.get(waiter.name)
            if item is None:
                remote += 1
            elif remote:
                delay = min(MAX_DELAY_MS, STEP_MS * remote)
                item.try_at = min(item.try_at, now + delay)
                item.woken.set()
                return
            elif item.search.size >= smallest_misfit:
                continue
            elif self._try(queue, item, now):
                item.woken.set()
            else:
                smallest_misfit = item.search.size
                misfits += 1
                if misfits >= MAX_MISFITS:
                    return

    def _stands_first(self, queue: AdmissionQueue, item: _Waiting) -> bool:
        ahead = queue.ahead(item.waiter, _now_ms())
        return all(other.name in self._own for other in ahead)

    def queue(self, service: str) -> AdmissionQueue:
        """Return the queue of a service."""
        return self._queues.setdefault(service, AdmissionQueue())

    def _note(
        self,
        waiter: Waiter,
        decision: Decision,
        ahead: int,
        waited: float,
        known: int,
        expected_ms: float,
    ) -> None:
        """Count a decision, and log it if the request waited or was refused."""
        refusal = decision if isinstance(decision, Refuse) else None
        if refusal is None:
            self._counters.count("admission.placed")
        else:
            self._counters.count(f"admission.refused.{refusal.reason}")
        if refusal is None and not waited:
            return
        self._latencies.record("admission_wait", waited)
        heard_ms = _now_ms() - self._heard_at
        self._log.note(
            "admission",
            request=waiter.name,
            decision="placed" if refusal is None else "refused",
            why=refusal.reason if refusal else None,
            rank=waiter.rank,
            customer=waiter.customer,
            ahead=ahead,
            known=known,
            expected=round(expected_ms) if math.isfinite(expected_ms) else None,
            waited=round(waited),
            retry_after=round(refusal.retry_after_ms) if refusal else None,
            age=round(heard_ms) if math.isfinite(heard_ms) else None,
        )


def _announcement(service: str, item: _Waiting, now: float) -> WaitBegan:
    waiter = item.waiter
    return WaitBegan(
        item.number,
        service,
        waiter.rank,
        waiter.customer,
        now - waiter.arrived_at,
        waiter.target_at - now,
        waiter.leaves_at - now,
        waiter.cost_ms,
        waiter.value,
        waiter.returned,
    )


def _now_ms() -> float:
    return trio.current_time() * 1000
