"""Serve a stream: assign it to engines, and resume it on others after a failure."""

from dataclasses import dataclass

import trio

from siskinspoke.coordination.server_health import FailureKind
from siskinspoke.core.codes import Failure, ResultCode
from siskinspoke.gateway.assignment import (
    ISOLATION_CRASHES,
    Assignment,
    assign,
)
from siskinspoke.gateway.attempts import RECHECK_SECONDS
from siskinspoke.gateway.booking import book
from siskinspoke.gateway.client_buffers import buffered
from siskinspoke.gateway.context import Gateway, Request, now_ms
from siskinspoke.gateway.crashes import check_for_crash, check_quarantine
from siskinspoke.gateway.failover import (
    PlannedAttempt,
    RetryObstacle,
    RetryState,
    retry_state_of,
)
from siskinspoke.gateway.forwarding.peers import (
    MAX_ATTEMPTS_OUT_OF_REACH,
    is_out_of_reach,
    may_overflow,
    wants_forward,
)
from siskinspoke.gateway.forwarding.sending import Progress, Refused
from siskinspoke.gateway.forwarding.streams import StreamOutcome, forward_stream
from siskinspoke.gateway.holds import all_evacuated
from siskinspoke.gateway.plain_attempts import WholeAnswer
from siskinspoke.gateway.refusals import (
    is_short_of_room,
    no_server_failure,
    out_of_reach_failure,
)
from siskinspoke.gateway.relaying import (
    Relay,
    StreamCompleted,
)
from siskinspoke.gateway.servers import (
    choose_service,
)
from siskinspoke.gateway.stream_admission import admit_stream
from siskinspoke.gateway.stream_attempts import attempt_stream
from siskinspoke.gateway.upstream import (
    NotRun,
    OutcomeUnknown,
)
from siskinspoke.transport.http1 import ClientConnection

TRUNCATED_MESSAGE = "the stream broke off"
# A request during which servers have crashed waits for an idle engine for up to this share of its
# remaining time.
ISOLATION_WAIT_SHARE = 0.4


async def serve_stream(
    gateway: Gateway, request: Request, client: ClientConnection, close_connection: bool
) -> WholeAnswer | Failure | None:
    """Relay a stream; return an answer that is still to be sent, or None if all was sent."""
    request.service = choose_service(gateway, request)
    quarantine = await check_quarantine(gateway, request)
    if quarantine is not None:
        return quarantine.refusal
    if request.origin is None:
        gateway.budget.first_attempt(request.service, now_ms())
    retry_state = retry_state_of(request)
    async with buffered(gateway, request.call.id, client) as output:
        relay = Relay(output, close_connection, last_id=request.call.resume_after)
        try:
            result = await _try_engines(gateway, request, relay, retry_state)
            if is_short_of_room(result) and may_overflow(gateway, request):
                return await _overflow(gateway, request, relay, retry_state, result)
            return result
        finally:
            retry_state.release(gateway, request)


