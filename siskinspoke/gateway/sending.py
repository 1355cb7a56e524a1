"""What servers have asked for, looked at before a request is placed and again before it is sent.

Unlike a guess about a server's health this is a promise: no want of other servers undoes it.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.coordination.rate_limits import RateLimit
from siskinspoke.gateway.attempts import Attempt
from siskinspoke.gateway.context import Gateway, now_ms
from siskinspoke.gateway.permits import Denied, Found

RATE_LIMIT = "rate limit"
BACK_OFF = "back-off"
LEAVING = "leaving"


class Held(NamedTuple):
    """Why a server gets no request from this VM now, and until when, in milliseconds."""

    why: str
    until: float


def held(gateway: Gateway, server: ServerRecord, now: float) -> Held | None:
    """Return what keeps requests from a server, or None."""
    known = gateway.directory.find(*server.start)
    if known is not None and known.announcement.leaving:
        return Held(LEAVING, math.inf)
    back_off_until = gateway.back_offs.until(server.start)
    if back_off_until > now:
        return Held(BACK_OFF, back_off_until)
    closed_until = gateway.rate_limits.closed_until(server.start)
    if closed_until > now:
        return Held(RATE_LIMIT, closed_until)
    return None


def _restricts_any(gateway: Gateway) -> bool:
    """Tell whether any server that has not left restricts this VM's requests."""
    return bool(gateway.back_offs or gateway.rate_limits)


def not_held(gateway: Gateway, records: Iterable[ServerRecord]) -> list[ServerRecord]:
    """Return those of some servers that have not left to which a request may be sent."""
    if not _restricts_any(gateway):
        return list(records)
    now = now_ms()
    return [record for record in records if held(gateway, record, now) is None]


def unlimited(gateway: Gateway, records: Iterable[ServerRecord]) -> list[ServerRecord]:
    """Return the servers that need no permit: one may be denied to who has given up another."""
    return [item for item in records if gateway.rate_limits.find(item.start) is None]


def opens_in_ms(gateway: Gateway, service: str) -> float | None:
    """Return when a service's first server takes requests again, None unless all are held."""
    if not _restricts_any(gateway):
        return None
    now = now_ms()
    waits = [held(gateway, record, now) for record in gateway.directory.believed(service, now)]
    if not waits or None in waits:
        return None
    return min(wait.until for wait in waits) - now


async def hold_back(
    gateway: Gateway, request_id: str, server: ServerRecord, attempt: Attempt
) -> Held | None:
    """Return why a request must not be sent now; obtain the permit that its server wants.

    The permit is kept with the attempt, and only its first use may wait for one.
    """
    limit = gateway.rate_limits.find(server.start)
    now = now_ms()
    has_permit = attempt.permit is not None and now < attempt.permit.until
    found = held(gateway, server, now)
    if found is not None and not (has_permit and found.why == RATE_LIMIT):
        return found
    if limit is None or has_permit:
        return None
    patience_ms, attempt.patience_ms = attempt.patience_ms, 0.0
    permit, found = await gateway.permits.obtain(gateway.questions, server, limit, patience_ms)
    _note(gateway, request_id, server, limit, found, now)
    if isinstance(permit, Denied):
        gateway.counters.count("permit.refused")
        return Held(RATE_LIMIT, permit.until)
    attempt.permit = permit
    return None


def _note(
    gateway: Gateway,
    request_id: str,
    server: ServerRecord,
    limit: RateLimit,
    found: Found,
    asked_at: float,
) -> None:
    """Write down what was known of a limit when a permit was asked for, and who decided."""
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
