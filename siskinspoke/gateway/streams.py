"""Serve a stream: place it on engines, and resume it after a break."""

import math
from contextlib import AsyncExitStack, asynccontextmanager

import trio

from siskinspoke.coordination.books import Work
from siskinspoke.coordination.crash_watch import RunEnd
from siskinspoke.coordination.liveness import event_due_ms, first_due_ms
from siskinspoke.coordination.moving import Prospect, leaves
from siskinspoke.coordination.passes import read_ms
from siskinspoke.coordination.second_tries import doubt_after_ms, move
from siskinspoke.coordination.standing import Trouble
from siskinspoke.core.codes import Failure, ResultCode
from siskinspoke.gateway.attempts import ASK_AGAIN_SECONDS, MOVED, SLOW, Attempt
from siskinspoke.gateway.context import Gateway, Request, now_ms
from siskinspoke.gateway.crashes import note_end, noted, quarantine_of
from siskinspoke.gateway.onward import NoMore, Onward, Progress, Step
from siskinspoke.gateway.placing import (
    LEAST_TARGET_MS,
    MUST_BE_ALONE,
    Placed,
    choose,
    other_place,
    pass_ms_at,
    place,
)
from siskinspoke.gateway.plain import FRESH_MS, Whole, nobody, run_end
from siskinspoke.gateway.relaying import Ended, Flow, Reconsider, Relay, given_up, pass_on
from siskinspoke.gateway.reservations import Member, Refused, reserved
from siskinspoke.gateway.sending import hold_back
from siskinspoke.gateway.servers import (
    cell_candidates,
    choose_service,
    learn,
    permit_patience_ms,
)
from siskinspoke.gateway.upstream import Begun, Broke, NotRun, held_back, send
from siskinspoke.gateway.wire import Dispatch, Helper
from siskinspoke.transport.http1 import ClientConnection

# A first token that is later than this many times what was expected, and at least this late, is
# awaited elsewhere if another engine can take the prompt: one that waits for a dark helper is cut
# off by its server after 1.5 s.
LATE_FACTOR = 4.0
LATE_MS = 1_000.0
# After a server was lost or silent the next one gets a connection of its own: it may stand behind
# the same cut, where a kept connection would take the request in and say nothing.
FRESH_AFTER_LOSS_MS = 0.0
TRUNCATED = "the stream broke off"
# A request under which servers have crashed waits for an idle engine for this share of its time.
ALONE_SHARE = 0.4


async def serve_stream(
    gateway: Gateway, request: Request, client: ClientConnection, closes: bool
) -> Whole | Failure | None:
    """Pass a stream on; return an answer that is still to be sent, or None if all is sent."""
    request.service = choose_service(gateway, request)
    quarantine = await quarantine_of(gateway, request)
    if quarantine is not None:
        return quarantine.refusal
    gateway.budget.first_attempt(request.service, now_ms())
    relay = Relay(client, closes, last_id=request.call.resume_after)
    progress = Progress()
    try:
        return await _try_engines(gateway, request, relay, progress)
    finally:
        progress.give_back(gateway, request)


async def _try_engines(
    gateway: Gateway, request: Request, relay: Relay, progress: Progress
) -> Whole | Failure | None:
    """Try one place after the other until the stream is whole, or nothing more may be tried."""
    last: Whole | Failure | None = None
    why = NoMore.TRIES
    while progress.has_tries(len(request.tried)):
        if last is not None and await quarantine_of(gateway, request) is not None:
            why = NoMore.QUARANTINE
            break
        step = await _next_step(gateway, request, relay, progress)
        if isinstance(step, NoMore):
            why = step
            break
        placed = step.placed
        outcome = await _attempt(gateway, request, step, relay, progress)
        match outcome:
            case Ended():
                await relay.client.end_answer()
                return None
            case Whole() if _is_final(request, relay, outcome):
                return outcome
            case Whole():
                last = outcome
            case Broke(reason=reason):
                last = last or Failure(ResultCode.FATE_UNKNOWN, reason)
                await note_end(gateway, placed.server, outcome)
        _account(gateway, progress, placed, outcome)
        if isinstance(outcome, Broke) and not request.route.repeatable:
            why = NoMore.ONCE
            break
        if progress.ran >= request.route.max_attempts:
            why = NoMore.ATTEMPTS
            break
    if relay.head_sent:
        _note_cut(gateway, request, relay, why)
        raise StreamCutError(TRUNCATED)
    return last or nobody(gateway, request, "no engine can take the prompt now")


