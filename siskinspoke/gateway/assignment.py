"""Assign streams to engines, by what this VM knows of its servers and by the time left."""

from dataclasses import dataclass, replace

from siskinspoke.coordination.cell_offers import lacks_room
from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.coordination.no_room_cache import RoomSearch
from siskinspoke.coordination.placement import SAMPLED_ENGINES, Candidate, Place
from siskinspoke.coordination.routes import EngineCosts
from siskinspoke.coordination.work_table import Job
from siskinspoke.gateway.cold import is_cold
from siskinspoke.gateway.context import Gateway, Request, now_ms
from siskinspoke.gateway.remote_placement import request_remote_place
from siskinspoke.gateway.servers import (
    COLD_PENALTY_MS,
    REMOTE_DOMAIN_MS,
    candidates,
    cell_candidates,
    least_loaded,
    permit_patience_ms,
    reachable_unlimited,
)
from siskinspoke.protocol.peers import PlaceOffer, PlaceQuestion

# Penalty of a server, times the share of its requests that fail.  Milliseconds.
FAILURE_PENALTY_MS = 400.0
# A target nearer than this can no longer be met; the request goes where it delays others least.
# Milliseconds.
MIN_TARGET_MS = 40.0
# Share of the remaining time within which the first token should arrive.
FIRST_TOKEN_SHARE = 0.6
# After so many crashes a request waits for an idle engine: two in a row are rarely coincidence.
ISOLATION_CRASHES = 2
# Longest pause of a stream whose route sets none.  Milliseconds.
DEFAULT_PAUSE_MS = 1_000.0


@dataclass
class Assignment:
    """The servers of one attempt, and what its placement was based on."""

    server: ServerRecord
    helpers: tuple[ServerRecord, ...] = ()
    expected_ms: float = 0.0
    considered: int = 0
    idle: int = 0
    job: Job | None = None
    costs: EngineCosts | None = None
    held_tokens: tuple[int, ...] = ()
    isolated: bool = False

    @property
    def name(self) -> str:
        """Return the name of the writing server."""
        return self.server.announcement.server

    @property
    def servers(self) -> tuple[ServerRecord, ...]:
        """Return all servers, the writing one first."""
        return (self.server, *self.helpers)

    @property
    def names(self) -> tuple[str, ...]:
        """Return the names of all servers, the writing one first."""
        return tuple(item.announcement.server for item in self.servers)

    @property
    def memory_holders(self) -> tuple[ServerRecord, ...]:
        """Return the servers that hold some of the prompt until the end of the stream."""
        held = self.held_tokens or (0,) * len(self.helpers)
        kept = [item for item, tokens in zip(self.helpers, held, strict=True) if tokens]
        return (self.server, *kept)


async def assign(
    gateway: Gateway,
    request: Request,
    last_event_at: float | None,
    excluded: set[str],
    local_only: bool,
    may_wait: bool = False,
) -> Assignment | None:
    """Return where the request goes now, or None.

    ``last_event_at`` is when the client received the stream's last event, None before the first.
    ``local_only`` restricts the choice to this failure domain.  A request during which servers have
    crashed goes to an idle engine, and may have to wait for one: on a shared engine it would end
    other requests too, and if it is not the cause of the crashes, that could not be told.
    """
    costs = engine_costs(gateway, request.service)
    job = stream_job(request, last_event_at)
    local_only = local_only and _may_stay_local(gateway, request)
    if costs is None or job is None:
        known = candidates(
            gateway, request.service, excluded, request.domains, permit_patience_ms(request)
        )
        records = _local_servers(gateway, known, local_only)
        return Assignment(least_loaded(gateway, records)) if records else None
    known = cell_candidates(
        gateway, request.service, excluded, request.domains, permit_patience_ms(request)
    )
    records = _local_servers(gateway, known, local_only)
    if request.crashes and (found := _choose_idle(gateway, costs, job, records)) is not None:
        return replace(to_assignment(gateway, found, job, costs), isolated=True)
    if request.crashes >= ISOLATION_CRASHES and may_wait:
        return None
    found = choose_engines(gateway, costs, job, records)
    if not local_only and gateway.cells.other_cells and lacks_room(found, request.route.target_ms):
        offered = await request_remote_place(gateway, request, job, excluded, found)
        found = offered or found or _choose_in_other_cells(gateway, request, job, costs, excluded)
        if found is not None and _has_lost_memory(gateway, costs, job, found):
            found = choose_engines(gateway, costs, job, records)
    if found is None:
        return None
    return to_assignment(gateway, found, job, costs)


