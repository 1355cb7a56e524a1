"""What one VM makes of servers' crashes: who was open there, what it tells others and hears.

Whoever serves requests notes each attempt as a run.  When a server crashes, the runs that were open
there are its suspects; only then their bodies are read.  Crashes, and the whole answers that clear
a suspect, are told to the other VMs, which add who they had open there themselves.  Times are in
milliseconds of this VM's clock.
"""

import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple, Protocol

from siskinspoke.coordination.crashes import (
    Clear,
    Crash,
    CrashLedger,
    Probation,
    Quarantined,
    Start,
    Suspect,
    Verdict,
)
from siskinspoke.coordination.fingerprints import Subject
from siskinspoke.core.counters import Counters
from siskinspoke.protocol.crashes import (
    CrashNews,
    CrashReport,
    RefutedCrash,
    SuspectEvent,
    SuspectReport,
    crash_news,
)

# A server may crash under a request that has just been taken away from it, which still works there
# until the server has noticed.
LINGER_MS = 1_000.0
# That a server crashed may come to be known only when it is back.
LEFT_MS = 10_000.0
MOST_LEFT = 256
# A newcomer is told of this many crashes, the newest ones.
MOST_TOLD = 256
# A message of this many crashes fits into a datagram with all suspects that a crash may have.
CRASHES_A_MESSAGE = 16


class Log(Protocol):
    """Where decisions are written down."""

    def note(self, event: str, **fields: Any) -> None:
        """Write down one event and what decided it."""


class RunEnd(Enum):
    """How an attempt ended: with a whole answer, refused unread, or nobody knows."""

    WHOLE = "whole"
    NOT_RUN = "not_run"
    BROKE = "broke"


@dataclass(eq=False, slots=True)
class Run:
    """One attempt at one server or several."""

    subject: Subject
    starts: frozenset[Start]
    began_at: float


class LeftRun(NamedTuple):
    """An attempt that has broken off; the body of its request is not kept."""

    fingerprint: str
    starts: frozenset[Start]
    began_at: float
    ended_at: float


