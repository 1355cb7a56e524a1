"""Forward one request to a peer, and interpret the head of its answer."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import msgspec
import trio

from siskinspoke.coordination.forwarding.peer_choice import (
    OTHER_PEER_CODES,
    PeerState,
    back_off_ms,
)
from siskinspoke.coordination.server_health import FailureKind
from siskinspoke.core.codes import Failure, ResultCode, RunStatus
from siskinspoke.gateway.context import Gateway, Request, now_ms
from siskinspoke.gateway.forwarding.peers import MAX_FORWARDS, find_peer
from siskinspoke.gateway.reachability import unreachable_domains
from siskinspoke.gateway.upstream import OutcomeUnknown, connection_failure
from siskinspoke.gateway.wire import Answer
from siskinspoke.protocol.forwarding import (
    FORWARD_HEADER,
    INTERNAL_HEADERS,
    RESULT_HEADER,
    ForwardedCall,
    digest_of,
    encode_forwarded,
)
from siskinspoke.transport.http1 import (
    Headers,
    PeerError,
    RequestHead,
    ResponseHead,
    ServerConnection,
    connect,
)

CONNECT_TIMEOUT_SECONDS = 0.15
# Added to the elapsed time, so that the peer's final answer arrives before this VM's deadline.
HOP_MARGIN_MS = 20.0
# A peer whose answer does not begin within this many times the target, and within the minimum, is
# given up if the request may be repeated.
PATIENCE_TARGETS = 3.0
MIN_PATIENCE_MS = 1_500.0
# Longest refusal of a peer.
MAX_REFUSAL_BYTES = 65_536
FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding", b"connection"))


@dataclass(frozen=True)
class Refused:
    """The peer has sent the request to no server and never will.

    ``failure`` is its refusal, None if it could not be connected to.
    """

    failure: Failure | None


@dataclass(frozen=True)
class ForwardStarted:
    """The peer passes on a server's answer; the body is still to be read from the connection."""

    answer: Answer
    connection: ServerConnection


ForwardOutcome = Refused | Failure | ForwardStarted | OutcomeUnknown


@dataclass(frozen=True)
class Progress:
    """What attempts of this VM have used up of a request, and the last event that its client has.

    ``runs`` and ``delivered`` are those of ``RetryState``.
    """

    runs: int
    delivered: int
    resume_after: str | None


def patience_seconds(request: Request) -> float:
    """Return how long the first byte of a peer's answer is awaited."""
    left_ms = max(0.0, request.remaining_ms(now_ms()))
    if not request.route.repeatable:
        return left_ms / 1000
    patience_ms = max(MIN_PATIENCE_MS, PATIENCE_TARGETS * request.route.target_ms)
    return min(left_ms, patience_ms) / 1000


@asynccontextmanager
async def forwarded(
    gateway: Gateway, request: Request, progress: Progress
) -> AsyncIterator[ForwardOutcome]:
    """Forward a request to a peer; the connection is closed at the end of the context.

    Each request has a connection of its own: on a kept one that is closed as the request is sent,
    it would be unknown whether the peer has read it.
    """
    request.forwards += 1
    peer = find_peer(gateway)
    if peer is None:
        yield Refused(None)
        return
    began = now_ms()
    connection = None
    gateway.forwarding.begin(peer.host)
    gateway.counters.count("forward.sent")
    request.unsettled_attempts += 1
    try:
        connection = await _connect(gateway, peer)
        if connection is None:
            outcome: ForwardOutcome = Refused(None)
        else:
            outcome = await _exchange(gateway, request, progress, connection)
        request.unsettled_attempts -= isinstance(outcome, Refused)
        _record(gateway, request, peer, outcome, began)
        yield _for_client(outcome)
    finally:
        gateway.forwarding.end(peer.host)
        if connection is not None:
            # Also when the client has disconnected: the reset tells the peer to stop.
            connection.reset()


def _for_client(outcome: ForwardOutcome) -> ForwardOutcome:
    """Return an outcome without a refusal that concerns the peers alone."""
    match outcome:
        case Refused(failure=Failure(code=ResultCode.UNKNOWN_PEER)):
            return Refused(None)
    return outcome


async def _connect(gateway: Gateway, peer: PeerState) -> ServerConnection | None:
    settings = gateway.settings
    with trio.move_on_after(CONNECT_TIMEOUT_SECONDS):
        try:
            return await connect(peer.host, settings.forward_port, settings.host, now_ms())
        except OSError:
            return None
    return None


