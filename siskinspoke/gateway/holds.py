"""Holds of servers, checked before a request is placed and before it is sent.

Servers ask for them, or operators evacuate their failure domain.  Unlike an estimate of a server's
health a hold is binding: it applies even where no other server is left.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.coordination.rate_limits import RateLimit
from siskinspoke.gateway.attempts import Attempt
from siskinspoke.gateway.cold import check_cold_permit, is_cold, next_permit_at
from siskinspoke.gateway.context import Gateway, now_ms
from siskinspoke.gateway.permits import Decision, Denied
from siskinspoke.gateway.regions import within

RATE_LIMIT = "rate limit"
BACK_OFF = "back-off"
LEAVING = "leaving"
EVACUATED = "evacuated"
COLD = "cold"
COLD_HELPER = "cold helper"


class Hold(NamedTuple):
    """Why a server gets no request from this VM now, and until when, in milliseconds.

    ``until`` is infinite where the end is not known.  ``member`` is the name of the server on hold
    if that is a helper of the server that the request is for.
    """

    reason: str
    until: float
    member: str | None = None


def find_hold(gateway: Gateway, server: ServerRecord, now: float) -> Hold | None:
    """Return the hold that applies to a server now, or None."""
    known = gateway.directory.find(*server.start)
    if known is not None and known.announcement.leaving:
        return Hold(LEAVING, math.inf)
    if is_evacuated(gateway, server):
        return Hold(EVACUATED, math.inf)
    back_off_until = gateway.back_offs.until(server.start)
    if back_off_until > now:
        return Hold(BACK_OFF, back_off_until)
    closed_until = gateway.rate_limits.blocked_until(server.start)
    if closed_until > now:
        return Hold(RATE_LIMIT, closed_until)
    permit_at = next_permit_at(gateway, server, now)
    if permit_at > now:
        return Hold(COLD, permit_at)
    return None


def is_evacuated(gateway: Gateway, server: ServerRecord) -> bool:
    """Return whether a server is in an evacuated failure domain."""
    domains = gateway.evacuations.domains
    if not domains:
        return False
    latest = gateway.directory.find(*server.start) or server
    return latest.announcement.failure_domain in domains


def _restricts_any(gateway: Gateway) -> bool:
    """Tell whether any server that is not leaving may be on hold."""
    restrictions = (gateway.evacuations.domains, gateway.back_offs, gateway.rate_limits)
    return any(restrictions) or gateway.cold_servers.has_blocks


def without_hold(
    gateway: Gateway, records: Iterable[ServerRecord], patience_ms: float = 0.0
) -> list[ServerRecord]:
    """Return the servers, out of some that are not leaving, to which a request may be sent.

    If there are none, cold servers are returned whose next permits are expected within
    ``patience_ms``.
    """
    if not _restricts_any(gateway):
        return list(records)
    now = now_ms()
    holds = [(record, find_hold(gateway, record, now)) for record in records]
    cold = [record for record, hold in holds if hold is not None and hold.reason == COLD]
    if cold:
        gateway.counters.count("cold.left_out", len(cold))
    free = [record for record, hold in holds if hold is None]
    if free or patience_ms <= 0:
        return free
    return [item for item in cold if next_permit_at(gateway, item, now) - now <= patience_ms]


def without_rate_limit(gateway: Gateway, records: Iterable[ServerRecord]) -> list[ServerRecord]:
    """Return the servers that need no permit: one may be denied after the other server was left."""
    now = now_ms()
    return [
        item
        for item in records
        if gateway.rate_limits.find(item.start) is None and not is_cold(gateway, item, now)
    ]


def hold_ends_in_ms(
    gateway: Gateway, service: str, domains: frozenset[str] | None = None
) -> float | None:
    """Return when a service's first server takes requests again, None unless all are on hold.

    The result is infinite if all of them are evacuated.  Only servers in the failure domains
    ``domains`` count, all where it is None.
    """
    if not _restricts_any(gateway):
        return None
    now = now_ms()
    records = within(gateway.directory.routable(service, now), domains)
    ends = []
    for record in records:
        hold = find_hold(gateway, record, now)
        if hold is None:
            return None
        ends.append(hold.until)
    return min(ends) - now if ends else None


def all_evacuated(gateway: Gateway, service: str) -> bool:
    """Return whether a service has servers and all of them are evacuated."""
    return hold_ends_in_ms(gateway, service) == math.inf


def find_attempt_hold(
    gateway: Gateway, server: ServerRecord, attempt: Attempt, now: float
) -> Hold | None:
    """Return the hold of a server, or the evacuation of another server of its attempt."""
    hold = find_hold(gateway, server, now)
    if hold is None or hold.reason in (RATE_LIMIT, COLD):
        for member in attempt.servers:
            if is_evacuated(gateway, member):
                hold = Hold(EVACUATED, math.inf, member.announcement.server)
            elif member is not server and is_cold(gateway, member, now):
                # The permit is for the decoding engine alone.
                hold = hold or Hold(COLD_HELPER, now, member.announcement.server)
    if hold is not None and hold.reason == EVACUATED:
        gateway.counters.count("evacuation.held")
    return hold


async def check_hold(
    gateway: Gateway, request_id: str, server: ServerRecord, attempt: Attempt
) -> Hold | None:
    """Return the hold that forbids sending a request now; obtain a permit where one is needed.

    The permit is kept with the attempt; only the first call for an attempt may wait for one.
    """
    hold = await _check_rate_limit(gateway, request_id, server, attempt)
    if hold is not None:
        return hold
    permit_at = await check_cold_permit(gateway, request_id, server, attempt)
    if permit_at is not None:
        return Hold(COLD, permit_at)
    # While the permit was awaited, the server may have been evacuated or have asked for a hold.
    now = now_ms()
    hold = find_attempt_hold(gateway, server, attempt, now)
    has_permit = attempt.permit is not None and now < attempt.permit.until
    if hold is None or hold.reason == COLD or (hold.reason == RATE_LIMIT and has_permit):
        return None
    return hold


async def _check_rate_limit(
    gateway: Gateway, request_id: str, server: ServerRecord, attempt: Attempt
) -> Hold | None:
    limit = gateway.rate_limits.find(server.start)
    now = now_ms()
    has_permit = attempt.permit is not None and now < attempt.permit.until
    hold = find_attempt_hold(gateway, server, attempt, now)
    is_permitted = hold is not None and has_permit and hold.reason == RATE_LIMIT
    if hold is not None and hold.reason != COLD and not is_permitted:
        return hold
    if limit is None or has_permit:
        return None
    patience_ms, attempt.permit_wait_ms = attempt.permit_wait_ms, 0.0
    permit, found = await gateway.permits.obtain(gateway.queries, server, limit, patience_ms)
    _log_permit(gateway, request_id, server, limit, found, now)
    if isinstance(permit, Denied):
        gateway.counters.count("permit.refused")
        return Hold(RATE_LIMIT, permit.until)
    attempt.permit = permit
    # An evacuation may have begun while the permit was awaited.
    hold = find_attempt_hold(gateway, server, attempt, now_ms())
    return hold if hold is not None and hold.reason == EVACUATED else None


def _log_permit(
    gateway: Gateway,
    request_id: str,
    server: ServerRecord,
    limit: RateLimit,
    found: Decision,
    asked_at: float,
) -> None:
    """Log a permit request: its rate limit, the VM that decided, and the outcome."""
    name, incarnation = server.start
    gateway.log.note(
        "permit",
        request=request_id,
        server=name,
        start=incarnation,
        rate=limit.rate,
        age=round(asked_at - limit.heard_at),
        limiter=found.host or None,
        outcome=found.verdict.outcome.name.lower(),
        wait=round(found.verdict.wait_ms),
        took=round(now_ms() - asked_at),
    )
