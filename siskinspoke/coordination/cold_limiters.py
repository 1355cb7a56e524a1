"""Limits the requests that all VMs together send to a cold server in any one second.

One VM grants the permits for a server, and only while it holds a lease from a majority of the
server's limiters, itself included. A lease ends at its holder no later than at those who granted
it, so two VMs never grant permits at the same time, whatever fails. All times are in milliseconds
on the clock of the VM that evaluates them; no clocks are compared.
"""

import math
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from siskinspoke.coordination.cells import MAX_CELL_VMS
from siskinspoke.coordination.limiters import (
    PERMIT_LIFETIME_MS,
    QUERIER_RETENTION_MS,
    QUERIES_PER_SECOND,
    Outcome,
    PermitDecision,
)
from siskinspoke.coordination.token_bucket import TokenBucket
from siskinspoke.coordination.watchers import rendezvous_order

# A majority of five outlasts the loss of any two VMs, or of one of three failure domains.
MAX_LIMITERS = 5
LEASE_MS = 1_000.0
# A holder renews its lease when this much of it has passed.
LEASE_RENEWAL_MS = 400.0
# A VM neither grants leases nor requests them until it has reached most control VMs for this long.
# By then it knows the fleet, the fleet knows it, and all leases from before its start have ended.
SETTLE_MS = 1_200.0
# A VM that has not run for this long is treated as newly started: its view of the fleet is old.
STALL_MS = 900.0
# Leases are kept for servers for which a permit was requested within this time.
DEMAND_MS = 3_000.0
# Delay before the next attempt to get a lease, multiplied by the rank of the limiter.
CAMPAIGN_INTERVAL_MS = 40.0
# After the end of another VM's lease, each limiter waits this much longer than the one before it.
# All at once, each would vote for itself.
TAKEOVER_INTERVAL_MS = 50.0
# A VM that asks before there is a lease asks again after this time.
NO_LEASE_RETRY_MS = 20.0
# Longest time by which a token is granted in advance.
MAX_ADVANCE_MS = 250.0
# VMs that want more permits than there are send this many queries for each permit. With more, the
# granting VM would use up its 6 KB/s for control traffic.
QUERIES_PER_PERMIT = 1.5
# Tokens that only urgent requests may take.
URGENT_RESERVE = 0.5
# Requests of several VMs arrive together; with a lower burst the tokens of quiet moments are lost.
MAX_BURST = 4.0
# Requests in a second for which no permit is needed: the status report of an engine.
UNPERMITTED_REQUESTS = 1.0


class ColdBudget(NamedTuple):
    """The rate and burst of the permits for one cold server; a rate of 0 allows none."""

    rate: float
    burst: float


def cold_budget(cold_rate: float, overshoot: float, slack: float) -> ColdBudget:
    """Return the budget that keeps any second at ``cold_rate * overshoot + slack`` requests.

    Permits that are used at the end of their lifetime add to the requests of the next second, so
    the sum in any second is at most the burst plus the rate over one second and one lifetime.
    """
    allowed = cold_rate * overshoot + slack - UNPERMITTED_REQUESTS
    window = 1 + PERMIT_LIFETIME_MS / 1000
    burst = min(MAX_BURST, max(1.0, allowed - cold_rate * window))
    rate = min(cold_rate, (allowed - burst) / window)
    return ColdBudget(max(0.0, rate), burst)


def share_without_permit(cold_rate: float, overshoot: float, slack: float) -> int:
    """Return how many requests a second each VM of a cell may send without a permit.

    All VMs of the largest cell together then stay within the limit of one server.
    """
    allowed = cold_rate * overshoot + slack - UNPERMITTED_REQUESTS
    return int(allowed / MAX_CELL_VMS)


def choose_cold_limiters(server: str, domain: str, vms: Mapping[str, str]) -> tuple[str, ...]:
    """Return the limiters of a server in order, in as many failure domains as possible.

    The first is in the server's own domain if it has VMs. Spread over three domains, a majority of
    them is left after the loss of one domain.
    """
    ranked = sorted(rendezvous_order(server, vms), key=lambda host: vms[host] != domain)
    seen: dict[str, int] = {}
    order = []
    for host in ranked:
        order.append((seen.get(vms[host], 0), len(order), host))
        seen[vms[host]] = seen.get(vms[host], 0) + 1
    return tuple(host for _, _, host in sorted(order)[:MAX_LIMITERS])


class ColdQuery(NamedTuple):
    """A VM's query for a permit; only urgent requests may take the last tokens."""

    host: str
    server: str
    budget: ColdBudget
    patience_ms: float
    urgent: bool


class _Promise(NamedTuple):
    """The VM to which this VM has granted the lease of a server, and until when."""

    host: str
    until: float


class _Lease:
    """A lease that this VM holds, with the permits that it grants under it."""

    def __init__(self, until: float, now: float):
        self.until = until
        # The holder before may have granted a burst, so this bucket starts empty.
        self.bucket = TokenBucket(0.0, now)


