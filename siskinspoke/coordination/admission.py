"""Decide whether a request is placed now, waits for room, or is refused, and in which order.

All functions are pure: the clock, in milliseconds, and random numbers are passed in.
"""

import math
import random
from dataclasses import dataclass
from typing import NamedTuple


class Waiter(NamedTuple):
    """A request that needs room; times are in milliseconds of this VM's monotonic clock.

    ``name`` is unique in the fleet.  ``rank`` is its priority, 0 being the most urgent.
    ``target_at`` is when its answer, or the first event of its stream, should arrive, and
    ``leaves_at`` when its caller gives up at the latest.  ``cost_ms`` is the engine or server time
    that it takes, ``value`` what its answer is worth, relative to a short prompt.  ``returned``
    tells that it came back after a refusal.
    """

    name: str
    rank: int
    customer: str
    arrived_at: float
    target_at: float
    leaves_at: float
    cost_ms: float
    value: float
    returned: bool = False


@dataclass(frozen=True)
class PlaceNow:
    """The request takes the place that was found for it."""


@dataclass(frozen=True)
class Wait:
    """The request waits; ``until`` is when the decision is made again at the latest."""

    until: float
    ahead: int


@dataclass(frozen=True)
class Refuse:
    """The request is refused now; there is expected to be room after ``retry_after_ms``."""

    retry_after_ms: float
    reason: str


Decision = PlaceNow | Wait | Refuse

# Share of its useful time that a request may wait; after that it is refused.
MAX_WAIT_SHARE = 0.5
# Longest wait in units of the target, where the caller of ``decide`` gives none.
MAX_WAIT_TARGETS = 0.5
# A waiting request that this many others have overtaken goes before all others.
MAX_OVERTAKEN = 40
# Engine or server time that a customer has used counts less with time, by half in this time.
USAGE_HALF_LIFE_MS = 4_000.0
# Longest time between two decisions on a waiting request.
MAX_RECHECK_MS = 200.0
# Room counts as short for this long after a request had to wait or was refused.
SHORTAGE_MS = 1_000.0
# An overload is a shortage without a break of so long; a shorter one is a peak of the arrivals.
OVERLOAD_MS = 3_000.0
# Least Retry-After, and the share of the forecast that is added to it at random.
MIN_RETRY_AFTER_MS = 200.0
# Interval at which callers ask again while no room is forecast at all.
UNKNOWN_ROOM_MS = 1_000.0
RETRY_AFTER_JITTER = 0.5


def useful_time_ms(target_ms: float, pause_ms: float, deadline_ms: float) -> float:
    """Return how long after its arrival a stream is still of use to its caller."""
    return min(deadline_ms, max(2_000.0, 4 * target_ms, 8 * pause_ms))


