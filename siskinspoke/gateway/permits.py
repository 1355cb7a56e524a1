"""Obtain permits for requests to backend servers that have announced a rate limit."""

import math
from collections.abc import Callable
from typing import NamedTuple

import trio

from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.coordination.limiters import (
    PERMIT_MS,
    TAKE_OVER_MS,
    Ask,
    Limiter,
    Outcome,
    Verdict,
    limiters_of,
)
from siskinspoke.coordination.rate_limits import RateLimit, RateLimits
from siskinspoke.core.counters import Counters
from siskinspoke.gateway.questions import Questions
from siskinspoke.protocol.feed import EntryPeer
from siskinspoke.protocol.peers import PermitReply, PermitRequest

# A limiter that did not answer is skipped for this long.
SILENT_MS = 1_000.0
# Two missing answers count as one outage of the limiter if they are no further apart than this.
ONE_SILENCE_MS = 5_000.0
# Delay before asking again when no limiter has answered.
NOBODY_MS = 500.0


class Permit(NamedTuple):
    """Permission to send one request to a server process, until a time in milliseconds."""

    start: tuple[str, int]
    until: float


class Denied(NamedTuple):
    """No request may be sent to a server until a time in milliseconds."""

    until: float


class Found(NamedTuple):
    """The verdict of a limiter and its host; the host is empty if no limiter has decided."""

    verdict: Verdict
    host: str = ""


class Permits:
    """Request permits from limiters, and act as the limiter of some servers.

    ``peers`` returns the other known entry VMs and ``changes`` how many times they have changed.
    ``has_quorum`` returns whether this VM reaches a majority of the fleet, ``heard_within``
    whether another VM was heard from within a number of milliseconds.
    """

    def __init__(
        self,
        me: EntryPeer,
        peers: Callable[[], list[EntryPeer]],
        changes: Callable[[], int],
        has_quorum: Callable[[], bool],
        heard_within: Callable[[str, float], bool],
        limits: RateLimits,
        counters: Counters,
    ):
        self._me = me
        self._peers = peers
        self._changes = changes
        self._has_quorum = has_quorum
        self._heard_within = heard_within
        self._limits = limits
        self._counters = counters
        self._limiter: Limiter | None = None
        self._drawn: dict[str, tuple[str, ...]] = {}
        self._drawn_at = -1
        self._silent_since: dict[str, float] = {}
        self._passed_over: dict[str, float] = {}

    def _my_limiter(self) -> Limiter:
        if self._limiter is None:
            self._limiter = Limiter(_now_ms())
        return self._limiter

    def tick(self, servers: list[str]) -> None:
        """Record that this process is running, and discard the state of servers not listed."""
        limiter = self._my_limiter()
        limiter.tick(_now_ms())
        limiter.forget(servers)
        for server in self._drawn.keys() - set(servers):
            del self._drawn[server]

    def _limiters(self, server: str, domain: str) -> tuple[str, ...]:
        changes = self._changes()
        if changes != self._drawn_at:
            self._drawn_at = changes
            self._drawn.clear()
        found = self._drawn.get(server)
        if found is None:
            vms = {peer.host: peer.failure_domain for peer in self._peers()}
            vms[self._me.host] = self._me.failure_domain
            found = self._drawn[server] = limiters_of(server, domain, vms)
        return found

    def answer(self, question: PermitRequest) -> PermitReply:
        """Answer another VM as the limiter of a server."""
        start = question.server, question.incarnation
        self._limits.name(start, question.rate, _now_ms() - question.age_ms)
        ask = Ask(question.host, start, question.rate, question.patience_ms, question.silent_ms)
        verdict = self._decide(ask, question.domain)
        self._counters.count(f"permit.{verdict.outcome.name.lower()}")
        return PermitReply(question.number, *verdict)

    def _decide(self, ask: Ask, domain: str) -> Verdict:
        limiters = self._limiters(ask.start[0], domain)
        place = limiters.index(self._me.host) if self._me.host in limiters else None
        before = limiters[:place] if place else ()
        if any(self._heard_within(host, TAKE_OVER_MS) for host in before):
            ask = ask._replace(silent_ms=0.0)
        if (known := self._limits.find(ask.start)) is not None:
            # This VM may know a more recent limit than the one that asks.
            ask = ask._replace(rate=known.rate)
        return self._my_limiter().decide(ask, place, self._has_quorum(), _now_ms())

    async def obtain(
        self, questions: Questions, server: ServerRecord, limit: RateLimit, patience_ms: float
    ) -> tuple[Permit | Denied, Found]:
        """Return a permit as soon as it is valid, or the time until which there is none."""
        asked_at = _now_ms()
        found = await self._ask(questions, server, limit, patience_ms)
        match found.verdict:
            case Verdict(Outcome.GRANTED, wait_ms):
                await trio.sleep(wait_ms / 1000)
                until = asked_at + wait_ms + PERMIT_MS
                if _now_ms() < until:
                    return Permit(server.start, until), found
                # The permit has expired already, for example because this process was paused.
                denied = Denied(_now_ms())
            case Verdict(Outcome.LATER, wait_ms):
                denied = Denied(_now_ms() + wait_ms)
            case _:
                denied = Denied(_now_ms() + NOBODY_MS)
        self._limits.close(server.start, denied.until)
        return denied, found

    async def _ask(
        self, questions: Questions, server: ServerRecord, limit: RateLimit, patience_ms: float
    ) -> Found:
        """Return the verdict of the first limiter that answers and is able to decide."""
        said = server.announcement
        silent_ms = math.inf
        for host in self._limiters(said.server, said.failure_domain):
            silent = 0.0 if silent_ms == math.inf else silent_ms
            ask = Ask(self._me.host, server.start, limit.rate, patience_ms, silent)
            if host == self._me.host:
                verdict = self._decide(ask, said.failure_domain)
            else:
                age_ms = _now_ms() - limit.heard_at
                verdict = await self._ask_other(questions, host, ask, said.failure_domain, age_ms)
            if verdict is None:
                silent_ms = min(silent_ms, _now_ms() - self._silent_since[host])
            elif verdict.outcome is not Outcome.ELSEWHERE:
                return Found(verdict, host)
            else:
                silent_ms = 0.0
        return Found(Verdict(Outcome.ELSEWHERE))

    async def _ask_other(
        self, questions: Questions, host: str, ask: Ask, domain: str, age_ms: float
    ) -> Verdict | None:
        """Return the verdict of another VM, or None if it does not answer."""
        now = _now_ms()
        if self._passed_over.get(host, now) > now:
            return None
        question = PermitRequest(
            "", 0, *ask.start, domain, ask.rate, age_ms, ask.patience_ms, ask.silent_ms
        )
        reply = await questions.ask_permit(question, host)
        if reply is None:
            if now - self._passed_over.get(host, -math.inf) > ONE_SILENCE_MS:
                self._silent_since[host] = now
            self._passed_over[host] = _now_ms() + SILENT_MS
            self._counters.count("permit.unanswered")
            return None
        self._silent_since.pop(host, None)
        self._passed_over.pop(host, None)
        return Verdict(reply.outcome, reply.wait_ms)


def _now_ms() -> float:
    return trio.current_time() * 1000
