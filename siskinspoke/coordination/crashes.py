"""Detects requests that crash the servers that run them, without blaming other requests.

Such a request is known as a query of death. Its caller retries it, at any VM, and each attempt ends
one more server and every request running there. A crashing server holds several requests, and those
moved to another server may meet the same query of death again, so a plain count of crashes would
reject innocent callers. The ledger considers three things instead:

* A request that was ever answered completely is harmless and does not explain a crash.
* A crash is evidence against a request only as far as no other request explains it.
* Servers also crash for other reasons; a crash is weighted by how unlikely it was to hit a run of
  that length by chance.

VMs that know of the same crashes reach the same verdicts, in whatever order the crashes were
reported. Times are in milliseconds of one VM's clock.
"""

import bisect
import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from siskinspoke.coordination.crash_evidence.accidents import MAX_CRASH_WEIGHT, accident_weight
from siskinspoke.coordination.crash_evidence.trials import trial_delay_ms
from siskinspoke.coordination.fingerprints import shape_of
from siskinspoke.core.codes import Failure, ResultCode

# Weight at which a request is quarantined; three crashes without another explanation reach it.
QUARANTINE_WEIGHT = 8.0
# Another request that was open at a crash, and not answered since, may be the cause instead; if it
# was open at no other crash, this is the most the crash can weigh. It is unlikely to be a different
# request each time, so a suspect that is never alone is found after about seven crashes.
ALTERNATIVE_CAUSE_WEIGHT = MAX_CRASH_WEIGHT / 2
# Reports of a crash, and complete answers, arrive from several VMs, some through a control VM. A
# request waits this long for them before it is quarantined.
SETTLE_MS = 500.0
# Prevents a busy loop when the remaining wait rounds to zero.
MIN_WAIT_MS = 1.0
# Time that an attempt after a quarantine has to be answered before the next one is let through.
PROBE_TIMEOUT_MS = 20_000.0
# The crashes in this window before a crash give the usual crash rate of a service. A shorter window
# on both sides detects a burst of crashes.
CRASH_RATE_WINDOW_MS = 10_000.0
CRASH_BURST_WINDOW_MS = 1_000.0
# A request with this many crashes and no answer is their likely cause, so they do not count as
# background crashes in the evidence against other requests.
LIKELY_CAUSE_CRASHES = 4
# VMs observe the end of the same server a few milliseconds apart.
OBSERVATION_SKEW_MS = 20.0
# Crashes are kept for one hour, and at most MAX_CRASHES of them. A request whose crashes have all
# been dropped starts with no evidence against it.
CRASH_RETENTION_MS = 3_600_000.0
MAX_CRASHES = 1_024
# Complete answers to suspects whose crash is not known yet.
MAX_EARLY_ANSWERS = 256
# An engine holds its slots plus a short queue. With more suspects than this the cause cannot be
# identified.
MAX_SUSPECTS = 32

Start = tuple[str, int]


class Suspect(NamedTuple):
    """A request that was open at a server when it crashed, and when it was sent there.

    ``parts`` are the parts of its prompt before the last one.
    """

    fingerprint: str
    began_at: float
    parts: tuple[str, ...] = ()


@dataclass(slots=True, eq=False)
class Crash:
    """The end of one incarnation of a server; ``servers`` is the number its service had."""

    start: Start
    service: str
    servers: int
    at: float
    suspects: dict[str, Suspect] = field(default_factory=dict)
    has_too_many_suspects: bool = False


@dataclass(frozen=True)
class Clear:
    """There is no evidence against the request."""


@dataclass(frozen=True)
class Suspected:
    """Servers crashed while the request was open, but it may not be the cause."""

    crashes: int
    weight: float


@dataclass(frozen=True)
class Undecided:
    """The evidence is sufficient, but a report that clears the request may be on its way."""

    wait_ms: float

    @property
    def wait_seconds(self) -> float:
        """Return how long to wait before judging again."""
        return max(MIN_WAIT_MS, self.wait_ms) / 1000


@dataclass(frozen=True)
class Quarantined:
    """The request is not sent to any server for now."""

    remaining_ms: float
    crashes: int

    @property
    def refusal(self) -> Failure:
        """Return the failure for a quarantined request: not run, with the time to retry."""
        message = f"{self.crashes} servers crashed under this request, so it is not sent"
        return Failure(ResultCode.QUARANTINED, message, int(self.remaining_ms))


