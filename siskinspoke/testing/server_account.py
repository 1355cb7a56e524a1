"""What one backend server has asked for, and whether the VMs that were told have kept to it.

A stand-in server tells its account of each request and answer.  The account is stricter than the
rules of the platform, which leave a time to settle.  Times are in seconds.
"""

from collections import deque

# A request that was sent before its VM had read the answer may arrive this much later.
TOLD_SECONDS = 0.5
LIMIT_SECONDS = 4.0
LIMIT_SHARE = 1.5
LIMIT_SLACK = 5


class ServerAccount:
    """Count the requests of each VM against what the server has told it."""

    def __init__(self, server: str):
        self.broken: list[str] = []
        self._server = server
        self._told_limit: dict[str, float] = {}
        self._rates: deque[tuple[float, float]] = deque()
        self._limited: deque[float] = deque()

    def restarted(self) -> None:
        """Note that the server has started anew, and asks for nothing so far."""
        self._lift_limit()

    def _lift_limit(self) -> None:
        self._told_limit.clear()
        self._rates.clear()
        self._limited.clear()

    def disturbed(self, vm: str) -> None:
        """Note that a VM was restarted, frozen or cut off; it may have forgotten what it heard."""
        self._told_limit.pop(vm, None)

    def answered(self, vm: str, now: float, rate_limit: float | None) -> None:
        """Note an answer to a VM, and the limit that it names."""
        if rate_limit is None:
            self._lift_limit()
            return
        self._told_limit.setdefault(vm, now)
        if not self._rates or self._rates[-1][1] != rate_limit:
            self._rates.append((now, rate_limit))

    def arrived(self, vm: str, now: float) -> None:
        """Note a request of a VM, and whether it is one too many."""
        self._check_limit(vm, now)

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
                f"{self._server} named a limit of {rate:g} a second and got"
                f" {len(self._limited)} requests in {LIMIT_SECONDS:g} s; allowed {allowed:g}"
            )
