"""Find out that a server crashed, and keep a request that crashes servers from the next one."""

from collections.abc import Iterator
from contextlib import contextmanager

import trio

from siskinspoke.coordination.crash_watch import Run, RunEnd
from siskinspoke.coordination.crashes import Probation, Quarantined, Suspected, Undecided
from siskinspoke.coordination.directory import ServerRecord
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
    one, and one that is cut off says nothing, so neither is taken for a crash.
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
    """Take in a crash unless the server has left in good order or can still be reached."""
    name = server.announcement.server
    if gateway.directory.has_left(name) or gateway.crashes.has_crashed(server.start):
        return
    if not gateway.directory.superseded(*server.start):
        found = await look_at(gateway, server)
        if found is not NoConnection.REFUSED:
            return
    now, service = now_ms(), server.announcement.service
    servers = len(gateway.directory.believed(service, now))
    gateway.crashes.crashed(server.start, service, servers, at, now)
