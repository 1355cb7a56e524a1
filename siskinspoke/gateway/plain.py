"""Serve a request whose answer is not a stream: a plain service's, or a stream's failure."""

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import NamedTuple

import trio

from siskinspoke.coordination.admission import Refuse, Waiter
from siskinspoke.coordination.crash_watch import RunEnd
from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.coordination.liveness import answer_timeout_ms
from siskinspoke.coordination.place_queue import (
    REFUSED_PAUSE_MS,
    PlaceChoice,
    TakePlace,
)
from siskinspoke.coordination.server_health import FailureKind
from siskinspoke.coordination.server_places import ServerPlaces
from siskinspoke.core.codes import Failure, ResultCode
from siskinspoke.gateway.attempts import Attempt
from siskinspoke.gateway.context import Gateway, Request, now_ms
from siskinspoke.gateway.crashes import check_for_crash, check_quarantine, track_attempt
from siskinspoke.gateway.failover import Failover, RetryState
from siskinspoke.gateway.holds import hold_ends_in_ms
from siskinspoke.gateway.plain_admission import PlaceSearch, PlainAdmission
from siskinspoke.gateway.regions import find_region_refusal
from siskinspoke.gateway.servers import (
    candidates,
    choose_service,
    least_loaded,
    permit_patience_ms,
    place_choices,
    prefer_warm,
    prepare_permits,
    reachable,
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
# After so many attempts, at least one of which was not run, no further server is tried.  Plain
# services have few servers, so by then the service as a whole is full, and a refusal that tells the
# caller when to return serves it sooner than one more round trip.
MAX_ATTEMPTS_IF_REFUSED = 4
# Retry-After of refusals because all servers are busy or gone.  Milliseconds.
RETRY_AFTER_MS = 400
RETRY_AFTER_JITTER = 0.5
# The end of an evacuation cannot be predicted, so callers poll at this interval.  Milliseconds.
EVACUATED_RETRY_AFTER_MS = 1_000
# A call waits for a place for this share of its target, and after an error for this share of its
# deadline.
WAIT_SHARE = 0.5
# Server time that a call is charged with: a measured one would order calls by its changes.
CALL_COST_MS = 50.0
NO_PLACE = "no backend server has a place for the request now"


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


def retry_after(gateway: Gateway, least_ms: float = RETRY_AFTER_MS) -> int:
    """Return a Retry-After with jitter, so that refused callers do not return at the same time."""
    return int(least_ms * (1 + RETRY_AFTER_JITTER * gateway.rng.random()))


async def serve_plain(gateway: Gateway, request: Request) -> WholeAnswer | Failure:
    """Return a server's complete answer, or the failure that the caller gets instead."""
    request.service = choose_service(gateway, request)
    quarantine = await check_quarantine(gateway, request)
    if quarantine is not None:
        return quarantine.refusal
    gateway.budget.first_attempt(request.service, now_ms())
    async with trio.open_nursery() as nursery:
        call = _PlainCall(gateway, request, nursery)
        try:
            return await call.run()
        finally:
            call.release_retry()
            # A concurrent attempt that is still open has lost the race.
            nursery.cancel_scope.cancel()


@dataclass(frozen=True)
class _AttemptLate:
    """An attempt is late, and a retry is reserved for a concurrent attempt."""


@dataclass(frozen=True)
class _AttemptEnded:
    """The outcome of an attempt."""

    server: ServerRecord
    outcome: WholeAnswer | NotRun | OutcomeUnknown


class _PlainCall:
    """The attempts of one call; a late attempt stays open while the next one runs.

    The next server may refuse although it seemed to have capacity; then the late one is the only
    one that answers.
    """

    def __init__(self, gateway: Gateway, request: Request, nursery: trio.Nursery):
        self._gateway = gateway
        self._request = request
        self._nursery = nursery
        self._retry_state = RetryState(open_attempts=0)
        self._last_result: WholeAnswer | Failure | None = None
        self._refusal: Failure | None = None
        self._admission = gateway.plain_admission
        # Whether the last attempt was refused for lack of a place.
        self._was_refused = False
        self._name = self._admission.next_name() if self._admission is not None else ""
        self._send_event, self._events = trio.open_memory_channel[_AttemptLate | _AttemptEnded](
            math.inf
        )

    async def run(self) -> WholeAnswer | Failure:
        """Run attempts until one has an answer, or none is open and none may be started."""
        await self._start_attempt_in_turn()
        while self._retry_state.open_attempts:
            match await self._events.receive():
                case _AttemptLate():
                    self._start_attempt()
                case _AttemptEnded(server=server, outcome=outcome):
                    self._retry_state.open_attempts -= 1
                    result = await self._handle_outcome(server, outcome)
                    if result is not None:
                        return result
                    if await self._may_retry():
                        await self._start_attempt_in_turn()
        result = self._last_result or self._refusal
        if result is not None:
            return result
        message = "no backend server can take the request now"
        return no_server_failure(self._gateway, self._request, message)

    def release_retry(self) -> None:
        """Return a retry to the budget that was reserved for an attempt which never started."""
        self._retry_state.release(self._gateway, self._request)

    async def _may_retry(self) -> bool:
        retry_state, request = self._retry_state, self._request
        if retry_state.runs + retry_state.open_attempts >= request.route.max_attempts:
            return False
        if (
            not retry_state.has_attempts_left(len(request.attempts))
            or self._has_run_out_of_servers()
        ):
            return False
        return self._last_result is None or await check_quarantine(self._gateway, request) is None

    def _has_run_out_of_servers(self) -> bool:
        """Tell whether so many servers could not take the call that the next is unlikely to."""
        tried = self._request.attempts
        return len(tried) >= MAX_ATTEMPTS_IF_REFUSED and self._retry_state.refusals > 0

    def _start_attempt(self) -> None:
        """Start an attempt at another server, if there is one and the retry budget allows it."""
        gateway, request, retry_state = self._gateway, self._request, self._retry_state
        if self._admission is not None:
            taken = self._admission.take(self._search(self._admission.places))
            if taken is not None:
                self._start_at_place(self._admission, taken)
            return
        records = _remaining_servers(gateway, request, retry_state)
        if not records:
            return
        if not retry_state.reserve_retry(gateway, request):
            gateway.counters.count("retry.budget_spent")
            return
        server = least_loaded(gateway, reachable(gateway, records) or records)
        self._begin_attempt(self._attempt, server)

    def _begin_attempt(self, attempt: Callable[..., Awaitable[None]], server, *args) -> None:
        self._retry_state.excluded.exclude_until_restart(server.start)
        self._retry_state.open_attempts += 1
        self._nursery.start_soon(attempt, server, *args)

    async def _start_attempt_in_turn(self) -> None:
        """Start an attempt, with admission once a place is free for it.

        A call with an attempt open does not wait: that attempt may answer first.
        """
        if self._admission is None or self._retry_state.open_attempts:
            self._start_attempt()
            return
        if self._was_refused:
            self._was_refused = False
            await trio.sleep(REFUSED_PAUSE_MS / 1000)
        if not self._can_spend_retry():
            self._gateway.counters.count("retry.budget_spent")
            return
        decision = await self._admission.admit(self._search(self._admission.places))
        match decision:
            case TakePlace():
                self._start_at_place(self._admission, decision)
            case Refuse(retry_after_ms=retry_after_ms):
                self._refusal = Failure(ResultCode.OVERLOADED, NO_PLACE, math.ceil(retry_after_ms))

    def _can_spend_retry(self) -> bool:
        retry_state, request = self._retry_state, self._request
        if retry_state.retry_reserved or not retry_state.delivered:
            return True
        return self._gateway.budget.can_spend(request.service, now_ms())

    def _start_at_place(self, admission: PlainAdmission, taken: TakePlace) -> None:
        """Start an attempt at the server whose place was taken, if the retry budget allows it."""
        gateway = self._gateway
        server = gateway.directory.latest(taken.server)
        if server is None or not self._retry_state.reserve_retry(gateway, self._request):
            gateway.counters.count("retry.budget_spent", server is not None)
            admission.places.end(taken.server, False, now_ms())
            return
        self._begin_attempt(self._attempt_at_place, server, admission, taken)

    def _search(self, places: ServerPlaces) -> PlaceSearch:
        """Return how a place is looked for.  A call that a server refused goes before others."""
        request, was_tried = self._request, bool(self._request.attempts)
        arrived_ms, target_ms = request.arrived_ms, request.route.target_ms
        waiter = Waiter(
            name=self._name,
            rank=request.rank,
            customer=request.customer.name if request.customer else "",
            arrived_at=arrived_ms,
            target_at=arrived_ms if was_tried else arrived_ms + target_ms,
            leaves_at=arrived_ms + request.deadline_ms,
            cost_ms=CALL_COST_MS,
            value=1.0,
        )
        useful_ms = request.deadline_ms if self._last_result else target_ms
        wait_ms = WAIT_SHARE * min(useful_ms, request.deadline_ms)
        return PlaceSearch(
            request.call.id,
            request.service,
            waiter,
            request.route.repeatable,
            arrived_ms + wait_ms,
            lambda: self._find_places(places),
        )

    def _find_places(self, places: ServerPlaces) -> list[PlaceChoice]:
        records = _remaining_servers(self._gateway, self._request, self._retry_state)
        return place_choices(self._gateway, places, records)

    async def _attempt_at_place(
        self, server: ServerRecord, admission: PlainAdmission, taken: TakePlace
    ) -> None:
        gateway, name = self._gateway, server.announcement.server
        began_at, has_run = now_ms(), False
        try:
            _report_turn(gateway, admission.places, server)
            outcome = await _attempt(
                gateway, self._request, server, self._retry_state, self._on_late
            )
            if isinstance(outcome, WholeAnswer):
                has_run = True
                admission.places.record_duration(name, now_ms() - began_at)
            if _refused_when_full(gateway, server, outcome):
                self._was_refused = True
                self._retry_state.excluded.readmit(server.start)
        finally:
            admission.places.end(name, has_run, now_ms())
            _report_turn(gateway, admission.places, server)
            admission.places_changed()
        was_refused = isinstance(outcome, NotRun)
        if was_refused and outcome.failure_kind is FailureKind.BUSY:
            gateway.counters.count("places.wrong", taken.was_known)
        elif taken.waited_ms and not was_refused:
            gateway.counters.count("places.foreseen")
        self._send_event.send_nowait(_AttemptEnded(server, outcome))

    async def _attempt(self, server: ServerRecord) -> None:
        outcome = await _attempt(
            self._gateway, self._request, server, self._retry_state, self._on_late
        )
        self._send_event.send_nowait(_AttemptEnded(server, outcome))

    def _on_late(self, server: ServerRecord) -> None:
        """Handle a late server, for which a concurrent attempt's retry is reserved."""
        record_failure(
            self._gateway, self._request, server, OutcomeUnknown(FailureKind.SILENT, TIMED_OUT)
        )
        self._send_event.send_nowait(_AttemptLate())

    async def _handle_outcome(
        self, server: ServerRecord, outcome: WholeAnswer | NotRun | OutcomeUnknown
    ) -> WholeAnswer | Failure | None:
        """Record how an attempt ended; return the caller's result, or None if it is still open."""
        repeatable = self._request.route.repeatable
        if isinstance(outcome, OutcomeUnknown):
            await check_for_crash(self._gateway, server, outcome)
        self._retry_state.count_outcome(self._gateway, server, outcome)
        match outcome:
            case WholeAnswer(answer=answer):
                if answer.status < 500 or not repeatable:
                    return outcome
                self._last_result = outcome
            case NotRun(failure_kind=failure_kind):
                self._retry_state.refusals += failure_kind is not FailureKind.HELD
            case OutcomeUnknown(reason=reason):
                self._last_result = self._last_result or Failure(ResultCode.FATE_UNKNOWN, reason)
                if not repeatable:
                    return self._last_result
        return None


def _remaining_servers(
    gateway: Gateway, request: Request, retry_state: RetryState
) -> list[ServerRecord]:
    """Return the servers that the request may still be sent to."""
    excluded = retry_state.excluded.current(gateway.directory, now_ms())
    patience_ms = permit_patience_ms(request)
    records = candidates(gateway, request.service, excluded, request.domains, patience_ms)
    return records if request.route.repeatable else prefer_warm(gateway, records)


def _has_place(gateway: Gateway, records: list[ServerRecord]) -> bool:
    """Tell whether a server is expected to take another call; all are without admission."""
    if gateway.plain_admission is None:
        return bool(records)
    choices = place_choices(gateway, gateway.plain_admission.places, records)
    return any(not item.estimate.is_full for item in choices)


def _refused_when_full(gateway: Gateway, server: ServerRecord, outcome: object) -> bool:
    """Tell whether a server refused a call for lack of a place, as far as its load shows."""
    if gateway.plain_admission is None or not isinstance(outcome, NotRun):
        return False
    if outcome.failure_kind is not FailureKind.BUSY or outcome.at_fault is not None:
        return False
    places = gateway.plain_admission.places
    return place_choices(gateway, places, [server])[0].estimate.is_full


def _report_turn(gateway: Gateway, places: ServerPlaces, server: ServerRecord) -> None:
    """Report to the cell at once that a server has become full or free."""
    estimate = place_choices(gateway, places, [server])[0].estimate
    if places.has_turned(server.announcement.server, estimate):
        gateway.peers.send_open_calls()


def no_server_failure(gateway: Gateway, request: Request, message: str) -> Failure:
    """Return the refusal of a request that no server can take, with the time to retry."""
    region_refusal = find_region_refusal(gateway, request)
    if region_refusal is not None:
        return region_refusal
    wait_ms = hold_ends_in_ms(gateway, request.service, request.domains)
    if wait_ms is None:
        return Failure(ResultCode.NO_SERVER, message, retry_after(gateway))
    if math.isinf(wait_ms):
        message += ": all are in evacuated failure domains"
        later_ms = retry_after(gateway, EVACUATED_RETRY_AFTER_MS)
        return Failure(ResultCode.EVACUATED, message, later_ms)
    message += f": all have asked for fewer requests, the first for {math.ceil(wait_ms)} ms more"
    return Failure(ResultCode.NO_SERVER, message, math.ceil(wait_ms) + retry_after(gateway))


async def _attempt(
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
        remaining = _remaining_servers(gateway, request, retry_state)
        return _has_place(gateway, reachable_unlimited(gateway, remaining))

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
            with attempt.wait_scope(left / 1000):
                outcome = await send(
                    gateway, dispatch, server, attempt, timeout_ms / 1000, max_idle_ms
                )
            if isinstance(outcome, AnswerStarted):
                give_up_at = began_at + timeout_ms
                outcome = await _read_whole(gateway, server, outcome, attempt, give_up_at)
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
        case NotRun() if _refused_when_full(gateway, server, outcome):
            # The estimate of its places keeps calls away; it is not unhealthy.
            gateway.counters.count(f"attempt.{outcome.failure_kind.value}")
            request.record_attempt(name, outcome.reason, now)
        case _:
            record_failure(gateway, request, server, outcome)
    return outcome


async def _read_whole(
    gateway: Gateway,
    server: ServerRecord,
    started: AnswerStarted,
    attempt: Attempt,
    give_up_at: float,
) -> WholeAnswer | OutcomeUnknown:
    parts = []
    complete = False
    try:
        while True:
            seconds = max(MIN_READ_TIMEOUT_MS, give_up_at - now_ms()) / 1000
            data = await read_body_part(started.connection, attempt, seconds)
            if data is None:
                break
            parts.append(data)
        complete = True
    except PeerError as error:
        return connection_failure(error)
    except AttemptAbandonedError:
        return OutcomeUnknown(FailureKind.SILENT, TIMED_OUT)
    finally:
        if not complete:
            started.connection.reset()
    release_connection(gateway, server, started)
    return WholeAnswer(started.answer, b"".join(parts))
