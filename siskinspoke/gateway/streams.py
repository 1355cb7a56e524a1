"""Serve a stream: assign it to engines, and resume it on others after a failure."""

import math
from contextlib import AsyncExitStack
from dataclasses import dataclass

import trio

from siskinspoke.coordination.crash_watch import RunEnd
from siskinspoke.coordination.liveness import event_timeout_ms
from siskinspoke.coordination.server_health import FailureKind
from siskinspoke.core.codes import Failure, ResultCode
from siskinspoke.gateway.assignment import (
    ISOLATION_CRASHES,
    Assignment,
    assign,
    decode_pass_ms,
    failover_assignment,
)
from siskinspoke.gateway.attempts import MOVED, RECHECK_SECONDS
from siskinspoke.gateway.booking import book, log_group, reserve_memory
from siskinspoke.gateway.client_buffers import buffered
from siskinspoke.gateway.context import Gateway, Request, now_ms
from siskinspoke.gateway.crashes import check_for_crash, check_quarantine, track_attempt
from siskinspoke.gateway.failover import (
    Failover,
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
from siskinspoke.gateway.holds import EVACUATED, Hold, all_evacuated, check_hold
from siskinspoke.gateway.plain_attempts import MAX_IDLE_MS, WholeAnswer, run_end
from siskinspoke.gateway.refusals import (
    is_short_of_room,
    no_server_failure,
    out_of_reach_failure,
)
from siskinspoke.gateway.relaying import (
    Relay,
    StreamAttempt,
    StreamCompleted,
    abandoned_outcome,
    relay_stream,
)
from siskinspoke.gateway.reservations import ReservationRefused
from siskinspoke.gateway.servers import (
    choose_service,
    prepare_permits,
    record_failure,
)
from siskinspoke.gateway.stream_admission import admit_stream
from siskinspoke.gateway.stream_checks import prefill_check, watch_first_token
from siskinspoke.gateway.upstream import (
    AnswerStarted,
    NotRun,
    OutcomeUnknown,
    not_run_on_hold,
    send,
)
from siskinspoke.gateway.wire import Dispatch, Helper
from siskinspoke.transport.http1 import ClientConnection

# The first token is awaited on another engine once it is later than this many times the expected
# time and than this minimum, if another engine can take the prompt.  The minimum is the longest
# pause that streams usually allow: an engine may prefill other prompts for so long, and emits
# nothing meanwhile.
FIRST_TOKEN_TIMEOUT_FACTOR = 4.0
MIN_FIRST_TOKEN_TIMEOUT_MS = 1_000.0
# After a server was lost or stopped responding, the next attempt opens a new connection: the next
# server may be behind the same network partition, where a pooled connection would accept the
# request and never answer.
MAX_IDLE_AFTER_LOSS_MS = 0.0
QUARANTINED = "servers crash under a part of its prompt"
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
        outcome = await _attempt(gateway, request, planned, relay, retry_state)
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


async def _attempt(
    gateway: Gateway,
    request: Request,
    planned: PlannedAttempt,
    relay: Relay,
    retry_state: RetryState,
) -> StreamCompleted | WholeAnswer | NotRun | OutcomeUnknown:
    """Send the request to one assignment and relay its answer."""
    assignment, work = planned.assignment, planned.work
    began_at = now_ms()
    request.engines = 1 + len(assignment.helpers)
    request.expected_first_token_ms = assignment.expected_ms
    request.considered, request.idle = assignment.considered, assignment.idle
    log_group(gateway, request, assignment)
    failover = _failover(gateway, request, assignment, relay, retry_state)
    gateway.server_health.request_started(assignment.name)
    outcome: StreamCompleted | WholeAnswer | NotRun | OutcomeUnknown = OutcomeUnknown(
        FailureKind.SILENT, "given up"
    )
    try:
        async with AsyncExitStack() as stack:
            run = stack.enter_context(track_attempt(gateway, request, *assignment.servers))
            attempt = stack.enter_context(
                gateway.attempts.attempt(*assignment.servers, fail_over=failover.fail_over)
            )
            excluded = retry_state.excluded.current(gateway.directory, began_at)
            prepare_permits(gateway, request, assignment.server, attempt, excluded)
            hold = await check_hold(gateway, request.call.id, assignment.server, attempt)
            if hold is not None:
                outcome = not_run_on_hold(hold)
                run.end = RunEnd.NOT_RUN
                return outcome
            reservation = await stack.enter_async_context(reserve_memory(gateway, assignment, work))
            if isinstance(reservation, ReservationRefused) and reservation.evacuated:
                outcome = not_run_on_hold(Hold(EVACUATED, math.inf, reservation.server))
                run.end = RunEnd.NOT_RUN
                return outcome
            if isinstance(reservation, ReservationRefused):
                failure_kind = FailureKind.BUSY if reservation.full else FailureKind.UNREACHABLE
                reason = f"memory could not be reserved at {reservation.server}"
                outcome = NotRun(failure_kind, reason, arrived=False, member=reservation.server)
                run.end = RunEnd.NOT_RUN
                return outcome
            if gateway.crashes.blames_parts(request.subject, now_ms()) and not request.trial:
                # The verdict may have come while the request waited for room.
                outcome = NotRun(FailureKind.HELD, QUARANTINED, arrived=False)
                run.end = RunEnd.NOT_RUN
                return outcome
            dispatch = _dispatch(request, assignment, relay, reservation)
            seconds = _first_token_timeout(request, assignment, began_at)
            sent = None
            if assignment.job is not None:
                watch_first_token(gateway, request, assignment, retry_state, attempt, failover)
            max_idle_ms = MAX_IDLE_AFTER_LOSS_MS if retry_state.lost_servers else MAX_IDLE_MS
            with attempt.wait_scope(math.inf):
                sent = await send(
                    gateway, dispatch, assignment.server, attempt, seconds, max_idle_ms
                )
            outcome = sent or abandoned_outcome(attempt)
            if isinstance(outcome, AnswerStarted):
                # The answer may arrive in the tick in which the next attempt was planned.
                retry_state.release(gateway, request)
                due = event_timeout_ms(decode_pass_ms(gateway, request, assignment))
                give_up_at = began_at + seconds * 1000
                reconsider = prefill_check(
                    gateway, request, assignment, relay, retry_state, failover
                )
                stream = StreamAttempt(
                    assignment, outcome, attempt, work, began_at, give_up_at, due, reconsider
                )
                outcome = await relay_stream(gateway, request, relay, stream)
            run.end = run_end(outcome)
            if isinstance(outcome, StreamCompleted):
                run.end = RunEnd.WHOLE if dispatch.resume_after is None else RunEnd.REST
            return outcome
    finally:
        gateway.server_health.request_ended(assignment.name)
        if work is not None:
            gateway.peers.end_work(work)
        _record_attempt(gateway, request, assignment, outcome, began_at)


def _failover(
    gateway: Gateway,
    request: Request,
    assignment: Assignment,
    relay: Relay,
    retry_state: RetryState,
) -> Failover:
    """Return the failover of a request that is being served by an assignment."""

    def plan_next() -> bool:
        found = failover_assignment(
            gateway,
            request,
            relay.last_event_at,
            retry_state.excluded.current(gateway.directory, now_ms()) | {assignment.name},
            retry_state.local_only,
            other_cells=gateway.server_health.is_unreachable(assignment.name),
        )
        if found is not None:
            retry_state.planned = book(gateway, found)
        return found is not None or wants_forward(gateway, request)

    return Failover(gateway, request, assignment.name, retry_state, plan_next)


def _dispatch(request: Request, assignment: Assignment, relay: Relay, reservation: str) -> Dispatch:
    """Return the message for the writing server."""
    held = assignment.held_tokens or (0,) * len(assignment.helpers)
    return Dispatch(
        call=request.call,
        server=assignment.name,
        customer=request.customer.name if request.customer else None,
        left_ms=request.remaining_ms(now_ms()),
        rank=request.rank,
        helpers=tuple(
            Helper(item.announcement.host, item.announcement.port, reservation if kept else "")
            for item, kept in zip(assignment.helpers, held, strict=True)
        ),
        resume_after=relay.last_id,
    )


def _record_attempt(
    gateway: Gateway,
    request: Request,
    assignment: Assignment,
    outcome: StreamCompleted | WholeAnswer | NotRun | OutcomeUnknown,
    began_at: float,
) -> None:
    """Update server health from the outcome of an attempt that began at ``began_at``."""
    now = now_ms()
    if isinstance(outcome, StreamCompleted | WholeAnswer):
        gateway.crashes.record_answer(assignment.server.start, began_at, now)
    match outcome:
        case StreamCompleted():
            request.record_attempt(assignment.name, "complete", now)
            gateway.directory.record_answer(*assignment.server.start, now)
            gateway.server_health.record_success(assignment.name, None, now)
        case WholeAnswer(answer=answer):
            request.record_attempt(assignment.name, str(answer.status), now)
            gateway.directory.record_answer(*assignment.server.start, now)
            if answer.status >= 500:
                gateway.server_health.record_failure(assignment.name, FailureKind.ERROR, now)
        case NotRun() | OutcomeUnknown():
            if outcome.reason == MOVED:
                # The engine works as intended; the move does not count against it.
                request.record_attempt(assignment.name, MOVED, now)
            elif outcome.reason != "given up":
                record_failure(gateway, request, assignment.server, outcome)


def _first_token_timeout(request: Request, assignment: Assignment, now: float) -> float:
    """Return how many seconds to wait for the first token before another server is tried."""
    left = request.remaining_ms(now)
    if not request.route.repeatable or assignment.job is None:
        return max(0.0, left) / 1000
    patience = max(
        MIN_FIRST_TOKEN_TIMEOUT_MS,
        FIRST_TOKEN_TIMEOUT_FACTOR * assignment.expected_ms,
        1.5 * request.route.target_ms,
    )
    return max(0.0, min(left, patience)) / 1000
