"""Decide whether a request is placed now, waits for room, or is refused, and in which order.

All functions are pure: the clock, in milliseconds, and random numbers are passed in.
"""

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
