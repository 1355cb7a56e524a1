"""Retry budgets, as a share of first attempts: one for each entry VM, one shared by all VMs."""

from collections import defaultdict, deque
from typing import NamedTuple

INITIAL_CREDIT = 5.0
MAX_CREDIT = 50.0


class RetryBudget:
    """Limits retries to a share of first attempts, plus a small initial credit.

    Without a budget every VM retries at once when a failure domain is lost, and the retries alone
    overload the remaining servers.
    """

    def __init__(self, share: float):
        self._share = share
        self._credit = INITIAL_CREDIT

    def set_share(self, share: float) -> None:
        """Apply the share from a new configuration."""
        self._share = share

    def first_attempt(self) -> None:
        """Add the credit for one first attempt."""
        self._credit = min(MAX_CREDIT, self._credit + self._share)

    def spend(self) -> bool:
        """Spend one retry; return whether there was credit for it."""
        if self._credit < 1:
            return False
        self._credit -= 1
        return True


# The fraction of the shared budget that the VMs use together. They learn of each other's retries up
# to a second late, and both sides of a partition continue briefly with the state from before it.
BUDGET_FRACTION = 0.45
# Window over which retries are counted against requests.
WINDOW_MS = 10_000.0
# Resolution of the window.
WINDOW_STEP_MS = 500.0
# The part of the burst that one VM may use: this many equal parts, and not less than the minimum.
# Failures affect few VMs at a time, but a VM cut off from all others must not use up the whole
# burst.
VM_BURST_PARTS = 5.0
MIN_VM_BURST = 6.0


class CallCounts(NamedTuple):
    """The requests for a service that a VM has received, and the retries it has sent."""

    service: str
    requests: int
    repeats: int


class _Window:
    """Counts of requests and retries over a sliding window, kept in steps."""

    def __init__(self) -> None:
        self._steps: deque[list[float]] = deque()
        self.requests = 0
        self.repeats = 0

    def add(self, requests: int, repeats: int, now: float) -> None:
        self.forget(now)
        if not self._steps or now - self._steps[-1][0] >= WINDOW_STEP_MS:
            self._steps.append([now, 0, 0])
        self._steps[-1][1] += requests
        self._steps[-1][2] += repeats
        self.requests += requests
        self.repeats += repeats

    def forget(self, now: float) -> None:
        while self._steps and now - self._steps[0][0] > WINDOW_MS + WINDOW_STEP_MS:
            _, requests, repeats = self._steps.popleft()
            self.requests -= requests
            self.repeats -= repeats


class SharedRetryBudget:
    """A retry budget per service that all VMs share; times are in milliseconds.

    The budget is a share of recent requests plus a burst. Each VM reports its requests and retries
    to the others and adds up their reports. A fixed equal part for each VM would leave 68 VMs 2.3
    retries each: when a failure domain was cut off, streams were aborted for lack of a retry while
    less than a quarter of the total budget was in use.
    """

    def __init__(self, share: float, burst: float):
        self._share = share
        self._burst = burst
        self._vms = 1
        self._reachable_vms = 1
        self._total: defaultdict[str, _Window] = defaultdict(_Window)
        self._own: defaultdict[str, _Window] = defaultdict(_Window)
        self._unsent: defaultdict[str, list[int]] = defaultdict(lambda: [0, 0])

    def set_vms(self, known: int, reachable: int = 1) -> None:
        """Set how many VMs share the budget and how many of them are reachable.

        Unreachable VMs may be using their parts beyond a partition, so those parts are left out.
        """
        self._vms = max(1, known)
        self._reachable_vms = min(self._vms, max(1, reachable))

    def first_attempt(self, service: str, now: float) -> None:
        """Count one request for a service."""
        self._count(service, 1, 0, now)

    def spend(self, service: str, now: float) -> bool:
        """Spend one retry for a service; return whether the budget allowed it."""
        if not self.can_spend(service, now):
            return False
        self._count(service, 0, 1, now)
        return True

    def refund(self, service: str, now: float) -> None:
        """Refund a retry that was not sent; VMs that were told of it still count it."""
        self._total[service].add(0, -1, now)
        self._own[service].add(0, -1, now)
        unsent = self._unsent[service]
        unsent[1] = max(0, unsent[1] - 1)

    def can_spend(self, service: str, now: float) -> bool:
        """Return whether a retry for a service could be spent now."""
        total, own = self._total[service], self._own[service]
        total.forget(now)
        own.forget(now)
        reachable_share = self._reachable_vms / self._vms
        budget = BUDGET_FRACTION * (self._share * total.requests + self._burst * reachable_share)
        burst_part = BUDGET_FRACTION * self._burst / self._vms
        own_budget = BUDGET_FRACTION * self._share * own.requests + max(
            MIN_VM_BURST, VM_BURST_PARTS * burst_part
        )
        return total.repeats + 1 <= budget and own.repeats + 1 <= own_budget

    def _count(self, service: str, requests: int, repeats: int, now: float) -> None:
        self._total[service].add(requests, repeats, now)
        self._own[service].add(requests, repeats, now)
        unsent = self._unsent[service]
        unsent[0] += requests
        unsent[1] += repeats

    def add_remote(self, calls: CallCounts, now: float) -> None:
        """Add the counts reported by another VM."""
        self._total[calls.service].add(calls.requests, calls.repeats, now)

    @property
    def has_unsent_retries(self) -> bool:
        """Return whether there are retries that have not been reported to the other VMs."""
        return any(repeats for _, repeats in self._unsent.values())

    def take_unsent(self) -> list[CallCounts]:
        """Return and clear the counts that have not been reported to the other VMs."""
        unsent = [CallCounts(service, *counts) for service, counts in self._unsent.items()]
        self._unsent.clear()
        return unsent
