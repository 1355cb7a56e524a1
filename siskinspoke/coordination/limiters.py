"""Keep a rate limit over all VMs: each limited server has one VM that grants sendings.

A VM asks for a permit before each request to a server that has named a limit.  The VMs that may
grant them, its limiters, are drawn by rendezvous hashing; the first that answers decides.  All
know of the limit from whoever asks, so nothing has to be handed over.

The bound does not depend on who asks, on how many VMs there are, or on whether they agree on
that: one limiter grants the whole rate, the others a small share each, for VMs that cannot reach
the first.  One that cannot reach most of the fleet grants that share only, and one that may have
been replaced while it stood still, or has just started, grants nothing for a moment.
"""

from collections.abc import Iterable, Mapping
from enum import IntEnum
from typing import NamedTuple

from siskinspoke.coordination.rate_limits import Start
from siskinspoke.coordination.token_bucket import TokenBucket
from siskinspoke.coordination.watchers import rendezvous_order

# How many VMs may grant permits for one server.
MOST_LIMITERS = 3
# The part of the rate that a limiter grants beside the first.  All together, with permits that are
# used at the end of their life, must stay below one and a half times the rate in any 4 s.
SPARE_SHARE = 0.15
FIRST_BURST = 2.0
SPARE_BURST = 1.0
# Whoever gets no permit of a spare limiter asks again after this time at the latest: the first one
# may be back, or its place taken.
SPARE_WAIT_MS = 800.0
# A permit that was not used by then is void.
PERMIT_MS = 300.0
# A server that names a limit of zero would never be asked whether it still does.
LEAST_RATE = 0.1
# A limiter takes the place of those before it once they have been silent for this long.
TAKE_OVER_MS = 1_500.0
# A limiter that has just started, or stood still, grants nothing for this long: others may have
# taken its place, and whoever asks them finds out within this time that it is back.
QUIET_MS = 1_000.0
# A bucket is full at first, unless this VM may have granted permits in an earlier life.
REMEMBERED_MS = 5_000.0
# Ticks come every second; one that is this late means that the process stood still.
STILL_MS = 2_500.0
# VMs that want more permits than there are ask so often in all, or so many times the rate.
ASKS_A_SECOND = 20.0
ASKS_PER_PERMIT = 4.0
# A VM that has asked is counted until it may ask again, and for this long.
ASKERS_MS = 5_000.0


class Outcome(IntEnum):
    """What a limiter says to a VM that asks for a permit."""

    GRANTED = 1
    LATER = 2
    ELSEWHERE = 3


class Verdict(NamedTuple):
    """``wait_ms`` is when the permit may be used; if refused, when to ask again."""

    outcome: Outcome
    wait_ms: float = 0.0


class Ask(NamedTuple):
    """A VM asks for a permit; times in milliseconds.

    ``silent_ms`` is for how long the limiters before the one that is asked have been silent to
    this VM, 0 where one of them has answered.
    """

    host: str
    start: Start
    rate: float
    patience_ms: float
    silent_ms: float


def limiters_of(server: str, domain: str, vms: Mapping[str, str]) -> tuple[str, ...]:
    """Return the VMs that may grant permits for a server, the first one first.

    ``vms`` are failure domains by host.  Those of the server's own domain come first: behind a
    cut they are the ones who reach it.
    """

    drawn = rendezvous_order(server, vms)
    return tuple(sorted(drawn, key=lambda host: vms[host] != domain)[:MOST_LIMITERS])


class Limiter:
    """Grant permits for the servers that this VM is a limiter of; times are in milliseconds."""

    def __init__(self, now: float):
        self._buckets: dict[Start, TokenBucket] = {}
        self._askers: dict[Start, dict[str, float]] = {}
        self._began = now
        self._ticked_at = now
        self._quiet_until = now + QUIET_MS

    def tick(self, now: float) -> None:
        """Note that the process runs; this is to be called every second."""
        if now - self._ticked_at > STILL_MS:
            self._begin_anew(now)
        self._ticked_at = now

    def _begin_anew(self, now: float) -> None:
        self._buckets.clear()
        self._began = now
        self._quiet_until = now + QUIET_MS

    def forget(self, servers: Iterable[str]) -> None:
        """Keep the buckets of these servers only."""
        kept = set(servers)
        for records in (self._buckets, self._askers):
            for start in [start for start in records if start[0] not in kept]:
                del records[start]

    def decide(self, ask: Ask, place: int | None, has_quorum: bool, now: float) -> Verdict:
        """Answer a VM; ``place`` is this VM's among the server's limiters, None for none.

        ``has_quorum`` tells whether this VM reaches most of the fleet.
        """
        self.tick(now)
        if place is None or now < self._quiet_until:
            return Verdict(Outcome.ELSEWHERE)
        is_first = has_quorum and (place == 0 or ask.silent_ms >= TAKE_OVER_MS)
        rate = max(LEAST_RATE, ask.rate) * (1.0 if is_first else SPARE_SHARE)
        burst = FIRST_BURST if is_first else SPARE_BURST
        bucket = self._buckets.get(ask.start)
        if bucket is None:
            level = burst if now - self._began > REMEMBERED_MS else 0.0
            bucket = self._buckets[ask.start] = TokenBucket(level, now)
        taken = bucket.take(rate, burst, now, ask.patience_ms)
        if taken.granted:
            return Verdict(Outcome.GRANTED, taken.wait_ms)
        wait_ms = taken.wait_ms if is_first else min(taken.wait_ms, SPARE_WAIT_MS)
        return Verdict(Outcome.LATER, max(wait_ms, self._pause_ms(ask, rate, now)))

    def _pause_ms(self, ask: Ask, rate: float, now: float) -> float:
        """Return when a VM may ask again, so that the number of VMs does not multiply questions."""
        askers = self._askers.setdefault(ask.start, {})
        for host in [host for host, until in askers.items() if until < now]:
            del askers[host]
        askers[ask.host] = now
        pause_ms = len(askers) / max(ASKS_A_SECOND, ASKS_PER_PERMIT * rate) * 1000
        askers[ask.host] = now + pause_ms + ASKERS_MS
        return pause_ms
