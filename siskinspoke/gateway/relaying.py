"""Pass a stream's events on to the client as they come, whole and each of them once."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from siskinspoke.coordination.standing import Trouble
from siskinspoke.gateway.attempts import Attempt
from siskinspoke.gateway.context import Gateway, Request, now_ms
from siskinspoke.gateway.placing import Placed
from siskinspoke.gateway.plain import Whole
from siskinspoke.gateway.upstream import Begun, Broke, GivenUpError, broken, keep_or_cut, read_on
from siskinspoke.protocol.events import EventSplitter, id_of
from siskinspoke.transport.http1 import ClientConnection, PeerError

# After a pause this many times the longest one that is of use, and at least this long, a stream
# goes on at another engine if one can take it: a long prompt that is read beside it may stop it for
# a second, and callers leave after eight times, or two seconds, so the other one has 0.6 s to read.
PAUSES = 4.0
SILENT_MS = 1_400.0
# A head that has just come is followed by its first event.
LEAST_PATIENCE_MS = 50.0
# Chunked framing of the bytes that go to the client.
CHUNKED = (b"Transfer-Encoding", b"chunked")


Reconsider = Callable[[Attempt, float], str]


@dataclass
class Relay:
    """What the client has been given of a stream so far."""

    client: ClientConnection
    closes: bool
    head_sent: bool = False
    last_id: str | None = None
    events: int = 0
    last_event_at: float | None = None


@dataclass(frozen=True)
class Ended:
    """The server ended the stream as complete."""


@dataclass(frozen=True)
class Flow:
    """What one attempt brings: the answer that has begun, and where it comes from.

    ``began`` is when it was sent, ``give_up_at`` when the first event is so late that another
    server is worth a try.  ``reconsider`` says why the stream should leave its engine, once it
    has begun.
    """

    placed: Placed
    begun: Begun
    attempt: Attempt
    work: int | None
    began: float
    give_up_at: float
    event_due_ms: float
    reconsider: Reconsider | None = None


def given_up(attempt: Attempt) -> Broke:
    """Return what an attempt shows that was given up: silence, unless something else ended it."""
    if not attempt.lost:
        return Broke(Trouble.SILENT, "the stream fell silent")
    trouble = Trouble.BROKEN if attempt.gone else Trouble.SILENT
    return Broke(trouble, attempt.lost, attempt.gone)


def silent_ms(request: Request) -> float:
    """Return after which silence a stream goes on at another engine, if one can take it."""
    return max(SILENT_MS, PAUSES * request.route.pause_ms)


async def pass_on(
    gateway: Gateway, request: Request, relay: Relay, flow: Flow
) -> Ended | Whole | Broke:
    """Pass the events of one server on, or return its answer if it is not a stream."""
    complete = False
    begun = flow.begun
    try:
        if begun.answer.status >= 300:
            parts = []
            seconds = silent_ms(request) / 1000
            while (data := await read_on(begun.connection, flow.attempt, seconds)) is not None:
                parts.append(data)
            complete = True
            return Whole(begun.answer, b"".join(parts))
        if not relay.head_sent:
            relay.head_sent = True
            request.status = begun.answer.status
            headers = [*begun.answer.headers, CHUNKED]
            if relay.closes:
                headers.append((b"Connection", b"close"))
            await relay.client.send_head(begun.answer.status, headers)
        outcome = await _pass_events(gateway, request, relay, flow)
        complete = isinstance(outcome, Ended)
        return outcome
    except PeerError as error:
        return broken(error)
    except GivenUpError:
        return given_up(flow.attempt)
    finally:
        if complete:
            keep_or_cut(gateway, flow.placed.server, begun)
        else:
            begun.connection.cut()


async def _pass_events(
    gateway: Gateway, request: Request, relay: Relay, flow: Flow
) -> Ended | Broke:
    splitter = EventSplitter()
    placed = flow.placed
    first = True
    while True:
        patience_ms = silent_ms(request)
        if first:
            patience_ms = max(LEAST_PATIENCE_MS, flow.give_up_at - now_ms())
        data = await read_on(flow.begun.connection, flow.attempt, patience_ms / 1000)
        if data is None:
            if splitter.rest:
                return Broke(Trouble.BROKEN, "the stream ended in the middle of an event")
            return Ended()
        events = splitter.feed(data)
        if not events:
            continue
        now = now_ms()
        if relay.last_event_at is not None:
            pause = now - relay.last_event_at
            request.longest_pause_ms = max(request.longest_pause_ms, pause)
        relay.last_event_at = now
        flow.attempt.doubt_at = math.inf
        flow.attempt.expect_within(flow.event_due_ms, now)
        if first:
            first = False
            flow.attempt.rely_on(placed.keepers)
            flow.attempt.writes = True
            flow.attempt.reconsider = flow.reconsider
            if flow.work is not None:
                gateway.peers.wrote(flow.work)
            _note_first(gateway, request, flow, now)
        fresh = [event for event in events if _is_new(relay, event)]
        if fresh:
            relay.events += len(fresh)
            relay.last_id = splitter.last_id or relay.last_id
            await relay.client.send_data(b"".join(fresh))
            request.events = relay.events


def _is_new(relay: Relay, event: bytes) -> bool:
    """Tell whether the client has not had an event: a resumed stream may begin too early."""
    event_id = id_of(event)
    if event_id is None or relay.last_id is None:
        return True
    if event_id.isdigit() and relay.last_id.isdigit():
        return int(event_id) > int(relay.last_id)
    return True


def _note_first(gateway: Gateway, request: Request, flow: Flow, now: float) -> None:
    placed = flow.placed
    if placed.job is not None and placed.job.short:
        gateway.foresight.came(placed.expected_ms, now - flow.began)
    if request.first_ms is None:
        request.first_ms = now - request.arrived_ms
        gateway.latencies.record("first_token", request.first_ms)
    gateway.directory.prove(*placed.server.start, now)
