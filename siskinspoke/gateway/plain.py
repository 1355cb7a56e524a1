"""Serve a request whose answer is one piece: a plain service, or any failure of a stream."""

from typing import NamedTuple

from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.coordination.liveness import whole_due_ms
from siskinspoke.coordination.standing import Trouble
from siskinspoke.core.codes import Failure, ResultCode
from siskinspoke.gateway.attempts import STARTED_AGAIN
from siskinspoke.gateway.context import Gateway, Request, now_ms
from siskinspoke.gateway.servers import candidates, choose_service, learn, least_loaded
from siskinspoke.gateway.upstream import Begun, Broke, NotRun, keep_or_cut, send
from siskinspoke.gateway.wire import Answer, Dispatch
from siskinspoke.transport.http1 import PeerError

# A kept connection may have been idle this long for a request that may be repeated.  One that may
# not gets a connection of its own: servers drop idle ones without notice, and whether a request
# that met such a drop has run, nobody can tell.
FRESH_MS = 60_000.0
FRESH_ONCE_MS = 0.0
# A first attempt of a request that may be repeated is given up after this share of its time.
FIRST_SHARE = 0.45
# Servers tried that could not be reached, so that nothing was sent to them.
MOST_UNREACHABLE = 4
# When to come back after a refusal because all servers are busy or gone.  Milliseconds.
RETRY_AFTER_MS = 400
RETRY_SPREAD = 0.5


class Whole(NamedTuple):
    """A server's complete answer."""

    answer: Answer
    body: bytes


def retry_after(gateway: Gateway, least_ms: float = RETRY_AFTER_MS) -> int:
    """Return when to come back, spread so that refused callers do not come back together."""
    return int(least_ms * (1 + RETRY_SPREAD * gateway.rng.random()))


async def serve_plain(gateway: Gateway, request: Request) -> Whole | Failure:
    """Return a server's whole answer, or the failure that the caller gets instead."""
    request.service = choose_service(gateway, request)
    gateway.budget.first_attempt(request.service, now_ms())
    excluded: set[str] = set()
    ran = arrivals = lost = 0
    last: Whole | Failure | None = None
    while True:
        records = candidates(gateway, request.service, excluded)
        if not records:
            return last or _nobody(gateway)
        if arrivals and not gateway.budget.take(request.service, now_ms()):
            gateway.counters.count("retry.budget_spent")
            return last or _nobody(gateway)
        server = least_loaded(gateway, records)
        name = server.announcement.server
        excluded.add(name)
        fresh_ms = FRESH_MS if request.route.repeatable and not lost else FRESH_ONCE_MS
        is_last = ran + 1 >= request.route.max_attempts
        outcome = await _attempt(gateway, request, server, is_last, fresh_ms)
        match outcome:
            case Whole(answer=answer):
                if answer.status < 500 or not request.route.repeatable:
                    return outcome
                ran += 1
                arrivals += 1
                last = outcome
            case NotRun(arrived=arrived):
                arrivals += arrived
                if len(request.tried) >= MOST_UNREACHABLE:
                    return last or _nobody(gateway)
                continue
            case Broke(reason=reason, gone=gone):
                if not request.route.repeatable:
                    return Failure(ResultCode.FATE_UNKNOWN, reason)
                # One that cannot be reached may work on; only a former start surely does not.
                ran += reason != STARTED_AGAIN
                lost += gone
                arrivals += 1
                last = last or Failure(ResultCode.FATE_UNKNOWN, reason)
        if ran >= request.route.max_attempts:
            return last


def _nobody(gateway: Gateway) -> Failure:
    message = "no backend server can take the request now"
    return Failure(ResultCode.NO_SERVER, message, retry_after(gateway))


async def _attempt(
    gateway: Gateway, request: Request, server: ServerRecord, is_last: bool, fresh_ms: float
) -> Whole | NotRun | Broke:
    """Send the request to one server and read its whole answer."""
    name = server.announcement.server
    began = now_ms()
    left = request.left_ms(began)
    repeatable = request.route.repeatable
    seconds = left / 1000
    if repeatable and not is_last:
        seconds *= FIRST_SHARE
    dispatch = Dispatch(
        call=request.call,
        server=name,
        customer=request.customer.name if request.customer else None,
        left_ms=left,
        rank=request.rank,
        resume_after=request.call.resume_after,
    )
    gateway.standing.began(name)
    outcome: Whole | NotRun | Broke = Broke(Trouble.SILENT, "the answer did not end in time")
    try:
        with (
            gateway.attempts.attempt(server, may_move=repeatable and not is_last) as attempt,
            attempt.within(seconds),
        ):
            usual_ms = gateway.standing.usual_ms([name], began)
            attempt.expect_within(whole_due_ms(usual_ms), began)
            sent = await send(gateway, dispatch, server, seconds, fresh_ms)
            if isinstance(sent, Begun):
                sent = await _read_whole(gateway, server, sent)
            outcome = sent
        if attempt.lost and isinstance(outcome, Broke):
            outcome = Broke(Trouble.BROKEN, attempt.lost, gone=True)
    finally:
        gateway.standing.ended(name)
    now = now_ms()
    match outcome:
        case Whole(answer=answer):
            request.note(name, str(answer.status), now)
            gateway.directory.prove(*server.start, now)
            if answer.status >= 500:
                gateway.standing.failed(name, Trouble.ERROR, now)
            else:
                gateway.standing.succeeded(name, now - began, now)
        case _:
            learn(gateway, request, server, outcome)
    return outcome


async def _read_whole(gateway: Gateway, server: ServerRecord, begun: Begun) -> Whole | Broke:
    parts = []
    complete = False
    try:
        while (data := await begun.connection.read_data()) is not None:
            parts.append(data)
        complete = True
    except PeerError as error:
        return Broke(Trouble.BROKEN, str(error))
    finally:
        if not complete:
            begun.connection.cut()
    keep_or_cut(gateway, server, begun)
    return Whole(begun.answer, b"".join(parts))