class AdmissionQueue:
    """The requests of one service that wait for room, in this VM and in others of its cell.

    Use: ``decide`` for every request, with the time in which room is forecast for it.  On ``Wait``
    call ``add`` (repeating it is harmless), and decide again when room may have become free and at
    ``Wait.until`` at the latest.  On ``PlaceNow`` call ``place``, in the same step in which the
    place is taken; on ``Refuse``, and when the client leaves, call ``remove``.  Requests that other
    VMs announce are added and removed under names with the prefix of their VM.

    The queue knows nothing of engines or servers: whether there is a place, and when there will be
    one, is for the caller to find out; ``ahead`` returns the requests that will take room first.
    """

    def __init__(self, max_overtaken: int = MAX_OVERTAKEN):
        self._max_overtaken = max_overtaken
        self._waiters: dict[str, Waiter] = {}
        self._overtaken: dict[str, int] = {}
        self._usage: dict[str, tuple[float, float]] = {}
        self._short_at: dict[int, float] = {}
        self._short_since = math.inf
        # The last two requests that lacked room, by arrival: one of them is not the asking one.
        self._lacking: dict[float, float] = {}

    def __len__(self) -> int:
        return len(self._waiters)

    def __contains__(self, name: str) -> bool:
        return name in self._waiters

    def add(self, waiter: Waiter) -> None:
        """Add a request, replacing any of the same name."""
        self._waiters[waiter.name] = waiter
        self._overtaken.setdefault(waiter.name, 0)

    def remove(self, name: str) -> Waiter | None:
        """Remove a request that no longer waits, and return it if it did."""
        self._overtaken.pop(name, None)
        return self._waiters.pop(name, None)

    def remove_with_prefix(self, prefix: str) -> int:
        """Remove all requests whose names start with ``prefix``; return their number."""
        names = [name for name in self._waiters if name.startswith(prefix)]
        for name in names:
            self.remove(name)
        return len(names)

    def place(self, waiter: Waiter, now: float) -> int:
        """Remove a request that takes a place; return how many earlier ones it overtakes.

        Its cost is charged to its customer.
        """
        self.remove(waiter.name)
        overtaken = [item for item in self._waiters.values() if item.arrived_at < waiter.arrived_at]
        for other in overtaken:
            self._overtaken[other.name] += 1
        self._usage[waiter.customer] = (self._used(waiter.customer, now) + waiter.cost_ms, now)
        return len(overtaken)

    def note_shortage(self, now: float, rank: int = 0, arrived_at: float = math.nan) -> None:
        """Record that a request of this VM or of another found no room in time."""
        if not self.is_short(now):
            self._short_since = now
        self._short_at[rank] = now
        self._lacking.pop(arrived_at, None)
        self._lacking[arrived_at] = now
        if len(self._lacking) > 2:
            del self._lacking[next(iter(self._lacking))]

    def is_alone(self, arrived_at: float, now: float) -> bool:
        """Return whether no request but the one that arrived then lacked room lately."""
        others = (item.arrived_at for item in self._waiters.values())
        return all(other == arrived_at for other in others) and all(
            other == arrived_at or now - at >= SHORTAGE_MS for other, at in self._lacking.items()
        )

    def is_short(self, now: float) -> bool:
        """Return whether room was short lately; otherwise any place may be taken."""
        return any(now - at < SHORTAGE_MS for at in self._short_at.values())

    def is_overloaded(self, now: float) -> bool:
        """Return whether room has been short without a break for longer than a peak lasts."""
        return self.is_short(now) and now - self._short_since >= OVERLOAD_MS

    def is_short_for_more_urgent(self, rank: int, now: float) -> bool:
        """Return whether room was short lately for a request that is more urgent than ``rank``."""
        return any(other < rank and now - at < SHORTAGE_MS for other, at in self._short_at.items())

    def ordered(self, now: float) -> list[Waiter]:
        """Return all waiting requests, the one that is served first at the front."""
        over_share = self._over_share(now)
        return sorted(self._waiters.values(), key=lambda item: self._key(item, over_share))

    def ahead(self, waiter: Waiter, now: float) -> list[Waiter]:
        """Return the requests that go before this one, which may or may not be in the queue."""
        over_share = self._over_share(now, waiter.customer)
        own_key = self._key(waiter, over_share)
        return [
            item
            for item in self._waiters.values()
            if item.name != waiter.name and self._key(item, over_share) < own_key
        ]

    def decide(
        self,
        waiter: Waiter,
        has_place: bool,
        room_in_ms: float,
        now: float,
        rng: random.Random,
        wait_targets: float = MAX_WAIT_TARGETS,
    ) -> Decision:
        """Return whether a request takes the place that was found, waits or is refused.

        ``has_place`` tells that there is a place which no request ahead of it is to take.
        ``room_in_ms`` is the time in which a place is forecast for it, after those ahead of it;
        ``math.inf`` if it will not get one.  A request waits at most for half of its useful time
        and for ``wait_targets`` times its target: one that is placed later is late anyway, and
        takes the room of one that is not.
        """
        if has_place:
            return PlaceNow()
        self.note_shortage(now, waiter.rank, waiter.arrived_at)
        useful = waiter.leaves_at - waiter.arrived_at
        target = waiter.target_at - waiter.arrived_at
        last = waiter.arrived_at + min(MAX_WAIT_SHARE * useful, wait_targets * target)
        if now + room_in_ms >= last:
            return Refuse(retry_after_ms(room_in_ms, rng), "late" if now < last else "waited")
        until = min(last, now + min(MAX_RECHECK_MS, max(1.0, room_in_ms)))
        return Wait(until, len(self.ahead(waiter, now)))

    def _used(self, customer: str, now: float) -> float:
        used, at = self._usage.get(customer, (0.0, now))
        return used * 0.5 ** ((now - at) / USAGE_HALF_LIFE_MS)

    def _over_share(self, now: float, customer: str | None = None) -> set[str]:
        """Return the customers that have used more than an equal share, while others wait."""
        customers = {item.customer for item in self._waiters.values()}
        if customer is not None:
            customers.add(customer)
        used = {name: self._used(name, now) for name in customers}
        share = sum(used.values()) / max(1, len(used))
        return {name for name, value in used.items() if value > share}

    def _key(self, waiter: Waiter, over_share: set[str]) -> tuple:
        return (
            self._overtaken.get(waiter.name, 0) < self._max_overtaken,
            waiter.rank,
            waiter.customer in over_share,
            -waiter.value / max(1.0, waiter.cost_ms),
            waiter.target_at,
            not waiter.returned,
            waiter.name,
        )


def retry_after_ms(room_in_ms: float, rng: random.Random) -> float:
    """Return a Retry-After for room that is forecast, or to ask again if none is, with jitter."""
    known = room_in_ms if math.isfinite(room_in_ms) else UNKNOWN_ROOM_MS
    return max(MIN_RETRY_AFTER_MS, known) * (1 + RETRY_AFTER_JITTER * rng.random())
