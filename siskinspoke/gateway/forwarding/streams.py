"""Forward a stream, or the rest of one, and relay its events to the client."""

import trio

from siskinspoke.coordination.server_health import FailureKind
from siskinspoke.core.codes import Failure
from siskinspoke.gateway.context import Gateway, Request, now_ms
from siskinspoke.gateway.forwarding.calls import read_answer
from siskinspoke.gateway.forwarding.sending import (
    ForwardStarted,
    Progress,
    Refused,
    forwarded,
    patience_seconds,
)
from siskinspoke.gateway.plain_attempts import WholeAnswer
from siskinspoke.gateway.relaying import (
    TORN_EVENT,
    Relay,
    StreamCompleted,
    begin_relay,
    relay_events,
    silent_ms,
)
from siskinspoke.gateway.upstream import OutcomeUnknown, connection_failure
from siskinspoke.protocol.events import EventSplitter, InvalidStreamError
from siskinspoke.transport.http1 import PeerError

# The peer moves a silent stream to another engine by itself, which it needs time for.
SILENCE_FACTOR = 1.5

StreamOutcome = StreamCompleted | WholeAnswer | Refused | Failure | OutcomeUnknown


async def forward_stream(
    gateway: Gateway, request: Request, relay: Relay, progress: Progress
) -> StreamOutcome:
    """Forward a stream to a peer, and relay what the client does not have yet."""
    async with forwarded(gateway, request, progress) as outcome:
        if not isinstance(outcome, ForwardStarted):
            return outcome
        if outcome.answer.status >= 300:
            return await read_answer(gateway, request, outcome)
        await begin_relay(request, relay, outcome.answer)
        try:
            return await _relay(gateway, request, relay, outcome)
        except PeerError as error:
            return connection_failure(error)
        except InvalidStreamError as error:
            return OutcomeUnknown(FailureKind.INVALID, str(error))


async def _relay(
    gateway: Gateway, request: Request, relay: Relay, started: ForwardStarted
) -> StreamCompleted | OutcomeUnknown:
    splitter = EventSplitter()
    seconds = patience_seconds(request)
    while True:
        data = b""
        with trio.move_on_after(seconds) as silence:
            data = await started.connection.read_body_part()
        if silence.cancelled_caught:
            if request.route.repeatable:
                return OutcomeUnknown(FailureKind.SILENT, "the peer fell silent")
            continue
        if data is None:
            if splitter.incomplete:
                return OutcomeUnknown(FailureKind.BROKEN, TORN_EVENT)
            return StreamCompleted()
        events = splitter.feed(data)
        if not events:
            continue
        seconds = SILENCE_FACTOR * silent_ms(request) / 1000
        if request.first_token_ms is None:
            request.first_token_ms = now_ms() - request.arrived_ms
            gateway.latencies.record("first_token", request.first_token_ms)
        await relay_events(request, relay, events)