class ColdLimiter:
    """The leases that this VM grants and holds, and the permits that it grants."""

    def __init__(self, own_host: str):
        self._own_host = own_host
        self._promises: dict[str, _Promise] = {}
        self._leases: dict[str, _Lease] = {}
        self._wanted_until: dict[str, float] = {}
        self._next_campaign: dict[str, float] = {}
        self._queriers: dict[str, dict[str, float]] = {}
        self._settled_from = math.inf
        self._observed_at = -math.inf

    def observe(self, has_quorum: bool, now: float) -> None:
        """Record whether this VM reaches most control VMs; must be called several times a second.

        Every decision calls it too, so a VM that was paused cannot decide before it is called.
        """
        was_stalled = now - self._observed_at > STALL_MS
        self._observed_at = now
        if not has_quorum:
            self._settled_from = math.inf
        elif was_stalled or self._settled_from == math.inf:
            self._settled_from = now + SETTLE_MS

    def is_settled(self, now: float) -> bool:
        """Return whether this VM has reached most control VMs for long enough."""
        return now >= self._settled_from

    def holds_lease(self, server: str, now: float) -> bool:
        """Return whether this VM holds the lease of a server."""
        lease = self._leases.get(server)
        return lease is not None and now < lease.until

    def _is_promised_elsewhere(self, server: str, host: str, now: float) -> bool:
        promise = self._promises.get(server)
        return promise is not None and promise.host != host and now < promise.until

    def grant_lease(self, server: str, host: str, limiters: Sequence[str], now: float) -> bool:
        """Grant a VM the lease of a server, unless another has it; ``limiters`` are the server's.

        A VM that is no limiter in the view of this one may have an outdated view.
        """
        if not self.is_settled(now) or not {host, self._own_host} <= set(limiters):
            return False
        if self._is_promised_elsewhere(server, host, now):
            return False
        self._promises[server] = _Promise(host, now + LEASE_MS)
        return True

    def campaigns_due(self, now: float) -> list[str]:
        """Return the servers whose lease this VM should request or renew now."""
        if not self.is_settled(now):
            return []
        return [
            server
            for server, until in self._wanted_until.items()
            if now < until
            and self._next_campaign.get(server, now) <= now
            and not self._is_promised_elsewhere(server, self._own_host, now)
        ]

    def begin_campaign(self, server: str, limiters: Sequence[str], now: float) -> bool:
        """Grant this VM its own vote before it asks the others; return whether it may ask."""
        self._next_campaign[server] = math.inf
        promise = self._promises.get(server)
        if promise is not None and promise.host != self._own_host and self._own_host in limiters:
            begin_at = promise.until + limiters.index(self._own_host) * TAKEOVER_INTERVAL_MS
            if now < begin_at:
                self._next_campaign[server] = begin_at
                return False
        if self.grant_lease(server, self._own_host, limiters, now):
            return True
        self._next_campaign[server] = now + CAMPAIGN_INTERVAL_MS
        return False

    def end_campaign(
        self, server: str, won: bool, began_at: float, rank: int, now: float, jitter: float
    ) -> None:
        """Record the outcome of a request for a lease that began at ``began_at``.

        ``jitter`` is a random number from 0 to 1, so that two VMs do not block each other again.
        """
        until = began_at + LEASE_MS
        if won and now < until:
            lease = self._leases.get(server)
            if lease is not None and now < lease.until:
                lease.until = until
            else:
                self._leases[server] = _Lease(until, now)
            self._next_campaign[server] = began_at + LEASE_RENEWAL_MS
            return
        if not self.holds_lease(server, now):
            # Votes of others may have been given although their replies were lost.
            self._promises.pop(server, None)
        self._next_campaign[server] = now + CAMPAIGN_INTERVAL_MS * (1 + rank + jitter)

    def decide(self, query: ColdQuery, rank: int | None, now: float) -> PermitDecision:
        """Answer a query; ``rank`` is this VM's among the server's limiters, None if it is not one.

        Whoever is told to ask elsewhere asks the limiter of the next rank.
        """
        server = query.server
        if rank is None or not self.is_settled(now):
            return PermitDecision(Outcome.ELSEWHERE)
        self._wanted_until[server] = now + DEMAND_MS
        if self._is_promised_elsewhere(server, self._own_host, now):
            return PermitDecision(Outcome.ELSEWHERE)
        if not self.holds_lease(server, now):
            return PermitDecision(Outcome.LATER, NO_LEASE_RETRY_MS)
        return self._take(query, now)

    def _take(self, query: ColdQuery, now: float) -> PermitDecision:
        rate, burst = query.budget
        if rate <= 0:
            return PermitDecision(Outcome.LATER, DEMAND_MS)
        lease = self._leases[query.server]
        # A token granted in advance must be usable before the lease ends.
        advance_ms = min(query.patience_ms, MAX_ADVANCE_MS, lease.until - now - 1.0)
        reserve = 0.0
        if not query.urgent:
            advance_ms, reserve = 0.0, min(URGENT_RESERVE, burst - 1.0)
        grant = lease.bucket.take(rate, burst, now, max(0.0, advance_ms), reserve)
        if grant.granted:
            return PermitDecision(Outcome.GRANTED, grant.wait_ms)
        pause_ms = self._query_interval_ms(query, now)
        return PermitDecision(Outcome.LATER, max(grant.wait_ms, pause_ms))

    def _query_interval_ms(self, query: ColdQuery, now: float) -> float:
        """Return when a VM may ask again, so that queries do not grow with the number of VMs."""
        queriers = self._queriers.setdefault(query.server, {})
        for host in [host for host, until in queriers.items() if until < now]:
            del queriers[host]
        queriers[query.host] = now
        per_second = max(QUERIES_PER_SECOND, QUERIES_PER_PERMIT * query.budget.rate)
        pause_ms = len(queriers) / per_second * 1000
        queriers[query.host] = now + pause_ms + QUERIER_RETENTION_MS
        return pause_ms

    def prune(self, servers: Iterable[str], now: float) -> None:
        """Drop the state of servers that are not listed, except for promises still in force."""
        kept = set(servers) | {name for name, item in self._promises.items() if now < item.until}
        for records in (
            self._promises,
            self._leases,
            self._wanted_until,
            self._next_campaign,
            self._queriers,
        ):
            for server in [server for server in records if server not in kept]:
                del records[server]
