"""Which requests a VM still accepts while it shuts down.

All functions are pure: the clock and all times, in milliseconds, are passed in.
"""

import math
from collections import deque
from typing import NamedTuple

from siskinspoke.coordination.routes import EngineCosts

# Reserved at the end of the grace period to answer what is still open and to exit: a longest time,
# and a longest share of the grace period.
MAX_RESERVE_MS = 400.0
MAX_RESERVE_SHARE = 0.1
# The load balancer checks readiness once a second and removes a VM after two failed checks; after
# this time no new clients arrive, unless too few VMs are ready.
BALANCER_REMOVAL_MS = 3_000.0
# A request that may outlast the grace period is accepted if this many times the longest recent
# duration on its route fits.  Requests that arrive before the balancer has removed the VM could
# hardly go elsewhere; later ones can, and are accepted only with a wide margin.
EARLY_MARGIN = 1.5
LATE_MARGIN = 4.0
# How many recent durations are kept for each route, and how many allow a forecast.
RECENT_DURATIONS = 64
MIN_DURATIONS = 8
# Largest share of the grace period that passes before idle connections are closed.
MAX_IDLE_SHARE = 0.5


class ShutdownTimes(NamedTuple):
    """When a shutdown began, when open requests are ended, and when the process exits at last."""

    began_ms: float
    cutoff_ms: float
    exit_ms: float

    @property
    def closes_idle_at_ms(self) -> float:
        """Return when idle connections are closed, so that their clients connect elsewhere."""
        grace_ms = self.cutoff_ms - self.began_ms
        return self.began_ms + min(BALANCER_REMOVAL_MS, MAX_IDLE_SHARE * grace_ms)

    def left_ms(self, now: float) -> float:
        """Return the time left until open requests are ended."""
        return self.cutoff_ms - now


def shutdown_times(began_ms: float, grace_ms: float) -> ShutdownTimes:
    """Return the times of a shutdown that must be over when the grace period ends."""
    reserve_ms = min(MAX_RESERVE_MS, MAX_RESERVE_SHARE * grace_ms)
    end_ms = began_ms + grace_ms
    return ShutdownTimes(began_ms, end_ms - reserve_ms, end_ms - reserve_ms / 2)


def can_finish(
    times: ShutdownTimes, request_left_ms: float, longest_ms: float | None, now: float
) -> bool:
    """Return whether a request that arrives now ends before this VM does.

    ``request_left_ms`` is the time until its deadline, by which it is answered in any case.
    ``longest_ms`` is a forecast of how long such requests take at most, None if there is none.
    """
    left_ms = times.left_ms(now)
    if request_left_ms <= left_ms:
        return True
    if longest_ms is None:
        return False
    is_early = now - times.began_ms < BALANCER_REMOVAL_MS
    return (EARLY_MARGIN if is_early else LATE_MARGIN) * longest_ms <= left_ms


def stream_forecast_ms(target_ms: float, max_tokens: int, costs: EngineCosts) -> float:
    """Return how long a stream takes whose engine decodes it beside a full set of others."""
    passes = math.ceil(max_tokens / costs.pass_steps)
    step_ms = costs.step_ms + costs.slots * costs.stream_step_ms
    return target_ms + passes * costs.pass_steps * step_ms


class RouteDurations:
    """How long recent requests took, by route."""

    def __init__(self) -> None:
        self._recent: dict[str, deque[float]] = {}

    def record(self, route: str, took_ms: float) -> None:
        """Record a request that was served."""
        if route not in self._recent:
            self._recent[route] = deque(maxlen=RECENT_DURATIONS)
        self._recent[route].append(took_ms)

    def longest_ms(self, route: str) -> float | None:
        """Return the longest recent duration, or None if too few are known."""
        recent = self._recent.get(route, ())
        return max(recent) if len(recent) >= MIN_DURATIONS else None

    def prune(self, routes: set[str]) -> None:
        """Forget the routes that no longer exist."""
        for route in self._recent.keys() - routes:
            del self._recent[route]
