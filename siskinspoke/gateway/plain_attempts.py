"""One attempt at a server whose answer is read as a whole before it is passed on."""

from collections.abc import Callable
from typing import NamedTuple

from siskinspoke.coordination.crash_watch import RunEnd
from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.coordination.liveness import answer_timeout_ms
from siskinspoke.coordination.server_health import FailureKind
from siskinspoke.gateway.attempts import Attempt
from siskinspoke.gateway.context import Gateway, Request, now_ms
from siskinspoke.gateway.crashes import track_attempt
from siskinspoke.gateway.failover import Failover, RetryState
from siskinspoke.gateway.forwarding.peers import wants_forward
from siskinspoke.gateway.servers import (
    candidates,
    permit_patience_ms,
    place_choices,
    prefer_warm,
    prepare_permits,
    reachable_unlimited,
    record_failure,
)
from siskinspoke.gateway.upstream import (
    AnswerStarted,
    AttemptAbandonedError,
    NotRun,
    OutcomeUnknown,
    connection_failure,
    read_body_part,
    release_connection,
    send,
)
from siskinspoke.gateway.whole_answers import read_whole_body
from siskinspoke.gateway.wire import Answer, Dispatch
from siskinspoke.transport.http1 import PeerError

# Longest idle time of a pooled connection that is reused for a retryable request.  Other requests
# get a new connection: servers drop idle ones without notice, and then it is unknown whether the
# request has run.  Milliseconds.
MAX_IDLE_MS = 60_000.0
NON_RETRYABLE_MAX_IDLE_MS = 0.0
# An attempt times out after this share of the remaining time, if another server can be tried.
ATTEMPT_TIMEOUT_SHARE = 0.45
# Least read timeout of a body, so that an attempt is not abandoned between two parts of it.
MIN_READ_TIMEOUT_MS = 100.0
TIMED_OUT = "the answer did not end in time"


class WholeAnswer(NamedTuple):
    """A server's complete answer."""

    answer: Answer
    body: bytes


def run_end(outcome: object) -> RunEnd:
    """Return what the outcome of an attempt proves about the run; other outcomes prove nothing."""
    match outcome:
        case WholeAnswer():
            return RunEnd.WHOLE
        case NotRun():
            return RunEnd.NOT_RUN
    return RunEnd.BROKE


def remaining_servers(
    gateway: Gateway, request: Request, retry_state: RetryState
) -> list[ServerRecord]:
    """Return the servers that the request may still be sent to."""
    excluded = retry_state.excluded.current(gateway.directory, now_ms())
    patience_ms = permit_patience_ms(request)
    records = candidates(gateway, request.service, excluded, request.domains, patience_ms)
    return records if request.route.repeatable else prefer_warm(gateway, records)


def has_place(gateway: Gateway, records: list[ServerRecord]) -> bool:
    """Tell whether a server is expected to take another call; all are without admission."""
    if gateway.plain_admission is None:
        return bool(records)
    choices = place_choices(gateway, gateway.plain_admission.places, records)
    return any(not item.estimate.is_full for item in choices)


def refused_when_full(gateway: Gateway, server: ServerRecord, outcome: object) -> bool:
    """Tell whether a server refused a call for lack of a place, as far as its load shows."""
    if gateway.plain_admission is None or not isinstance(outcome, NotRun):
        return False
    if outcome.failure_kind is not FailureKind.BUSY or outcome.at_fault is not None:
        return False
    places = gateway.plain_admission.places
    return place_choices(gateway, places, [server])[0].estimate.is_full


