"""Find out that a server crashed, and keep a request that crashes servers from the next one."""

from collections.abc import Iterator
from contextlib import contextmanager

import trio

from siskinspoke.coordination.crash_watch import Run, RunEnd
from siskinspoke.coordination.crashes import Probation, Quarantined, Suspected, Undecided
from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.coordination.witnesses import (
    ASK_AGAIN,
    ASK_AGAIN_SECONDS,
    speaks_for_cut,
    witnesses_of,
)
from siskinspoke.gateway.context import Gateway, Request, now_ms
from siskinspoke.gateway.reaching import NoConnection, look_at
from siskinspoke.gateway.upstream import Broke

# A server from which an attempt was taken away may crash under it all the same; it is looked at
# after this time.
LOOK_LATER_SECONDS = 0.4


class Attempted:
    """One attempt, for who asks later which requests were open at a server."""

    def __init__(self, run: Run):
        self.run = run
        self.end = RunEnd.BROKE


@contextmanager
def noted(gateway: Gateway, request: Request, *servers: ServerRecord) -> Iterator[Attempted]:
    """Note an attempt at some servers while the context is open; its ``end`` is to be set."""
    starts = [server.start for server in servers]
    attempted = Attempted(gateway.crashes.began(request.subject, starts, now_ms()))
    try:
        yield attempted
    finally:
        gateway.crashes.ended(attempted.run, attempted.end, now_ms())


async def quarantine_of(gateway: Gateway, request: Request) -> Quarantined | None:
    """Return the quarantine of a request, or None where it may be sent to a server now.

    While enough speaks against it but what clears it may be on its way, it waits.  Otherwise each
    VM that holds a copy would send it on once more.
    """
    while True:
        now = now_ms()
        verdict = gateway.crashes.judge(request.subject, now)
        request.crashes = 0
        match verdict:
            case Undecided():
                gateway.counters.count("quarantine.waits")
                await trio.sleep(verdict.wait_seconds)
            case Quarantined():
                gateway.counters.count("quarantine.refused")
                return verdict
            case Probation(crashes=crashes):
                gateway.crashes.probe(request.subject, now)
                request.crashes = crashes
                return None
            case Suspected(crashes=crashes):
                request.crashes = crashes
                return None
            case _:
                return None


async def note_end(gateway: Gateway, server: ServerRecord, outcome: Broke) -> None:
    """Find out whether a server that broke off an attempt has crashed.

    A dead process refuses connections.  One that has ended the connection alone accepts another
    one, and one that is cut off says nothing or refuses together with its whole failure domain, so
    neither is taken for a crash.
    """
    if not (outcome.closed or outcome.gone):
        if not gateway.crashes.ledger.is_empty:
            gateway.chores.start_soon(_look_later, gateway, server)
        return
    looked = gateway.crash_looks.get(server.start)
    if looked is None:
        # Whoever waits for this may leave at any moment; the others need to know all the same.
        looked = gateway.crash_looks[server.start] = trio.Event()
        gateway.chores.start_soon(_look_once, gateway, server, now_ms())
    await looked.wait()


async def _look_once(gateway: Gateway, server: ServerRecord, at: float) -> None:
    """Look for a crash on behalf of all attempts that broke off at one server together."""
    try:
        await _look_for_crash(gateway, server, at)
    finally:
        gateway.crash_looks.pop(server.start).set()


async def _look_later(gateway: Gateway, server: ServerRecord) -> None:
    await trio.sleep(LOOK_LATER_SECONDS)
    await _look_for_crash(gateway, server, now_ms())


async def _look_for_crash(gateway: Gateway, server: ServerRecord, at: float) -> None:
    """Take in a crash; where the question stays open it is asked again, and nobody waits for it."""
    if not await _settle(gateway, server, at):
        gateway.chores.start_soon(_ask_again, gateway, server, at)


async def _ask_again(gateway: Gateway, server: ServerRecord, at: float) -> None:
    for _ in range(ASK_AGAIN):
        await trio.sleep(ASK_AGAIN_SECONDS)
        if await _settle(gateway, server, at):
            return


async def _settle(gateway: Gateway, server: ServerRecord, at: float) -> bool:
    """Find out whether a server has crashed, and take it in; return whether that is known now.

    It has not if it has left in good order or can be reached.  Nobody can tell where its whole
    failure domain refuses, or where nothing is heard: this VM itself may have stood still.
    """
    said = server.announcement
    if gateway.directory.has_left(said.server) or gateway.crashes.has_crashed(server.start):
        return True
    if not gateway.directory.superseded(*server.start):
        match await look_at(gateway, server):
            case None:
                return True
            case NoConnection.SILENT:
                return gateway.domains.is_cut(said.failure_domain, now_ms())
        if await _domain_refuses(gateway, server):
            _note_refusing_domain(gateway, server)
            return False
    now = now_ms()
    servers = len(gateway.directory.believed(said.service, now))
    gateway.crashes.crashed(server.start, said.service, servers, at, now)
    return True


async def _domain_refuses(gateway: Gateway, server: ServerRecord) -> bool:
    """Tell whether other servers of the failure domain cannot be reached either."""
    said, live = server.announcement, gateway.directory.live(now_ms())
    has_crashed = gateway.crashes.has_crashed
    asked = witnesses_of(said.server, said.failure_domain, live, has_crashed, gateway.rng)
    reached: list[bool] = []

    async def ask(record: ServerRecord) -> None:
        reached.append(await look_at(gateway, record) is None)

    async with trio.open_nursery() as nursery:
        for record in asked:
            nursery.start_soon(ask, record)
    return speaks_for_cut(reached)


def _note_refusing_domain(gateway: Gateway, server: ServerRecord) -> None:
    """Keep new requests from a domain that refuses as a whole, until it can be reached."""
    said, now = server.announcement, now_ms()
    gateway.counters.count("crash.doubted")
    gateway.log.note(
        "domain.refuses",
        domain=said.failure_domain,
        server=said.server,
        start=said.incarnation,
    )
    if gateway.domains.refused(said.failure_domain, now):
        gateway.log.note("domain.cut", domain=said.failure_domain, server=said.server)