def _is_final(request: Request, relay: Relay, whole: Whole) -> bool:
    """Tell whether the client gets an answer that is no stream, in place of another attempt."""
    is_failure = whole.answer.status >= 500 and request.route.repeatable
    return not is_failure and not relay.head_sent


def _account(
    gateway: Gateway, progress: Progress, placed: Placed, outcome: Whole | NotRun | Broke
) -> None:
    """Count what an attempt has used up, and leave out who should not get the request again."""
    progress.count(gateway, placed.server, outcome)
    match outcome:
        case NotRun(trouble=Trouble.HELD):
            progress.left_out.put_off(placed.name, now_ms())
        case NotRun(member=str(member)):
            # The others of the group may be well, the writing one among them.
            progress.left_out.put_off(member, now_ms())
            progress.unreached += 1
        case NotRun(arrived=arrived, at_fault=at_fault):
            progress.unreached += not arrived
            if at_fault is None:
                progress.left_out.put_off(placed.name, now_ms())
            else:
                # The engines may be cut off from each other where this VM reaches both.
                progress.near_only = True
        case Broke(trouble=Trouble.SILENT):
            progress.left_out.put_off(placed.name, now_ms())
        case _:
            progress.left_out.fail(placed.server.start)


async def _next_step(
    gateway: Gateway, request: Request, relay: Relay, progress: Progress
) -> Step | NoMore:
    """Return where the request goes next, or why nowhere.

    A stream that has begun waits for its place until its time is over: its caller holds a part of
    the answer, and room comes as soon as another stream ends.  One under which servers have crashed
    waits for an engine of its own, for a part of its time.  Anything else is refused at once.
    """
    said: NoMore | None = None
    alone_until = now_ms() + ALONE_SHARE * request.left_ms(now_ms())
    while (step := progress.use_step(gateway)) is None:
        left_out = progress.left_out.names(gateway.directory, now_ms())
        may_wait = now_ms() < alone_until
        placed = await place(
            gateway, request, relay.last_event_at, left_out, progress.near_only, may_wait
        )
        if placed is not None and progress.pay(gateway, request):
            return _begin(gateway, placed)
        why = NoMore.PLACE if placed is None else NoMore.BUDGET
        if why is not said:
            gateway.counters.count("place.none" if placed is None else "retry.budget_spent")
        waits = request.crashes >= MUST_BE_ALONE and may_wait and placed is None
        if not relay.head_sent and not waits:
            return why
        if why is not said:
            gateway.log.note("place.wanting", request=request.call.id, why=why.value)
        said = why
        await trio.sleep(ASK_AGAIN_SECONDS * gateway.rng.uniform(0.5, 1.5))
    return step


def _begin(gateway: Gateway, placed: Placed) -> Step:
    """Enter work into the books before anything is sent, so that no other request takes its place.

    What is entered must be ended.
    """
    now = now_ms()
    if placed.job is None:
        return Step(placed, None, now)
    work = Work(placed.job, placed.names, now, placed.held, alone=placed.alone)
    return Step(placed, gateway.peers.began(work), now)


def _note_cut(gateway: Gateway, request: Request, relay: Relay, why: NoMore) -> None:
    """Write down what was known when a stream that had begun was cut."""
    now = now_ms()
    server = request.tried[-1].server
    gateway.counters.count(f"stream.cut.{why.value}")
    gateway.log.note(
        "stream.cut",
        request=request.call.id,
        why=why.value,
        server=server,
        outcome=request.tried[-1].outcome,
        silent=None if relay.last_event_at is None else round(now - relay.last_event_at),
        left=round(request.left_ms(now)),
        leaving=gateway.directory.has_left(server),
        unreachable=gateway.standing.is_unreachable(server),
        version=request.version,
        version_now=gateway.table.version,
    )


class StreamCutError(Exception):
    """A stream that has begun cannot go on; the client must see that it is cut."""


