"""One attempt of a stream: send it to an assignment of engines, and relay the answer."""

import math
from contextlib import AsyncExitStack

from siskinspoke.coordination.crash_watch import RunEnd
from siskinspoke.coordination.liveness import event_timeout_ms
from siskinspoke.coordination.server_health import FailureKind
from siskinspoke.gateway.assignment import (
    Assignment,
    decode_pass_ms,
    failover_assignment,
)
from siskinspoke.gateway.attempts import MOVED
from siskinspoke.gateway.booking import book, log_group, reserve_memory
from siskinspoke.gateway.context import Gateway, Request, now_ms
from siskinspoke.gateway.crashes import track_attempt
from siskinspoke.gateway.failover import (
    Failover,
    PlannedAttempt,
    RetryState,
)
from siskinspoke.gateway.forwarding.peers import (
    wants_forward,
)
from siskinspoke.gateway.holds import EVACUATED, Hold, check_hold
from siskinspoke.gateway.plain_attempts import MAX_IDLE_MS, WholeAnswer, run_end
from siskinspoke.gateway.relaying import (
    Relay,
    StreamAttempt,
    StreamCompleted,
    abandoned_outcome,
    relay_stream,
)
from siskinspoke.gateway.reservations import ReservationRefused
from siskinspoke.gateway.servers import (
    prepare_permits,
    record_failure,
)
from siskinspoke.gateway.stream_checks import prefill_check, watch_first_token
from siskinspoke.gateway.upstream import (
    AnswerStarted,
    NotRun,
    OutcomeUnknown,
    not_run_on_hold,
    send,
)
from siskinspoke.gateway.wire import Dispatch, Helper

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


async def attempt_stream(
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
            request.unsettled_attempts += 1
            with attempt.wait_scope(math.inf):
                sent = await send(
                    gateway, dispatch, assignment.server, attempt, seconds, max_idle_ms
                )
            outcome = sent or abandoned_outcome(attempt)
            request.unsettled_attempts -= isinstance(outcome, NotRun)
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
