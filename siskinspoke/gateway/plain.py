"""Serve a call of a plain service: its attempts, and its wait for a place."""

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from siskinspoke.coordination.admission import Refuse, Waiter
from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.coordination.place_queue import (
    REFUSED_PAUSE_MS,
    PlaceChoice,
    TakePlace,
)
from siskinspoke.coordination.server_health import FailureKind
from siskinspoke.coordination.server_places import ServerPlaces
from siskinspoke.core.codes import Failure, ResultCode
from siskinspoke.gateway.context import Gateway, Request, now_ms
from siskinspoke.gateway.crashes import check_for_crash, check_quarantine
from siskinspoke.gateway.failover import retry_state_of
from siskinspoke.gateway.forwarding.calls import CallOutcome, forward_call
from siskinspoke.gateway.forwarding.peers import (
    MAX_ATTEMPTS_OUT_OF_REACH,
    is_out_of_reach,
    may_overflow,
    wants_forward,
)
from siskinspoke.gateway.forwarding.sending import Progress, Refused
from siskinspoke.gateway.plain_admission import PlaceSearch, PlainAdmission
from siskinspoke.gateway.plain_attempts import (
    TIMED_OUT,
    WholeAnswer,
    refused_when_full,
    remaining_servers,
    run_attempt,
)
from siskinspoke.gateway.refusals import (
    is_short_of_room,
    no_server_failure,
    out_of_reach_failure,
)
from siskinspoke.gateway.servers import (
    choose_service,
    least_loaded,
    place_choices,
    reachable,
    record_failure,
)
from siskinspoke.gateway.upstream import (
    NotRun,
    OutcomeUnknown,
)

# After so many attempts, at least one of which was not run, no further server is tried.  Plain
# services have few servers, so by then the service as a whole is full, and a refusal that tells the
# caller when to return serves it sooner than one more round trip.
MAX_ATTEMPTS_IF_REFUSED = 4
# A call waits for a place for this share of its target, and after an error for this share of its
# deadline.
WAIT_SHARE = 0.5
# Server time that a call is charged with: a measured one would order calls by its changes.
CALL_COST_MS = 50.0
NO_PLACE = "no backend server has a place for the request now"


async def serve_plain(gateway: Gateway, request: Request) -> WholeAnswer | Failure:
    """Return a server's complete answer, or the failure that the caller gets instead."""
    request.service = choose_service(gateway, request)
    quarantine = await check_quarantine(gateway, request)
    if quarantine is not None:
        return quarantine.refusal
    if request.origin is None:
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


@dataclass(frozen=True)
class _ForwardEnded:
    """The outcome of a forward to a peer."""

    outcome: CallOutcome


