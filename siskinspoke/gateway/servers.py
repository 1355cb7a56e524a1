"""Selection of backend servers for a request, and evaluation of its failed attempts."""

from siskinspoke.coordination.cold_servers import ColdRequest, decide_cold
from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.coordination.place_queue import PlaceChoice
from siskinspoke.coordination.server_health import FailureKind
from siskinspoke.coordination.server_places import ServerPlaces
from siskinspoke.gateway.attempts import Attempt
from siskinspoke.gateway.cold import is_cold, next_permit_at
from siskinspoke.gateway.context import Gateway, Request, now_ms
from siskinspoke.gateway.holds import hold_ends_in_ms, without_hold, without_rate_limit
from siskinspoke.gateway.regions import Domains, has_server, within
from siskinspoke.gateway.upstream import NotRun, OutcomeUnknown

# Extra latency of a server in another failure domain: two more network crossings.
REMOTE_DOMAIN_MS = 3.0
# Fraction of its target latency that a request may wait for a permit.
PERMIT_WAIT_FRACTION = 0.5
# Expected latency that a cold server must have less than a warm one to be preferred. Milliseconds.
COLD_PENALTY_MS = 100.0


def choose_service(gateway: Gateway, request: Request) -> str:
    """Return a service of the route, chosen at random by weight among those that have servers.

    A forwarded request keeps the service that was chosen first: its stream may have begun there.
    """
    now = now_ms()
    shares = [share for share in request.route.shares if share.weight > 0]
    if request.origin is not None and request.origin.service in {item.service for item in shares}:
        return request.origin.service
    served = [share for share in shares if has_server(gateway, share.service, request.domains, now)]
    if len(served) > 1:
        open_now = [
            share
            for share in served
            if hold_ends_in_ms(gateway, share.service, request.domains) is None
        ]
        served = open_now or served
    chosen = gateway.rng.choices(served or shares, [share.weight for share in served or shares])
    return chosen[0].service


def candidates(
    gateway: Gateway,
    service: str,
    excluded: set[str],
    domains: Domains = None,
    patience_ms: float = 0.0,
) -> list[ServerRecord]:
    """Return the servers that may get a request now, restricted to the healthiest.

    ``domains`` are the only failure domains in which they may be, None for all.  A request may wait
    ``patience_ms`` for the permit of a cold server if there is no other server.
    """
    known = within(gateway.directory.routable(service, now_ms()), domains)
    return _usable(gateway, without_hold(gateway, known, patience_ms), excluded)


def cell_candidates(
    gateway: Gateway,
    service: str,
    excluded: set[str],
    domains: Domains = None,
    patience_ms: float = 0.0,
) -> list[ServerRecord]:
    """Return the servers of this VM's cell that may get a request now, as ``candidates`` does."""
    servers = gateway.cells.servers(service)
    known = within(gateway.directory.routable_among(servers, now_ms()), domains)
    return _usable(gateway, without_hold(gateway, known, patience_ms), excluded)


def prefer_warm(gateway: Gateway, records: list[ServerRecord]) -> list[ServerRecord]:
    """Return the servers that are not cold, or all if there is none."""
    now = now_ms()
    return [item for item in records if not is_cold(gateway, item, now)] or records


def reachable(gateway: Gateway, records: list[ServerRecord]) -> list[ServerRecord]:
    """Return the servers that are reachable from this VM as far as it knows.

    If too many are unreachable, some of them may still get requests, but a request is never moved
    away from another server to one of them.
    """
    now = now_ms()
    return [
        record
        for record in records
        if not gateway.server_health.is_unreachable(record.announcement.server)
        and not gateway.domains.is_cut_off(record.announcement.failure_domain, now)
    ]


def reachable_unlimited(gateway: Gateway, records: list[ServerRecord]) -> list[ServerRecord]:
    """Return the servers to which a request may be moved from another server."""
    return reachable(gateway, without_rate_limit(gateway, records))


def max_permit_wait_ms(gateway: Gateway, request: Request, server: ServerRecord) -> float:
    """Return how long a request may wait for a permit; 0 if another server needs no permit.

    The wait is limited to a fraction of the target latency. After that the request is refused, in
    time for the client to try another VM.
    """
    if gateway.rate_limits.find(server.start) is None:
        return 0.0
    records = candidates(gateway, request.service, {server.announcement.server}, request.domains)
    if reachable_unlimited(gateway, records):
        return 0.0
    return permit_patience_ms(request)


def permit_patience_ms(request: Request) -> float:
    """Return how long a request may still wait for a permit."""
    return max(
        0.0, PERMIT_WAIT_FRACTION * request.route.target_ms - (now_ms() - request.arrived_ms)
    )


def prepare_permits(
    gateway: Gateway,
    request: Request,
    server: ServerRecord,
    attempt: Attempt,
    excluded: set[str],
) -> None:
    """Decide how long an attempt may wait for the permits that its server needs.

    ``excluded`` are the servers that the request may not be sent to any more.
    """
    attempt.permit_wait_ms = max_permit_wait_ms(gateway, request, server)
    attempt.urgent = request.rank == 0
    now = now_ms()
    if not is_cold(gateway, server, now):
        return
    tried = excluded | {server.announcement.server}
    others = candidates(gateway, request.service, tried, request.domains)
    attempt.cold_decision = decide_cold(
        ColdRequest(
            permit_patience_ms(request),
            max(0.0, next_permit_at(gateway, server, now) - now),
            bool(reachable_unlimited(gateway, others)),
            not request.route.repeatable,
        )
    )


