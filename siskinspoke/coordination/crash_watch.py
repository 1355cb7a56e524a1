"""Tracks server crashes on one VM and exchanges crash reports with the other VMs.

Code that serves requests registers each attempt as a run. When a server crashes, the runs that were
open there become its suspects; their bodies are hashed only then. Crashes, and the complete answers
that clear a suspect, are sent to the other VMs, which add the runs they had open there themselves.
Times are in milliseconds of this VM's clock.
"""

import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple, Protocol

from siskinspoke.coordination.crash_evidence.parts import Blame, PartLedger, Parts, usable_parts
from siskinspoke.coordination.crashes import (
    Clear,
    Crash,
    CrashLedger,
    Probation,
    Quarantined,
    Start,
    Suspect,
    Suspected,
    Verdict,
)
from siskinspoke.coordination.fingerprints import RequestIdentity
from siskinspoke.core.counters import Counters
from siskinspoke.protocol.crashes import (
    CrashNews,
    CrashReport,
    RefutedCrash,
    SuspectEvent,
    SuspectReport,
    make_crash_news,
)

# A server may still crash under a request that has just been withdrawn, since it works on the
# request until it notices.
ABANDONED_GRACE_MS = 1_000.0
# A crash may be detected only once the server is back.
ABANDONED_RETENTION_MS = 10_000.0
MAX_ABANDONED_RUNS = 256
# A VM that has just connected is sent this many crashes, the most recent ones.
MAX_REPLAYED_CRASHES = 256
# A message with this many crashes fits into a datagram even if each has the maximum number of
# suspects.
CRASHES_PER_MESSAGE = 16
# Weight of the crashes after which a request whose prompt has parts is not tried again, if it was
# alone at the last one. It takes two crashes that are unlikely to be accidents; restarts in series
# do not reach it.
STOP_WEIGHT = 4.0


class Log(Protocol):
    """The decision log."""

    def note(self, event: str, **fields: Any) -> None:
        """Write one event with the data that explains it."""


class RunEnd(Enum):
    """How an attempt ended.

    ``WHOLE`` is a complete answer, ``REST`` the rest of a stream that other attempts had begun,
    ``NOT_RUN`` a refusal of a request that was not read, and ``BROKE`` any other end.
    """

    WHOLE = "whole"
    REST = "rest"
    NOT_RUN = "not_run"
    BROKE = "broke"


@dataclass(eq=False, slots=True)
class OpenRun:
    """One attempt, sent to one or several servers."""

    subject: RequestIdentity
    starts: frozenset[Start]
    began_at: float


class AbandonedRun(NamedTuple):
    """An attempt that was cut off; the request body is not kept."""

    fingerprint: str
    starts: frozenset[Start]
    began_at: float
    ended_at: float
    parts: tuple[str, ...] = ()


