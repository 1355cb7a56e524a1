"""Detects parts of prompts that crash servers, whatever else a request holds.

The quarantine of whole requests is of no use against such a part: requests with it are never alike,
and each would crash several servers before it is known. What tells the part from its neighbours is
that it was open at every crash, while the other parts of those requests were answered meanwhile.

Evidence is taken from the crashes of a ``CrashLedger``. A part is blamed only if

* runs of several requests with it ended in crashes, one after the other, and no single request that
  was never answered was open at all of them;
* no request with it has been answered since; a part that had been answered before needs more;
* no other part was open at more of the crashes. Parts that were open at the same crashes are blamed
  together: only requests with all of them are refused.

Times are in milliseconds of one VM's clock.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from siskinspoke.coordination.crash_evidence.accidents import crash_chance
from siskinspoke.coordination.crash_evidence.trials import trial_delay_ms
from siskinspoke.coordination.crashes import (
    CRASH_BURST_WINDOW_MS,
    CRASH_RATE_WINDOW_MS,
    OBSERVATION_SKEW_MS,
    PROBE_TIMEOUT_MS,
    Clear,
    Crash,
    CrashLedger,
    Probation,
    Quarantined,
    Verdict,
)

# A part is blamed for at least this many crashes, under this many different requests.
MIN_CRASHES = 3
MIN_REQUESTS = 2
# Only the most recent crashes count.
MAX_CRASHES = 128
# A crash weighs the negative logarithm of its chance. If each run with the part crashes its server
# and an answer clears the part, that is a likelihood ratio: under chance alone the exponential of
# the sum has the mean 1. Three rare crashes reach the weight of a blame.
MAX_WEIGHT = 4.0
BLAME_WEIGHT = 10.0
# Weight at which a part is blamed that had been answered before; five crashes reach it.
ANSWERED_BEFORE_WEIGHT = 18.0
# Parts that were answered most recently are remembered.
MAX_ANSWERED_PARTS = 4_096
# Only this many parts of a prompt are considered, and no longer names.
MAX_PARTS = 16
MAX_PART_CHARACTERS = 64

Parts = frozenset[str]


class Blame(NamedTuple):
    """Parts that crash servers if a prompt has all of them, and the crashes that show it."""

    parts: Parts
    crashes: int
    last_crash_at: float
    servers: tuple[str, ...]


class _CrashParts(NamedTuple):
    crash: Crash
    parts: frozenset[str]


class _Trials(NamedTuple):
    count: int
    last_at: float


def usable_parts(names: Iterable[str]) -> tuple[str, ...]:
    """Return the parts of a prompt that are considered, given those before its last one."""
    usable = [name for name in names if 0 < len(name) <= MAX_PART_CHARACTERS]
    return tuple(dict.fromkeys(usable))[:MAX_PARTS]


class PartLedger:
    """The verdicts on parts, from the crashes of a ledger and the answers to requests."""

    def __init__(self, ledger: CrashLedger):
        self._ledger = ledger
        self._answered_at: OrderedDict[str, float] = OrderedDict()
        self._trials: dict[Parts, _Trials] = {}
        self._blames: list[Blame] = []
        self._blames_are_current = False
        self._crashes: list[_CrashParts] = []
        self._last_crash_at: dict[str, float] = {}
        self._revision = -1

    @property
    def answered_at(self) -> dict[str, float]:
        """Return when parts were last answered, for the parts that are remembered."""
        return self._answered_at

    def record_answer(self, part: str, at: float) -> bool:
        """Record that a request with a part was answered; return whether that clears a crash."""
        before = self._answered_at.pop(part, -math.inf)
        self._answered_at[part] = max(before, at)
        while len(self._answered_at) > MAX_ANSWERED_PARTS:
            self._answered_at.popitem(last=False)
        if self._ledger.is_empty:
            return False
        self._read_ledger()
        if not before < self._last_crash_at.get(part, -math.inf) <= at:
            return False
        self._blames_are_current = False
        return True

    def blames(self) -> list[Blame]:
        """Return the parts that are blamed for crashes."""
        self._read_ledger()
        if not self._blames_are_current:
            self._blames = self._find_blames()
            self._blames_are_current = True
        return self._blames

    def _read_ledger(self) -> None:
        """Read the most recent crashes, if there are others since the last time."""
        if self._revision == self._ledger.revision:
            return
        self._revision = self._ledger.revision
        self._blames_are_current = False
        crashes = sorted(self._ledger.crashes, key=lambda item: item.at)[-MAX_CRASHES:]
        self._crashes = [
            _CrashParts(
                crash, frozenset(part for run in crash.suspects.values() for part in run.parts)
            )
            for crash in crashes
        ]
        self._last_crash_at = {part: crash.at for crash, parts in self._crashes for part in parts}

    def find(self, parts: Sequence[str]) -> Blame | None:
        """Return the blame that applies to a prompt with these parts."""
        if self._ledger.is_empty or not parts:
            return None
        return next((blame for blame in self.blames() if blame.parts <= set(parts)), None)

    def judge(self, parts: Sequence[str], now: float) -> Verdict:
        """Return the verdict on a request whose prompt has these parts."""
        blame = self.find(parts)
        if blame is None:
            return Clear()
        until = self._blocked_until(blame)
        return Quarantined(until - now, blame.crashes) if now < until else Probation(blame.crashes)

    def _blocked_until(self, blame: Blame) -> float:
        trials = self._trials.get(blame.parts, _Trials(0, -math.inf))
        if blame.last_crash_at < trials.last_at:
            # The trial is still running, or its end is not known here yet.
            return trials.last_at + max(PROBE_TIMEOUT_MS, trial_delay_ms(trials.count - 1))
        return blame.last_crash_at + trial_delay_ms(trials.count)

    def record_trial(self, parts: Parts, at: float) -> bool:
        """Record that a request with blamed parts is let through; return whether that is new."""
        trials = self._trials.get(parts, _Trials(0, -math.inf))
        if at <= trials.last_at + PROBE_TIMEOUT_MS / 2:
            return False
        self._trials[parts] = _Trials(trials.count + 1, at)
        return True

    def prune(self) -> None:
        """Drop the trials of parts that no crash is known of any more."""
        if not self._trials:
            return
        self._read_ledger()
        known = self._last_crash_at.keys()
        self._trials = {parts: item for parts, item in self._trials.items() if parts <= known}

    def _find_blames(self) -> list[Blame]:
        crashes_by_part = self._crashes_by_part()
        groups: dict[frozenset, set[str]] = {}
        for part, crashes in crashes_by_part.items():
            if len(crashes) >= MIN_CRASHES:
                groups.setdefault(frozenset(item.start for item in crashes), set()).add(part)
        blames = []
        for starts, parts in groups.items():
            if any(starts < other for other in groups):
                continue
            crashes = crashes_by_part[min(parts)]
            if self._is_caused_by(parts, crashes):
                servers = tuple(item.start[0] for item in crashes)
                blames.append(Blame(frozenset(parts), len(crashes), crashes[-1].at, servers))
        return blames

    def _crashes_by_part(self) -> dict[str, list[Crash]]:
        """Return the crashes at which each part was open, since it was last answered."""
        found: dict[str, list[Crash]] = {}
        for crash, parts in self._crashes:
            for part in parts:
                if crash.at > self._answered_at.get(part, -math.inf):
                    found.setdefault(part, []).append(crash)
        return found

    def _is_caused_by(self, parts: set[str], crashes: list[Crash]) -> bool:
        """Return whether parts that were open at the same crashes are blamed for them."""
        part = min(parts)
        requests = {
            run.fingerprint
            for crash in crashes
            for run in crash.suspects.values()
            if part in run.parts
        }
        if len(requests) < MIN_REQUESTS:
            return False
        always_open = set.intersection(*(set(crash.suspects) for crash in crashes))
        if always_open - self._ledger.answered_at.keys():
            return False
        answered_before = all(item in self._answered_at for item in parts)
        needed = ANSWERED_BEFORE_WEIGHT if answered_before else BLAME_WEIGHT
        return self._weight(part, crashes) >= needed

    def _weight(self, part: str, crashes: list[Crash]) -> float:
        """Return the weight of crashes that came one after the other.

        Runs that were open at the same time may have been ended by one event.
        """
        total, last_at = 0.0, -math.inf
        for crash in crashes:
            began_at = max(run.began_at for run in crash.suspects.values() if part in run.parts)
            if began_at < last_at - OBSERVATION_SKEW_MS:
                continue
            rate = self._other_crash_rate(part, crash)
            total += min(MAX_WEIGHT, -math.log(crash_chance(crash.at - began_at, rate)))
            last_at = crash.at
        return total

    def _other_crash_rate(self, part: str, crash: Crash) -> float:
        """Return the rate of earlier crashes without the part, per server and millisecond.

        Later ones do not count: a verdict would end with the next unrelated crashes.
        """
        ages = [
            crash.at - item.at
            for item, parts in self._crashes
            if item.service == crash.service and part not in parts
        ]
        usual = 1 + sum(0 <= age < CRASH_RATE_WINDOW_MS for age in ages)
        burst = sum(0 <= age < CRASH_BURST_WINDOW_MS for age in ages)
        rate = max(usual / CRASH_RATE_WINDOW_MS, burst / CRASH_BURST_WINDOW_MS)
        return rate / max(1, crash.servers)