def _usable(
    gateway: Gateway, records: list[ServerRecord], excluded: set[str]
) -> list[ServerRecord]:
    now = now_ms()
    by_name = {record.announcement.server: record for record in _latest_per_address(records)}
    for name in excluded:
        by_name.pop(name, None)
    reachable = {
        name: record
        for name, record in by_name.items()
        if not gateway.domains.is_cut_off(record.announcement.failure_domain, now)
    }
    by_name = reachable or by_name
    usable = gateway.server_health.available(by_name, now)
    return [by_name[name] for name in usable]


def _latest_per_address(records: list[ServerRecord]) -> list[ServerRecord]:
    """Keep only the most recently announced server at each address; the others are gone."""
    latest: dict[tuple[str, int], ServerRecord] = {}
    for record in records:
        address = (record.announcement.host, record.announcement.port)
        known = latest.get(address)
        if known is None or record.since >= known.since:
            latest[address] = record
    return list(latest.values())


def least_loaded(gateway: Gateway, records: list[ServerRecord]) -> ServerRecord:
    """Return the server expected to finish a request soonest.

    With up to four servers, all are compared. With more, two random ones are compared, so that VMs
    with the same information do not all choose the same server.
    """
    now = now_ms()
    names = [record.announcement.server for record in records]
    typical_ms = gateway.server_health.median_latency_ms(names, now)
    compared = records if len(records) <= 4 else _sample(gateway, records)
    shuffled = gateway.rng.sample(compared, len(compared))
    return min(
        shuffled,
        key=lambda record: gateway.server_health.expected_ms(
            record.announcement.server, now, typical_ms
        )
        + COLD_PENALTY_MS * is_cold(gateway, record, now),
    )


def _sample(gateway: Gateway, records: list[ServerRecord]) -> list[ServerRecord]:
    """Return two random servers; if both are cold, a warm one replaces the second."""
    now = now_ms()
    first, second = gateway.rng.sample(records, 2)
    if is_cold(gateway, first, now) and is_cold(gateway, second, now):
        warm = prefer_warm(gateway, records)
        second = gateway.rng.choice([item for item in warm if item is not first])
    return [first, second]


def place_choices(
    gateway: Gateway, places: ServerPlaces, records: list[ServerRecord]
) -> list[PlaceChoice]:
    """Return the places of some servers; those that are likely to fail a call are avoided."""
    now = now_ms()
    names = [record.announcement.server for record in records]
    typical_ms = gateway.server_health.median_latency_ms(names, now)
    within_reach = {record.start for record in reachable(gateway, records)}
    choices = []
    for record in gateway.rng.sample(records, len(records)):
        announcement = record.announcement
        estimate = places.estimate(record.start, announcement.slots, record.heard_at, now)
        is_avoided = (
            record.start not in within_reach
            or gateway.server_health.is_ejected(announcement.server, now)
            or is_cold(gateway, record, now)
        )
        expected_ms = gateway.server_health.expected_ms(
            announcement.server, now, typical_ms, estimate.others
        )
        choices.append(PlaceChoice(announcement.server, estimate, is_avoided, expected_ms))
    return choices


def record_failure(
    gateway: Gateway, request: Request, record: ServerRecord, outcome: NotRun | OutcomeUnknown
) -> None:
    """Update the state of a server after a failed attempt."""
    now = now_ms()
    server, incarnation = record.start
    gateway.counters.count(f"attempt.{outcome.failure_kind.value}")
    if outcome.failure_kind is FailureKind.HELD:
        request.held.append(outcome.member or server)
        return
    request.record_attempt(server, outcome.reason, now)
    if isinstance(outcome, OutcomeUnknown):
        gateway.log.note(
            "attempt.broke",
            request=request.call.id,
            fingerprint=request.subject.fingerprint,
            server=server,
            start=incarnation,
            reason=outcome.reason,
            closed=outcome.closed,
            leaving=gateway.directory.has_left(server),
        )
    if gateway.directory.superseded(server, incarnation):
        # The failed process is gone; its failure says nothing about the new one.
        return
    if (
        isinstance(outcome, NotRun)
        and outcome.failure_kind is FailureKind.UNREACHABLE
        and outcome.arrived
    ):
        gateway.directory.mark_leaving(server, incarnation)
        gateway.log.note("server.misdirected", server=server, request=request.call.id)
        return
    faulty, failure_kind = server, outcome.failure_kind
    if isinstance(outcome, NotRun) and outcome.member is not None:
        faulty = outcome.member
    if isinstance(outcome, NotRun) and outcome.at_fault is not None:
        faulty = _server_at(gateway, outcome.at_fault) or server
        # This VM may well reach that server, so a probe from here would prove nothing.
        failure_kind = FailureKind.SILENT
    if isinstance(outcome, OutcomeUnknown) and (outcome.closed or outcome.server_lost):
        gateway.cold_servers.lost(record.start, now)
    was_excluded = gateway.server_health.is_ejected(faulty, now)
    gateway.server_health.record_failure(faulty, failure_kind, now)
    if gateway.server_health.is_ejected(faulty, now) and not was_excluded:
        gateway.log.note(
            "server.aside",
            server=faulty,
            request=request.call.id,
            trouble=failure_kind.value,
            failure_share=round(gateway.server_health.failure_share(faulty), 2),
        )


def _server_at(gateway: Gateway, address: str) -> str | None:
    """Return the server at an address."""
    for record in gateway.directory.all_records():
        announcement = record.announcement
        if f"{announcement.host}:{announcement.port}" == address and not announcement.leaving:
            return announcement.server
    return None
