"""Find the request that crashes each server which begins to run it, and nobody else.

Such a request is known as a query of death.  Its caller repeats it, at any VM, and each attempt
ends one more server with all that runs there.  A server that crashes holds several requests, and
those of its neighbours that are moved meet the same one again, so a count of crashes alone would
turn sound callers away.  The ledger weighs three things instead:

* A request that was ever answered whole is harmless, and no explanation of a crash.
* A crash speaks against a request only as far as nobody else explains it.
* Servers crash for other reasons as well; a crash is weighed by how unlikely it was to hit so
  short a run by accident.

The ledger is the same wherever the same crashes are known, in whatever order they came to be known.
Times are in milliseconds of one VM's clock.
"""

import bisect
import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from siskinspoke.coordination.fingerprints import shape_of
from siskinspoke.core.codes import Failure, ResultCode

# The chance p that an accident would hit a run weighs log(K * p ** (K - 1)).  Under accidents alone
# that is worth nothing on average, so a request that meets many of them gathers no weight, and the
# chance that it ever comes to a weight w is at most exp(-w).
CALIBRATION = 0.3
# What one crash can weigh at most, about that of a chance of 1 in 400.
MOST_WEIGHT = 3.0
# A request is quarantined from this weight on, which three crashes have that nothing else explains.
QUARANTINED_FROM = 8.0
# Another one who was open at a crash, and was not answered since, may be the cause in place of a
# suspect; where it was at no other crash that weighs as much as this at most.  Hardly is it another
# one each time, so a suspect that is never seen alone is found after some seven crashes.
DOUBT_WEIGHT = MOST_WEIGHT / 2
# Reports of the same crash come from several VMs, some by way of a control VM, and so do whole
# answers; a request waits so long for them before it is quarantined.
SETTLE_MS = 500.0
# A wait that is rounded to nothing would be waited for again and again.
LEAST_WAIT_MS = 1.0
# Afterwards one attempt in this time is let through, to see whether the server's fault is mended.
QUARANTINE_MS = 600_000.0
# How long such an attempt has for its answer before another one is let through.
PROBE_MS = 20_000.0
# Crashes of this time before one tell how often servers of its service crash anyway, and those of
# a shorter time around it whether many of them do just now.
RATE_MS = 10_000.0
STORM_MS = 1_000.0
# A request with so many crashes that was never answered is their likely cause, so that they do not
# count as accidents against which others are weighed.
LIKELY_FROM = 4
# VMs see the end of one server some milliseconds apart.
ORDER_SLACK_MS = 20.0
# A crash is remembered for an hour, and of a storm of them these many; a request of which no crash
# is remembered any more begins anew.
KEEP_MS = 3_600_000.0
MOST_CRASHES = 1_024
# Whole answers of suspects whose crash is not known yet.
MOST_EARLY = 256
# An engine holds its slots and a few that wait.  With more suspects than that nobody can tell.
MOST_SUSPECTS = 32

Start = tuple[str, int]


class Suspect(NamedTuple):
    """A request that was open at a server when it crashed, and when it was sent there."""

    fingerprint: str
    began_at: float


@dataclass(slots=True, eq=False)
class Crash:
    """The end of one start of a server; ``servers`` is how many its service had."""

    start: Start
    service: str
    servers: int
    at: float
    suspects: dict[str, Suspect] = field(default_factory=dict)
    crowded: bool = False


@dataclass(frozen=True)
class Clear:
    """Nothing speaks against the request."""


@dataclass(frozen=True)
class Suspected:
    """Servers crashed under the request, which may have had nothing to do with it."""

    crashes: int
    weight: float


@dataclass(frozen=True)
class Undecided:
    """Enough speaks against the request, but what clears it may be on its way."""

    wait_ms: float

    @property
    def wait_seconds(self) -> float:
        """Return how long to wait before asking again."""
        return max(LEAST_WAIT_MS, self.wait_ms) / 1000


@dataclass(frozen=True)
class Quarantined:
    """The request is not sent to any server for a while."""

    left_ms: float
    crashes: int

    @property
    def refusal(self) -> Failure:
        """Return the answer to a request that is not sent: not run, and when to come back."""
        message = f"{self.crashes} servers crashed under this request, so it is not sent"
        return Failure(ResultCode.QUARANTINED, message, int(self.left_ms))


@dataclass(frozen=True)
class Probation:
    """The quarantine is over; one attempt may show whether the request still crashes servers."""

    crashes: int


Verdict = Clear | Suspected | Undecided | Quarantined | Probation


def _time_of(crash: Crash) -> float:
    return crash.at


class _Case(NamedTuple):
    """What speaks against one request: since when enough, and the last crash."""

    weight: float = 0.0
    crashes: int = 0
    decided_at: float = math.inf
    last_at: float = -math.inf


