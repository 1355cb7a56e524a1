"""Check that VMs comply with what a backend server announced, and with evacuations.

A server announces rate limits, back-offs, its leave and that it is cold.  A stand-in server records
each request and each answer here.  The checks are stricter than the rules of the platform, which
allow a settling time.  Times are in seconds.
"""

import math
from collections import deque
from dataclasses import dataclass

# Requests that a VM sent before it read the answer may still arrive this long after it.
IN_FLIGHT_SECONDS = 0.5
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_TOLERANCE_FACTOR = 1.5
LIMIT_TOLERANCE_REQUESTS = 5
# Number of requests of a VM that are tolerated during its back-off.
BACK_OFF_TOLERANCE_REQUESTS = 2
DRAIN_SECONDS = 2.0
# Time after the acknowledgement in which VMs must obey an evacuation.
EVACUATION_SECONDS = 5.0
COLD_WINDOW_SECONDS = 1.0


@dataclass
class BackOff:
    """An interval in which a server asked for no requests from a VM, and how many arrived."""

    starts_at: float
    ends_at: float
    arrivals: int = 0


class ServerAccount:
    """Compare the requests that a server gets from each VM with what it has told that VM."""

    def __init__(self, server: str):
        self.violations: list[str] = []
        self._server = server
        self._limit_told_at: dict[str, float] = {}
        self._rate_changes: deque[tuple[float, float]] = deque()
        self._limited_arrivals: deque[float] = deque()
        self._back_offs: dict[str, list[BackOff]] = {}
        self._leave_told_at: dict[str, float] = {}
        self._disturbed_at: dict[str, float] = {}
        self._evacuated_at = math.inf
        self._cold_until = -math.inf
        self._cold_bound = math.inf
        self._cold_arrivals: deque[float] = deque()
        self._delayed_until = -math.inf

    def record_restart(self) -> None:
        """Record a restart of the server, which clears everything that it has asked for."""
        self._clear_limit()
        self._cold_until = -math.inf
        self._back_offs.clear()
        self._leave_told_at.clear()

    def _clear_limit(self) -> None:
        self._limit_told_at.clear()
        self._rate_changes.clear()
        self._limited_arrivals.clear()

    def record_evacuation(self, now: float) -> None:
        """Record that an evacuation of the server's failure domain has been acknowledged."""
        self._evacuated_at = now

    def record_evacuation_end(self) -> None:
        """Record that an end of the evacuation is being ordered."""
        self._evacuated_at = math.inf

    def record_cold(self, until: float, bound: float) -> None:
        """Record a cold start: in any second until then at most ``bound`` requests may arrive."""
        self._cold_until = until
        self._cold_bound = bound
        self._cold_arrivals.clear()

    def record_delay(self, until: float) -> None:
        """Record that requests sent in several seconds may arrive in one, until then."""
        self._delayed_until = max(self._delayed_until, until)

    def record_disturbance(self, vm: str, now: float = -math.inf) -> None:
        """Record that a VM was restarted, suspended or partitioned, and may have lost its state."""
        self._disturbed_at[vm] = now
        for told in (self._limit_told_at, self._back_offs, self._leave_told_at):
            told.pop(vm, None)

    def record_answer(
        self,
        vm: str,
        now: float,
        rate_limit: float | None,
        back_off: float | None = None,
        leaving: bool = False,
    ) -> None:
        """Record an answer to a VM, with the rate limit, back-off or leave that it announces."""
        if back_off is not None:
            interval = BackOff(now + IN_FLIGHT_SECONDS, now + back_off)
            self._back_offs.setdefault(vm, []).append(interval)
        if leaving:
            self._leave_told_at.setdefault(vm, now)
        if rate_limit is None:
            self._clear_limit()
            return
        self._limit_told_at.setdefault(vm, now)
        if not self._rate_changes or self._rate_changes[-1][1] != rate_limit:
            self._rate_changes.append((now, rate_limit))

    def record_request(self, vm: str, now: float) -> None:
        """Record a request of a VM, and a violation if it was not allowed."""
        self._check_limit(vm, now)
        self._check_back_off(vm, now)
        self._check_evacuation(vm, now)
        self._check_cold(now)
        if now - self._leave_told_at.get(vm, now) > DRAIN_SECONDS:
            late = now - self._leave_told_at[vm]
            self.violations.append(
                f"{self._server} got a request from {vm} {late:.1f} s after announcing its leave"
            )

    def _check_evacuation(self, vm: str, now: float) -> None:
        since = max(self._evacuated_at, self._disturbed_at.get(vm, -math.inf))
        if now - since > EVACUATION_SECONDS:
            self.violations.append(
                f"{self._server} got a request from {vm} {now - self._evacuated_at:.1f} s after"
                " the evacuation of its failure domain was acknowledged"
            )

    def _check_cold(self, now: float) -> None:
        if now >= self._cold_until or now < self._delayed_until:
            return
        self._cold_arrivals.append(now)
        while self._cold_arrivals[0] <= now - COLD_WINDOW_SECONDS:
            self._cold_arrivals.popleft()
        if len(self._cold_arrivals) > self._cold_bound:
            self.violations.append(
                f"{self._server} is cold and got {len(self._cold_arrivals)} requests in a second;"
                f" maximum {self._cold_bound:g}"
            )

    def _check_back_off(self, vm: str, now: float) -> None:
        active = [item for item in self._back_offs.get(vm, []) if now < item.ends_at]
        self._back_offs[vm] = active
        for item in active:
            item.arrivals += now >= item.starts_at
            if item.arrivals > BACK_OFF_TOLERANCE_REQUESTS:
                self.violations.append(
                    f"{self._server} asked {vm} to back off, but got {item.arrivals} requests"
                )

    def _check_limit(self, vm: str, now: float) -> None:
        if now - self._limit_told_at.get(vm, now) < IN_FLIGHT_SECONDS:
            return
        since = now - LIMIT_WINDOW_SECONDS
        self._limited_arrivals.append(now)
        while self._limited_arrivals[0] < since:
            self._limited_arrivals.popleft()
        while len(self._rate_changes) > 1 and self._rate_changes[1][0] < since:
            self._rate_changes.popleft()
        rate = max(rate for _, rate in self._rate_changes)
        allowed = LIMIT_TOLERANCE_FACTOR * rate * LIMIT_WINDOW_SECONDS + LIMIT_TOLERANCE_REQUESTS
        if len(self._limited_arrivals) > allowed:
            self.violations.append(
                f"{self._server} has a rate limit of {rate:g}/s but got"
                f" {len(self._limited_arrivals)} requests in {LIMIT_WINDOW_SECONDS:g} s;"
                f" maximum {allowed:g}"
            )
