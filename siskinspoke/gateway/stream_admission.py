"""Admission of streams: find room at engines, wait for it, or refuse with the time of room."""

import math
from collections.abc import Sequence

from siskinspoke.coordination.admission import Waiter, useful_time_ms
from siskinspoke.coordination.placement import Place
from siskinspoke.coordination.room_forecast import (
    LARGE_GROUP,
    SHORTAGE_RATIO,
    RoomForecast,
    first_token_limit_ms,
    job_cost_ms,
)
from siskinspoke.coordination.routes import EngineCosts
from siskinspoke.coordination.work_table import Job
from siskinspoke.core.codes import Failure, ResultCode
from siskinspoke.gateway.assignment import (
    DEFAULT_PAUSE_MS,
    Assignment,
    choose_engines,
    engine_costs,
    stream_job,
    to_assignment,
)
from siskinspoke.gateway.booking import book
from siskinspoke.gateway.context import Gateway, Request, now_ms
from siskinspoke.gateway.draining import find_drain_refusal
from siskinspoke.gateway.failover import PlannedAttempt
from siskinspoke.gateway.remote_placement import request_remote_place
from siskinspoke.gateway.servers import cell_candidates
from siskinspoke.gateway.waiting import Search

# A forecast is used for all requests of this time.  Milliseconds.
FORECAST_TTL_MS = 25.0
# Longest wait of a stream, in units of its target: the rest is needed to prefill its prompt.
STREAM_WAIT_TARGETS = 0.3


async def admit_stream(
    gateway: Gateway, request: Request, excluded: set[str]
) -> PlannedAttempt | Failure | None:
    """Return a stream's first attempt, in time or after a wait, or the failure that refuses it.

    Return None where admission does not apply: it is off, or the service has no engines.
    """
    costs, job = engine_costs(gateway, request.service), stream_job(request, None)
    if gateway.waiting is None or not gateway.waiting.enabled or costs is None or job is None:
        return None
    if not cell_candidates(gateway, request.service, excluded, request.domains):
        return None

    elsewhere = await _find_elsewhere(gateway, request, costs, excluded)
    if elsewhere is not None:
        return book(gateway, elsewhere)

    def find() -> PlannedAttempt | None:
        found = _find_room(gateway, request, costs, excluded)
        return None if found is None else book(gateway, found)

    def release(planned: PlannedAttempt) -> None:
        if planned.work is not None:
            gateway.peers.end_work(planned.work)

    def room_in_ms(ahead: Sequence[Waiter]) -> float:
        forecast = _forecast(gateway, request.service, costs)
        return forecast.room_in_ms(job, ahead)

    def refused_now() -> str:
        return "" if find_drain_refusal(gateway, request) is None else "draining"

    waiter = _waiter(request, costs, job)
    search = Search(
        find,
        release,
        room_in_ms,
        refused_now,
        STREAM_WAIT_TARGETS,
        job.tokens,
        wait_targets_alone=math.inf,
    )
    outcome = await gateway.waiting.admit(request.service, waiter, search)
    request.waited_ms, request.ahead = outcome.waited_ms, outcome.ahead
    if outcome.refusal is None:
        return outcome.place
    message = "no engine has room in time"
    if outcome.refusal.reason == "draining":
        message = "this VM is about to stop"
    return Failure(ResultCode.OVERLOADED, message, math.ceil(outcome.refusal.retry_after_ms))


def _find_room(
    gateway: Gateway, request: Request, costs: EngineCosts, excluded: set[str]
) -> Assignment | None:
    """Return engines of this cell on which the first token is expected in time, or None."""
    job = stream_job(request, None)
    records = cell_candidates(gateway, request.service, excluded, request.domains)
    found = choose_engines(gateway, costs, job, records)
    return _within_limit(gateway, request, costs, job, found, len(records))


async def _find_elsewhere(
    gateway: Gateway, request: Request, costs: EngineCosts, excluded: set[str]
) -> Assignment | None:
    """Return engines of another cell, if this one has no room and another offers some."""
    if not gateway.cells.other_cells:
        return None
    records = cell_candidates(gateway, request.service, excluded, request.domains)
    found = choose_engines(gateway, costs, stream_job(request, None), records)
    if found is not None and _is_in_time(gateway, request, costs, found, len(records)):
        return None
    job = stream_job(request, None)
    offered = await request_remote_place(gateway, request, job, excluded, found)
    if offered is None or not gateway.placement.has_memory(costs, job, offered):
        return None
    return _within_limit(gateway, request, costs, stream_job(request, None), offered, len(records))


def _first_token_limit(
    gateway: Gateway, request: Request, costs: EngineCosts, job: Job, engines: int
) -> float:
    now = now_ms()
    left_ms = request.route.target_ms - (now - request.arrived_ms)
    queue = gateway.waiting.queue(request.service)
    yields = queue.is_short_for_more_urgent(request.rank, now)
    group = min(LARGE_GROUP, max(1, engines))
    return first_token_limit_ms(costs, job, left_ms, group, yields, queue.is_overloaded(now))


def _is_in_time(
    gateway: Gateway, request: Request, costs: EngineCosts, found: Place, engines: int
) -> bool:
    """Return whether a place is taken also while room is short."""
    job = stream_job(request, None)
    return found.first_token_ms <= _first_token_limit(gateway, request, costs, job, engines)


def _within_limit(
    gateway: Gateway,
    request: Request,
    costs: EngineCosts,
    job: Job,
    found: Place | None,
    engines: int,
) -> Assignment | None:
    """Return the assignment to a place, or None where room is short and it would be late there.

    ``engines`` is the number of engines that could prefill the prompt together.
    """
    if found is None:
        return None
    now = now_ms()
    limit_ms = _first_token_limit(gateway, request, costs, job, engines)
    queue = gateway.waiting.queue(request.service)
    is_alone = queue.is_alone(request.arrived_ms, now)
    if found.first_token_ms > limit_ms and queue.is_short(now) and not is_alone:
        return None
    if found.first_token_ms > limit_ms * SHORTAGE_RATIO:
        queue.note_shortage(now, request.rank, request.arrived_ms)
    return to_assignment(gateway, found, job, costs)


def _waiter(request: Request, costs: EngineCosts, job: Job) -> Waiter:
    route, arrived = request.route, request.arrived_ms
    pause = route.pause_ms or DEFAULT_PAUSE_MS
    useful = useful_time_ms(route.target_ms, pause, request.deadline_ms)
    return Waiter(
        request.call.id,
        request.rank,
        request.customer.name if request.customer else "",
        arrived,
        arrived + route.target_ms,
        arrived + useful,
        job_cost_ms(costs, job),
        job.weight,
        # The client already has a part of the answer.
        returned=request.call.resume_after is not None,
    )


def _forecast(gateway: Gateway, service: str, costs: EngineCosts) -> RoomForecast:
    now = now_ms()
    known = gateway.forecasts.get(service)
    if known is None or now - known.made_at > FORECAST_TTL_MS:
        names = [item.announcement.server for item in cell_candidates(gateway, service, set())]
        known = RoomForecast(costs, gateway.work_table, names, now)
        gateway.forecasts[service] = known
    return known