class CrashLedger:
    """Keep crashes with those who were open there, and what cleared some of them."""

    def __init__(self) -> None:
        self._crashes: dict[Start, Crash] = {}
        self._of: dict[str, list[Crash]] = {}
        self._shapes: dict[str, int] = {}
        self._served: dict[str, float] = {}
        self._early: dict[str, float] = {}
        self._probed: dict[str, float] = {}
        self._refuted: dict[Start, float] = {}
        self._by_service: dict[str, list[Crash]] = {}
        self._cases: dict[str, _Case] = {}

    @property
    def is_empty(self) -> bool:
        """Tell whether no request is suspected, so that none needs to be compared."""
        return not self._shapes

    @property
    def crashes(self) -> list[Crash]:
        """Return the crashes that are remembered."""
        return list(self._crashes.values())

    @property
    def served(self) -> dict[str, float]:
        """Return when suspects were last answered whole, by fingerprint."""
        return self._served

    @property
    def probed(self) -> dict[str, float]:
        """Return when suspects were last let through after a quarantine, by fingerprint."""
        return self._probed

    def find(self, start: Start) -> Crash | None:
        """Return the crash of one start of a server."""
        return self._crashes.get(start)

    def servers_of(self, fingerprint: str) -> list[str]:
        """Return the servers that crashed with a request open since it was last answered whole."""
        served_at = self._served.get(fingerprint, -math.inf)
        return [item.start[0] for item in self._of.get(fingerprint, ()) if item.at > served_at]

    def has_shape(self, shape: str) -> bool:
        """Tell whether some suspect has this shape; only then its body is worth reading."""
        return shape in self._shapes

    def knows(self, fingerprint: str) -> bool:
        """Tell whether a server crashed with this request open."""
        return fingerprint in self._of

    def add(
        self, start: Start, service: str, servers: int, at: float, suspects: Iterable[Suspect]
    ) -> list[Suspect] | None:
        """Take in a crash, or more of who was open at one that is known.

        Return the suspects that are news, None where nothing is.
        """
        if start in self._refuted:
            return None
        crash = self._crashes.get(start)
        is_news = crash is None
        if crash is None:
            crash = self._crashes[start] = Crash(start, service, servers, at)
            bisect.insort(self._by_service.setdefault(service, []), crash, key=_time_of)
            self._drop_oldest()
        self._cases.clear()
        fresh = [item for item in suspects if self._suspect(crash, item)]
        return fresh if fresh or is_news else None

    def _suspect(self, crash: Crash, suspect: Suspect) -> bool:
        fingerprint = suspect.fingerprint
        if fingerprint in crash.suspects:
            return False
        if len(crash.suspects) >= MOST_SUSPECTS:
            crash.crowded = True
            return False
        crash.suspects[fingerprint] = suspect
        known = self._of.setdefault(fingerprint, [])
        if not known:
            shape = shape_of(fingerprint)
            self._shapes[shape] = self._shapes.get(shape, 0) + 1
            if fingerprint in self._early:
                self._served[fingerprint] = self._early.pop(fingerprint)
        bisect.insort(known, crash, key=_time_of)
        return True

    def _drop_oldest(self) -> None:
        while len(self._crashes) > MOST_CRASHES:
            self._drop(min(self._crashes.values(), key=lambda item: item.at))

    def _drop(self, crash: Crash) -> None:
        self._cases.clear()
        del self._crashes[crash.start]
        known = self._by_service[crash.service]
        known.remove(crash)
        if not known:
            del self._by_service[crash.service]
        for fingerprint in crash.suspects:
            self._of[fingerprint].remove(crash)
            if not self._of[fingerprint]:
                self._forget_suspect(fingerprint)

    def _forget_suspect(self, fingerprint: str) -> None:
        del self._of[fingerprint]
        self._served.pop(fingerprint, None)
        self._probed.pop(fingerprint, None)
        shape = shape_of(fingerprint)
        self._shapes[shape] -= 1
        if not self._shapes[shape]:
            del self._shapes[shape]

    def clear(self, fingerprint: str, at: float) -> bool:
        """Note that a suspect was answered whole; return whether that is news.

        It is where it clears a crash.  Any later answer would be passed on among VMs without end,
        since what is told on comes to look newer by its time on the way.
        """
        known = self._of.get(fingerprint)
        if known is None:
            return self._clear_early(fingerprint, at)
        before = self._served.get(fingerprint, -math.inf)
        if at <= before:
            return False
        self._served[fingerprint] = at
        self._cases.clear()
        return any(before < crash.at <= at for crash in known) or before == -math.inf

    def _clear_early(self, fingerprint: str, at: float) -> bool:
        """Keep an answer whose crash is not known here yet: news come by several ways."""
        is_news = fingerprint not in self._early
        self._early[fingerprint] = max(at, self._early.pop(fingerprint, -math.inf))
        while len(self._early) > MOST_EARLY:
            del self._early[next(iter(self._early))]
        return is_news

    def probe(self, fingerprint: str, at: float) -> bool:
        """Note that a suspect is let through after its quarantine; return whether that is news."""
        if fingerprint not in self._of:
            return False
        before = self._probed.get(fingerprint, -math.inf)
        self._probed[fingerprint] = max(before, at)
        return at > before + PROBE_MS / 2

    def refute(self, start: Start, at: float) -> bool:
        """Note that a server has answered what was sent after its crash, so there was none.

        A server that has as many connections as it takes refuses others, as a dead one does.
        """
        if start in self._refuted:
            return False
        self._refuted[start] = at
        crash = self._crashes.get(start)
        if crash is not None:
            self._drop(crash)
        return True

    def judge(self, fingerprint: str, now: float) -> Verdict:
        """Return what is to become of a request."""
        case = self._cases.get(fingerprint)
        if case is None:
            case = self._cases[fingerprint] = self._case(fingerprint)
        if not case.crashes:
            return Clear()
        if case.decided_at == math.inf:
            return Suspected(case.crashes, case.weight)
        settled_at = case.decided_at + SETTLE_MS
        if now < settled_at:
            return Undecided(settled_at - now)
        until = case.last_at + QUARANTINE_MS
        if now < until:
            return Quarantined(until - now, case.crashes)
        probed_until = self._probed.get(fingerprint, -math.inf) + PROBE_MS
        if now < probed_until:
            return Quarantined(probed_until - now, case.crashes)
        return Probation(case.crashes)

    def _case(self, fingerprint: str) -> _Case:
        """Add up what the crashes since the last whole answer weigh.

        Copies of one request that were under way at the same time, or when a rack of servers was
        lost, are one observation: a run counts beside the crash before it only if it began after.
        """
        served_at = self._served.get(fingerprint, -math.inf)
        crashes = [item for item in self._of.get(fingerprint, ()) if item.at > served_at]
        shared = Counter(other for crash in crashes for other in crash.suspects)
        case, round_at, round_weight = _Case(), -math.inf, 0.0
        for crash in crashes:
            suspect = crash.suspects[fingerprint]
            weight = self._weight(crash, suspect, shared)
            if suspect.began_at >= round_at - ORDER_SLACK_MS:
                round_at, round_weight, more = crash.at, weight, weight
            else:
                more = max(0.0, weight - round_weight)
                round_weight += more
            total = case.weight + more
            decided = case.decided_at == math.inf and total >= QUARANTINED_FROM
            decided_at = crash.at if decided else case.decided_at
            case = _Case(total, case.crashes + 1, decided_at, crash.at)
        return case

    def _weight(self, crash: Crash, suspect: Suspect, shared: Counter[str]) -> float:
        """Return how much one crash speaks against one of those who were open there.

        It is the least that another explanation of the crash costs: an accident, or one of the
        others, whose cost is spread over all crashes that it explains.  The sum over all crashes
        is thus never more than what the cheapest set of explanations costs.
        """
        if crash.crowded:
            return 0.0
        own = shared[suspect.fingerprint]
        costs = [
            self._cost(other, own) / shared[other]
            for other in crash.suspects
            if other != suspect.fingerprint and other not in self._served
        ]
        return min([self._accident_weight(crash, suspect), *costs])

    def _cost(self, other: str, own: int) -> float:
        """Return how unlikely it is that another one is the cause where a suspect has ``own``.

        Whoever was at as many crashes explains them just as well.
        """
        return DOUBT_WEIGHT * max(0.0, 1.0 - len(self._of[other]) / own)

    def _accident_weight(self, crash: Crash, suspect: Suspect) -> float:
        """Return how unlikely it is that a server crashed during a run for another reason."""
        ran_ms = max(1.0, crash.at - suspect.began_at)
        chance = -math.expm1(-self._rate(crash, suspect.fingerprint) * ran_ms)
        weight = math.log(CALIBRATION) + (CALIBRATION - 1) * math.log(chance)
        return min(MOST_WEIGHT, weight)

    def _rate(self, crash: Crash, fingerprint: str) -> float:
        """Return how often a server crashes without this request, in crashes a millisecond.

        The long time tells what is usual, the short one that a storm has just begun.
        """
        usual = self._others(crash, fingerprint, crash.at - RATE_MS, crash.at) + 1
        storm = self._others(crash, fingerprint, crash.at - STORM_MS, crash.at + STORM_MS)
        return max(usual / RATE_MS, storm / (2 * STORM_MS)) / max(1, crash.servers)

    def _others(self, crash: Crash, fingerprint: str, begin: float, end: float) -> int:
        """Return how many servers of a service crashed in a time for no reason that is known.

        Another deadly request ends many servers in a short time, which are no accidents.
        """
        known = self._by_service[crash.service]
        first = bisect.bisect_left(known, begin, key=_time_of)
        last = bisect.bisect_right(known, end, key=_time_of)
        return sum(
            fingerprint not in item.suspects and not self._has_likely_cause(item)
            for item in known[first:last]
        )

    def _has_likely_cause(self, crash: Crash) -> bool:
        return any(
            len(self._of[item]) >= LIKELY_FROM and item not in self._served
            for item in crash.suspects
        )

    def forget(self, now: float) -> None:
        """Drop what is too old to matter."""
        for crash in list(self._crashes.values()):
            if now - crash.at > KEEP_MS:
                self._drop(crash)
        for start, at in list(self._refuted.items()):
            if now - at > KEEP_MS:
                del self._refuted[start]
