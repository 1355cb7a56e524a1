"""Obtain permits for requests to cold servers, and grant them as the holder of a server's lease."""

import random
import time
from collections.abc import Callable

import trio

from siskinspoke.coordination.cold_limiters import (
    ColdBudget,
    ColdLimiter,
    ColdQuery,
    choose_cold_limiters,
)
from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.coordination.limiters import PERMIT_LIFETIME_MS, Outcome, PermitDecision
from siskinspoke.core.counters import Counters
from siskinspoke.gateway.permits import Decision, Denied, Permit
from siskinspoke.gateway.queries import Queries
from siskinspoke.protocol.feed import EntryPeer
from siskinspoke.protocol.peers import ColdPermitRequest, LeaseReply, LeaseRequest, PermitReply

# Interval at which leases are renewed and the reach of control VMs is observed. Both are also
# checked when a permit is requested.
CHECK_SECONDS = 0.1
# Interval of the checks while no server of the configuration can be cold.
IDLE_CHECK_SECONDS = 1.0
# A limiter that did not answer is skipped for this long.
SKIP_MS = 500.0
# How long a limiter waits for more votes once one was refused.
REFUSED_WAIT_SECONDS = 0.01
# Delay before asking again when no limiter has granted or refused.
NO_LIMITER_RETRY_MS = 200.0


def lease_clock_ms() -> float:
    """Return this VM's clock for leases and permits, which advances while the VM is suspended.

    The monotonic clock stops then; with it, a resumed VM would take expired leases for valid.
    """
    suspended = time.clock_gettime(time.CLOCK_BOOTTIME) - time.clock_gettime(time.CLOCK_MONOTONIC)
    return (trio.current_time() + suspended) * 1000


