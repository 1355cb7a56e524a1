"""Which servers are cold now, and the permits that requests to them need."""

import math

import trio

from siskinspoke.coordination.cold_limiters import cold_budget, share_without_permit
from siskinspoke.coordination.cold_servers import (
    WINDOW_MS,
    GoElsewhere,
    RefuseNow,
    WaitForPermit,
)
from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.coordination.limiters import PERMIT_LIFETIME_MS
from siskinspoke.coordination.routes import Service
from siskinspoke.gateway.attempts import Attempt
from siskinspoke.gateway.cold_permits import lease_clock_ms
from siskinspoke.gateway.context import Gateway, now_ms
from siskinspoke.gateway.permits import Decision, Denied, Permit

# Servers that a VM hears of within this time after its start have not just joined.
FIRST_NEWS_MS = 3_000.0


def cold_service(gateway: Gateway, name: str) -> Service | None:
    """Return a service if its servers take a limited rate after their start."""
    service = gateway.table.services.get(name) if gateway.table is not None else None
    return service if service is not None and service.has_cold_servers else None


def has_cold_services(gateway: Gateway) -> bool:
    """Return whether any service of the configuration has servers that can be cold."""
    services = gateway.table.services.values() if gateway.table is not None else ()
    return any(service.has_cold_servers for service in services)


def cold_until(gateway: Gateway, server: ServerRecord) -> float:
    """Return until when a server is cold, minus infinity if it has never been."""
    service = cold_service(gateway, server.announcement.service)
    if service is None:
        return -math.inf
    return gateway.cold_servers.cold_until(server.start, service.cold_ms)


def is_cold(gateway: Gateway, server: ServerRecord, now: float) -> bool:
    """Return whether a server is cold or presumed cold."""
    return cold_until(gateway, server) > now


def next_permit_at(gateway: Gateway, server: ServerRecord, now: float) -> float:
    """Return when a cold server's next permit is expected, minus infinity if it may be now."""
    if not is_cold(gateway, server, now):
        return -math.inf
    return gateway.cold_servers.blocked_until(server.start)


def is_after_first_news(gateway: Gateway, now: float) -> bool:
    """Return whether a server of which this VM hears for the first time has just joined."""
    return now - gateway.started_at * 1000 > FIRST_NEWS_MS


def log_cold_change(gateway: Gateway, server: ServerRecord, now: float) -> bool:
    """Log that a server has become cold or warm; return whether it is cold."""
    until = cold_until(gateway, server)
    cold = until > now
    if not gateway.cold_servers.note_state(server.start, cold):
        return cold
    name, incarnation = server.start
    if not cold:
        gateway.log.note("server.warm", server=name, start=incarnation)
        return False
    gateway.log.note(
        "server.cold",
        server=name,
        start=incarnation,
        until=None if until == math.inf else round(until - now),
        source=gateway.cold_servers.source(server.start).value,
    )
    return True


def maintain_cold_servers(gateway: Gateway, names: list[str]) -> None:
    """Log the servers that have become warm, and drop the state of those that are gone."""
    gateway.cold_servers.prune(names, now_ms())
    gateway.cold_permits.prune(names)
    if not has_cold_services(gateway):
        return
    now = now_ms()
    cold = [log_cold_change(gateway, item, now) for item in gateway.directory.all_records()]
    gateway.counters.gauge("cold.servers", sum(cold))


async def check_cold_permit(
    gateway: Gateway, request_id: str, server: ServerRecord, attempt: Attempt
) -> float | None:
    """Return None if a request may be sent now, else when the server's next permit is expected.

    The permit is kept with the attempt; only its first call may wait for one.
    """
    now = now_ms()
    if not is_cold(gateway, server, now):
        return None
    if attempt.cold_permit is not None and lease_clock_ms() < attempt.cold_permit.until:
        return None
    if _take_share(gateway, server, now):
        attempt.cold_permit = Permit(server.start, lease_clock_ms() + PERMIT_LIFETIME_MS)
        gateway.counters.count("cold.share_taken")
        return None
    decision, attempt.cold_decision = attempt.cold_decision, None
    patience_ms = 0.0
    match decision:
        case GoElsewhere():
            return now
        case RefuseNow(next_permit_ms):
            return now + next_permit_ms
        case WaitForPermit(patience_ms, first_ms) if first_ms > 0:
            await trio.sleep(first_ms / 1000)
            patience_ms -= first_ms
    settings = gateway.settings
    service = cold_service(gateway, server.announcement.service)
    if service is None:
        return None
    budget = cold_budget(service.cold_rate, settings.cold_overshoot, settings.cold_slack)
    permit, found = await gateway.cold_permits.obtain(
        gateway.queries, server, budget, max(0.0, patience_ms), attempt.urgent
    )
    _log_permit(gateway, request_id, server, budget.rate, found, now)
    if isinstance(permit, Denied) and not is_cold(gateway, server, now_ms()):
        return None
    if isinstance(permit, Denied):
        gateway.counters.count("cold.permit.refused")
        permit_at = now_ms() + max(0.0, permit.until - lease_clock_ms())
        gateway.cold_servers.block_until(server.start, permit_at)
        return permit_at
    gateway.counters.count("cold.permit.granted")
    attempt.cold_permit = permit
    return None


def _take_share(gateway: Gateway, server: ServerRecord, now: float) -> bool:
    """Return whether a request may go to a server without a permit; see ``take_share``.

    Only the VMs of the cells that track a server have a share, and only within their own cell.
    """
    settings, name = gateway.settings, server.announcement.server
    service = cold_service(gateway, server.announcement.service)
    if service is None or name not in gateway.cells.servers(service.name):
        return False
    share = share_without_permit(service.cold_rate, settings.cold_overshoot, settings.cold_slack)
    if not gateway.cold_servers.take_share(server.start, share, now):
        return False
    gateway.cold_servers.block_until(server.start, now + WINDOW_MS / max(1, share))
    return True


def _log_permit(
    gateway: Gateway,
    request_id: str,
    server: ServerRecord,
    rate: float,
    found: Decision,
    asked_at: float,
) -> None:
    name, incarnation = server.start
    gateway.log.note(
        "permit",
        request=request_id,
        server=name,
        start=incarnation,
        rate=rate,
        cold=True,
        limiter=found.host or None,
        outcome=found.verdict.outcome.name.lower(),
        wait=round(found.verdict.wait_ms),
        took=round(now_ms() - asked_at),
    )
