"""Detect server crashes, and quarantine requests that crash the servers they run on."""

from collections.abc import Iterator
from contextlib import contextmanager

import trio

from siskinspoke.coordination.crash_watch import OpenRun, RunEnd
from siskinspoke.coordination.crashes import Probation, Quarantined, Suspected, Undecided
from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.coordination.witnesses import (
    MAX_RECHECKS,
    RECHECK_SECONDS,
    indicates_partition,
    witnesses_of,
)
from siskinspoke.gateway.context import Gateway, Request, now_ms
from siskinspoke.gateway.reachability import NoConnection, probe_now, record_refusing_domain
from siskinspoke.gateway.upstream import OutcomeUnknown

# A server may still crash from an attempt that was moved away from it, so it is probed after this
# delay.
PROBE_DELAY_SECONDS = 0.4


class TrackedAttempt:
    """One attempt, recorded so that a later crash can be attributed to the requests then open."""

    def __init__(self, run: OpenRun):
        self.run = run
        self.end = RunEnd.BROKE


@contextmanager
def track_attempt(
    gateway: Gateway, request: Request, *servers: ServerRecord
) -> Iterator[TrackedAttempt]:
    """Record an attempt at some servers while the context is open; the caller sets its ``end``."""
    starts = [server.start for server in servers]
    attempt = TrackedAttempt(gateway.crashes.start_run(request.subject, starts, now_ms()))
    try:
        yield attempt
    finally:
        gateway.crashes.end_run(attempt.run, attempt.end, now_ms())


async def check_quarantine(gateway: Gateway, request: Request) -> Quarantined | None:
    """Return the quarantine of a request, or None if it may be sent to a server now.

    If the evidence suffices for a quarantine but information that clears the request may still
    arrive, this waits. Otherwise each VM that holds a copy would send the request once more.
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
                gateway.crashes.record_probe(request.subject, now)
                request.crashes = crashes
                request.trial = True
                return None
            case Suspected(crashes=crashes):
                request.crashes = crashes
                return None
            case _:
                return None


async def check_for_crash(gateway: Gateway, server: ServerRecord, outcome: OutcomeUnknown) -> None:
    """Determine whether a server that broke off an attempt has crashed.

    A dead process refuses connections. A server that only closed this connection accepts a new
    one, and a partitioned server either does not respond or refuses along with its whole failure
    domain. Neither of these counts as a crash.
    """
    if not (outcome.closed or outcome.server_lost):
        if not gateway.crashes.ledger.is_empty:
            gateway.nursery.start_soon(_probe_later, gateway, server)
        return
    done = gateway.crash_probes.get(server.start)
    if done is None:
        # Runs in the background: a waiter may be cancelled while others still need the result.
        done = gateway.crash_probes[server.start] = trio.Event()
        gateway.nursery.start_soon(_probe_once, gateway, server, now_ms())
    await done.wait()


async def _probe_once(gateway: Gateway, server: ServerRecord, at: float) -> None:
    """Check for a crash once for all attempts that broke off at the same server."""
    try:
        await _probe_for_crash(gateway, server, at)
    finally:
        gateway.crash_probes.pop(server.start).set()


async def _probe_later(gateway: Gateway, server: ServerRecord) -> None:
    await trio.sleep(PROBE_DELAY_SECONDS)
    await _probe_for_crash(gateway, server, now_ms())


async def _probe_for_crash(gateway: Gateway, server: ServerRecord, at: float) -> None:
    """Check for a crash; if the result is inconclusive, retry in the background."""
    if not await _detect_crash(gateway, server, at):
        gateway.nursery.start_soon(_retry_probe, gateway, server, at)


async def _retry_probe(gateway: Gateway, server: ServerRecord, at: float) -> None:
    for _ in range(MAX_RECHECKS):
        await trio.sleep(RECHECK_SECONDS)
        if await _detect_crash(gateway, server, at):
            return


async def _detect_crash(gateway: Gateway, server: ServerRecord, at: float) -> bool:
    """Determine whether a server has crashed and record it; return whether that is conclusive.

    The server has not crashed if it left cleanly or can be reached. The result is inconclusive if
    its whole failure domain refuses connections, or if the probe times out, since this VM itself
    may have been paused.
    """
    announcement = server.announcement
    if gateway.directory.has_left(announcement.server) or gateway.crashes.has_crashed(server.start):
        return True
    if not gateway.directory.superseded(*server.start):
        match await probe_now(gateway, server):
            case None:
                return True
            case NoConnection.SILENT:
                return gateway.domains.is_cut_off(announcement.failure_domain, now_ms())
        if await _domain_refuses(gateway, server):
            gateway.counters.count("crash.doubted")
            record_refusing_domain(gateway, server)
            return False
    now = now_ms()
    servers = len(gateway.directory.routable(announcement.service, now))
    gateway.crashes.record_crash(server.start, announcement.service, servers, at, now)
    return True


async def _domain_refuses(gateway: Gateway, server: ServerRecord) -> bool:
    """Return whether other servers of the failure domain are unreachable as well."""
    announcement, live = server.announcement, gateway.directory.live(now_ms())
    has_crashed = gateway.crashes.has_crashed
    witnesses = witnesses_of(
        announcement.server, announcement.failure_domain, live, has_crashed, gateway.rng
    )
    reached: list[bool] = []

    async def probe(record: ServerRecord) -> None:
        reached.append(await probe_now(gateway, record) is None)

    async with trio.open_nursery() as nursery:
        for record in witnesses:
            nursery.start_soon(probe, record)
    return indicates_partition(reached)
