"""Enforces a backend server's rate limit over all VMs, with one VM per server granting permits.

A VM asks for a permit before each request to a server with a rate limit. The VMs that may grant
permits, the server's limiters, are chosen by rendezvous hashing; the first that answers decides.
Each query contains the limit, so a limiter needs no state handed over.

The bound holds regardless of who asks, of the number of VMs and of whether they agree on the
membership: one limiter grants the whole rate, and the others a small share each to VMs that cannot
reach the first. A limiter that cannot reach most of the fleet grants only that share, and one that
has just started, or may have been replaced while it was stalled, grants nothing for a short time.
"""

from collections.abc import Iterable, Mapping
from enum import IntEnum
from typing import NamedTuple

from siskinspoke.coordination.rate_limits import Start
from siskinspoke.coordination.token_bucket import TokenBucket
from siskinspoke.coordination.watchers import rendezvous_order

# The number of VMs that may grant permits for one server.
MAX_LIMITERS = 3
# The share of the rate that each limiter after the first grants. The sum over all limiters, with
# permits used at the end of their lifetime, must stay below 1.5 times the rate in any 4 s.
BACKUP_RATE_SHARE = 0.15
PRIMARY_BURST = 2.0
BACKUP_BURST = 1.0
# A VM that a backup limiter refuses asks again after this time at most: the first limiter may be
# back, or have been replaced.
BACKUP_MAX_WAIT_MS = 800.0
# An unused permit expires after this time.
PERMIT_LIFETIME_MS = 300.0
# With a limit of zero a server would never be asked whether it still has that limit.
MIN_RATE = 0.1
# A limiter takes over from those before it once they have been silent for this long.
TAKEOVER_MS = 1_500.0
# A limiter grants nothing for this long after a start or stall. Another may have taken over, and
# the VMs that ask that one detect within this time that the first is back.
STARTUP_QUIET_MS = 1_000.0
# A bucket created within this time after a start or stall is empty, since this VM may have granted
# permits before; later ones start full.
EMPTY_BUCKET_MS = 5_000.0
# The tick interval is one second; a tick this late means that the process was stalled.
STALL_MS = 2_500.0
# VMs that want more permits than there are send this many queries in total, or this many times the
# rate.
QUERIES_PER_SECOND = 20.0
QUERIES_PER_PERMIT = 4.0
# A VM that has asked is counted until it may ask again, and for this long after.
QUERIER_RETENTION_MS = 5_000.0


class Outcome(IntEnum):
    """A limiter's answer to a query for a permit."""

    GRANTED = 1
    LATER = 2
    ELSEWHERE = 3


class PermitDecision(NamedTuple):
    """``wait_ms`` is the time until the permit may be used or, if refused, until the next query."""

    outcome: Outcome
    wait_ms: float = 0.0


class PermitQuery(NamedTuple):
    """A VM's query for a permit; times are in milliseconds.

    ``silent_ms`` is how long the limiters that precede the one asked have been silent to this VM,
    or 0 if one of them has answered.
    """

    host: str
    start: Start
    rate: float
    patience_ms: float
    silent_ms: float


def choose_limiters(server: str, domain: str, vms: Mapping[str, str]) -> tuple[str, ...]:
    """Return the VMs that may grant permits for a server, the first limiter first.

    ``vms`` maps hosts to failure domains. VMs of the server's own domain come first, since they can
    still reach the server when the domain is cut off.
    """

    candidates = rendezvous_order(server, vms)
    return tuple(sorted(candidates, key=lambda host: vms[host] != domain)[:MAX_LIMITERS])


class Limiter:
    """Grants permits for the servers that have this VM as a limiter; times are in milliseconds."""

    def __init__(self, now: float):
        self._buckets: dict[Start, TokenBucket] = {}
        self._queriers: dict[Start, dict[str, float]] = {}
        self._started_at = now
        self._ticked_at = now
        self._quiet_until = now + STARTUP_QUIET_MS

    def tick(self, now: float) -> None:
        """Record that the process is running; must be called every second."""
        if now - self._ticked_at > STALL_MS:
            self._reset(now)
        self._ticked_at = now

    def _reset(self, now: float) -> None:
        self._buckets.clear()
        self._started_at = now
        self._quiet_until = now + STARTUP_QUIET_MS

    def prune(self, servers: Iterable[str]) -> None:
        """Drop the state of servers not in ``servers``."""
        kept = set(servers)
        for records in (self._buckets, self._queriers):
            for start in [start for start in records if start[0] not in kept]:
                del records[start]

    def decide(
        self, query: PermitQuery, rank: int | None, has_quorum: bool, now: float
    ) -> PermitDecision:
        """Answer a query; ``rank`` is this VM's among the server's limiters, None if it is not one.

        ``has_quorum`` tells whether this VM reaches most of the fleet.
        """
        self.tick(now)
        if rank is None or now < self._quiet_until:
            return PermitDecision(Outcome.ELSEWHERE)
        is_first = has_quorum and (rank == 0 or query.silent_ms >= TAKEOVER_MS)
        rate = max(MIN_RATE, query.rate) * (1.0 if is_first else BACKUP_RATE_SHARE)
        burst = PRIMARY_BURST if is_first else BACKUP_BURST
        bucket = self._buckets.get(query.start)
        if bucket is None:
            level = burst if now - self._started_at > EMPTY_BUCKET_MS else 0.0
            bucket = self._buckets[query.start] = TokenBucket(level, now)
        grant = bucket.take(rate, burst, now, query.patience_ms)
        if grant.granted:
            return PermitDecision(Outcome.GRANTED, grant.wait_ms)
        wait_ms = grant.wait_ms if is_first else min(grant.wait_ms, BACKUP_MAX_WAIT_MS)
        return PermitDecision(
            Outcome.LATER, max(wait_ms, self._query_interval_ms(query, rate, now))
        )

    def _query_interval_ms(self, query: PermitQuery, rate: float, now: float) -> float:
        """Return when a VM may ask again, so that queries do not grow with the number of VMs."""
        queriers = self._queriers.setdefault(query.start, {})
        for host in [host for host, until in queriers.items() if until < now]:
            del queriers[host]
        queriers[query.host] = now
        pause_ms = len(queriers) / max(QUERIES_PER_SECOND, QUERIES_PER_PERMIT * rate) * 1000
        queriers[query.host] = now + pause_ms + QUERIER_RETENTION_MS
        return pause_ms