@dataclass(frozen=True)
class Probation:
    """The quarantine has ended; one attempt may show whether the request still crashes servers."""

    crashes: int


Verdict = Clear | Suspected | Undecided | Quarantined | Probation


def _crash_time(crash: Crash) -> float:
    return crash.at


class _Evidence(NamedTuple):
    """The evidence against one request, when it became sufficient, and the crashes since."""

    weight: float = 0.0
    crashes: int = 0
    decided_at: float = math.inf
    last_crash_at: float = -math.inf
    crashes_after: int = 0


class CrashLedger:
    """Keeps crashes with the requests open at each, and the answers that cleared suspects."""

    def __init__(self) -> None:
        self._crashes: dict[Start, Crash] = {}
        self._by_fingerprint: dict[str, list[Crash]] = {}
        self._shape_counts: dict[str, int] = {}
        self._answered_at: dict[str, float] = {}
        self._early_answers: dict[str, float] = {}
        self._probed_at: dict[str, float] = {}
        self._refuted_at: dict[Start, float] = {}
        self._by_service: dict[str, list[Crash]] = {}
        self._evidence: dict[str, _Evidence] = {}
        self._revision = 0

    @property
    def revision(self) -> int:
        """Return a number that changes with the crashes and their suspects."""
        return self._revision

    @property
    def is_empty(self) -> bool:
        """Return whether there are no suspects, so that no request needs to be compared."""
        return not self._shape_counts

    @property
    def crashes(self) -> list[Crash]:
        """Return the crashes that are kept."""
        return list(self._crashes.values())

    @property
    def answered_at(self) -> dict[str, float]:
        """Return when suspects were last answered completely, by fingerprint."""
        return self._answered_at

    @property
    def probed_at(self) -> dict[str, float]:
        """Return when suspects were last let through after a quarantine, by fingerprint."""
        return self._probed_at

    def find(self, start: Start) -> Crash | None:
        """Return the crash of one incarnation of a server."""
        return self._crashes.get(start)

    def crashed_servers(self, fingerprint: str) -> list[str]:
        """Return the servers that crashed with a request open since its last complete answer."""
        served_at = self._answered_at.get(fingerprint, -math.inf)
        return [
            item.start[0]
            for item in self._by_fingerprint.get(fingerprint, ())
            if item.at > served_at
        ]

    def was_alone(self, fingerprint: str) -> bool:
        """Return whether a request was the only one open at the last crash that it met."""
        crashes = self._by_fingerprint.get(fingerprint)
        return bool(crashes) and len(crashes[-1].suspects) == 1

    def has_shape(self, shape: str) -> bool:
        """Return whether a suspect has this shape; otherwise the body need not be hashed."""
        return shape in self._shape_counts

    def has_suspect(self, fingerprint: str) -> bool:
        """Return whether a server crashed with this request open."""
        return fingerprint in self._by_fingerprint

    def record_crash(
        self, start: Start, service: str, servers: int, at: float, suspects: Iterable[Suspect]
    ) -> list[Suspect] | None:
        """Record a crash, or further requests that were open at a known one.

        Return the suspects that are new, or None if nothing is new.
        """
        if start in self._refuted_at:
            return None
        crash = self._crashes.get(start)
        is_news = crash is None
        if crash is None:
            crash = self._crashes[start] = Crash(start, service, servers, at)
            bisect.insort(self._by_service.setdefault(service, []), crash, key=_crash_time)
            self._drop_oldest()
        self._evidence.clear()
        self._revision += 1
        new_suspects = [item for item in suspects if self._add_suspect(crash, item)]
        return new_suspects if new_suspects or is_news else None

    def _add_suspect(self, crash: Crash, suspect: Suspect) -> bool:
        fingerprint = suspect.fingerprint
        if fingerprint in crash.suspects:
            return False
        if len(crash.suspects) >= MAX_SUSPECTS:
            crash.has_too_many_suspects = True
            return False
        crash.suspects[fingerprint] = suspect
        crashes = self._by_fingerprint.setdefault(fingerprint, [])
        if not crashes:
            shape = shape_of(fingerprint)
            self._shape_counts[shape] = self._shape_counts.get(shape, 0) + 1
            if fingerprint in self._early_answers:
                self._answered_at[fingerprint] = self._early_answers.pop(fingerprint)
        bisect.insort(crashes, crash, key=_crash_time)
        return True

    def _drop_oldest(self) -> None:
        while len(self._crashes) > MAX_CRASHES:
            self._drop(min(self._crashes.values(), key=lambda item: item.at))

    def _drop(self, crash: Crash) -> None:
        self._evidence.clear()
        self._revision += 1
        del self._crashes[crash.start]
        service_crashes = self._by_service[crash.service]
        service_crashes.remove(crash)
        if not service_crashes:
            del self._by_service[crash.service]
        for fingerprint in crash.suspects:
            self._by_fingerprint[fingerprint].remove(crash)
            if not self._by_fingerprint[fingerprint]:
                self._forget_suspect(fingerprint)

    def _forget_suspect(self, fingerprint: str) -> None:
        del self._by_fingerprint[fingerprint]
        self._answered_at.pop(fingerprint, None)
        self._probed_at.pop(fingerprint, None)
        shape = shape_of(fingerprint)
        self._shape_counts[shape] -= 1
        if not self._shape_counts[shape]:
            del self._shape_counts[shape]

    def record_answer(self, fingerprint: str, at: float) -> bool:
        """Record a complete answer to a suspect; return whether to forward it to other VMs.

        That is the case only for the first answer and for one that clears a crash. Forwarding every
        later answer would never end: ages are relative to sending, so each hop makes it look newer.
        """
        crashes = self._by_fingerprint.get(fingerprint)
        if crashes is None:
            return self._record_early_answer(fingerprint, at)
        before = self._answered_at.get(fingerprint, -math.inf)
        if at <= before:
            return False
        self._answered_at[fingerprint] = at
        self._evidence.clear()
        return any(before < crash.at <= at for crash in crashes) or before == -math.inf

    def _record_early_answer(self, fingerprint: str, at: float) -> bool:
        """Keep an answer whose crash is not known here yet, since reports take different routes."""
        is_news = fingerprint not in self._early_answers
        self._early_answers[fingerprint] = max(at, self._early_answers.pop(fingerprint, -math.inf))
        while len(self._early_answers) > MAX_EARLY_ANSWERS:
            del self._early_answers[next(iter(self._early_answers))]
        return is_news

    def record_probe(self, fingerprint: str, at: float) -> bool:
        """Record that a suspect is let through after its quarantine; return whether that is new."""
        if fingerprint not in self._by_fingerprint:
            return False
        before = self._probed_at.get(fingerprint, -math.inf)
        self._probed_at[fingerprint] = max(before, at)
        return at > before + PROBE_TIMEOUT_MS / 2

    def refute(self, start: Start, at: float) -> bool:
        """Record that a server answered a request sent after its supposed crash, which refutes it.

        A server at its connection limit refuses connections just as a crashed one does.
        """
        if start in self._refuted_at:
            return False
        self._refuted_at[start] = at
        crash = self._crashes.get(start)
        if crash is not None:
            self._drop(crash)
        return True

    def judge(self, fingerprint: str, now: float) -> Verdict:
        """Return the verdict on a request."""
        evidence = self._evidence.get(fingerprint)
        if evidence is None:
            evidence = self._evidence[fingerprint] = self._compute_evidence(fingerprint)
        if not evidence.crashes:
            return Clear()
        if evidence.decided_at == math.inf:
            return Suspected(evidence.crashes, evidence.weight)
        settled_at = evidence.decided_at + SETTLE_MS
        if now < settled_at:
            return Undecided(settled_at - now)
        until = evidence.last_crash_at + trial_delay_ms(evidence.crashes_after)
        if now < until:
            return Quarantined(until - now, evidence.crashes)
        probed_until = self._probed_at.get(fingerprint, -math.inf) + PROBE_TIMEOUT_MS
        if now < probed_until:
            return Quarantined(probed_until - now, evidence.crashes)
        return Probation(evidence.crashes)

    def _compute_evidence(self, fingerprint: str) -> _Evidence:
        """Sum the weights of the crashes since the last complete answer.

        Copies of a request that ran at the same time, or on a rack whose servers were lost
        together, are one observation: a run adds to the previous crash only if it began after that
        crash.
        """
        served_at = self._answered_at.get(fingerprint, -math.inf)
        crashes = [
            item for item in self._by_fingerprint.get(fingerprint, ()) if item.at > served_at
        ]
        crash_counts = Counter(other for crash in crashes for other in crash.suspects)
        evidence, round_began_at, round_weight = _Evidence(), -math.inf, 0.0
        for crash in crashes:
            suspect = crash.suspects[fingerprint]
            weight = self._crash_weight(crash, suspect, crash_counts)
            if suspect.began_at >= round_began_at - OBSERVATION_SKEW_MS:
                round_began_at, round_weight, added_weight = crash.at, weight, weight
            else:
                added_weight = max(0.0, weight - round_weight)
                round_weight += added_weight
            total = evidence.weight + added_weight
            decided = evidence.decided_at == math.inf and total >= QUARANTINE_WEIGHT
            decided_at = crash.at if decided else evidence.decided_at
            after = evidence.crashes_after + (evidence.decided_at < crash.at)
            evidence = _Evidence(total, evidence.crashes + 1, decided_at, crash.at, after)
        return evidence

    def _crash_weight(self, crash: Crash, suspect: Suspect, crash_counts: Counter[str]) -> float:
        """Return the weight of a crash as evidence against one of the requests open there.

        It is the cost of the cheapest other explanation: chance, or one of the other requests,
        whose cost is spread over all crashes that it explains. The sum over all crashes therefore
        never exceeds the cost of the cheapest set of explanations.
        """
        if crash.has_too_many_suspects:
            return 0.0
        own_count = crash_counts[suspect.fingerprint]
        alternative_costs = [
            self._alternative_cause_cost(other, own_count) / crash_counts[other]
            for other in crash.suspects
            if other != suspect.fingerprint and other not in self._answered_at
        ]
        return min([self._accident_weight(crash, suspect), *alternative_costs])

    def _alternative_cause_cost(self, other: str, own_count: int) -> float:
        """Return the cost of blaming another request, for a suspect with ``own_count`` crashes.

        A request that was open at as many of the crashes explains them equally well.
        """
        return ALTERNATIVE_CAUSE_WEIGHT * max(
            0.0, 1.0 - len(self._by_fingerprint[other]) / own_count
        )

    def _accident_weight(self, crash: Crash, suspect: Suspect) -> float:
        """Return how unlikely it is that the server crashed during the run by chance."""
        rate = self._background_crash_rate(crash, suspect.fingerprint)
        return accident_weight(crash.at - suspect.began_at, rate)

    def _background_crash_rate(self, crash: Crash, fingerprint: str) -> float:
        """Return the rate of crashes without this request, in crashes per server and millisecond.

        The long window gives the usual rate; the short one detects a burst that has just begun.
        """
        usual_crashes = (
            self._count_unexplained_crashes(
                crash, fingerprint, crash.at - CRASH_RATE_WINDOW_MS, crash.at
            )
            + 1
        )
        burst_crashes = self._count_unexplained_crashes(
            crash, fingerprint, crash.at - CRASH_BURST_WINDOW_MS, crash.at + CRASH_BURST_WINDOW_MS
        )
        return max(
            usual_crashes / CRASH_RATE_WINDOW_MS, burst_crashes / (2 * CRASH_BURST_WINDOW_MS)
        ) / max(1, crash.servers)

    def _count_unexplained_crashes(
        self, crash: Crash, fingerprint: str, begin: float, end: float
    ) -> int:
        """Count the crashes of a service in a time span that have no known cause.

        Another query of death ends many servers in a short time; those are not background crashes.
        """
        crashes = self._by_service[crash.service]
        first = bisect.bisect_left(crashes, begin, key=_crash_time)
        last = bisect.bisect_right(crashes, end, key=_crash_time)
        return sum(
            fingerprint not in item.suspects and not self._has_likely_cause(item)
            for item in crashes[first:last]
        )

    def _has_likely_cause(self, crash: Crash) -> bool:
        return any(
            len(self._by_fingerprint[item]) >= LIKELY_CAUSE_CRASHES
            and item not in self._answered_at
            for item in crash.suspects
        )

    def prune(self, now: float) -> None:
        """Drop expired crashes and refutations."""
        for crash in list(self._crashes.values()):
            if now - crash.at > CRASH_RETENTION_MS:
                self._drop(crash)
        for start, at in list(self._refuted_at.items()):
            if now - at > CRASH_RETENTION_MS:
                del self._refuted_at[start]