async def _attempt(
    gateway: Gateway, request: Request, step: Step, relay: Relay, progress: Progress
) -> Ended | Whole | NotRun | Broke:
    """Send the request to one place and pass on what comes."""
    placed, work = step.placed, step.work
    began = now_ms()
    request.engines = 1 + len(placed.helpers)
    request.expected_ms = placed.expected_ms
    request.considered, request.idle = placed.considered, placed.idle
    _note_group(gateway, request, placed)
    onward = _onward(gateway, request, placed, relay, progress)
    gateway.standing.began(placed.name)
    outcome: Ended | Whole | NotRun | Broke = Broke(Trouble.SILENT, "given up")
    try:
        async with AsyncExitStack() as stack:
            run = stack.enter_context(noted(gateway, request, *placed.servers))
            attempt = stack.enter_context(
                gateway.attempts.attempt(*placed.servers, move_on=onward.move_on)
            )
            attempt.patience_ms = permit_patience_ms(gateway, request, placed.server)
            found = await hold_back(gateway, request.call.id, placed.server, attempt)
            if found is not None:
                outcome = held_back(found)
                run.end = RunEnd.NOT_RUN
                return outcome
            reservation = await stack.enter_async_context(_memory_for(gateway, placed, work))
            if isinstance(reservation, Refused):
                trouble = Trouble.BUSY if reservation.full else Trouble.UNREACHABLE
                reason = f"memory could not be reserved at {reservation.server}"
                outcome = NotRun(trouble, reason, arrived=False, member=reservation.server)
                run.end = RunEnd.NOT_RUN
                return outcome
            dispatch = _dispatch(request, placed, relay, reservation)
            seconds = _first_seconds(request, placed, began)
            sent = None
            if placed.job is not None:
                _set_watch(gateway, request, placed, progress, attempt, onward)
            fresh_ms = FRESH_AFTER_LOSS_MS if progress.lost else FRESH_MS
            with attempt.within(math.inf):
                sent = await send(gateway, dispatch, placed.server, attempt, seconds, fresh_ms)
            outcome = sent or given_up(attempt)
            if isinstance(outcome, Begun):
                # The answer may come in the moment in which the next step is taken.
                progress.give_back(gateway, request)
                due = event_due_ms(pass_ms_at(gateway, request, placed))
                give_up_at = began + seconds * 1000
                leave = _leave_for_reading(gateway, request, placed, relay, progress, onward)
                flow = Flow(placed, outcome, attempt, work, began, give_up_at, due, leave)
                outcome = await pass_on(gateway, request, relay, flow)
            run.end = RunEnd.WHOLE if isinstance(outcome, Ended) else run_end(outcome)
            return outcome
    finally:
        gateway.standing.ended(placed.name)
        if work is not None:
            gateway.peers.ended(work)
        _judge(gateway, request, placed, outcome, began)


def _note_group(gateway: Gateway, request: Request, placed: Placed) -> None:
    """Write down which engines are about to read a prompt, where they are several.

    Each of them writes nothing to its streams while it reads its part.
    """
    if not placed.helpers:
        return
    gateway.log.note(
        "attempt.group",
        request=request.call.id,
        servers=placed.names,
        leaving=[item.announcement.server for item in placed.servers if item.announcement.leaving],
        tokens=placed.job.tokens,
        held=placed.held,
        expected=round(placed.expected_ms),
        read=round(read_ms(placed.costs, placed.job.tokens, len(placed.servers))),
    )


def _onward(
    gateway: Gateway, request: Request, placed: Placed, relay: Relay, progress: Progress
) -> Onward:
    """Return what takes the next step for a request that is at a place now."""

    def take_place() -> bool:
        found = other_place(
            gateway,
            request,
            relay.last_event_at,
            progress.left_out.names(gateway.directory, now_ms()) | {placed.name},
            progress.near_only,
            blind=gateway.standing.is_unreachable(placed.name),
        )
        if found is not None:
            progress.next = _begin(gateway, found)
        return found is not None

    return Onward(gateway, request, placed.name, progress, take_place)


def _set_watch(
    gateway: Gateway,
    request: Request,
    placed: Placed,
    progress: Progress,
    attempt: Attempt,
    onward: Onward,
) -> None:
    """Have the servers looked at, and the place doubted, when the first token is late."""
    now = now_ms()
    attempt.expect_within(first_due_ms(placed.expected_ms), now)
    if not placed.job.short or onward.obstacle in (NoMore.ONCE, NoMore.ATTEMPTS):
        return
    if request.crashes:
        # It may crash the server that it leaves all the same, and then the next one.
        return

    def reconsider(attempt: Attempt, now: float) -> str:
        left = request.route.target_ms - (now - request.arrived_ms)
        left_out = progress.left_out.names(gateway.directory, now) | {placed.name}
        others = cell_candidates(gateway, request.service, left_out)
        hurried = placed.job._replace(target_ms=max(LEAST_TARGET_MS, left))
        best = choose(gateway, placed.costs, hurried, others) if others else None
        expected = None if best is None else best.first_token_ms
        chosen = move(left, expected, gateway.foresight.margin_ms)
        if chosen is None:
            return ""
        if chosen.now and onward.move_on():
            return SLOW
        attempt.doubt_at = now + (ASK_AGAIN_SECONDS * 1000 if chosen.now else chosen.again_ms)
        return ""

    attempt.reconsider = reconsider
    attempt.doubt_at = now + doubt_after_ms(placed.expected_ms)


