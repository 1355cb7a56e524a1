"""Choose where a stream goes, by what this VM knows of its servers and of the time left."""

from dataclasses import dataclass, replace

from siskinspoke.coordination.books import Job
from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.coordination.fullness import Look
from siskinspoke.coordination.placement import DRAWN_ENGINES, Candidate, Place
from siskinspoke.coordination.routes import EngineCosts
from siskinspoke.coordination.widening import is_short
from siskinspoke.gateway.context import Gateway, Request, now_ms
from siskinspoke.gateway.servers import (
    REMOTE_MS,
    candidates,
    cell_candidates,
    least_loaded,
    reachable_unlimited,
)
from siskinspoke.gateway.widening import ask_others
from siskinspoke.protocol.peers import PlaceOffer, PlaceQuestion

# A server that fails part of its requests looks this much slower, times that part.
FAILING_MS = 400.0
# A target that is nearer than this cannot be met any more; the request goes where it does least
# harm.  Milliseconds.
LEAST_TARGET_MS = 40.0
# Share of the time left in which the first token should come.
FIRST_SHARE = 0.6
# From so many crashes on a request waits for an idle engine: two in a row are seldom an accident.
MUST_BE_ALONE = 2
# What a stream's pauses may last where its route does not say.  Milliseconds.
LONGEST_PAUSE_MS = 1_000.0


@dataclass
class Placed:
    """Where one attempt goes."""

    server: ServerRecord
    helpers: tuple[ServerRecord, ...] = ()
    expected_ms: float = 0.0
    considered: int = 0
    idle: int = 0
    job: Job | None = None
    costs: EngineCosts | None = None
    held: tuple[int, ...] = ()
    alone: bool = False

    @property
    def name(self) -> str:
        """Return the writing server."""
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
    def keepers(self) -> tuple[ServerRecord, ...]:
        """Return the servers that keep some of the prompt until the end."""
        held = self.held or (0,) * len(self.helpers)
        kept = [item for item, tokens in zip(self.helpers, held, strict=True) if tokens]
        return (self.server, *kept)


async def place(
    gateway: Gateway,
    request: Request,
    last_event_at: float | None,
    excluded: set[str],
    near_only: bool,
    may_wait: bool = False,
) -> Placed | None:
    """Return where the request goes now, or None.

    ``last_event_at`` is when the client had the stream's last event, None before the first.
    ``near_only`` keeps to this failure domain.  A request under which servers have crashed goes to
    an idle engine, and may have to wait for one: beside others it would end those too, and if it
    is not the cause, nobody could tell.
    """
    costs = _costs(gateway, request.service)
    job = _job(request, last_event_at)
    if costs is None or job is None:
        records = _near(gateway, candidates(gateway, request.service, excluded), near_only)
        return Placed(least_loaded(gateway, records)) if records else None
    records = _near(gateway, cell_candidates(gateway, request.service, excluded), near_only)
    if request.crashes and (found := _choose_idle(gateway, costs, job, records)) is not None:
        return replace(_placed(gateway, found, job, costs), alone=True)
    if request.crashes >= MUST_BE_ALONE and may_wait:
        return None
    found = choose(gateway, costs, job, records)
    if not near_only and gateway.cells.others and is_short(found, request.route.target_ms):
        offered = await ask_others(gateway, request, job, excluded, found)
        found = offered or found or _blind(gateway, request.service, job, costs, excluded)
    if found is None:
        return None
    return _placed(gateway, found, job, costs)


def other_place(
    gateway: Gateway,
    request: Request,
    last_event_at: float | None,
    excluded: set[str],
    near_only: bool,
    blind: bool,
) -> Placed | None:
    """Return where the request could go on now, at servers that this VM can reach, or None.

    ``blind`` allows engines of other cells, of whose work this VM knows nothing.
    """
    costs = _costs(gateway, request.service)
    job = _job(request, last_event_at)
    if costs is None or job is None:
        records = reachable_unlimited(gateway, candidates(gateway, request.service, excluded))
        records = _near(gateway, records, near_only)
        return Placed(least_loaded(gateway, records)) if records else None
    found = None
    look = Look(request.service, frozenset(excluded), near_only)
    tokens, now = job.tokens + job.max_tokens, now_ms()
    if not gateway.fullness.is_full(look, tokens, now):
        records = reachable_unlimited(gateway, cell_candidates(gateway, request.service, excluded))
        found = choose(gateway, costs, job, _near(gateway, records, near_only))
        if found is None:
            gateway.fullness.note(look, tokens, now)
    if found is None and blind and gateway.cells.others:
        found = _blind(gateway, request.service, job, costs, excluded)
    return None if found is None else _placed(gateway, found, job, costs)


