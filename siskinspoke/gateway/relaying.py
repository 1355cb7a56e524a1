"""Relay a stream's events to the client as they arrive, unsplit and each of them once."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from siskinspoke.coordination.server_health import FailureKind
from siskinspoke.gateway.assignment import Assignment
from siskinspoke.gateway.attempts import Attempt
from siskinspoke.gateway.client_buffers import BufferedClient
from siskinspoke.gateway.context import Gateway, Request, now_ms
from siskinspoke.gateway.forwarding.results import mark_result
from siskinspoke.gateway.plain_attempts import WholeAnswer
from siskinspoke.gateway.upstream import (
    AnswerStarted,
    AttemptAbandonedError,
    OutcomeUnknown,
    connection_failure,
    read_body_part,
    release_connection,
)
from siskinspoke.gateway.whole_answers import read_whole_body
from siskinspoke.gateway.wire import Answer
from siskinspoke.protocol.events import (
    MAX_EVENT_BYTES,
    EventSplitter,
    InvalidStreamError,
    parse_event_id,
)
from siskinspoke.transport.http1 import ClientConnection, PeerError

# Silence after which a stream continues on another engine, if one can take it: a multiple of the
# longest useful pause, and a minimum.  A long prompt that is prefilled on the same engine may stop
# the stream for a second; clients leave after eight times the pause, or after two seconds, which
# leaves the other engine 0.6 s for its prefill.
MAX_PAUSE_FACTOR = 4.0
MIN_SILENCE_MS = 1_400.0
# Least timeout of the first event, which follows an answer's head.  Milliseconds.
MIN_READ_TIMEOUT_MS = 50.0
TORN_EVENT = "the stream ended in the middle of an event"
# Framing of the body that is sent to the client.
CHUNKED = (b"Transfer-Encoding", b"chunked")


Reconsider = Callable[[Attempt, float], str]


@dataclass
class Relay:
    """What the client has received of a stream so far."""

    client: ClientConnection | BufferedClient
    close_connection: bool
    head_sent: bool = False
    last_id: str | None = None
    events: int = 0
    last_event_at: float | None = None
    # Bytes since the last event that the client lacked.
    stale_bytes: int = 0

    async def flush(self) -> None:
        """Return when the client has been sent all that was received."""
        if isinstance(self.client, BufferedClient):
            await self.client.flush()


@dataclass(frozen=True)
class StreamCompleted:
    """The server ended the stream as complete."""


@dataclass(frozen=True)
class StreamAttempt:
    """An attempt at a stream whose answer has started.

    ``sent_at`` is when it was sent, ``first_event_deadline`` when the first event is so late that
    another server is tried.  ``reconsider`` returns a reason to leave the engine, once the stream
    has begun.
    """

    assignment: Assignment
    answer_started: AnswerStarted
    attempt: Attempt
    work: int | None
    sent_at: float
    first_event_deadline: float
    event_due_ms: float
    reconsider: Reconsider | None = None


def abandoned_outcome(attempt: Attempt) -> OutcomeUnknown:
    """Return the outcome of an abandoned attempt: silence, unless something else ended it."""
    if not attempt.end_reason:
        return OutcomeUnknown(FailureKind.SILENT, "the stream fell silent")
    failure_kind = FailureKind.BROKEN if attempt.server_lost else FailureKind.SILENT
    return OutcomeUnknown(failure_kind, attempt.end_reason, attempt.server_lost)


def silent_ms(request: Request) -> float:
    """Return the silence after which a stream continues on another engine, if one can take it."""
    return max(MIN_SILENCE_MS, MAX_PAUSE_FACTOR * request.route.pause_ms)


async def relay_stream(
    gateway: Gateway, request: Request, relay: Relay, stream: StreamAttempt
) -> StreamCompleted | WholeAnswer | OutcomeUnknown:
    """Relay the events of one server, or return its answer if that is not a stream."""
    complete = False
    started = stream.answer_started
    try:
        if started.answer.status >= 300:
            seconds = silent_ms(request) / 1000

            async def read_part() -> bytes | None:
                return await read_body_part(started.connection, stream.attempt, seconds)

            name = stream.assignment.name
            body = await read_whole_body(gateway, request, name, read_part)
            complete = True
            return WholeAnswer(started.answer, body)
        await begin_relay(request, relay, started.answer)
        outcome = await _relay_events(gateway, request, relay, stream)
        complete = isinstance(outcome, StreamCompleted)
        return outcome
    except PeerError as error:
        return connection_failure(error)
    except InvalidStreamError as error:
        return OutcomeUnknown(FailureKind.INVALID, str(error))
    except AttemptAbandonedError:
        return abandoned_outcome(stream.attempt)
    finally:
        if complete:
            release_connection(gateway, stream.assignment.server, started)
        else:
            started.connection.reset()


async def begin_relay(request: Request, relay: Relay, answer: Answer) -> None:
    """Send the head of a stream to the client, unless it has one already."""
    if relay.head_sent:
        return
    relay.head_sent = True
    request.status = answer.status
    headers = [*answer.headers, CHUNKED]
    if relay.close_connection:
        headers.append((b"Connection", b"close"))
    await relay.client.send_response_head(answer.status, mark_result(request, headers))


async def _relay_events(
    gateway: Gateway, request: Request, relay: Relay, stream: StreamAttempt
) -> StreamCompleted | OutcomeUnknown:
    splitter = EventSplitter()
    assignment = stream.assignment
    first = True
    while True:
        patience_ms = silent_ms(request)
        if first:
            patience_ms = max(MIN_READ_TIMEOUT_MS, stream.first_event_deadline - now_ms())
        data = await read_body_part(
            stream.answer_started.connection, stream.attempt, patience_ms / 1000
        )
        if data is None:
            if splitter.incomplete:
                return OutcomeUnknown(FailureKind.BROKEN, TORN_EVENT)
            return StreamCompleted()
        events = splitter.feed(data)
        if not events:
            continue
        now = now_ms()
        stream.attempt.expect_answer_within(stream.event_due_ms, now)
        if first:
            first = False
            # Later checks are requested by news of other work, which an event must not drop.
            stream.attempt.recheck_at = math.inf
            stream.attempt.depend_on(assignment.memory_holders)
            stream.attempt.is_streaming = True
            stream.attempt.reconsider = stream.reconsider
            if stream.work is not None:
                gateway.peers.mark_first_token(stream.work)
            _record_first_event(gateway, request, stream, now)
        await relay_events(request, relay, events)


async def relay_events(request: Request, relay: Relay, events: list[bytes]) -> None:
    """Send the events to the client that it lacks.

    Raise InvalidStreamError if there are none for too long.
    """
    now = now_ms()
    if relay.last_event_at is not None:
        pause = now - relay.last_event_at
        request.longest_pause_ms = max(request.longest_pause_ms, pause)
    relay.last_event_at = now
    fresh = [event for event in events if _take_if_new(relay, event)]
    relay.stale_bytes = 0 if fresh else relay.stale_bytes + sum(map(len, events))
    if relay.stale_bytes > MAX_EVENT_BYTES:
        raise InvalidStreamError("the stream brings no new events")
    if fresh:
        relay.events += len(fresh)
        await relay.client.send_data(b"".join(fresh))
        request.events = relay.events


def _take_if_new(relay: Relay, event: bytes) -> bool:
    """Tell whether the client lacks an event, and record its ID.

    A resumed stream may start too early, and a faulty server may repeat events.
    """
    event_id = parse_event_id(event)
    if event_id is None:
        return True
    last_id = relay.last_id
    is_ordered = last_id is not None and event_id.isdigit() and last_id.isdigit()
    if is_ordered and int(event_id) <= int(last_id):
        return False
    relay.last_id = event_id
    return True


def _record_first_event(
    gateway: Gateway, request: Request, stream: StreamAttempt, now: float
) -> None:
    assignment = stream.assignment
    if assignment.job is not None and assignment.job.short:
        gateway.first_token_margin.observe(assignment.expected_ms, now - stream.sent_at)
    if request.first_token_ms is None:
        request.first_token_ms = now - request.arrived_ms
        gateway.latencies.record("first_token", request.first_token_ms)
    gateway.directory.record_answer(*assignment.server.start, now)