class CrashWatch:
    """Own the ledger of a VM and the runs that are open on it."""

    def __init__(self, tell: Callable[[CrashNews], None], counters: Counters, log: Log) -> None:
        self._tell = tell
        self._counters = counters
        self._log = log
        self._ledger = CrashLedger()
        self._open: set[Run] = set()
        self._left: deque[LeftRun] = deque(maxlen=MOST_LEFT)
        self._own: dict[Start, set[str]] = {}
        self._quarantined: set[str] = set()
        self._answered: dict[str, float] = {}

    @property
    def ledger(self) -> CrashLedger:
        """Return what is known of crashes."""
        return self._ledger

    def began(self, subject: Subject, starts: Iterable[Start], now: float) -> Run:
        """Note an attempt; it must be ended."""
        run = Run(subject, frozenset(starts), now)
        self._open.add(run)
        return run

    def ended(self, run: Run, end: RunEnd, now: float) -> None:
        """Note how an attempt ended."""
        self._open.discard(run)
        match end:
            case RunEnd.WHOLE:
                self._clear(run.subject, now)
            case RunEnd.BROKE:
                fingerprint = run.subject.fingerprint
                self._left.append(LeftRun(fingerprint, run.starts, run.began_at, now))

    def _clear(self, subject: Subject, now: float) -> None:
        if not self.is_suspect(subject):
            return
        fingerprint = subject.fingerprint
        self._answered[fingerprint] = now
        if not self._ledger.clear(fingerprint, now):
            return
        self._counters.count("crash.cleared")
        lifted = fingerprint in self._quarantined
        self._quarantined.discard(fingerprint)
        self._log.note("request.cleared", fingerprint=fingerprint, lifted=lifted)
        self._tell(crash_news(served=[SuspectEvent(fingerprint, 0)]))

    def is_suspect(self, subject: Subject) -> bool:
        """Tell whether a server crashed with this request open; its body is read if need be."""
        if self._ledger.is_empty or not self._ledger.has_shape(subject.shape):
            return False
        return self._ledger.knows(subject.fingerprint)

    def judge(self, subject: Subject, now: float) -> Verdict:
        """Return what is to become of a request."""
        if not self.is_suspect(subject):
            return Clear()
        verdict = self._ledger.judge(subject.fingerprint, now)
        self._note_verdict(subject.fingerprint, verdict)
        return verdict

    def _note_verdict(self, fingerprint: str, verdict: Verdict) -> None:
        """Write down when a quarantine begins here, with the crashes that decided it."""
        match verdict:
            case Quarantined(left_ms=left_ms, crashes=crashes):
                if fingerprint in self._quarantined:
                    return
                self._quarantined.add(fingerprint)
                self._counters.count("quarantine.began")
                self._log.note(
                    "request.quarantined",
                    fingerprint=fingerprint,
                    crashes=crashes,
                    left=round(left_ms),
                    servers=self._ledger.servers_of(fingerprint),
                )
            case Probation():
                pass
            case _ if fingerprint in self._quarantined:
                self._quarantined.discard(fingerprint)
                self._counters.count("quarantine.lifted")
                self._log.note("request.released", fingerprint=fingerprint)

    def probe(self, subject: Subject, now: float) -> None:
        """Note that one attempt of a request is let through after its quarantine."""
        fingerprint = subject.fingerprint
        if self._ledger.probe(fingerprint, now):
            self._counters.count("quarantine.probed")
            self._log.note("request.probed", fingerprint=fingerprint)
            self._tell(crash_news(probed=[SuspectEvent(fingerprint, 0)]))

    def has_crashed(self, start: Start) -> bool:
        """Tell whether one start of a server is known to have crashed."""
        return self._ledger.find(start) is not None

    def crashed(self, start: Start, service: str, servers: int, at: float, now: float) -> None:
        """Take in that a server crashed; ``servers`` is how many its service has."""
        known = self._ledger.find(start)
        suspects = self._suspects_at(start, at if known is None else known.at)
        fresh = self._ledger.add(start, service, servers, at, suspects)
        if fresh is None:
            return
        if known is None:
            self._note_crash(start, service, servers, suspects, told=False)
        self._tell_own(start, fresh, now)

    def started_anew(self, start: Start, service: str, servers: int, now: float) -> None:
        """Take in that a server has started again, and so crashed, unseen, some time before.

        What was sent to it broke off when it did; what has not broken off yet will not be answered.
        """
        ends = [run.ended_at for run in self._left if start in run.starts]
        waits = any(start in run.starts for run in self._open)
        at = now if waits or not ends else max(ends)
        self.crashed(start, service, servers, at, now)

    def _suspects_at(self, start: Start, at: float) -> list[Suspect]:
        """Return this VM's runs that were open at a server when it crashed, or had just left."""
        found = [
            Suspect(run.subject.fingerprint, run.began_at)
            for run in self._open
            if start in run.starts and run.began_at <= at
        ]
        found += [
            Suspect(run.fingerprint, run.began_at)
            for run in self._left
            if start in run.starts and run.began_at <= at <= run.ended_at + LINGER_MS
        ]
        return sorted(found, key=lambda item: item.began_at)

    def _note_crash(
        self, start: Start, service: str, servers: int, suspects: list[Suspect], told: bool
    ) -> None:
        server, incarnation = start
        self._counters.count("crash.told" if told else "crash.found")
        self._log.note(
            "server.crashed",
            server=server,
            start=incarnation,
            service=service,
            servers=servers,
            suspects=[item.fingerprint for item in suspects],
            told=told,
        )

    def _tell_own(self, start: Start, suspects: list[Suspect], now: float) -> None:
        """Tell the others whom this VM had open at a crash, if anybody."""
        if not suspects:
            return
        self._own.setdefault(start, set()).update(item.fingerprint for item in suspects)
        report = _report_of(self._ledger.find(start), suspects, now)
        self._tell(crash_news([report]))

    def answered(self, start: Start, sent_at: float, now: float) -> None:
        """Take in an answer to what was sent at a time; a server that crashed before gives none."""
        crash = self._ledger.find(start)
        if crash is None or sent_at <= crash.at or not self._ledger.refute(start, now):
            return
        server, incarnation = start
        self._counters.count("crash.refuted")
        self._log.note("server.not_crashed", server=server, start=incarnation)
        self._tell(crash_news(refuted=[RefutedCrash(server, incarnation)]))

    def hear(self, news: CrashNews, now: float) -> CrashNews:
        """Take in what another VM tells, and return the part of it that is news here."""
        return crash_news(
            crashes=[report for report in news.crashes if self._hear_crash(report, now)],
            served=[item for item in news.served if self._hear_served(item, now)],
            probed=[item for item in news.probed if self._hear_probed(item, now)],
            refuted=[item for item in news.refuted if self._hear_refuted(item, now)],
        )

    def _hear_crash(self, report: CrashReport, now: float) -> bool:
        at = now - report.age_ms
        start = (report.server, report.incarnation)
        suspects = [Suspect(item.fingerprint, at - item.ran_ms) for item in report.suspects]
        is_known = self._ledger.find(start) is not None
        fresh = self._ledger.add(start, report.service, report.servers, at, suspects)
        if fresh is None:
            return False
        if is_known:
            # Each VM that had a request open there tells of its own; one line a crash is enough.
            self._counters.count("crash.told_more")
        else:
            self._note_crash(start, report.service, report.servers, fresh, told=True)
        own = self._suspects_at(start, self._ledger.find(start).at)
        more = self._ledger.add(start, report.service, report.servers, at, own)
        self._tell_own(start, more or [], now)
        self._tell_answered(fresh, at, now)
        return True

    def _tell_answered(self, suspects: list[Suspect], crashed_at: float, now: float) -> None:
        """Tell which suspects this VM has answered since their crash, before it heard of that."""
        cleared = [
            SuspectEvent(item.fingerprint, round(now - answered_at))
            for item in suspects
            if (answered_at := self._answered.get(item.fingerprint, -math.inf)) >= crashed_at
        ]
        if cleared:
            self._tell(crash_news(served=cleared))

    def _hear_served(self, item: SuspectEvent, now: float) -> bool:
        return self._ledger.clear(item.fingerprint, now - item.age_ms)

    def _hear_probed(self, item: SuspectEvent, now: float) -> bool:
        return self._ledger.probe(item.fingerprint, now - item.age_ms)

    def _hear_refuted(self, item: RefutedCrash, now: float) -> bool:
        return self._ledger.refute((item.server, item.incarnation), now)

    def all_news(self, now: float) -> list[CrashNews]:
        """Return what a VM that knows nothing needs to know of the suspects there are."""
        ledger = self._ledger
        crashes = [crash for crash in ledger.crashes if crash.suspects.keys() - ledger.served]
        crashes = sorted(crashes, key=lambda crash: crash.at)[-MOST_TOLD:]
        return self._news_of([(crash, list(crash.suspects.values())) for crash in crashes], now)

    def own_news(self, now: float) -> list[CrashNews]:
        """Return what this VM itself has seen, for one that may have forgotten it."""
        told = []
        for start, fingerprints in self._own.items():
            crash = self._ledger.find(start)
            if crash is not None:
                own = [crash.suspects[item] for item in fingerprints if item in crash.suspects]
                told.append((crash, own))
        return self._news_of(told[-MOST_TOLD:], now)

    def _news_of(self, told: list[tuple[Crash, list[Suspect]]], now: float) -> list[CrashNews]:
        found = []
        for begin in range(0, len(told), CRASHES_A_MESSAGE):
            part = told[begin : begin + CRASHES_A_MESSAGE]
            reports = [_report_of(crash, suspects, now) for crash, suspects in part]
            named = {item.fingerprint for report in reports for item in report.suspects}
            served = _events(self._ledger.served, named, now)
            probed = _events(self._ledger.probed, named, now)
            found.append(crash_news(reports, served, probed))
        return found

    def forget(self, now: float) -> None:
        """Drop what is too old to matter."""
        while self._left and now - self._left[0].ended_at > LEFT_MS:
            self._left.popleft()
        self._ledger.forget(now)
        for start in [start for start in self._own if self._ledger.find(start) is None]:
            del self._own[start]
        for item in [item for item in self._answered if not self._ledger.knows(item)]:
            del self._answered[item]
        self._quarantined = {item for item in self._quarantined if self._ledger.knows(item)}
        self._counters.gauge("crash.remembered", len(self._ledger.crashes))


def _report_of(crash: Crash, suspects: Iterable[Suspect], now: float) -> CrashReport:
    server, incarnation = crash.start
    return CrashReport(
        server,
        incarnation,
        crash.service,
        crash.servers,
        round(now - crash.at),
        [SuspectReport(item.fingerprint, round(crash.at - item.began_at)) for item in suspects],
    )


def _events(times: dict[str, float], named: set[str], now: float) -> list[SuspectEvent]:
    return [SuspectEvent(item, round(now - at)) for item, at in times.items() if item in named]
