"""Obtain permits for requests to backend servers that have announced a rate limit."""

import math
from collections.abc import Callable
from typing import NamedTuple

import trio

from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.coordination.limiters import (
    PERMIT_LIFETIME_MS,
    TAKEOVER_MS,
    Limiter,
    Outcome,
    PermitDecision,
    PermitQuery,
    choose_limiters,
)
from siskinspoke.coordination.rate_limits import RateLimit, RateLimits
from siskinspoke.core.counters import Counters
from siskinspoke.gateway.queries import Queries
from siskinspoke.protocol.feed import EntryPeer
from siskinspoke.protocol.peers import PermitReply, PermitRequest

# A limiter that did not answer is skipped for this long.
SKIP_MS = 1_000.0
# Two missing answers count as one outage of the limiter if they are no further apart than this.
OUTAGE_GAP_MS = 5_000.0
# Delay before asking again when no limiter has answered.
NO_LIMITER_RETRY_MS = 500.0


class Permit(NamedTuple):
    """Permission to send one request to a server process, until a time in milliseconds."""

    start: tuple[str, int]
    until: float


class Denied(NamedTuple):
    """No request may be sent to a server until a time in milliseconds."""

    until: float


class Decision(NamedTuple):
    """The verdict of a limiter and its host; the host is empty if no limiter has decided."""

    verdict: PermitDecision
    host: str = ""


class Permits:
    """Request permits from limiters, and act as the limiter of some servers.

    ``peers`` returns the other known entry VMs and ``change_count`` how many times they have
    changed. ``has_quorum`` returns whether this VM reaches a majority of the fleet, and
    ``heard_within`` whether another VM was heard from within a number of milliseconds.
    """

    def __init__(
        self,
        own_vm: EntryPeer,
        peers: Callable[[], list[EntryPeer]],
        change_count: Callable[[], int],
        has_quorum: Callable[[], bool],
        heard_within: Callable[[str, float], bool],
        limits: RateLimits,
        counters: Counters,
    ):
        self._own_vm = own_vm
        self._peers = peers
        self._change_count = change_count
        self._has_quorum = has_quorum
        self._heard_within = heard_within
        self._limits = limits
        self._counters = counters
        self._limiter: Limiter | None = None
        self._limiters_by_server: dict[str, tuple[str, ...]] = {}
        self._limiters_version = -1
        self._silent_since: dict[str, float] = {}
        self._skipped_until: dict[str, float] = {}

    def _my_limiter(self) -> Limiter:
        if self._limiter is None:
            self._limiter = Limiter(_now_ms())
        return self._limiter

    def tick(self, servers: list[str]) -> None:
        """Record that this process is running, and discard the state of servers not listed."""
        limiter = self._my_limiter()
        limiter.tick(_now_ms())
        limiter.prune(servers)
        for server in self._limiters_by_server.keys() - set(servers):
            del self._limiters_by_server[server]

    def _limiters(self, server: str, domain: str) -> tuple[str, ...]:
        changes = self._change_count()
        if changes != self._limiters_version:
            self._limiters_version = changes
            self._limiters_by_server.clear()
        limiters = self._limiters_by_server.get(server)
        if limiters is None:
            vms = {peer.host: peer.failure_domain for peer in self._peers()}
            vms[self._own_vm.host] = self._own_vm.failure_domain
            limiters = self._limiters_by_server[server] = choose_limiters(server, domain, vms)
        return limiters

    def answer(self, request: PermitRequest) -> PermitReply:
        """Answer another VM as the limiter of a server."""
        start = request.server, request.incarnation
        self._limits.record(start, request.rate, _now_ms() - request.age_ms)
        ask = PermitQuery(request.host, start, request.rate, request.patience_ms, request.silent_ms)
        verdict = self._decide(ask, request.domain)
        self._counters.count(f"permit.{verdict.outcome.name.lower()}")
        return PermitReply(request.number, *verdict)

    def _decide(self, ask: PermitQuery, domain: str) -> PermitDecision:
        limiters = self._limiters(ask.start[0], domain)
        rank = limiters.index(self._own_vm.host) if self._own_vm.host in limiters else None
        preferred = limiters[:rank] if rank else ()
        if any(self._heard_within(host, TAKEOVER_MS) for host in preferred):
            ask = ask._replace(silent_ms=0.0)
        if (known := self._limits.find(ask.start)) is not None:
            # This VM may know a more recent limit than the one that asks.
            ask = ask._replace(rate=known.rate)
        return self._my_limiter().decide(ask, rank, self._has_quorum(), _now_ms())

    async def obtain(
        self, queries: Queries, server: ServerRecord, limit: RateLimit, patience_ms: float
    ) -> tuple[Permit | Denied, Decision]:
        """Return a permit as soon as it is valid, or the time until which there is none."""
        asked_at = _now_ms()
        decision = await self._ask_limiters(queries, server, limit, patience_ms)
        match decision.verdict:
            case PermitDecision(Outcome.GRANTED, wait_ms):
                await trio.sleep(wait_ms / 1000)
                until = asked_at + wait_ms + PERMIT_LIFETIME_MS
                if _now_ms() < until:
                    return Permit(server.start, until), decision
                # The permit has expired already, for example because this process was paused.
                denied = Denied(_now_ms())
            case PermitDecision(Outcome.LATER, wait_ms):
                denied = Denied(_now_ms() + wait_ms)
            case _:
                denied = Denied(_now_ms() + NO_LIMITER_RETRY_MS)
        self._limits.block_until(server.start, denied.until)
        return denied, decision

    async def _ask_limiters(
        self, queries: Queries, server: ServerRecord, limit: RateLimit, patience_ms: float
    ) -> Decision:
        """Return the verdict of the first limiter that answers and is able to decide."""
        announcement = server.announcement
        silent_ms = math.inf
        for host in self._limiters(announcement.server, announcement.failure_domain):
            silent = 0.0 if silent_ms == math.inf else silent_ms
            ask = PermitQuery(self._own_vm.host, server.start, limit.rate, patience_ms, silent)
            if host == self._own_vm.host:
                verdict = self._decide(ask, announcement.failure_domain)
            else:
                age_ms = _now_ms() - limit.heard_at
                verdict = await self._ask_vm(
                    queries, host, ask, announcement.failure_domain, age_ms
                )
            if verdict is None:
                silent_ms = min(silent_ms, _now_ms() - self._silent_since[host])
            elif verdict.outcome is not Outcome.ELSEWHERE:
                return Decision(verdict, host)
            else:
                silent_ms = 0.0
        return Decision(PermitDecision(Outcome.ELSEWHERE))

    async def _ask_vm(
        self, queries: Queries, host: str, ask: PermitQuery, domain: str, age_ms: float
    ) -> PermitDecision | None:
        """Return the verdict of another VM, or None if it does not answer."""
        now = _now_ms()
        if self._skipped_until.get(host, now) > now:
            return None
        request = PermitRequest(
            "", 0, *ask.start, domain, ask.rate, age_ms, ask.patience_ms, ask.silent_ms
        )
        reply = await queries.request_permit(request, host)
        if reply is None:
            if now - self._skipped_until.get(host, -math.inf) > OUTAGE_GAP_MS:
                self._silent_since[host] = now
            self._skipped_until[host] = _now_ms() + SKIP_MS
            self._counters.count("permit.unanswered")
            return None
        self._silent_since.pop(host, None)
        self._skipped_until.pop(host, None)
        return PermitDecision(reply.outcome, reply.wait_ms)


def _now_ms() -> float:
    return trio.current_time() * 1000
