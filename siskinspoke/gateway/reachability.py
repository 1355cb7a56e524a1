"""Connect to backend servers, and detect which of them cannot be reached."""

from enum import Enum

import trio

from siskinspoke.coordination.cold_servers import OLD_NEWS_MS
from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.coordination.server_health import FailureKind
from siskinspoke.gateway.cold import is_cold, log_cold_change
from siskinspoke.gateway.context import Gateway, now_ms
from siskinspoke.transport.http1 import ServerConnection, connect

# Share of the timeout after which a second connection is opened beside the first.  A lost SYN is
# retransmitted only after a second, and on a bad link 3 packets in 100 are lost: with a single
# connection, as many healthy servers would be taken for lost.
SECOND_CONNECT_SHARE = 0.4
# A VM may stall for 0.1 s when its CPU quota is used up.  A connection timeout that ends this much
# too late is not evidence of a lost server, so the connection is tried once more.
STALL_SECONDS = 0.03
MIN_CHECK_SECONDS = 0.02
# Longest interval between two checks of the open attempts.  Attempts that begin in between are
# overdue no sooner than that; checks at the shortest interval would be most of the wake-ups of an
# idle VM.
MAX_CHECK_SECONDS = 0.06
PROBE_AGAIN_SECONDS = 0.25


class NoConnection(Enum):
    """Why there is no connection to a server.

    A refusal shows that the machine is up: either its process does not listen, and its open
    connections are reset, or it has reached its connection limit and still works on its requests.
    """

    REFUSED = "refused"
    SILENT = "silent"


async def open_connection(
    gateway: Gateway, server: ServerRecord
) -> ServerConnection | NoConnection:
    """Connect to a server, or return why there is no connection."""
    began = trio.current_time()
    seconds = gateway.connect_timeout.connect_timeout_ms / 1000
    connection = await _race(gateway, server, seconds)
    took = trio.current_time() - began
    if connection is NoConnection.SILENT and took > seconds + STALL_SECONDS:
        connection = await _race(gateway, server, seconds)
    return connection


async def _race(
    gateway: Gateway, server: ServerRecord, seconds: float
) -> ServerConnection | NoConnection:
    """Return the first of two connections, the second of which is opened a little later."""
    announcement = server.announcement
    opened: list[ServerConnection] = []
    refused = False

    async def open_one(delay: float) -> None:
        nonlocal refused
        await trio.sleep(delay)
        gateway.counters.count("server.connects")
        began = now_ms()
        try:
            opened.append(
                await connect(announcement.host, announcement.port, gateway.settings.host, began)
            )
            gateway.connect_timeout.record(now_ms() - began)
        except OSError:
            # The other connection would be refused as well.
            refused = True
            gateway.counters.count("server.refused_connection")
        nursery.cancel_scope.cancel()

    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(open_one, 0.0)
            nursery.start_soon(open_one, seconds * SECOND_CONNECT_SHARE)
    for spare in opened[1:]:
        spare.reset()
    if opened:
        return opened[0]
    return NoConnection.REFUSED if refused else NoConnection.SILENT


async def connect_to(
    gateway: Gateway, server: ServerRecord, reported_by_peer: bool = False
) -> ServerConnection | None:
    """Connect to a server, and update the state of the server and its failure domain.

    ``reported_by_peer`` tells that another VM has reported the server as lost.
    """
    found = await _connect(gateway, server, reported_by_peer)
    return found if isinstance(found, ServerConnection) else None


async def _connect(
    gateway: Gateway, server: ServerRecord, reported_by_peer: bool
) -> ServerConnection | NoConnection:
    gateway.probes.start(server.start, now_ms())
    finished = False
    try:
        found = await open_connection(gateway, server)
        finished = True
    finally:
        if not finished:
            # The caller was cancelled.  A probe that is never ended would count as in progress
            # forever, and the server would never be used again.
            gateway.probes.cancel(server.start)
    gateway.probes.finish(server.start, found is not NoConnection.SILENT, now_ms())
    _count_connection(gateway, server, found)
    match found:
        case NoConnection.SILENT:
            mark_unreachable(gateway, server, reported_by_peer)
        case NoConnection.REFUSED:
            # Open requests at the server may still be running, so none is ended.
            announcement = server.announcement
            gateway.log.note(
                "server.refuses", server=announcement.server, start=announcement.incarnation
            )
            _presume_cold(gateway, server)
        case ServerConnection():
            _mark_reachable(gateway, server)
    return found


