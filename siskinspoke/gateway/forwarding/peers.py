"""Decide whether a request is forwarded, and choose the peer."""

from siskinspoke.coordination.forwarding.peer_choice import PeerState, choose_peer
from siskinspoke.gateway.context import Gateway, Request, now_ms
from siskinspoke.gateway.holds import without_hold
from siskinspoke.gateway.reachability import unreachable_domains
from siskinspoke.gateway.regions import within
from siskinspoke.gateway.servers import reachable
from siskinspoke.protocol.feed import EntryPeer

# How many times a request is forwarded at most, to peers that had not sent it to a server.
MAX_FORWARDS = 3
# How many servers are tried that are believed to be out of reach, where no peer reaches any.
MAX_ATTEMPTS_OUT_OF_REACH = 2
# Of a large fleet, this many peers outside of this VM's cell are considered.
MAX_DISTANT_PEERS = 8
# A peer counts as heard for this long after its last message.
HEARD_MS = 2_500.0


def wants_forward(gateway: Gateway, request: Request) -> bool:
    """Return whether a request goes to a peer because this VM reaches no server for it."""
    return is_out_of_reach(gateway, request) and _may_forward(gateway, request)


def may_overflow(gateway: Gateway, request: Request) -> bool:
    """Return whether a request that found no room here may find some at servers out of reach."""
    if not unreachable_domains(gateway) or not _may_forward(gateway, request):
        return False
    # An unheard peer may be behind the same partition as the servers.
    found = find_peer(gateway)
    return found is not None and found.is_heard


def find_peer(gateway: Gateway) -> PeerState | None:
    """Return the peer to which the next request is forwarded, or None if none reaches more."""
    now = now_ms()
    states = [
        _state(gateway, peer, now)
        for peer in _considered(gateway)
        if gateway.forwarding.may_ask(peer.host, now)
    ]
    own_domain, unreachable = gateway.settings.failure_domain, unreachable_domains(gateway)
    return choose_peer(states, own_domain, unreachable, gateway.rng)


def _may_forward(gateway: Gateway, request: Request) -> bool:
    if request.origin is not None or request.forwards >= MAX_FORWARDS:
        return False
    if not gateway.forwarding.may_forward(request.service, now_ms()):
        return False
    return find_peer(gateway) is not None


def is_out_of_reach(gateway: Gateway, request: Request) -> bool:
    """Return whether this VM can reach none of the servers that the request may be sent to."""
    now = now_ms()
    if not gateway.server_health.has_unreachable and not gateway.domains.cut_off(now):
        return False
    known = within(gateway.directory.routable(request.service, now), request.domains)
    allowed = without_hold(gateway, known)
    return bool(allowed) and not reachable(gateway, allowed)


def _considered(gateway: Gateway) -> list[EntryPeer]:
    peers = gateway.known_peers()
    near = [peer for peer in peers if gateway.cells.is_neighbour(peer.host)]
    distant = [peer for peer in peers if not gateway.cells.is_neighbour(peer.host)]
    return near + gateway.rng.sample(distant, min(MAX_DISTANT_PEERS, len(distant)))


def _state(gateway: Gateway, peer: EntryPeer, now: float) -> PeerState:
    return PeerState(
        peer.host,
        peer.failure_domain,
        gateway.forwarding.open_requests(peer.host) + gateway.peers.open_work(peer.host),
        gateway.peers.unreachable_domains(peer.host),
        gateway.peers.heard_within(peer.host, HEARD_MS, now),
    )
