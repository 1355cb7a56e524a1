"""Apply the restrictions that backend servers announce in their responses."""

from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.gateway.context import Gateway, now_ms
from siskinspoke.gateway.wire import Answer
from siskinspoke.protocol.peers import RateLimitNews

# A response with this status or above may come from a component that stands in for a failed server,
# so it does not lift any restriction.
MIN_FAILURE_STATUS = 500


def apply_restrictions(
    gateway: Gateway, request_id: str, server: ServerRecord, response: Answer, sent_at: float
) -> None:
    """Apply the restrictions of a response, unless it is a stale one for another request.

    ``request_id`` is empty for this VM's own status queries and orders.
    """
    if response.misdirected or response.request_id not in (None, request_id):
        return
    for field in response.restrictions.unreadable:
        gateway.counters.count(f"restrictions.unreadable.{field}")
    _record_load(gateway, server, response)
    _apply_rate_limit(gateway, request_id, server, response, sent_at)
    if response.restrictions.back_off_ms is not None:
        _apply_back_off(gateway, request_id, server, response.restrictions.back_off_ms)
    if response.restrictions.cold_ms is not None:
        gateway.cold_servers.answered(server.start, response.restrictions.cold_ms, now_ms())
    if response.restrictions.leaving:
        _apply_leaving(gateway, request_id, server)


def _record_load(gateway: Gateway, server: ServerRecord, response: Answer) -> None:
    """Record the load that a server states in an answer to a plain call of this VM."""
    admission = gateway.plain_admission
    if admission is None or not admission.places.has_open_call(server.announcement.server):
        return
    refused = response.never_ran and response.status >= 400
    if response.load is not None:
        admission.places.record_load(server.start, response.load, refused, now_ms())
    elif refused and server.announcement.slots:
        admission.places.record_refusal(server.start, server.announcement.slots, now_ms())


def _lifts_omitted(response: Answer) -> bool:
    """Return whether the absence of a restriction in a response means that it has been lifted."""
    return (
        response.status < MIN_FAILURE_STATUS
        and response.request_id is not None
        and not response.restrictions.unreadable
    )


def _apply_rate_limit(
    gateway: Gateway, request_id: str, server: ServerRecord, response: Answer, sent_at: float
) -> None:
    rate, now = response.restrictions.rate_limit, now_ms()
    known = gateway.rate_limits.find(server.start)
    if rate is not None:
        changed = gateway.rate_limits.record(server.start, rate, now)
    elif _lifts_omitted(response):
        changed = gateway.rate_limits.remove(server.start, sent_at, now)
    else:
        return
    if not changed:
        return
    gateway.peers.rate_limit(server.start, rate, now)
    name, incarnation = server.start
    gateway.counters.count("rate_limit.lifted" if rate is None else "rate_limit.named")
    gateway.log.note(
        "server.rate_limit",
        server=name,
        start=incarnation,
        request=request_id,
        rate=rate,
        former=None if known is None else known.rate,
        age=None if known is None else round(now - known.heard_at),
    )


def _apply_back_off(
    gateway: Gateway, request_id: str, server: ServerRecord, back_off_ms: float
) -> None:
    name, incarnation = server.start
    gateway.back_offs.add(server.start, back_off_ms, now_ms())
    gateway.counters.count("back_off.asked")
    gateway.log.note(
        "server.back_off",
        server=name,
        start=incarnation,
        request=request_id,
        ms=round(back_off_ms),
    )


def _apply_leaving(gateway: Gateway, request_id: str, server: ServerRecord) -> None:
    if gateway.directory.has_left(server.announcement.server):
        return
    name, incarnation = server.start
    gateway.directory.mark_leaving(name, incarnation)
    gateway.counters.count("server.said_leaving")
    gateway.log.note("server.leaving", server=name, start=incarnation, request=request_id)


def apply_peer_rate_limit(gateway: Gateway, update: RateLimitNews) -> None:
    """Apply a server's rate limit that was reported by another VM."""
    start, at = (update.server, update.incarnation), now_ms() - update.age_ms
    if update.rate is None:
        changed = gateway.rate_limits.remove(start, at, at)
    else:
        changed = gateway.rate_limits.record(start, update.rate, at)
    gateway.counters.count("rate_limit.told", changed)
