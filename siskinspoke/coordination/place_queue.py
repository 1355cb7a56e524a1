"""Decide whether a plain call is sent now, waits at this VM for a place, or is refused."""

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from siskinspoke.coordination.admission import (
    MAX_RECHECK_MS,
    AdmissionQueue,
    Refuse,
    Wait,
    Waiter,
    retry_after_ms,
)
from siskinspoke.coordination.server_places import PlaceEstimate, expected_wait_ms

# Least time after which a waiting call is decided on again although nothing was heard.
MIN_RECHECK_MS = 10.0
# Time after a refusal before the call is decided on again: in a burst, the refusals of other calls
# that were sent at the same time arrive then and show which servers are full.
REFUSED_PAUSE_MS = 5.0
LATE = "late"
WAITED = "waited"
FULL = "full"


class PlaceChoice(NamedTuple):
    """A server considered for a call; ``avoided`` tells that the call would likely fail there."""

    server: str
    estimate: PlaceEstimate
    avoided: bool
    expected_ms: float


@dataclass(frozen=True)
class TakePlace:
    """The call is sent to this server now; ``waited_ms`` is 0 if it has not waited.

    ``was_known`` tells that the number of the server's places was known.
    """

    server: str
    was_known: bool
    waited_ms: float
    overtaken: int


Decision = TakePlace | Wait | Refuse


class PlaceQueue:
    """The calls of one service that wait at this VM.

    ``decide`` is to be repeated for a waiting call when a place may have become free, and at
    ``Wait.until`` at the latest; ``leave`` is called when its client leaves.
    """

    def __init__(self, queue: AdmissionQueue):
        self._queue = queue
        self._begun_at: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._begun_at)

    def decide(
        self,
        waiter: Waiter,
        choices: Sequence[PlaceChoice],
        may_repeat: bool,
        last_at: float,
        capacity: int,
        now: float,
        rng: random.Random,
    ) -> Decision:
        """Return what to do with a call that may wait until ``last_at``.

        After a wait it is then sent where a place has likely become free, though nothing was heard
        of it.  At most ``capacity`` more calls may begin to wait.
        """
        taken = self.take(waiter, choices, may_repeat, now)
        if taken is not None:
            return taken
        usable = usable_choices(choices, may_repeat)
        ahead = len(self._queue.ahead(waiter, now))
        room_in_ms = expected_wait_ms([item.estimate for item in usable], ahead)
        # The forecast knows nothing of how long the calls have run, so the time that a call has
        # waited counts towards it.
        begun_at = self._begun_at.get(waiter.name, now)
        in_time = begun_at + room_in_ms < last_at and now < last_at
        if in_time and (waiter.name in self._begun_at or capacity > 0):
            self._queue.add(waiter)
            self._begun_at.setdefault(waiter.name, now)
            recheck_ms = min(MAX_RECHECK_MS, max(MIN_RECHECK_MS, room_in_ms))
            return Wait(min(last_at, now + recheck_ms), ahead)
        unsure = [item for item in usable if item.estimate.may_have_place]
        if waiter.name in self._begun_at and now >= last_at and unsure:
            # To refuse the call would lose it for certain.
            return self._take_at(unsure, waiter, now)
        self._queue.remove(waiter.name)
        self._end_wait(waiter.name, now)
        reason = FULL if in_time else LATE if now < last_at else WAITED
        return Refuse(retry_after_ms(room_in_ms, rng), reason)

    def take(
        self, waiter: Waiter, choices: Sequence[PlaceChoice], may_repeat: bool, now: float
    ) -> TakePlace | None:
        """Return the place that a call takes now, or None if those ahead of it take all."""
        usable = usable_choices(choices, may_repeat)
        ahead = len(self._queue.ahead(waiter, now))
        placed = [item for item in usable if not item.estimate.is_full]
        if not placed or _places(placed) <= ahead:
            return None
        return self._take_at(placed, waiter, now)

    def _take_at(self, choices: Sequence[PlaceChoice], waiter: Waiter, now: float) -> TakePlace:
        chosen = min(choices, key=lambda item: item.expected_ms)
        overtaken = self._queue.place(waiter, now)
        is_known = chosen.estimate.is_known
        return TakePlace(chosen.server, is_known, self._end_wait(waiter.name, now), overtaken)

    def leave(self, name: str) -> None:
        """Remove a call whose client has left."""
        self._queue.remove(name)
        self._begun_at.pop(name, None)

    def _end_wait(self, name: str, now: float) -> float:
        """Return how long a call has waited, 0 if it has not."""
        return now - self._begun_at.pop(name, now)


def usable_choices(choices: Sequence[PlaceChoice], may_repeat: bool) -> list[PlaceChoice]:
    """Return the servers to which a call may go.

    A call that may run only once goes to a server where it would likely fail only if there is no
    other.  Any other call goes there only if no other has a place.
    """
    preferred = [item for item in choices if not item.avoided]
    if not preferred or preferred == list(choices):
        return list(choices)
    if not may_repeat or any(not item.estimate.is_full for item in preferred):
        return preferred
    return list(choices)


def _places(choices: Sequence[PlaceChoice]) -> float:
    """Return how many calls the servers are expected to take, infinite if one does not say."""
    return sum(item.estimate.free if item.estimate.is_known else math.inf for item in choices)