async def _try_engines(
    gateway: Gateway, request: Request, relay: Relay, retry_state: RetryState
) -> WholeAnswer | Failure | None:
    """Try one assignment after another until the stream is complete or no retry is allowed."""
    last: WholeAnswer | Failure | None = None
    refusal: Failure | None = None
    obstacle = RetryObstacle.TRIES
    while retry_state.has_attempts_left(len(request.attempts)):
        if last is not None or request.held:
            quarantine = await check_quarantine(gateway, request)
            if quarantine is not None:
                refusal = quarantine.refusal
            if quarantine is not None or _stops_after_crash(gateway, request, last):
                obstacle = RetryObstacle.QUARANTINE
                break
        planned = await _plan_attempt(gateway, request, relay, retry_state)
        if isinstance(planned, Failure):
            return planned
        if isinstance(planned, RetryObstacle):
            obstacle = planned
            break
        if isinstance(planned, ForwardNext):
            outcome = await _forward(gateway, request, relay, retry_state)
            match outcome:
                case StreamCompleted():
                    await relay.client.finish_response()
                    return None
                case Refused(failure=failure):
                    refusal = failure or refusal
                case OutcomeUnknown(reason=reason):
                    last = last or Failure(ResultCode.FATE_UNKNOWN, reason)
                    if not request.route.repeatable:
                        obstacle = RetryObstacle.NOT_RETRYABLE
                        break
                case _ if relay.head_sent:
                    break
                case _:
                    return outcome
            if retry_state.runs >= request.route.max_attempts:
                obstacle = RetryObstacle.ATTEMPTS
                break
            continue
        assignment = planned.assignment
        outcome = await attempt_stream(gateway, request, planned, relay, retry_state)
        match outcome:
            case StreamCompleted():
                await relay.client.finish_response()
                return None
            case WholeAnswer() if _is_final(request, relay, outcome):
                return outcome
            case WholeAnswer():
                last = outcome
            case OutcomeUnknown(reason=reason):
                last = last or Failure(ResultCode.FATE_UNKNOWN, reason)
                await check_for_crash(gateway, assignment.server, outcome)
        _record_outcome(gateway, retry_state, assignment, outcome)
        if isinstance(outcome, OutcomeUnknown) and not request.route.repeatable:
            obstacle = RetryObstacle.NOT_RETRYABLE
            break
        if retry_state.runs >= request.route.max_attempts:
            obstacle = RetryObstacle.ATTEMPTS
            break
    if relay.head_sent:
        _log_cut(gateway, request, relay, obstacle)
        await relay.flush()
        raise StreamCutError(TRUNCATED_MESSAGE)
    if last is None and refusal is not None:
        return refusal
    return last or no_server_failure(gateway, request, "no engine can take the prompt now")


async def _overflow(
    gateway: Gateway,
    request: Request,
    relay: Relay,
    retry_state: RetryState,
    refusal: Failure,
) -> WholeAnswer | Failure | None:
    """Forward a stream that found no room; return what is still to be sent, if anything."""
    match await _forward(gateway, request, relay, retry_state):
        case StreamCompleted():
            await relay.client.finish_response()
            return None
        case Refused():
            return refusal
        case _ if relay.head_sent:
            await relay.flush()
            raise StreamCutError(TRUNCATED_MESSAGE)
        case OutcomeUnknown(reason=reason):
            return Failure(ResultCode.FATE_UNKNOWN, reason)
        case outcome:
            return outcome


@dataclass(frozen=True)
class ForwardNext:
    """The next attempt is left to a peer, since this VM reaches no engine."""


async def _forward(
    gateway: Gateway, request: Request, relay: Relay, retry_state: RetryState
) -> StreamOutcome:
    """Forward a stream, and count what that used up."""
    retry_state.release(gateway, request)
    progress = Progress(retry_state.runs, retry_state.delivered, relay.last_id)
    outcome = await forward_stream(gateway, request, relay, progress)
    retry_state.count_forward(outcome)
    return outcome


def _stops_after_crash(gateway: Gateway, request: Request, last: object) -> bool:
    """Tell whether a request has crashed servers and is not tried on another one."""
    return last is not None and gateway.crashes.stops_after_crash(request.subject, now_ms())


def _is_final(request: Request, relay: Relay, whole: WholeAnswer) -> bool:
    """Tell whether an answer that is not a stream goes to the client instead of being retried."""
    is_failure = whole.answer.status >= 500 and request.route.repeatable
    return not is_failure and not relay.head_sent