def _count_connection(
    gateway: Gateway, server: ServerRecord, found: ServerConnection | NoConnection
) -> None:
    """Have all failure domains surveyed if servers fail and none could be reached since."""
    failures = gateway.connection_failures
    if isinstance(found, ServerConnection):
        failures.record_success()
    elif failures.record_failure(server.announcement.server, now_ms()):
        gateway.surveys.request_all()


def _presume_cold(gateway: Gateway, server: ServerRecord) -> None:
    """Presume a server cold that could not be reached: it may be restarting."""
    now = now_ms()
    gateway.cold_servers.lost(server.start, now)
    log_cold_change(gateway, server, now)


def _presume_domain_cold(gateway: Gateway, domain: str) -> None:
    """Presume all servers of a domain cold that is cut off, or was: most are not probed then."""
    for server in gateway.directory.all_records():
        if server.announcement.failure_domain == domain:
            _presume_cold(gateway, server)


def _presume_returned_domain_cold(gateway: Gateway, domain: str, cut_since: float) -> None:
    """Presume the servers of a domain cold that were not heard from while it was cut off.

    The presumptions count from now on: none of them would end if each server had to be reached
    first.
    """
    now = now_ms()
    for server in gateway.directory.all_records():
        is_inside = server.announcement.failure_domain == domain
        if is_inside and server.heard_at < cut_since + OLD_NEWS_MS:
            if not is_cold(gateway, server, now):
                _presume_cold(gateway, server)
            gateway.cold_servers.reached(server.start, now)


def _mark_reachable(gateway: Gateway, server: ServerRecord) -> None:
    announcement = server.announcement
    cut_since = gateway.domains.record_success(announcement.failure_domain)
    if cut_since is not None:
        gateway.peers.reachability_changed()
        # The cut may have been told by another VM, so that none of them was probed here.
        _presume_returned_domain_cold(gateway, announcement.failure_domain, cut_since)
        gateway.log.note(
            "domain.back", domain=announcement.failure_domain, server=announcement.server
        )
    gateway.cold_servers.reached(server.start, now_ms())
    if gateway.server_health.record_connection(announcement.server):
        gateway.log.note(
            "server.reached", server=announcement.server, start=announcement.incarnation
        )


def mark_unreachable(
    gateway: Gateway, server: ServerRecord, reported_by_peer: bool = False
) -> None:
    """Mark a server as unreachable: end the attempts at it, and tell the other VMs.

    Each VM probes the server itself before it acts on a report, so the report of a VM that is
    itself partitioned costs the others one connection.  A VM that was told of the loss tells no
    other; otherwise each VM of a large fleet would tell all others.
    """
    announcement, now = server.announcement, now_ms()
    if gateway.directory.superseded(*server.start):
        return
    gateway.probes.record_loss(now)
    _presume_cold(gateway, server)
    is_news = not gateway.server_health.is_unreachable(announcement.server)
    gateway.server_health.record_failure(announcement.server, FailureKind.UNREACHABLE, now)
    ended = gateway.attempts.end_lost(*server.start)
    if gateway.domains.record_failure(announcement.failure_domain, announcement.server, now):
        gateway.log.note(
            "domain.cut", domain=announcement.failure_domain, server=announcement.server
        )
        gateway.peers.reachability_changed()
        _presume_domain_cold(gateway, announcement.failure_domain)
    if not is_news:
        return
    gateway.counters.count("server.unreachable")
    gateway.log.note(
        "server.unreachable",
        server=announcement.server,
        start=announcement.incarnation,
        domain=announcement.failure_domain,
        attempts_ended=ended,
        told=reported_by_peer,
    )
    if not reported_by_peer:
        gateway.peers.send_unreachable_server(announcement.server)