async def run_attempt(
    gateway: Gateway,
    request: Request,
    server: ServerRecord,
    retry_state: RetryState,
    on_late: Callable[[ServerRecord], None],
) -> WholeAnswer | NotRun | OutcomeUnknown:
    """Send the request to one server and read its complete answer.

    ``on_late`` is called when the answer is late and a retry is reserved; this attempt continues.
    """
    name = server.announcement.server
    began_at = now_ms()
    left = request.remaining_ms(began_at)

    def has_other() -> bool:
        if wants_forward(gateway, request):
            return True
        remaining = remaining_servers(gateway, request, retry_state)
        return has_place(gateway, reachable_unlimited(gateway, remaining))

    failover = Failover(gateway, request, name, retry_state, has_other)
    reported = False

    def fail_over() -> bool:
        nonlocal reported
        if not reported and failover.fail_over():
            reported = True
            on_late(server)
        return False

    may_reuse = request.route.repeatable and not retry_state.lost_servers
    max_idle_ms = MAX_IDLE_MS if may_reuse else NON_RETRYABLE_MAX_IDLE_MS
    timeout_ms = ATTEMPT_TIMEOUT_SHARE * left
    dispatch = Dispatch(
        call=request.call,
        server=name,
        customer=request.customer.name if request.customer else None,
        left_ms=left,
        rank=request.rank,
        resume_after=request.call.resume_after,
    )
    gateway.server_health.request_started(name)
    outcome: WholeAnswer | NotRun | OutcomeUnknown | AnswerStarted = OutcomeUnknown(
        FailureKind.SILENT, TIMED_OUT
    )
    try:
        with (
            track_attempt(gateway, request, server) as run,
            gateway.attempts.attempt(server, fail_over=fail_over) as attempt,
        ):
            excluded = retry_state.excluded.current(gateway.directory, began_at)
            prepare_permits(gateway, request, server, attempt, excluded)
            usual_ms = gateway.server_health.median_latency_ms([name], began_at)
            attempt.expect_answer_within(answer_timeout_ms(usual_ms), began_at)
            request.unsettled_attempts += 1
            with attempt.wait_scope(left / 1000):
                outcome = await send(
                    gateway, dispatch, server, attempt, timeout_ms / 1000, max_idle_ms
                )
            request.unsettled_attempts -= isinstance(outcome, NotRun)
            if isinstance(outcome, AnswerStarted):
                give_up_at = began_at + timeout_ms
                outcome = await _read_whole(gateway, request, server, outcome, attempt, give_up_at)
            run.end = run_end(outcome)
        if attempt.end_reason and isinstance(outcome, OutcomeUnknown):
            outcome = OutcomeUnknown(FailureKind.BROKEN, attempt.end_reason, server_lost=True)
    finally:
        gateway.server_health.request_ended(name)
    now = now_ms()
    match outcome:
        case WholeAnswer(answer=answer):
            request.record_attempt(name, str(answer.status), now)
            gateway.directory.record_answer(*server.start, now)
            gateway.crashes.record_answer(server.start, began_at, now)
            if answer.status >= 500:
                gateway.server_health.record_failure(name, FailureKind.ERROR, now)
            else:
                gateway.server_health.record_success(name, now - began_at, now)
        case NotRun() if refused_when_full(gateway, server, outcome):
            # The estimate of its places keeps calls away; it is not unhealthy.
            gateway.counters.count(f"attempt.{outcome.failure_kind.value}")
            request.record_attempt(name, outcome.reason, now)
        case _:
            record_failure(gateway, request, server, outcome)
    return outcome


async def _read_whole(
    gateway: Gateway,
    request: Request,
    server: ServerRecord,
    started: AnswerStarted,
    attempt: Attempt,
    give_up_at: float,
) -> WholeAnswer | OutcomeUnknown:
    async def read_part() -> bytes | None:
        left_ms = give_up_at - now_ms()
        if left_ms < 0:
            # The next server is tried also if bytes arrive all the time.
            attempt.fail_over()
        seconds = max(MIN_READ_TIMEOUT_MS, left_ms) / 1000
        return await read_body_part(started.connection, attempt, seconds)

    complete = False
    try:
        name = server.announcement.server
        body = await read_whole_body(gateway, request, name, read_part)
        complete = True
    except PeerError as error:
        return connection_failure(error)
    except AttemptAbandonedError:
        return OutcomeUnknown(FailureKind.SILENT, TIMED_OUT)
    finally:
        if not complete:
            started.connection.reset()
    release_connection(gateway, server, started)
    return WholeAnswer(started.answer, body)