def _record_outcome(
    gateway: Gateway,
    retry_state: RetryState,
    assignment: Assignment,
    outcome: WholeAnswer | NotRun | OutcomeUnknown,
) -> None:
    """Count what an attempt used up, and exclude servers that must not get the request again."""
    retry_state.count_outcome(gateway, assignment.server, outcome)
    match outcome:
        case NotRun(failure_kind=FailureKind.HELD, member=member):
            retry_state.excluded.exclude_temporarily(member or assignment.name, now_ms())
        case NotRun(member=str(member)):
            # The other members of the group may be healthy, including the writing server.
            retry_state.excluded.exclude_temporarily(member, now_ms())
            retry_state.undelivered += 1
        case NotRun(arrived=arrived, at_fault=at_fault):
            retry_state.undelivered += not arrived
            if at_fault is None:
                retry_state.excluded.exclude_temporarily(assignment.name, now_ms())
            else:
                # The engines may be partitioned from each other while this VM reaches both.
                retry_state.local_only = True
        case OutcomeUnknown(failure_kind=FailureKind.SILENT):
            retry_state.excluded.exclude_temporarily(assignment.name, now_ms())
        case _:
            retry_state.excluded.exclude_until_restart(assignment.server.start)


async def _plan_attempt(
    gateway: Gateway, request: Request, relay: Relay, retry_state: RetryState
) -> PlannedAttempt | ForwardNext | RetryObstacle | Failure:
    """Return the next attempt, or the reason why there is none.

    A stream that has not been sent anywhere enters admission, where that is on.  A stream that has
    begun waits for an assignment until its deadline: the client already holds a part of the answer,
    and capacity is freed as soon as another stream ends.  A request during which servers have
    crashed waits for an idle engine, for ISOLATION_WAIT_SHARE of its remaining time.  Anything else
    is refused at once.
    """
    if wants_forward(gateway, request):
        return ForwardNext()
    may_try = request.origin is None and retry_state.undelivered < MAX_ATTEMPTS_OUT_OF_REACH
    if not may_try and not relay.head_sent and is_out_of_reach(gateway, request):
        return out_of_reach_failure(gateway)
    if not request.attempts and not request.crashes and not relay.head_sent:
        excluded = retry_state.excluded.current(gateway.directory, now_ms())
        admitted = await admit_stream(gateway, request, excluded)
        if admitted is not None:
            return admitted
    logged: RetryObstacle | None = None
    isolation_deadline = now_ms() + ISOLATION_WAIT_SHARE * request.remaining_ms(now_ms())
    while (planned := retry_state.take_planned(gateway)) is None:
        excluded = retry_state.excluded.current(gateway.directory, now_ms())
        may_wait = now_ms() < isolation_deadline
        assignment = await assign(
            gateway, request, relay.last_event_at, excluded, retry_state.local_only, may_wait
        )
        if assignment is not None and retry_state.reserve_retry(gateway, request):
            return book(gateway, assignment)
        obstacle = RetryObstacle.PLACE if assignment is None else RetryObstacle.BUDGET
        if obstacle is not logged:
            gateway.counters.count("place.none" if assignment is None else "retry.budget_spent")
        waits = request.crashes >= ISOLATION_CRASHES and may_wait and assignment is None
        waits = waits and not all_evacuated(gateway, request.service)
        if not relay.head_sent and not waits:
            return obstacle
        if obstacle is not logged:
            gateway.log.note("place.wanting", request=request.call.id, why=obstacle.value)
        logged = obstacle
        await trio.sleep(RECHECK_SECONDS * gateway.rng.uniform(0.5, 1.5))
        if wants_forward(gateway, request):
            return ForwardNext()
    return planned


def _log_cut(gateway: Gateway, request: Request, relay: Relay, obstacle: RetryObstacle) -> None:
    """Log the state at which a stream that had begun was truncated."""
    now = now_ms()
    server = request.attempts[-1].server
    gateway.counters.count(f"stream.cut.{obstacle.value}")
    gateway.log.note(
        "stream.cut",
        request=request.call.id,
        why=obstacle.value,
        server=server,
        outcome=request.attempts[-1].outcome,
        silent=None if relay.last_event_at is None else round(now - relay.last_event_at),
        left=round(request.remaining_ms(now)),
        leaving=gateway.directory.has_left(server),
        unreachable=gateway.server_health.is_unreachable(server),
        version=request.version,
        version_now=gateway.table.version,
    )


class StreamCutError(Exception):
    """A stream that has begun cannot continue; the client must see that it is truncated."""
