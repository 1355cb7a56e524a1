"""Serve a request whose answer is one piece: a plain service, or any failure of a stream."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

import trio

from siskinspoke.coordination.crash_watch import RunEnd
from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.coordination.liveness import whole_due_ms
from siskinspoke.coordination.standing import Trouble
from siskinspoke.core.codes import Failure, ResultCode
from siskinspoke.gateway.attempts import Attempt
from siskinspoke.gateway.context import Gateway, Request, now_ms
from siskinspoke.gateway.crashes import note_end, noted, quarantine_of
from siskinspoke.gateway.onward import Onward, Progress
from siskinspoke.gateway.sending import opens_in_ms
from siskinspoke.gateway.servers import (
    candidates,
    choose_service,
    learn,
    least_loaded,
    permit_patience_ms,
    reachable,
    reachable_unlimited,
)
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
        return quarantine.refusal
    gateway.budget.first_attempt(request.service, now_ms())
    async with trio.open_nursery() as nursery:
        call = _PlainCall(gateway, request, nursery)
        try:
            return await call.run()
        finally:
            call.give_back()
            # An attempt that is still open has lost against another one.
            nursery.cancel_scope.cancel()


@dataclass(frozen=True)
class _Late:
    """An attempt has not ended in good time, and a repeat is paid for another one beside it."""


@dataclass(frozen=True)
class _Ended:
    """What became of an attempt."""

    server: ServerRecord
    outcome: Whole | NotRun | Broke


class _PlainCall:
    """The attempts of one call; one that is late stays open beside the next.

    Whoever seems to have room may refuse, and then the first is the only one who answers.
    """

    def __init__(self, gateway: Gateway, request: Request, nursery: trio.Nursery):
        self._gateway = gateway
        self._request = request
        self._nursery = nursery
        self._progress = Progress(open=0)
        self._last: Whole | Failure | None = None
        self._tell, self._events = trio.open_memory_channel[_Late | _Ended](math.inf)

    async def run(self) -> Whole | Failure:
        """Begin attempts until one brings an answer, or none is open and none may begin."""
        self._begin()
        while self._progress.open:
            match await self._events.receive():
                case _Late():
                    self._begin()
                case _Ended(server=server, outcome=outcome):
                    self._progress.open -= 1
                    result = await self._take_in(server, outcome)
                    if result is not None:
                        return result
                    if await self._may_go_on():
                        self._begin()
        message = "no backend server can take the request now"
        return self._last or nobody(self._gateway, self._request, message)

    def give_back(self) -> None:
        """Give back what was paid for an attempt that nobody could take."""
        self._progress.give_back(self._gateway, self._request)

    async def _may_go_on(self) -> bool:
        progress, request = self._progress, self._request
        if progress.ran + progress.open >= request.route.max_attempts:
            return False
        if not progress.has_tries(len(request.tried)) or self._has_found_nobody():
            return False
        return self._last is None or await quarantine_of(self._gateway, request) is None

    def _has_found_nobody(self) -> bool:
        """Tell whether so many servers could not take the call that the next will hardly do."""
        tried = self._request.tried
        return len(tried) >= MOST_UNREACHABLE and self._progress.refused > 0

    def _begin(self) -> None:
        """Begin an attempt at another server, if there is one and a repeat is left."""
        gateway, request, progress = self._gateway, self._request, self._progress
        records = _others(gateway, request, progress)
        if not records:
            return
        if not progress.pay(gateway, request):
            gateway.counters.count("retry.budget_spent")
            return
        server = least_loaded(gateway, reachable(gateway, records) or records)
        progress.left_out.fail(server.start)
        progress.open += 1
        self._nursery.start_soon(self._attempt, server)

    async def _attempt(self, server: ServerRecord) -> None:
        outcome = await _attempt(self._gateway, self._request, server, self._progress, self._late)
        self._tell.send_nowait(_Ended(server, outcome))

    def _late(self, server: ServerRecord) -> None:
        """Take in that another attempt is paid for, since this one's server is late."""
        learn(self._gateway, self._request, server, Broke(Trouble.SILENT, GIVEN_UP))
        self._tell.send_nowait(_Late())

    async def _take_in(
        self, server: ServerRecord, outcome: Whole | NotRun | Broke
    ) -> Whole | Failure | None:
        """Take in how an attempt ended; return what the caller gets, None if that is open."""
        repeatable = self._request.route.repeatable
        if isinstance(outcome, Broke):
            await note_end(self._gateway, server, outcome)
        self._progress.count(self._gateway, server, outcome)
        match outcome:
            case Whole(answer=answer):
                if answer.status < 500 or not repeatable:
                    return outcome
                self._last = outcome
            case NotRun(trouble=trouble):
                self._progress.refused += trouble is not Trouble.HELD
            case Broke(reason=reason):
                self._last = self._last or Failure(ResultCode.FATE_UNKNOWN, reason)
                if not repeatable:
                    return self._last
        return None


def _others(gateway: Gateway, request: Request, progress: Progress) -> list[ServerRecord]:
    """Return the servers that the request may still go to."""
    left_out = progress.left_out.names(gateway.directory, now_ms())
    return candidates(gateway, request.service, left_out)


def nobody(gateway: Gateway, request: Request, message: str) -> Failure:
    """Return the refusal of a request that no server can take; it says when one will."""
    wait_ms = opens_in_ms(gateway, request.service)
    if wait_ms is None:
        return Failure(ResultCode.NO_SERVER, message, retry_after(gateway))
    message += f": all have asked for fewer requests, the first for {math.ceil(wait_ms)} ms more"
    return Failure(ResultCode.NO_SERVER, message, math.ceil(wait_ms) + retry_after(gateway))


async def _attempt(
    gateway: Gateway,
    request: Request,
    server: ServerRecord,
    progress: Progress,
    late: Callable[[ServerRecord], None],
) -> Whole | NotRun | Broke:
    """Send the request to one server and read its whole answer.

    ``late`` is called once the answer is late and a repeat is paid; this attempt goes on.
    """
    name = server.announcement.server
    began = now_ms()
    left = request.left_ms(began)

    def has_other() -> bool:
        return bool(reachable_unlimited(gateway, _others(gateway, request, progress)))

    onward = Onward(gateway, request, name, progress, has_other)
    told = False

    def move_on() -> bool:
        nonlocal told
        if not told and onward.move_on():
            told = True
            late(server)
        return False

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
            gateway.attempts.attempt(server, move_on=move_on) as attempt,
        ):
            attempt.patience_ms = permit_patience_ms(gateway, request, server)
            usual_ms = gateway.standing.usual_ms([name], began)
            attempt.expect_within(whole_due_ms(usual_ms), began)
            with attempt.within(left / 1000):
                outcome = await send(
                    gateway, dispatch, server, attempt, patience_ms / 1000, fresh_ms
                )
            if isinstance(outcome, Begun):
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