class _PlainCall:
    """The attempts of one call; a late attempt stays open while the next one runs.

    The next server may refuse although it seemed to have capacity; then the late one is the only
    one that answers.
    """

    def __init__(self, gateway: Gateway, request: Request, nursery: trio.Nursery):
        self._gateway = gateway
        self._request = request
        self._nursery = nursery
        self._retry_state = retry_state_of(request, open_attempts=0)
        self._last_result: WholeAnswer | Failure | None = None
        self._refusal: Failure | None = None
        self._admission = gateway.plain_admission
        # Whether the last attempt was refused for lack of a place.
        self._was_refused = False
        self._name = self._admission.next_name() if self._admission is not None else ""
        self._send_event, self._events = trio.open_memory_channel[
            _AttemptLate | _AttemptEnded | _ForwardEnded
        ](math.inf)

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
                case _ForwardEnded(outcome=outcome):
                    self._retry_state.open_attempts -= 1
                    result = self._handle_forward(outcome)
                    if result is not None:
                        return result
                    if await self._may_retry():
                        await self._start_attempt_in_turn()
        message = "no backend server can take the request now"
        result = self._last_result or self._refusal
        result = result or no_server_failure(self._gateway, self._request, message)
        if is_short_of_room(result) and may_overflow(self._gateway, self._request):
            return await self._overflow(result)
        return result

    async def _overflow(self, refusal: Failure) -> WholeAnswer | Failure:
        """Forward a call that found no room."""
        progress = Progress(
            self._retry_state.runs, self._retry_state.delivered, self._request.call.resume_after
        )
        match await forward_call(self._gateway, self._request, progress):
            case Refused():
                return refusal
            case OutcomeUnknown(reason=reason):
                return Failure(ResultCode.FATE_UNKNOWN, reason)
            case outcome:
                return outcome

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
        if self._start_forward():
            return
        if self._admission is not None:
            taken = self._admission.take(self._search(self._admission.places))
            if taken is not None:
                self._start_at_place(self._admission, taken)
            return
        records = remaining_servers(gateway, request, retry_state)
        if not records:
            return
        if not retry_state.reserve_retry(gateway, request):
            gateway.counters.count("retry.budget_spent")
            return
        server = least_loaded(gateway, reachable(gateway, records) or records)
        self._begin_attempt(self._attempt, server)

    def _start_forward(self) -> bool:
        """Forward the call if this VM reaches none of its servers; return whether it does.

        Refuses the call if no peer reaches one either, after a few attempts of its own.
        """
        gateway, request, retry_state = self._gateway, self._request, self._retry_state
        if not is_out_of_reach(gateway, request):
            return False
        if wants_forward(gateway, request):
            self.release_retry()
            progress = Progress(
                retry_state.runs + retry_state.open_attempts,
                retry_state.delivered + retry_state.open_attempts,
                request.call.resume_after,
            )
            retry_state.open_attempts += 1
            self._nursery.start_soon(self._forward, progress)
            return True
        tries = len(request.attempts)
        if request.origin is None and tries < MAX_ATTEMPTS_OUT_OF_REACH:
            return False
        self._refusal = self._refusal or out_of_reach_failure(gateway)
        return True

    async def _forward(self, progress: Progress) -> None:
        outcome = await forward_call(self._gateway, self._request, progress)
        self._send_event.send_nowait(_ForwardEnded(outcome))

    def _handle_forward(self, outcome: CallOutcome) -> WholeAnswer | Failure | None:
        """Record how a forward ended; return the caller's result, or None if it is still open."""
        repeatable = self._request.route.repeatable
        self._retry_state.count_forward(outcome)
        match outcome:
            case Refused(failure=failure):
                self._refusal = failure or self._refusal
            case OutcomeUnknown(reason=reason):
                self._last_result = self._last_result or Failure(ResultCode.FATE_UNKNOWN, reason)
                return None if repeatable else self._last_result
            case _:
                return outcome
        return None

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
        if self._start_forward():
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
        records = remaining_servers(self._gateway, self._request, self._retry_state)
        return place_choices(self._gateway, places, records)

    async def _attempt_at_place(
        self, server: ServerRecord, admission: PlainAdmission, taken: TakePlace
    ) -> None:
        gateway, name = self._gateway, server.announcement.server
        began_at, has_run = now_ms(), False
        try:
            _report_turn(gateway, admission.places, server)
            outcome = await run_attempt(
                gateway, self._request, server, self._retry_state, self._on_late
            )
            if isinstance(outcome, WholeAnswer):
                has_run = True
                admission.places.record_duration(name, now_ms() - began_at)
            if refused_when_full(gateway, server, outcome):
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
        outcome = await run_attempt(
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
            case NotRun(failure_kind=FailureKind.UNREACHABLE, arrived=False):
                self._retry_state.undelivered += 1
            case NotRun(failure_kind=failure_kind):
                self._retry_state.refusals += failure_kind is not FailureKind.HELD
            case OutcomeUnknown(reason=reason):
                self._last_result = self._last_result or Failure(ResultCode.FATE_UNKNOWN, reason)
                if not repeatable:
                    return self._last_result
        return None


def _report_turn(gateway: Gateway, places: ServerPlaces, server: ServerRecord) -> None:
    """Report to the cell at once that a server has become full or free."""
    estimate = place_choices(gateway, places, [server])[0].estimate
    if places.has_turned(server.announcement.server, estimate):
        gateway.peers.send_open_calls()