async def probe(gateway: Gateway, server: ServerRecord, reported_by_peer: bool = False) -> None:
    """Probe whether a server can be reached, and pool the connection if it can."""
    found = await _connect(gateway, server, reported_by_peer)
    if isinstance(found, ServerConnection):
        gateway.pool.put(server, found)


async def probe_now(gateway: Gateway, server: ServerRecord) -> NoConnection | None:
    """Probe a server now, and return why it cannot be reached, or None where it can."""
    found = await _connect(gateway, server, reported_by_peer=False)
    if isinstance(found, ServerConnection):
        gateway.pool.put(server, found)
        return None
    return found


def start_probe(gateway: Gateway, server: ServerRecord, reported_by_peer: bool = False) -> None:
    """Start a probe of a server where its result would be of use."""
    announcement, now = server.announcement, now_ms()
    if gateway.domains.is_cut_off(announcement.failure_domain, now):
        # Servers of a partitioned failure domain are probed one at a time, to detect when it is
        # back.
        gateway.attempts.end_lost(*server.start)
    elif gateway.probes.should_probe(server.start, now):
        gateway.probes.start(server.start, now)
        gateway.nursery.start_soon(probe, gateway, server, reported_by_peer)


def unreachable_domains(gateway: Gateway) -> frozenset[str]:
    """Return the failure domains of which this VM can reach no server."""
    now = now_ms()
    cut = frozenset(gateway.domains.cut_off(now))
    if not gateway.server_health.has_unreachable:
        return cut
    lost, reached = set(), set()
    for server in gateway.directory.live(now):
        is_lost = gateway.server_health.is_unreachable(server.announcement.server)
        (lost if is_lost else reached).add(server.announcement.failure_domain)
    return cut | (lost - reached)


def record_refusing_domain(gateway: Gateway, server: ServerRecord) -> None:
    """Stop sending requests to a domain that refuses as a whole, until it is reachable again."""
    announcement, now = server.announcement, now_ms()
    gateway.log.note(
        "domain.refuses",
        domain=announcement.failure_domain,
        server=announcement.server,
        start=announcement.incarnation,
    )
    if gateway.domains.record_refusals(announcement.failure_domain, now):
        gateway.log.note(
            "domain.cut", domain=announcement.failure_domain, server=announcement.server
        )
        gateway.peers.reachability_changed()


def handle_loss_report(gateway: Gateway, name: str) -> None:
    """Handle the report of another VM that a server is unreachable."""
    gateway.probes.record_loss(now_ms())
    server = gateway.directory.latest(name)
    if server is not None and not gateway.server_health.is_unreachable(name):
        start_probe(gateway, server, reported_by_peer=True)


async def probe_overdue_forever(gateway: Gateway) -> None:
    """Probe the servers whose answers are overdue, and recheck late attempts, forever."""
    while True:
        await gateway.attempts.wait_until_open()
        patience = gateway.probes.timeout_factor(now_ms())
        quiet = gateway.attempts.next_check_ms(now_ms(), patience) / 1000
        await trio.sleep(min(MAX_CHECK_SECONDS, max(MIN_CHECK_SECONDS, quiet)))
        gateway.attempts.recheck(now_ms())
        patience = gateway.probes.timeout_factor(now_ms())
        for server in gateway.attempts.overdue(now_ms(), patience):
            start_probe(gateway, server)


async def probe_unreachable_forever(gateway: Gateway) -> None:
    """Probe unreachable servers again until they can be reached or are gone.

    Otherwise a client's request would be the first to find that a server is back or still lost.
    """
    while True:
        await trio.sleep(PROBE_AGAIN_SECONDS)
        gateway.probes.prune(now_ms())
        for name in gateway.server_health.unreachable():
            server = gateway.directory.latest(name)
            if server is not None and gateway.directory.is_routable(server, now_ms()):
                start_probe(gateway, server)