def _leave_for_reading(
    gateway: Gateway,
    request: Request,
    placed: Placed,
    relay: Relay,
    progress: Progress,
    onward: Onward,
) -> Reconsider | None:
    """Return what tells whether a stream leaves its engine before that reads a long prompt."""
    if placed.job is None or request.crashes:
        return None

    def reconsider(attempt: Attempt, now: float) -> str:
        reads_ms = gateway.placement.reading_ms(placed.costs, placed.name, now)
        pause_ms = placed.job.pause_ms
        if reads_ms <= pause_ms or onward.obstacle is not None:
            return ""
        left_out = progress.left_out.names(gateway.directory, now) | {placed.name}
        others = cell_candidates(gateway, request.service, left_out)
        hurried = placed.job._replace(target_ms=pause_ms)
        best = choose(gateway, placed.costs, hurried, others) if others else None
        expected = None if best is None else best.first_token_ms
        silent_ms = now - relay.last_event_at
        margin_ms = gateway.foresight.margin_ms
        prospect = Prospect(silent_ms, reads_ms, pause_ms, expected, margin_ms)
        if not leaves(prospect) or not onward.move_on():
            return ""
        gateway.counters.count("stream.moved")
        gateway.log.note(
            "stream.moved", request=request.call.id, server=placed.name, **prospect._asdict()
        )
        return MOVED

    return reconsider


def think_of_streams(gateway: Gateway, work: Work) -> None:
    """Have streams reconsidered that stand beside a prompt which somebody begins to read."""
    if not work.job.short:
        gateway.attempts.think_of_streams_at(work.servers, now_ms())


@asynccontextmanager
async def _memory_for(gateway: Gateway, placed: Placed, work: int | None):
    """Hold what the helpers must keep; yield the reservation's name, "" where none is needed.

    Yield Refused where it cannot be held.
    """
    if not any(placed.held):
        yield ""
        return
    name = f"{gateway.settings.host}-{work}-{gateway.rng.getrandbits(32):x}"
    pairs = zip(placed.helpers, placed.held, strict=True)
    async with reserved(gateway, name, [Member(*pair) for pair in pairs]) as held:
        yield held if isinstance(held, Refused) else name


def _dispatch(request: Request, placed: Placed, relay: Relay, reservation: str) -> Dispatch:
    """Return what the writing server gets."""
    held = placed.held or (0,) * len(placed.helpers)
    return Dispatch(
        call=request.call,
        server=placed.name,
        customer=request.customer.name if request.customer else None,
        left_ms=request.left_ms(now_ms()),
        rank=request.rank,
        helpers=tuple(
            Helper(item.announcement.host, item.announcement.port, reservation if kept else "")
            for item, kept in zip(placed.helpers, held, strict=True)
        ),
        resume_after=relay.last_id,
    )


def _judge(
    gateway: Gateway,
    request: Request,
    placed: Placed,
    outcome: Ended | Whole | NotRun | Broke,
    began: float,
) -> None:
    """Learn from how an attempt ended that began at a time."""
    now = now_ms()
    if isinstance(outcome, Ended | Whole):
        gateway.crashes.answered(placed.server.start, began, now)
    match outcome:
        case Ended():
            request.note(placed.name, "complete", now)
            gateway.directory.prove(*placed.server.start, now)
            gateway.standing.succeeded(placed.name, None, now)
        case Whole(answer=answer):
            request.note(placed.name, str(answer.status), now)
            gateway.directory.prove(*placed.server.start, now)
            if answer.status >= 500:
                gateway.standing.failed(placed.name, Trouble.ERROR, now)
        case NotRun() | Broke():
            if outcome.reason == MOVED:
                # The engine does what it was asked to do; nothing speaks against it.
                request.note(placed.name, MOVED, now)
            elif outcome.reason != "given up":
                learn(gateway, request, placed.server, outcome)


def _first_seconds(request: Request, placed: Placed, now: float) -> float:
    """Return how long to wait for the first token before another server is tried."""
    left = request.left_ms(now)
    if not request.route.repeatable or placed.job is None:
        return max(0.0, left) / 1000
    patience = max(LATE_MS, LATE_FACTOR * placed.expected_ms, 1.5 * request.route.target_ms)
    return max(0.0, min(left, patience)) / 1000
