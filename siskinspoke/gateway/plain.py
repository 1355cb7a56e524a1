"""Serve a request whose answer is one piece: a plain service, or any failure of a stream."""

from typing import NamedTuple

from siskinspoke.coordination.crash_watch import RunEnd
from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.coordination.liveness import whole_due_ms
from siskinspoke.coordination.standing import Trouble
from siskinspoke.core.codes import Failure, ResultCode
from siskinspoke.gateway.attempts import Attempt
from siskinspoke.gateway.context import Gateway, Request, now_ms
from siskinspoke.gateway.crashes import note_end, noted, quarantine_of, refusal
from siskinspoke.gateway.onward import Onward, Progress
from siskinspoke.gateway.servers import candidates, choose_service, learn, least_loaded, reachable
from siskinspoke.gateway.upstream import (
    Begun,
    Broke,
    GivenUpError,
    NotRun,
    broken,
    keep_or_cut,
    read_on,
    send,
)
from siskinspoke.gateway.wire import Answer, Dispatch
from siskinspoke.transport.http1 import PeerError

# A kept connection may have been idle this long for a request that may be repeated.  One that may
# not gets a connection of its own: servers drop idle ones without notice, and whether a request
# that met such a drop has run, nobody can tell.
FRESH_MS = 60_000.0
FRESH_ONCE_MS = 0.0
# An attempt is given up after this share of the time left, if another server may be tried then.
FIRST_SHARE = 0.45
# A body that is on its way is not given up between two of its parts.
LEAST_PATIENCE_MS = 100.0
GIVEN_UP = "the answer did not end in time"
# Servers tried that could not be reached, so that nothing was sent to them.
MOST_UNREACHABLE = 4
# When to come back after a refusal because all servers are busy or gone.  Milliseconds.
RETRY_AFTER_MS = 400
RETRY_SPREAD = 0.5


class Whole(NamedTuple):
    """A server's complete answer."""

    answer: Answer
    body: bytes


def run_end(outcome: object) -> RunEnd:
    """Return what the outcome of an attempt proves; any but these is an end that proves nothing."""
    match outcome:
        case Whole():
            return RunEnd.WHOLE
        case NotRun():
            return RunEnd.NOT_RUN
    return RunEnd.BROKE


def retry_after(gateway: Gateway, least_ms: float = RETRY_AFTER_MS) -> int:
    """Return when to come back, spread so that refused callers do not come back together."""
    return int(least_ms * (1 + RETRY_SPREAD * gateway.rng.random()))


async def serve_plain(gateway: Gateway, request: Request) -> Whole | Failure:
    """Return a server's whole answer, or the failure that the caller gets instead."""
    request.service = choose_service(gateway, request)
    quarantine = await quarantine_of(gateway, request)
    if quarantine is not None:
        return refusal(quarantine)
    gateway.budget.first_attempt(request.service, now_ms())
    progress = Progress()
    last: Whole | Failure | None = None
    while last is None or await quarantine_of(gateway, request) is None:
        records = _others(gateway, request, progress)
        if not records:
            return last or _nobody(gateway)
        if not progress.pay(gateway, request):
            gateway.counters.count("retry.budget_spent")
            return last or _nobody(gateway)
        server = least_loaded(gateway, reachable(gateway, records) or records)
        progress.left_out.fail(server.start)
        outcome = await _attempt(gateway, request, server, progress)
        if isinstance(outcome, Broke):
            await note_end(gateway, server, outcome)
        progress.count(gateway, server, outcome)
        match outcome:
            case Whole(answer=answer):
                if answer.status < 500 or not request.route.repeatable:
                    return outcome
                last = outcome
            case NotRun():
                if len(request.tried) >= MOST_UNREACHABLE:
                    return last or _nobody(gateway)
                continue
            case Broke(reason=reason):
                if not request.route.repeatable:
                    return Failure(ResultCode.FATE_UNKNOWN, reason)
                last = last or Failure(ResultCode.FATE_UNKNOWN, reason)
        if progress.ran >= request.route.max_attempts:
            return last
        if not progress.has_tries(len(request.tried)):
            return last
    return last


def _others(gateway: Gateway, request: Request, progress: Progress) -> list[ServerRecord]:
    """Return the servers that the request may still go to."""
    left_out = progress.left_out.names(gateway.directory, now_ms())
    return candidates(gateway, request.service, left_out)


def _nobody(gateway: Gateway) -> Failure:
    message = "no backend server can take the request now"
    return Failure(ResultCode.NO_SERVER, message, retry_after(gateway))


async def _attempt(
    gateway: Gateway, request: Request, server: ServerRecord, progress: Progress
) -> Whole | NotRun | Broke:
    """Send the request to one server and read its whole answer."""
    name = server.announcement.server
    began = now_ms()
    left = request.left_ms(began)

    def has_other() -> bool:
        return bool(reachable(gateway, _others(gateway, request, progress)))

    onward = Onward(gateway, request, name, progress, has_other)
    fresh = request.route.repeatable and not progress.lost
    fresh_ms = FRESH_MS if fresh else FRESH_ONCE_MS
    patience_ms = FIRST_SHARE * left
    dispatch = Dispatch(
        call=request.call,
        server=name,
        customer=request.customer.name if request.customer else None,
        left_ms=left,
        rank=request.rank,
        resume_after=request.call.resume_after,
    )
    gateway.standing.began(name)
    outcome: Whole | NotRun | Broke | Begun = Broke(Trouble.SILENT, GIVEN_UP)
    try:
        with (
            noted(gateway, request, server) as run,
            gateway.attempts.attempt(server, move_on=onward.move_on) as attempt,
        ):
            usual_ms = gateway.standing.usual_ms([name], began)
            attempt.expect_within(whole_due_ms(usual_ms), began)
            with attempt.within(left / 1000):
                outcome = await send(
                    gateway, dispatch, server, attempt, patience_ms / 1000, fresh_ms
                )
            if isinstance(outcome, Begun):
                progress.give_back(gateway, request)
                give_up_at = began + patience_ms
                outcome = await _read_whole(gateway, server, outcome, attempt, give_up_at)
            run.end = run_end(outcome)
        if attempt.lost and isinstance(outcome, Broke):
            outcome = Broke(Trouble.BROKEN, attempt.lost, gone=True)
    finally:
        gateway.standing.ended(name)
    now = now_ms()
    match outcome:
        case Whole(answer=answer):
            request.note(name, str(answer.status), now)
            gateway.directory.prove(*server.start, now)
            gateway.crashes.answered(server.start, began, now)
            if answer.status >= 500:
                gateway.standing.failed(name, Trouble.ERROR, now)
            else:
                gateway.standing.succeeded(name, now - began, now)
        case _:
            learn(gateway, request, server, outcome)
    return outcome


async def _read_whole(
    gateway: Gateway, server: ServerRecord, begun: Begun, attempt: Attempt, give_up_at: float
) -> Whole | Broke:
    parts = []
    complete = False
    try:
        while True:
            seconds = max(LEAST_PATIENCE_MS, give_up_at - now_ms()) / 1000
            data = await read_on(begun.connection, attempt, seconds)
            if data is None:
                break
            parts.append(data)
        complete = True
    except PeerError as error:
        return broken(error)
    except GivenUpError:
        return Broke(Trouble.SILENT, GIVEN_UP)
    finally:
        if not complete:
            begun.connection.cut()
    keep_or_cut(gateway, server, begun)
    return Whole(begun.answer, b"".join(parts))
