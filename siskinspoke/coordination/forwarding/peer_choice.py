"""Choice of the peer to which a request is forwarded; times are in milliseconds."""

import math
import random
from collections.abc import Iterable
from typing import NamedTuple

from siskinspoke.core.codes import ResultCode

# A peer in another failure domain counts as if it had this many more open requests.
REMOTE_DOMAIN_PENALTY = 2
# A peer that refused or broke off a forwarded request gets none for this long.
PEER_BACK_OFF_MS = 1_000.0
# The same for a peer that has no room now; others of its cell know of the same engines.
FULL_PEER_BACK_OFF_MS = 100.0
# While a service's servers are gone for all VMs, each VM asks a peer no more often than this.
SERVICE_BACK_OFF_MS = 1_000.0

# Refusals of a peer that reaches servers, but has no room now.
FULL_CODES = frozenset((ResultCode.NO_SERVER, ResultCode.TOO_MANY_STREAMS))
# Refusals that hold for one peer only.
OTHER_PEER_CODES = frozenset(
    (
        ResultCode.DRAINING,
        ResultCode.NO_SERVER,
        ResultCode.NOT_REACHABLE_NOW,
        ResultCode.OLDER_CONFIGURATION,
        ResultCode.TOO_MANY_STREAMS,
        ResultCode.UNKNOWN_PEER,
    )
)


class PeerState(NamedTuple):
    """What this VM knows of a peer.

    ``unreachable`` are the failure domains whose servers the peer cannot reach. ``is_heard`` tells
    whether it was heard from recently: a VM without work sends nothing.
    """

    host: str
    domain: str
    open_requests: int
    unreachable: frozenset[str]
    is_heard: bool


def reaches_more(own_unreachable: frozenset[str], peer_unreachable: frozenset[str]) -> bool:
    """Return whether a peer may reach servers that this VM cannot reach.

    If neither has lost a whole failure domain, this VM may have lost one service only.
    """
    if not own_unreachable:
        return not peer_unreachable
    return peer_unreachable < own_unreachable


def back_off_ms(code: ResultCode | None) -> float:
    """Return how long a peer is left out after a refusal, or after a broken connection."""
    return FULL_PEER_BACK_OFF_MS if code in FULL_CODES else PEER_BACK_OFF_MS


def choose_peer(
    peers: Iterable[PeerState],
    own_domain: str,
    own_unreachable: frozenset[str],
    rng: random.Random,
) -> PeerState | None:
    """Return the least loaded of the peers that reach most, or None if none reaches more.

    Ties are broken at random, so that several partitioned VMs do not all choose the same peer.
    """
    usable = [peer for peer in peers if reaches_more(own_unreachable, peer.unreachable)]

    def cost(peer: PeerState) -> tuple:
        load = peer.open_requests + REMOTE_DOMAIN_PENALTY * (peer.domain != own_domain)
        return (not peer.is_heard, len(peer.unreachable), load, rng.random())

    return min(usable, key=cost, default=None)


class ForwardingRecord:
    """Requests forwarded to each peer that are open, and the peers and services to leave out."""

    def __init__(self) -> None:
        self._open: dict[str, int] = {}
        self._peers_until: dict[str, float] = {}
        self._services_until: dict[str, float] = {}

    def open_requests(self, host: str) -> int:
        """Return how many requests of this VM are open at a peer."""
        return self._open.get(host, 0)

    def begin(self, host: str) -> None:
        """Count a request that is forwarded to a peer."""
        self._open[host] = self.open_requests(host) + 1

    def end(self, host: str) -> None:
        """Count the end of a forwarded request."""
        self._open[host] -= 1
        if not self._open[host]:
            del self._open[host]

    def record_failure(self, host: str, now: float, back_off_ms: float = PEER_BACK_OFF_MS) -> None:
        """Record that a peer refused, broke off or could not be connected to."""
        self._peers_until[host] = now + back_off_ms

    def record_unserved(self, service: str, now: float) -> None:
        """Record that peers do not reach the servers of a service either."""
        self._services_until[service] = now + SERVICE_BACK_OFF_MS

    def may_ask(self, host: str, now: float) -> bool:
        """Return whether a peer may get a request now."""
        return self._peers_until.get(host, -math.inf) <= now

    def may_forward(self, service: str, now: float) -> bool:
        """Return whether requests for a service may be forwarded now."""
        return self._services_until.get(service, -math.inf) <= now

    def prune(self, now: float) -> None:
        """Drop what has expired."""
        for records in (self._peers_until, self._services_until):
            for name in [name for name, until in records.items() if until <= now]:
                del records[name]