async def _exchange(
    gateway: Gateway, request: Request, progress: Progress, connection: ServerConnection
) -> ForwardOutcome:
    """Write the request while reading the head of the answer."""
    call = request.call
    header = encode_forwarded(gateway.settings.internal_key, _encode(gateway, request, progress))
    head = RequestHead(
        call.method,
        call.target,
        [
            *(item for item in call.headers if item[0].lower() not in INTERNAL_HEADERS),
            (FORWARD_HEADER, header),
            (b"Content-Length", b"%d" % len(call.body)),
        ],
    )
    answers: list[ResponseHead | PeerError] = []

    async def read() -> None:
        try:
            answers.append(await connection.read_head())
        except PeerError as error:
            answers.append(error)
        nursery.cancel_scope.cancel()

    with trio.move_on_after(patience_seconds(request)):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(connection.send_request, head, call.body)
            nursery.start_soon(read)
        match answers:
            case [PeerError() as error]:
                return connection_failure(error)
            case [ResponseHead() as answer]:
                return await _read_outcome(gateway, connection, answer)
    return OutcomeUnknown(FailureKind.SILENT, "no answer in time")


def _encode(gateway: Gateway, request: Request, progress: Progress) -> ForwardedCall:
    call = request.call
    return ForwardedCall(
        sender=gateway.settings.host,
        version=request.version,
        id=call.id,
        host=call.host,
        key=call.key,
        service=request.service,
        deadline_ms=call.deadline_ms,
        elapsed_ms=now_ms() - request.arrived_ms + HOP_MARGIN_MS,
        prompt=None if call.prompt is None else (call.prompt.tokens, call.prompt.max_tokens),
        resume_after=progress.resume_after,
        runs=progress.runs,
        delivered=progress.delivered,
        digest=digest_of(call.method, call.target, call.body),
        parts=() if call.prompt is None else call.prompt.parts,
    )


async def _read_outcome(
    gateway: Gateway, connection: ServerConnection, head: ResponseHead
) -> ForwardOutcome:
    """Return the outcome of a forward whose answer has begun; read the body of a refusal."""
    results = [value for name, value in head.headers if name.lower() == RESULT_HEADER.lower()]
    if len(results) != 1 or not results[0].isdigit():
        return OutcomeUnknown(FailureKind.BROKEN, "the peer's answer has no result")
    if int(results[0]) == ResultCode.OK:
        answer = gateway.wire.decode_answer(head)
        return ForwardStarted(answer._replace(headers=answer_headers(head.headers)), connection)
    try:
        failure = _decode_failure(await connection.read_short_body(MAX_REFUSAL_BYTES))
    except PeerError as error:
        return connection_failure(error)
    if failure is None:
        return OutcomeUnknown(FailureKind.BROKEN, "the peer's refusal cannot be read")
    return Refused(failure) if failure.run_status is RunStatus.NOT_RUN else failure


def answer_headers(headers: Headers) -> Headers:
    """Return the headers of a server's answer without those that were added on the way."""
    dropped = FRAMING_HEADERS | INTERNAL_HEADERS
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def _decode_failure(body: bytes) -> Failure | None:
    try:
        document = msgspec.json.decode(body, type=dict)["error"]
        return Failure(
            ResultCode(document["code"]),
            document["message"],
            document["retry_after_ms"],
            RunStatus(document["run"]),
        )
    except (msgspec.MsgspecError, KeyError, ValueError, TypeError):
        return None


def _record(
    gateway: Gateway, request: Request, peer: PeerState, outcome: ForwardOutcome, began: float
) -> None:
    """Log a forward, and leave out a peer or a service for some time after a failure."""
    now = now_ms()
    result, reason = "passed_on", None
    match outcome:
        case Refused(failure=None):
            result, reason = "unreachable", "no connection"
            gateway.forwarding.record_failure(peer.host, now)
        case Refused(failure=failure) | (Failure() as failure):
            result, reason = failure.code.name.lower(), failure.message
            if failure.code in OTHER_PEER_CODES:
                gateway.forwarding.record_failure(peer.host, now, back_off_ms(failure.code))
            else:
                request.forwards = MAX_FORWARDS
            is_unreachable = failure.code is ResultCode.NOT_REACHABLE_NOW
            if is_unreachable and request.forwards >= MAX_FORWARDS:
                gateway.forwarding.record_unserved(request.service, now)
        case OutcomeUnknown(reason=reason):
            result = "broken"
            gateway.forwarding.record_failure(peer.host, now)
    gateway.counters.count(f"forward.{result}")
    gateway.latencies.record("forward", now - began)
    request.record_attempt(f"vm {peer.host}", reason or "forwarded", now)
    gateway.log.note(
        "request.forwarded",
        request=request.call.id,
        peer=peer.host,
        domain=peer.domain,
        open=peer.open_requests,
        heard=peer.is_heard,
        peer_unreachable=sorted(peer.unreachable),
        unreachable=sorted(unreachable_domains(gateway)),
        result=result,
        reason=reason,
        took=round(now - began),
    )
