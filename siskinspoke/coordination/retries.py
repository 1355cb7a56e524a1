"""One budget for all retries of an entry VM, as a share of its first attempts."""

from collections import defaultdict, deque
from typing import NamedTuple

START_CREDIT = 5.0
MAX_CREDIT = 50.0


class RetryBudget:
    """Let retries be at most a share of first attempts, beyond a small start credit.

    Without a budget every VM retries at once when a failure domain is lost, and the retries
    alone overload what is left.
    """

    def __init__(self, share: float):
        self._share = share
        self._credit = START_CREDIT

    def set_share(self, share: float) -> None:
        """Change the share, as a new configuration says."""
        self._share = share

    def first_attempt(self) -> None:
        """Earn the share of one first attempt."""
        self._credit = min(MAX_CREDIT, self._credit + self._share)

    def take(self) -> bool:
        """Spend one retry if there is credit for it."""
        if self._credit < 1:
            return False
        self._credit -= 1
        return True


# The share of a common budget that all VMs together use.  They hear of each other's repeats up to
# a second late, and two sides of a cut go on for a moment with what they knew before it.
COMMON_SHARE = 0.45
# The window in which repeats are counted against requests.  Milliseconds.
WINDOW_MS = 10_000.0
# The window is kept in steps of this length.
STEP_MS = 500.0
# What one VM may use of the whole, in parts of equal size for each VM, and at least.  Failures
# come at few VMs at a time; a VM that is cut off from all others must not use up the whole.
OWN_PARTS = 5.0
LEAST_OWN = 6.0


class Calls(NamedTuple):
    """How many requests for a service a VM has had, and how many repeats it has sent."""

    service: str
    requests: int
    repeats: int


class _Window:
    """Requests and repeats of the last seconds, in steps."""

    def __init__(self) -> None:
        self._steps: deque[list[float]] = deque()
        self.requests = 0
        self.repeats = 0

    def add(self, requests: int, repeats: int, now: float) -> None:
        self.forget(now)
        if not self._steps or now - self._steps[-1][0] >= STEP_MS:
            self._steps.append([now, 0, 0])
        self._steps[-1][1] += requests
        self._steps[-1][2] += repeats
        self.requests += requests
        self.repeats += repeats

    def forget(self, now: float) -> None:
        while self._steps and now - self._steps[0][0] > WINDOW_MS + STEP_MS:
            _, requests, repeats = self._steps.popleft()
            self.requests -= requests
            self.repeats -= repeats


class CommonBudget:
    """One budget for repeats, by service, which all VMs share; times are in milliseconds.

    The whole is a share of the requests of the last seconds and a burst.  Each VM tells the
    others what it has had and used, and counts what they tell.  With equal parts in place of
    that, 68 VMs had 2.3 repeats each: at a cut of a failure domain streams were cut for want
    of one, while less than a quarter of the whole was used.
    """

    def __init__(self, share: float, burst: float):
        self._share = share
        self._burst = burst
        self._vms = 1
        self._heard = 1
        self._all: defaultdict[str, _Window] = defaultdict(_Window)
        self._own: defaultdict[str, _Window] = defaultdict(_Window)
        self._news: defaultdict[str, list[int]] = defaultdict(lambda: [0, 0])

    def set_vms(self, known: int, heard: int = 1) -> None:
        """Take over how many VMs share the budget, and how many of them can be heard now.

        Those that cannot be heard may be using it beyond a cut, so their parts are left out.
        """
        self._vms = max(1, known)
        self._heard = min(self._vms, max(1, heard))

    def first_attempt(self, service: str, now: float) -> None:
        """Count one request for a service."""
        self._count(service, 1, 0, now)

    def take(self, service: str, now: float) -> bool:
        """Spend one repeat at a service if there is some of the budget left."""
        if not self.has_left(service, now):
            return False
        self._count(service, 0, 1, now)
        return True

    def give_back(self, service: str, now: float) -> None:
        """Take back a repeat that was not sent; VMs that were told of it count it all the same."""
        self._all[service].add(0, -1, now)
        self._own[service].add(0, -1, now)
        news = self._news[service]
        news[1] = max(0, news[1] - 1)

    def has_left(self, service: str, now: float) -> bool:
        """Tell whether a repeat at a service could be spent now."""
        whole, own = self._all[service], self._own[service]
        whole.forget(now)
        own.forget(now)
        reach = self._heard / self._vms
        budget = COMMON_SHARE * (self._share * whole.requests + self._burst * reach)
        part = COMMON_SHARE * self._burst / self._vms
        most_own = COMMON_SHARE * self._share * own.requests + max(LEAST_OWN, OWN_PARTS * part)
        return whole.repeats + 1 <= budget and own.repeats + 1 <= most_own

    def _count(self, service: str, requests: int, repeats: int, now: float) -> None:
        self._all[service].add(requests, repeats, now)
        self._own[service].add(requests, repeats, now)
        news = self._news[service]
        news[0] += requests
        news[1] += repeats

    def heard(self, calls: Calls, now: float) -> None:
        """Count what another VM has told."""
        self._all[calls.service].add(calls.requests, calls.repeats, now)

    @property
    def has_repeats_to_tell(self) -> bool:
        """Tell whether the other VMs do not know yet of some repeats."""
        return any(repeats for _, repeats in self._news.values())

    def take_news(self) -> list[Calls]:
        """Return what the other VMs have not been told yet."""
        news = [Calls(service, *counts) for service, counts in self._news.items()]
        self._news.clear()
        return news
