"""Connect to backend servers, and find out which of them cannot be reached."""

from enum import Enum

import trio

from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.coordination.standing import Trouble
from siskinspoke.gateway.context import Gateway, now_ms
from siskinspoke.transport.http1 import ServerConnection, connect

# A lost opening packet is sent again after a second, so another connection is opened beside the
# first after this part of the time: 3 packets in 100 are lost on a bad link, and one connection
# alone would take as many sound servers for lost.
SECOND_TRY_SHARE = 0.4
# A VM may stand still for a tenth of a second when its processor's quota is used up.  What it has
# not heard in that time proves nothing, so it tries once more.
STOOD_STILL_SECONDS = 0.03
TICK_SECONDS = 0.02
# What begins while nobody thinks of the open attempts is overdue no sooner than after this time.
# To think every tick would be much of all that an idle VM wakes for.
MOST_QUIET_SECONDS = 0.06
AGAIN_SECONDS = 0.25


class NoConnection(Enum):
    """Why there is no connection to a server.

    A machine that refuses one is there: its process does not listen, and then its open connections
    are reset, or it has as many connections as it takes, and works on at what it has.
    """

    REFUSED = "refused"
    SILENT = "silent"


async def reach(gateway: Gateway, server: ServerRecord) -> ServerConnection | NoConnection:
    """Connect to a server, or return why there is no connection."""
    began = trio.current_time()
    seconds = gateway.connects.give_up_ms / 1000
    connection = await _race(gateway, server, seconds)
    took = trio.current_time() - began
    if connection is NoConnection.SILENT and took > seconds + STOOD_STILL_SECONDS:
        connection = await _race(gateway, server, seconds)
    return connection


async def _race(
    gateway: Gateway, server: ServerRecord, seconds: float
) -> ServerConnection | NoConnection:
    """Return the first of two connections, the second of them opened a little later."""
    said = server.announcement
    opened: list[ServerConnection] = []
    refused = False

    async def open_one(delay: float) -> None:
        nonlocal refused
        await trio.sleep(delay)
        gateway.counters.count("server.connects")
        began = now_ms()
        try:
            opened.append(await connect(said.host, said.port, gateway.settings.host, began))
            gateway.connects.took(now_ms() - began)
        except OSError:
            # The other try would learn the same.
            refused = True
            gateway.counters.count("server.refused_connection")
        nursery.cancel_scope.cancel()

    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(open_one, 0.0)
            nursery.start_soon(open_one, seconds * SECOND_TRY_SHARE)
    for spare in opened[1:]:
        spare.cut()
    if opened:
        return opened[0]
    return NoConnection.REFUSED if refused else NoConnection.SILENT


async def connect_to(
    gateway: Gateway, server: ServerRecord, told: bool = False
) -> ServerConnection | None:
    """Connect to a server and take in what that shows of it and of its failure domain.

    ``told`` means that another VM has said that the server is lost.
    """
    found = await _connect(gateway, server, told)
    return found if isinstance(found, ServerConnection) else None


async def _connect(
    gateway: Gateway, server: ServerRecord, told: bool
) -> ServerConnection | NoConnection:
    gateway.looks.began(server.start, now_ms())
    finished = False
    try:
        found = await reach(gateway, server)
        finished = True
    finally:
        if not finished:
            # Whoever asked has gone.  A look that nobody ends would be under way forever, and the
            # server passed over for good.
            gateway.looks.drop(server.start)
    gateway.looks.ended(server.start, found is not NoConnection.SILENT, now_ms())
    match found:
        case NoConnection.SILENT:
            lost(gateway, server, told)
        case NoConnection.REFUSED:
            # What is open there may well be worked on, so nothing ends.
            said = server.announcement
            gateway.log.note("server.refuses", server=said.server, start=said.incarnation)
        case ServerConnection():
            _reached(gateway, server)
    return found