def failover_assignment(
    gateway: Gateway,
    request: Request,
    last_event_at: float | None,
    excluded: set[str],
    local_only: bool,
    other_cells: bool,
) -> Assignment | None:
    """Return where the request could continue now, on servers that this VM can reach, or None.

    ``other_cells`` allows engines of other cells, whose load this VM does not know.
    """
    costs = engine_costs(gateway, request.service)
    job = stream_job(request, last_event_at)
    local_only = local_only and _may_stay_local(gateway, request)
    if costs is None or job is None:
        records = reachable_unlimited(
            gateway, candidates(gateway, request.service, excluded, request.domains)
        )
        records = _local_servers(gateway, records, local_only)
        return Assignment(least_loaded(gateway, records)) if records else None
    found = None
    search = RoomSearch(request.service, frozenset(excluded), local_only, request.domains)
    tokens, now = job.tokens + job.max_tokens, now_ms()
    if not gateway.no_room_cache.found_no_room(search, tokens, now):
        records = reachable_unlimited(
            gateway, cell_candidates(gateway, request.service, excluded, request.domains)
        )
        found = choose_engines(gateway, costs, job, _local_servers(gateway, records, local_only))
        if found is None:
            gateway.no_room_cache.record(search, tokens, now)
    # The engines of this VM's cell may all be outside of the request's regions.
    other_cells = other_cells or request.domains is not None
    if found is None and other_cells and gateway.cells.other_cells:
        found = _choose_in_other_cells(gateway, request, job, costs, excluded)
    return None if found is None else to_assignment(gateway, found, job, costs)


def engine_costs(gateway: Gateway, service: str) -> EngineCosts | None:
    """Return the engine costs of a service, None for plain and for unknown services."""
    found = gateway.table.services.get(service) if gateway.table else None
    return found.engine if found is not None else None


def _local_servers(
    gateway: Gateway, records: list[ServerRecord], local_only: bool
) -> list[ServerRecord]:
    """Return the servers of this failure domain if ``local_only`` and there are any, else all."""
    own_domain = gateway.settings.failure_domain
    local = [item for item in records if item.announcement.failure_domain == own_domain]
    return local if local_only and local else records


def _has_lost_memory(gateway: Gateway, costs: EngineCosts, job: Job, found: Place) -> bool:
    """Return whether other work has taken the memory of a place while offers were awaited."""
    if not gateway.settings.queue_capacity or gateway.placement.has_memory(costs, job, found):
        return False
    gateway.counters.count("place.memory_taken")
    return True


def _may_stay_local(gateway: Gateway, request: Request) -> bool:
    """Return whether the request may be served in this VM's own failure domain."""
    return request.domains is None or gateway.settings.failure_domain in request.domains


def _choose_in_other_cells(
    gateway: Gateway, request: Request, job: Job, costs: EngineCosts, excluded: set[str]
) -> Place | None:
    """Choose among engines of other cells, whose load this VM does not know.

    This is used right after a loss, when no VM of another cell answers; an engine that is full
    refuses at once.
    """
    records = candidates(gateway, request.service, excluded, request.domains)
    drawn = gateway.rng.sample(records, min(len(records), SAMPLED_ENGINES))
    return choose_engines(gateway, costs, job, drawn)


def to_assignment(gateway: Gateway, found: Place, job: Job, costs: EngineCosts) -> Assignment:
    """Return a place as an assignment, with what this VM knows of its servers."""
    chosen = [gateway.directory.latest(name) for name in found.servers]
    return Assignment(
        server=chosen[0],
        helpers=tuple(chosen[1:]),
        expected_ms=found.first_token_ms,
        considered=found.considered,
        idle=found.idle,
        job=job,
        costs=costs,
        held_tokens=found.held,
    )