def _costs(gateway: Gateway, service: str) -> EngineCosts | None:
    """Return what the engines of a service cost, None where it has none or is not known."""
    found = gateway.table.services.get(service) if gateway.table else None
    return found.engine if found is not None else None


def _near(gateway: Gateway, records: list[ServerRecord], near_only: bool) -> list[ServerRecord]:
    """Return the servers of this failure domain, or all where there are none or it is not asked."""
    here = gateway.settings.failure_domain
    near = [item for item in records if item.announcement.failure_domain == here]
    return near if near_only and near else records


def _blind(
    gateway: Gateway, service: str, job: Job, costs: EngineCosts, excluded: set[str]
) -> Place | None:
    """Return a place at engines of other cells, whose work this VM knows nothing of.

    This is for the moments after a loss in which no VM of another cell answers; an engine that is
    full says so at once.
    """
    records = candidates(gateway, service, excluded)
    drawn = gateway.rng.sample(records, min(len(records), DRAWN_ENGINES))
    return choose(gateway, costs, job, drawn)


def _placed(gateway: Gateway, found: Place, job: Job, costs: EngineCosts) -> Placed:
    chosen = [gateway.directory.latest(name) for name in found.servers]
    return Placed(
        server=chosen[0],
        helpers=tuple(chosen[1:]),
        expected_ms=found.first_token_ms,
        considered=found.considered,
        idle=found.idle,
        job=job,
        costs=costs,
        held=found.held,
    )


def _job(request: Request, last_event_at: float | None) -> Job | None:
    prompt = request.call.prompt
    if prompt is None:
        return None
    route, now = request.route, now_ms()
    # Where the route's time is short, the first token must leave some of it for the rest.
    target = min(route.target_ms, FIRST_SHARE * max(1.0, request.left_ms(now)))
    pause = route.pause_ms or LONGEST_PAUSE_MS
    job = Job(prompt.tokens, prompt.max_tokens, target, pause)
    if last_event_at is None:
        left = route.target_ms - (now - request.arrived_ms)
    else:
        left = pause - (now - last_event_at)
    if job.short and left >= LEAST_TARGET_MS:
        # A long prompt that is late anyway would be read by one engine, for as long as it takes.
        return job._replace(target_ms=min(target, left))
    return job


def _choose_idle(
    gateway: Gateway, costs: EngineCosts, job: Job, records: list[ServerRecord]
) -> Place | None:
    idle = [item for item in records if gateway.books.is_idle(item.announcement.server)]
    return choose(gateway, costs, job, idle) if idle else None


def choose(
    gateway: Gateway, costs: EngineCosts, job: Job, records: list[ServerRecord]
) -> Place | None:
    """Return the engines for a job among some servers, or None where none can take it.

    Engines at which a request is suspected to crash them are left to it, where there are others.
    """
    here = gateway.settings.failure_domain
    offered = []
    shared = [item for item in records if not gateway.books.is_alone(item.announcement.server)]
    records = shared or records
    for record in records:
        said = record.announcement
        penalty = FAILING_MS * gateway.standing.failure_share(said.server)
        if said.failure_domain != here:
            penalty += REMOTE_MS
        offered.append(Candidate(said.server, penalty))
    return gateway.placement.choose(costs, job, offered, now_ms(), gateway.rng)


def offer(gateway: Gateway, question: PlaceQuestion) -> PlaceOffer:
    """Return where this VM would place a prompt that came to a VM of another cell."""
    costs = _costs(gateway, question.service)
    found = None
    if costs is not None:
        job = Job(question.tokens, question.max_tokens, question.target_ms, question.pause_ms)
        records = cell_candidates(gateway, question.service, set(question.excluded))
        found = choose(gateway, costs, job, records)
    if found is None:
        return PlaceOffer(question.number, [], 0.0, [])
    return PlaceOffer(question.number, list(found.servers), found.first_token_ms, list(found.held))


def pass_ms_at(gateway: Gateway, request: Request, placed: Placed) -> float:
    """Return how long a pass of the writing engine takes, as the books stand."""
    costs = _costs(gateway, request.service)
    if costs is None:
        return request.route.pause_ms or LONGEST_PAUSE_MS
    return gateway.placement.pass_ms(costs, placed.name)