class CrashWatch:
    """Holds a VM's crash ledger and its open runs."""

    def __init__(self, publish: Callable[[CrashNews], None], counters: Counters, log: Log) -> None:
        self._publish = publish
        self._counters = counters
        self._log = log
        self._ledger = CrashLedger()
        self._parts = PartLedger(self._ledger)
        self._blamed_parts: set[Parts] = set()
        self._open_runs: set[OpenRun] = set()
        self._abandoned: deque[AbandonedRun] = deque(maxlen=MAX_ABANDONED_RUNS)
        self._local_suspects: dict[Start, set[str]] = {}
        self._quarantined: set[str] = set()
        self._answered_at: dict[str, float] = {}

    @property
    def ledger(self) -> CrashLedger:
        """Return the crash ledger."""
        return self._ledger

    def start_run(self, subject: RequestIdentity, starts: Iterable[Start], now: float) -> OpenRun:
        """Register an attempt; the caller must pass it to ``end_run`` later."""
        run = OpenRun(subject, frozenset(starts), now)
        self._open_runs.add(run)
        return run

    def end_run(self, run: OpenRun, end: RunEnd, now: float) -> None:
        """Record how an attempt ended."""
        self._open_runs.discard(run)
        match end:
            case RunEnd.WHOLE:
                self._clear(run.subject, now)
                self._clear_parts(run.subject, now)
            case RunEnd.REST:
                # Too short to show that the parts are harmless: an event of each server that
                # crashed may have completed the stream.
                self._clear(run.subject, now)
            case RunEnd.BROKE:
                subject = run.subject
                self._abandoned.append(
                    AbandonedRun(subject.fingerprint, run.starts, run.began_at, now, subject.parts)
                )

    def _clear(self, subject: RequestIdentity, now: float) -> None:
        if not self.is_suspect(subject):
            return
        fingerprint = subject.fingerprint
        self._answered_at[fingerprint] = now
        if not self._ledger.record_answer(fingerprint, now):
            return
        self._counters.count("crash.cleared")
        lifted = fingerprint in self._quarantined
        self._quarantined.discard(fingerprint)
        self._log.note("request.cleared", fingerprint=fingerprint, lifted=lifted)
        self._publish(make_crash_news(served=[SuspectEvent(fingerprint, 0)]))

    def _clear_parts(self, subject: RequestIdentity, now: float) -> None:
        """Record that a request was answered, which clears the parts of its prompt."""
        cleared = [part for part in subject.parts if self._parts.record_answer(part, now)]
        if cleared:
            self._counters.count("crash.parts_cleared", len(cleared))
            self._publish(make_crash_news(served=[SuspectEvent("", 0, tuple(cleared))]))

    def blames_parts(self, subject: RequestIdentity, now: float) -> bool:
        """Return whether a request must not be sent because of parts that crash servers."""
        return isinstance(self._parts.judge(subject.parts, now), Quarantined)

    def stops_after_crash(self, subject: RequestIdentity, now: float) -> bool:
        """Return whether a request is not tried again that was alone when a server crashed.

        What crashes servers may be a part of its prompt; it is found by comparing requests, and
        further attempts of the same one would end servers without telling more.
        """
        if not subject.parts or not self.is_suspect(subject):
            return False
        match self._ledger.judge(subject.fingerprint, now):
            case Suspected(weight=weight):
                return weight >= STOP_WEIGHT and self._ledger.was_alone(subject.fingerprint)
        return False

    def is_suspect(self, subject: RequestIdentity) -> bool:
        """Return whether a server crashed with this request open; hash the body only if needed."""
        if self._ledger.is_empty or not self._ledger.has_shape(subject.shape):
            return False
        return self._ledger.has_suspect(subject.fingerprint)

    def judge(self, subject: RequestIdentity, now: float) -> Verdict:
        """Return the verdict on a request, and on the parts of its prompt."""
        verdict = self._parts.judge(subject.parts, now)
        if not isinstance(verdict, Clear):
            self._log_blame(self._parts.find(subject.parts))
            return verdict
        if not self.is_suspect(subject):
            return Clear()
        verdict = self._ledger.judge(subject.fingerprint, now)
        self._log_verdict(subject.fingerprint, verdict)
        return verdict

    def _log_verdict(self, fingerprint: str, verdict: Verdict) -> None:
        """Log the start and end of a quarantine on this VM, with the crashes that led to it."""
        match verdict:
            case Quarantined(remaining_ms=left_ms, crashes=crashes):
                if fingerprint in self._quarantined:
                    return
                self._quarantined.add(fingerprint)
                self._counters.count("quarantine.began")
                self._log.note(
                    "request.quarantined",
                    fingerprint=fingerprint,
                    crashes=crashes,
                    left=round(left_ms),
                    servers=self._ledger.crashed_servers(fingerprint),
                )
            case Probation():
                pass
            case _ if fingerprint in self._quarantined:
                self._quarantined.discard(fingerprint)
                self._counters.count("quarantine.lifted")
                self._log.note("request.released", fingerprint=fingerprint)

    def _log_blame(self, blame: Blame) -> None:
        if blame.parts in self._blamed_parts:
            return
        self._blamed_parts.add(blame.parts)
        self._counters.count("quarantine.parts")
        self._log.note(
            "parts.quarantined",
            parts=sorted(blame.parts),
            crashes=blame.crashes,
            servers=list(blame.servers),
        )

    def record_probe(self, subject: RequestIdentity, now: float) -> None:
        """Record that one attempt of a request is let through after its quarantine."""
        blame = self._parts.find(subject.parts)
        if blame is not None:
            if self._parts.record_trial(blame.parts, now):
                self._counters.count("quarantine.probed")
                self._log.note("parts.probed", parts=sorted(blame.parts))
                self._publish(
                    make_crash_news(probed=[SuspectEvent("", 0, tuple(sorted(blame.parts)))])
                )
            return
        fingerprint = subject.fingerprint
        if self._ledger.record_probe(fingerprint, now):
            self._counters.count("quarantine.probed")
            self._log.note("request.probed", fingerprint=fingerprint)
            self._publish(make_crash_news(probed=[SuspectEvent(fingerprint, 0)]))

    def has_crashed(self, start: Start) -> bool:
        """Return whether an incarnation of a server is known to have crashed."""
        return self._ledger.find(start) is not None

    def record_crash(self, start: Start, service: str, servers: int, at: float, now: float) -> None:
        """Record a server crash; ``servers`` is the number of servers of its service."""
        known = self._ledger.find(start)
        suspects = self._suspects_at(start, at if known is None else known.at)
        new_suspects = self._ledger.record_crash(start, service, servers, at, suspects)
        if new_suspects is None:
            return
        if known is None:
            self._log_crash(start, service, servers, suspects, told=False)
        self._publish_local_suspects(start, new_suspects, now)

    def record_restart(self, start: Start, service: str, servers: int, now: float) -> None:
        """Record a restart that reveals an earlier, undetected crash.

        Attempts at the old incarnation were cut off when it crashed; those still open will not be
        answered.
        """
        ended_at = [run.ended_at for run in self._abandoned if start in run.starts]
        has_open_run = any(start in run.starts for run in self._open_runs)
        at = now if has_open_run or not ended_at else max(ended_at)
        self.record_crash(start, service, servers, at, now)

    def _suspects_at(self, start: Start, at: float) -> list[Suspect]:
        """Return this VM's runs that were open, or just abandoned, when a server crashed."""
        suspects = [
            Suspect(run.subject.fingerprint, run.began_at, run.subject.parts)
            for run in self._open_runs
            if start in run.starts and run.began_at <= at
        ]
        suspects += [
            Suspect(run.fingerprint, run.began_at, run.parts)
            for run in self._abandoned
            if start in run.starts and run.began_at <= at <= run.ended_at + ABANDONED_GRACE_MS
        ]
        return sorted(suspects, key=lambda item: item.began_at)

    def _log_crash(
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

    def _publish_local_suspects(self, start: Start, suspects: list[Suspect], now: float) -> None:
        """Send the other VMs the runs that this VM had open at a crash, if any."""
        if not suspects:
            return
        self._local_suspects.setdefault(start, set()).update(item.fingerprint for item in suspects)
        report = _crash_report(self._ledger.find(start), suspects, now)
        self._publish(make_crash_news([report]))

    def record_answer(self, start: Start, sent_at: float, now: float) -> None:
        """Handle an answer to a request sent at ``sent_at``; it refutes an earlier crash."""
        crash = self._ledger.find(start)
        if crash is None or sent_at <= crash.at or not self._ledger.refute(start, now):
            return
        server, incarnation = start
        self._counters.count("crash.refuted")
        self._log.note("server.not_crashed", server=server, start=incarnation)
        self._publish(make_crash_news(refuted=[RefutedCrash(server, incarnation)]))

    def apply(self, news: CrashNews, now: float) -> CrashNews:
        """Apply another VM's news and return the part that was new to this VM."""
        return make_crash_news(
            crashes=[report for report in news.crashes if self._handle_crash(report, now)],
            served=[item for item in news.served if self._handle_served(item, now)],
            probed=[item for item in news.probed if self._handle_probed(item, now)],
            refuted=[item for item in news.refuted if self._handle_refuted(item, now)],
        )

    def _handle_crash(self, report: CrashReport, now: float) -> bool:
        at = now - report.age_ms
        start = (report.server, report.incarnation)
        suspects = [
            Suspect(item.fingerprint, at - item.ran_ms, usable_parts(item.parts))
            for item in report.suspects
        ]
        is_known = self._ledger.find(start) is not None
        new_suspects = self._ledger.record_crash(
            start, report.service, report.servers, at, suspects
        )
        if new_suspects is None:
            return False
        if is_known:
            # Each VM that had a request open there reports it; log only one line per crash.
            self._counters.count("crash.told_more")
        else:
            self._log_crash(start, report.service, report.servers, new_suspects, told=True)
        local_suspects = self._suspects_at(start, self._ledger.find(start).at)
        new_local_suspects = self._ledger.record_crash(
            start, report.service, report.servers, at, local_suspects
        )
        self._publish_local_suspects(start, new_local_suspects or [], now)
        self._publish_answered(new_suspects, at, now)
        return True

    def _publish_answered(self, suspects: list[Suspect], crashed_at: float, now: float) -> None:
        """Publish suspects that this VM answered between their crash and its report."""
        cleared = [
            SuspectEvent(item.fingerprint, round(now - answered_at))
            for item in suspects
            if (answered_at := self._answered_at.get(item.fingerprint, -math.inf)) >= crashed_at
        ]
        if cleared:
            self._publish(make_crash_news(served=cleared))

    def _handle_served(self, item: SuspectEvent, now: float) -> bool:
        if item.parts:
            at = now - item.age_ms
            cleared = [part for part in item.parts if self._parts.record_answer(part, at)]
            return bool(cleared)
        return self._ledger.record_answer(item.fingerprint, now - item.age_ms)

    def _handle_probed(self, item: SuspectEvent, now: float) -> bool:
        if item.parts:
            return self._parts.record_trial(frozenset(item.parts), now - item.age_ms)
        return self._ledger.record_probe(item.fingerprint, now - item.age_ms)

    def _handle_refuted(self, item: RefutedCrash, now: float) -> bool:
        return self._ledger.refute((item.server, item.incarnation), now)

    def all_reports(self, now: float) -> list[CrashNews]:
        """Return everything a VM without any state needs to know about the current suspects."""
        ledger = self._ledger
        crashes = [crash for crash in ledger.crashes if crash.suspects.keys() - ledger.answered_at]
        crashes = sorted(crashes, key=lambda crash: crash.at)[-MAX_REPLAYED_CRASHES:]
        return self._messages_for(
            [(crash, list(crash.suspects.values())) for crash in crashes], now
        )

    def own_reports(self, now: float) -> list[CrashNews]:
        """Return what this VM observed itself, for a VM that may have lost its state."""
        entries = []
        for start, fingerprints in self._local_suspects.items():
            crash = self._ledger.find(start)
            if crash is not None:
                suspects = [crash.suspects[item] for item in fingerprints if item in crash.suspects]
                entries.append((crash, suspects))
        return self._messages_for(entries[-MAX_REPLAYED_CRASHES:], now)

    def _messages_for(
        self, entries: list[tuple[Crash, list[Suspect]]], now: float
    ) -> list[CrashNews]:
        messages = []
        for index in range(0, len(entries), CRASHES_PER_MESSAGE):
            batch = entries[index : index + CRASHES_PER_MESSAGE]
            reports = [_crash_report(crash, suspects, now) for crash, suspects in batch]
            fingerprints = {item.fingerprint for report in reports for item in report.suspects}
            served = _suspect_events(self._ledger.answered_at, fingerprints, now)
            parts = {part for report in reports for item in report.suspects for part in item.parts}
            served += [
                SuspectEvent("", round(now - self._parts.answered_at[part]), (part,))
                for part in sorted(parts & self._parts.answered_at.keys())
            ]
            probed = _suspect_events(self._ledger.probed_at, fingerprints, now)
            messages.append(make_crash_news(reports, served, probed))
        return messages

    def prune(self, now: float) -> None:
        """Drop expired entries."""
        while self._abandoned and now - self._abandoned[0].ended_at > ABANDONED_RETENTION_MS:
            self._abandoned.popleft()
        self._ledger.prune(now)
        self._parts.prune()
        self._log_released_parts()
        for start in [start for start in self._local_suspects if self._ledger.find(start) is None]:
            del self._local_suspects[start]
        for item in [item for item in self._answered_at if not self._ledger.has_suspect(item)]:
            del self._answered_at[item]
        self._quarantined = {item for item in self._quarantined if self._ledger.has_suspect(item)}
        self._counters.gauge("crash.remembered", len(self._ledger.crashes))

    def _log_released_parts(self) -> None:
        """Log parts that were answered, or whose crashes have expired."""
        if not self._blamed_parts:
            return
        blamed = {item.parts for item in self._parts.blames()}
        for parts in self._blamed_parts - blamed:
            self._counters.count("quarantine.parts_lifted")
            self._log.note("parts.released", parts=sorted(parts))
        self._blamed_parts &= blamed


def _crash_report(crash: Crash, suspects: Iterable[Suspect], now: float) -> CrashReport:
    server, incarnation = crash.start
    return CrashReport(
        server,
        incarnation,
        crash.service,
        crash.servers,
        round(now - crash.at),
        [
            SuspectReport(item.fingerprint, round(crash.at - item.began_at), item.parts)
            for item in suspects
        ],
    )


def _suspect_events(
    times: dict[str, float], fingerprints: set[str], now: float
) -> list[SuspectEvent]:
    return [
        SuspectEvent(item, round(now - at)) for item, at in times.items() if item in fingerprints
    ]