def stream_job(request: Request, last_event_at: float | None) -> Job | None:
    """Return the properties of a request that placement uses, None if it has no prompt."""
    prompt = request.call.prompt
    if prompt is None:
        return None
    route, now = request.route, now_ms()
    # With a short route timeout, the first token must leave some of the time for the rest.
    target = min(route.target_ms, FIRST_TOKEN_SHARE * max(1.0, request.remaining_ms(now)))
    pause = route.pause_ms or DEFAULT_PAUSE_MS
    job = Job(prompt.tokens, prompt.max_tokens, target, pause)
    if last_event_at is None:
        left = route.target_ms - (now - request.arrived_ms)
    else:
        left = pause - (now - last_event_at)
    if job.short and left >= MIN_TARGET_MS:
        # A long prompt that is late anyway would be prefilled by one engine, however long that
        # takes.
        return job._replace(target_ms=min(target, left))
    return job


def _choose_idle(
    gateway: Gateway, costs: EngineCosts, job: Job, records: list[ServerRecord]
) -> Place | None:
    idle = [item for item in records if gateway.work_table.is_idle(item.announcement.server)]
    return choose_engines(gateway, costs, job, idle) if idle else None


def choose_engines(
    gateway: Gateway,
    costs: EngineCosts,
    job: Job,
    records: list[ServerRecord],
) -> Place | None:
    """Return the engines for a job among some servers, or None where none can take it.

    Engines reserved for a request that is suspected of crashing them are avoided, where there are
    others.
    """
    shared = [
        item for item in records if not gateway.work_table.is_exclusive(item.announcement.server)
    ]
    records = shared or records
    now = now_ms()
    cold = {item.announcement.server for item in records if is_cold(gateway, item, now)}
    found = _choose(gateway, costs, job, records, cold)
    if found is None or cold.isdisjoint(found.servers[1:]):
        return found
    return _choose_without_cold_helpers(gateway, costs, job, records, cold)


def _choose_without_cold_helpers(
    gateway: Gateway, costs: EngineCosts, job: Job, records: list[ServerRecord], cold: set[str]
) -> Place | None:
    """Return warm engines, or one cold engine alone, whichever emits the first token sooner.

    A permit allows one request to the decoding engine, none to those that help it.
    """
    warm = [item for item in records if item.announcement.server not in cold]
    alone = [item for item in records if item.announcement.server in cold][:SAMPLED_ENGINES]
    groups = [warm] if warm else []
    groups += [[item] for item in alone]
    places = [_choose(gateway, costs, job, group, cold) for group in groups]
    found = [place for place in places if place is not None]
    return min(found, key=lambda place: place.first_token_ms, default=None)


def _choose(
    gateway: Gateway, costs: EngineCosts, job: Job, records: list[ServerRecord], cold: set[str]
) -> Place | None:
    own_domain = gateway.settings.failure_domain
    offered = []
    for record in records:
        announcement = record.announcement
        penalty = FAILURE_PENALTY_MS * gateway.server_health.failure_share(announcement.server)
        if announcement.failure_domain != own_domain:
            penalty += REMOTE_DOMAIN_MS
        if announcement.server in cold:
            penalty += COLD_PENALTY_MS
        offered.append(Candidate(announcement.server, penalty))
    return gateway.placement.choose(costs, job, offered, now_ms(), gateway.rng)


def make_offer(gateway: Gateway, question: PlaceQuestion) -> PlaceOffer:
    """Return where this VM would place a prompt that a VM of another cell received."""
    costs = engine_costs(gateway, question.service)
    found = None
    if costs is not None:
        job = Job(question.tokens, question.max_tokens, question.target_ms, question.pause_ms)
        domains = frozenset(question.domains) or None
        records = cell_candidates(gateway, question.service, set(question.excluded), domains)
        found = choose_engines(gateway, costs, job, records)
    if found is None:
        return PlaceOffer(question.number, [], 0.0, [])
    return PlaceOffer(question.number, list(found.servers), found.first_token_ms, list(found.held))


def decode_pass_ms(gateway: Gateway, request: Request, assignment: Assignment) -> float:
    """Return how long a pass of the writing engine takes, according to the work table."""
    costs = engine_costs(gateway, request.service)
    if costs is None:
        return request.route.pause_ms or DEFAULT_PAUSE_MS
    return gateway.placement.pass_ms(costs, assignment.name)