class ColdPermits:
    """Request permits for cold servers from limiters, and act as the limiter of some of them.

    ``peers`` returns the other known entry VMs and ``change_count`` how many times they have
    changed. ``reaches_control`` returns whether this VM reaches most control VMs.
    """

    def __init__(
        self,
        own_vm: EntryPeer,
        peers: Callable[[], list[EntryPeer]],
        change_count: Callable[[], int],
        reaches_control: Callable[[], bool],
        counters: Counters,
        rng: random.Random,
    ):
        self._own_vm = own_vm
        self._peers = peers
        self._change_count = change_count
        self._reaches_control = reaches_control
        self._counters = counters
        self._rng = rng
        self._limiter = ColdLimiter(own_vm.host)
        self._limiters_by_server: dict[str, tuple[str, ...]] = {}
        self._limiters_version = -1
        self._domains: dict[str, str] = {}
        self._granters: dict[str, str] = {}
        self._skipped_until: dict[str, float] = {}
        self._demand = trio.Event()

    def prune(self, servers: list[str]) -> None:
        """Discard the state of servers that are not listed."""
        self._limiter.prune(servers, lease_clock_ms())
        for records in (self._limiters_by_server, self._domains, self._granters):
            for server in records.keys() - set(servers):
                del records[server]

    def _limiters(self, server: str, domain: str) -> tuple[str, ...]:
        changes = self._change_count()
        if changes != self._limiters_version:
            self._limiters_version = changes
            self._limiters_by_server.clear()
        limiters = self._limiters_by_server.get(server)
        if limiters is None:
            vms = {peer.host: peer.failure_domain for peer in self._peers()}
            vms[self._own_vm.host] = self._own_vm.failure_domain
            limiters = choose_cold_limiters(server, domain, vms)
            self._limiters_by_server[server] = limiters
        return limiters

    def _observe(self) -> None:
        self._limiter.observe(self._reaches_control(), lease_clock_ms())

    def answer(self, request: ColdPermitRequest | LeaseRequest) -> PermitReply | LeaseReply:
        """Answer another VM as a limiter of a server."""
        match request:
            case LeaseRequest(host, number, server, domain):
                self._observe()
                limiters = self._limiters(server, domain)
                granted = self._limiter.grant_lease(server, host, limiters, lease_clock_ms())
                return LeaseReply(number, granted)
            case ColdPermitRequest(host, number, server, domain, rate, burst, patience, urgent):
                query = ColdQuery(host, server, ColdBudget(rate, burst), patience, urgent)
                verdict = self._decide(query, domain)
                self._counters.count(f"permit.{verdict.outcome.name.lower()}")
                return PermitReply(number, *verdict)

    def _decide(self, query: ColdQuery, domain: str) -> PermitDecision:
        self._observe()
        limiters = self._limiters(query.server, domain)
        rank = limiters.index(self._own_vm.host) if self._own_vm.host in limiters else None
        self._domains[query.server] = domain
        verdict = self._limiter.decide(query, rank, lease_clock_ms())
        if verdict.outcome is Outcome.LATER:
            self._demand.set()
        return verdict

    async def run(self, queries: Queries, is_needed: Callable[[], bool]) -> None:
        """Obtain and renew the leases of the servers for which permits are requested, forever.

        ``is_needed`` returns whether any server of the configuration can be cold.
        """
        async with trio.open_nursery() as nursery:
            while True:
                if is_needed():
                    self._observe()
                for server in self._limiter.campaigns_due(lease_clock_ms()):
                    await nursery.start(self._campaign, queries, server)
                self._demand = trio.Event()
                with trio.move_on_after(CHECK_SECONDS if is_needed() else IDLE_CHECK_SECONDS):
                    await self._demand.wait()

    async def _campaign(
        self, queries: Queries, server: str, task_status=trio.TASK_STATUS_IGNORED
    ) -> None:
        """Request the lease of a server from its other limiters."""
        domain, began_at = self._domains.get(server, ""), lease_clock_ms()
        limiters = self._limiters(server, domain)
        started = self._limiter.begin_campaign(server, limiters, began_at)
        task_status.started()
        if not started:
            return
        needed = len(limiters) // 2
        votes = 0

        async def ask(host: str) -> None:
            nonlocal votes
            reply = await queries.request_permit(LeaseRequest("", 0, server, domain), host)
            refused = isinstance(reply, LeaseReply) and not reply.granted
            votes += isinstance(reply, LeaseReply) and reply.granted
            if refused:
                # Two limiters that wait for a silent one would keep their votes from each other.
                nursery.cancel_scope.deadline = min(
                    nursery.cancel_scope.deadline, trio.current_time() + REFUSED_WAIT_SECONDS
                )
            if votes >= needed:
                nursery.cancel_scope.cancel()

        try:
            if needed:
                async with trio.open_nursery() as nursery:
                    for host in limiters:
                        if host != self._own_vm.host:
                            nursery.start_soon(ask, host)
        finally:
            rank = limiters.index(self._own_vm.host)
            won = votes >= needed
            self._limiter.end_campaign(
                server, won, began_at, rank, lease_clock_ms(), self._rng.random()
            )
            self._counters.count("cold.lease.held" if won else "cold.lease.refused")

    async def obtain(
        self,
        queries: Queries,
        server: ServerRecord,
        budget: ColdBudget,
        patience_ms: float,
        urgent: bool,
    ) -> tuple[Permit | Denied, Decision]:
        """Return a permit as soon as it is valid, or the time until which there is none.

        Both times are on the clock for leases and permits.
        A refusal is repeated as long as the next token is expected within the patience.
        """
        give_up_at = lease_clock_ms() + patience_ms
        while True:
            asked_at = lease_clock_ms()
            left_ms = max(0.0, give_up_at - asked_at)
            decision = await self._ask_limiters(queries, server, budget, left_ms, urgent)
            verdict = decision.verdict
            if verdict.outcome is Outcome.GRANTED:
                await trio.sleep(verdict.wait_ms / 1000)
                until = asked_at + verdict.wait_ms + PERMIT_LIFETIME_MS
                if lease_clock_ms() < until:
                    return Permit(server.start, until), decision
                # The permit has expired already, for example because this process was paused.
                return Denied(lease_clock_ms()), decision
            later = verdict.outcome is Outcome.LATER
            wait_ms = verdict.wait_ms if later else NO_LIMITER_RETRY_MS
            if lease_clock_ms() + wait_ms > give_up_at:
                return Denied(lease_clock_ms() + wait_ms), decision
            await trio.sleep(wait_ms / 1000)

    async def _ask_limiters(
        self,
        queries: Queries,
        server: ServerRecord,
        budget: ColdBudget,
        patience_ms: float,
        urgent: bool,
    ) -> Decision:
        """Return the verdict of the first limiter that grants or refuses; the last one is first."""
        name, domain = server.announcement.server, server.announcement.failure_domain
        limiters = self._limiters(name, domain)
        granter = self._granters.get(name)
        for host in sorted(limiters, key=lambda host: host != granter):
            if host == self._own_vm.host:
                query = ColdQuery(host, name, budget, patience_ms, urgent)
                verdict = self._decide(query, domain)
            else:
                request = ColdPermitRequest("", 0, name, domain, *budget, patience_ms, urgent)
                verdict = await self._ask_vm(queries, host, request)
            if verdict is not None and verdict.outcome is not Outcome.ELSEWHERE:
                self._granters[name] = host
                return Decision(verdict, host)
        self._granters.pop(name, None)
        return Decision(PermitDecision(Outcome.ELSEWHERE))

    async def _ask_vm(
        self, queries: Queries, host: str, request: ColdPermitRequest
    ) -> PermitDecision | None:
        """Return the verdict of another VM, or None if it does not answer."""
        if self._skipped_until.get(host, 0.0) > lease_clock_ms():
            return None
        reply = await queries.request_permit(request, host)
        if not isinstance(reply, PermitReply):
            self._skipped_until[host] = lease_clock_ms() + SKIP_MS
            self._counters.count("permit.unanswered")
            return None
        self._skipped_until.pop(host, None)
        return PermitDecision(reply.outcome, reply.wait_ms)