def _reached(gateway: Gateway, server: ServerRecord) -> None:
    said = server.announcement
    if gateway.domains.reached(said.failure_domain):
        gateway.log.note("domain.back", domain=said.failure_domain, server=said.server)
    if gateway.standing.reached(said.server):
        gateway.log.note("server.reached", server=said.server, start=said.incarnation)


def lost(gateway: Gateway, server: ServerRecord, told: bool = False) -> None:
    """Take in that a server cannot be reached: end what waits for it, and tell the other VMs.

    Each VM looks for itself before it believes another, so the word of a VM that is itself cut
    off costs the others one connection.  Whoever was told tells nobody, or each VM of a large
    fleet would tell all others.
    """
    said, now = server.announcement, now_ms()
    if gateway.directory.superseded(*server.start):
        return
    gateway.looks.alarm(now)
    news = not gateway.standing.is_unreachable(said.server)
    gateway.standing.failed(said.server, Trouble.UNREACHABLE, now)
    ended = gateway.attempts.lost(*server.start)
    if gateway.domains.unreached(said.failure_domain, said.server, now):
        gateway.log.note("domain.cut", domain=said.failure_domain, server=said.server)
        gateway.peers.cut(said.failure_domain)
    if not news:
        return
    gateway.counters.count("server.unreachable")
    gateway.log.note(
        "server.unreachable",
        server=said.server,
        start=said.incarnation,
        domain=said.failure_domain,
        attempts_ended=ended,
        told=told,
    )
    if not told:
        gateway.peers.lost(said.server)


async def look(gateway: Gateway, server: ServerRecord, told: bool = False) -> None:
    """See whether a server can be reached, and keep the connection if it can."""
    found = await _connect(gateway, server, told)
    if isinstance(found, ServerConnection):
        gateway.pool.put(server, found)


async def look_at(gateway: Gateway, server: ServerRecord) -> NoConnection | None:
    """Look at a server now, and return why it cannot be reached, or None where it can."""
    found = await _connect(gateway, server, told=False)
    if isinstance(found, ServerConnection):
        gateway.pool.put(server, found)
        return None
    return found


def look_soon(gateway: Gateway, server: ServerRecord, told: bool = False) -> None:
    """Start a look at a server where one would teach anything."""
    said, now = server.announcement, now_ms()
    if gateway.domains.is_cut(said.failure_domain, now):
        # Servers of a domain that is cut off are tried one at a time, to see when it is back.
        gateway.attempts.lost(*server.start)
    elif gateway.looks.wanted(server.start, now):
        gateway.looks.began(server.start, now)
        gateway.chores.start_soon(look, gateway, server, told)


def hear_lost(gateway: Gateway, name: str) -> None:
    """Take in that another VM could not reach a server."""
    gateway.looks.alarm(now_ms())
    server = gateway.directory.latest(name)
    if server is not None and not gateway.standing.is_unreachable(name):
        look_soon(gateway, server, told=True)


async def look_forever(gateway: Gateway) -> None:
    """Look at the servers whose answers are overdue, and doubt what is late, forever."""
    while True:
        await gateway.attempts.some_open()
        patience = gateway.looks.patience(now_ms())
        quiet = gateway.attempts.next_thought_ms(now_ms(), patience) / 1000
        await trio.sleep(min(MOST_QUIET_SECONDS, max(TICK_SECONDS, quiet)))
        gateway.attempts.doubt(now_ms())
        patience = gateway.looks.patience(now_ms())
        for server in gateway.attempts.overdue(now_ms(), patience):
            look_soon(gateway, server)


async def look_again_forever(gateway: Gateway) -> None:
    """Look again at the servers that could not be reached, until they can be or are gone.

    Otherwise a request would have to find out that a server is back, or is still lost.
    """
    while True:
        await trio.sleep(AGAIN_SECONDS)
        gateway.looks.forget(now_ms())
        for name in gateway.standing.unreachable():
            server = gateway.directory.latest(name)
            if server is not None and gateway.directory.is_believed(server, now_ms()):
                look_soon(gateway, server)
