"""Check that VMs comply with the rate limit, back-off and leave that a backend server announced.

A stand-in server records each request and each answer here.  The checks are stricter than the
rules of the platform, which allow a settling time.  Times are in seconds.
"""

from collections import deque
from dataclasses import dataclass

# Requests that a VM sent before it read the answer may still arrive this long after it.
TOLD_SECONDS = 0.5
LIMIT_SECONDS = 4.0
LIMIT_SHARE = 1.5
LIMIT_SLACK = 5
# Number of requests of a VM that are tolerated during its back-off.
BACK_OFF_SLACK = 2
DRAIN_SECONDS = 2.0


@dataclass
class BackOff:
    """An interval in which a server asked for no requests from a VM, and how many arrived."""

    since: float
    until: float
    arrivals: int = 0


class ServerAccount:
    """Compare the requests that a server gets from each VM with what it has told that VM."""

    def __init__(self, server: str):
        self.broken: list[str] = []
        self._server = server
        self._told_limit: dict[str, float] = {}
        self._rates: deque[tuple[float, float]] = deque()
        self._limited: deque[float] = deque()
        self._back_offs: dict[str, list[BackOff]] = {}
        self._told_leaving: dict[str, float] = {}

    def restarted(self) -> None:
        """Record a restart of the server, which clears everything that it has asked for."""
        self._lift_limit()
        self._back_offs.clear()
        self._told_leaving.clear()

    def _lift_limit(self) -> None:
        self._told_limit.clear()
        self._rates.clear()
        self._limited.clear()

    def disturbed(self, vm: str) -> None:
        """Record that a VM was restarted, suspended or partitioned, and may have lost its state."""
        for told in (self._told_limit, self._back_offs, self._told_leaving):
            told.pop(vm, None)

    def answered(
        self,
        vm: str,
        now: float,
        rate_limit: float | None,
        back_off: float | None = None,
        leaving: bool = False,
    ) -> None:
        """Record an answer to a VM, with the rate limit, back-off or leave that it announces."""
        if back_off is not None:
            wanted = BackOff(now + TOLD_SECONDS, now + back_off)
            self._back_offs.setdefault(vm, []).append(wanted)
        if leaving:
            self._told_leaving.setdefault(vm, now)
        if rate_limit is None:
            self._lift_limit()
            return
        self._told_limit.setdefault(vm, now)
        if not self._rates or self._rates[-1][1] != rate_limit:
            self._rates.append((now, rate_limit))

    def arrived(self, vm: str, now: float) -> None:
        """Record a request of a VM, and a violation if it was not allowed."""
        self._check_limit(vm, now)
        self._check_back_off(vm, now)
        if now - self._told_leaving.get(vm, now) > DRAIN_SECONDS:
            late = now - self._told_leaving[vm]
            self.broken.append(
                f"{self._server} got a request from {vm} {late:.1f} s after announcing its leave"
            )

    def _check_back_off(self, vm: str, now: float) -> None:
        wanted = [item for item in self._back_offs.get(vm, []) if now < item.until]
        self._back_offs[vm] = wanted
        for item in wanted:
            item.arrivals += now >= item.since
            if item.arrivals > BACK_OFF_SLACK:
                self.broken.append(
                    f"{self._server} asked {vm} to back off, but got {item.arrivals} requests"
                )

    def _check_limit(self, vm: str, now: float) -> None:
        if now - self._told_limit.get(vm, now) < TOLD_SECONDS:
            return
        since = now - LIMIT_SECONDS
        self._limited.append(now)
        while self._limited[0] < since:
            self._limited.popleft()
        while len(self._rates) > 1 and self._rates[1][0] < since:
            self._rates.popleft()
        rate = max(rate for _, rate in self._rates)
        allowed = LIMIT_SHARE * rate * LIMIT_SECONDS + LIMIT_SLACK
        if len(self._limited) > allowed:
            self.broken.append(
                f"{self._server} has a rate limit of {rate:g}/s but got {len(self._limited)}"
                f" requests in {LIMIT_SECONDS:g} s; maximum {allowed:g}"
            )
