"""Send a request to one backend server, and interpret the head of its answer."""

from dataclasses import dataclass

import trio

from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.coordination.server_health import FailureKind
from siskinspoke.gateway.attempts import RECHECK_SECONDS, Attempt
from siskinspoke.gateway.context import Gateway, now_ms
from siskinspoke.gateway.holds import Hold, check_hold
from siskinspoke.gateway.reachability import connect_to
from siskinspoke.gateway.restrictions import apply_restrictions
from siskinspoke.gateway.wire import Answer, Dispatch
from siskinspoke.transport.http1 import (
    InvalidAnswerError,
    PeerError,
    RequestHead,
    ServerConnection,
)


@dataclass(frozen=True)
class NotRun:
    """The server has not run the request and never will.

    ``at_fault`` is the address of a helper that the server names, ``member`` the name of a group
    member that this VM could not reserve, or that is on hold.
    """

    failure_kind: FailureKind
    reason: str
    arrived: bool
    at_fault: str | None = None
    member: str | None = None


@dataclass(frozen=True)
class OutcomeUnknown:
    """It is unknown whether the server has run the request or will run it.

    ``server_lost`` means that the server itself is gone, or out of this VM's reach; ``closed`` that
    it closed the connection.
    """

    failure_kind: FailureKind
    reason: str
    server_lost: bool = False
    closed: bool = False


def not_run_on_hold(hold: Hold) -> NotRun:
    """Return the outcome of an attempt that a server's hold prevented."""
    return NotRun(FailureKind.HELD, hold.reason, arrived=False, member=hold.member)


def connection_failure(error: PeerError) -> OutcomeUnknown:
    """Return the outcome of an attempt whose connection failed."""
    is_invalid = isinstance(error, InvalidAnswerError)
    failure_kind = FailureKind.INVALID if is_invalid else FailureKind.BROKEN
    return OutcomeUnknown(failure_kind, str(error), closed=error.closed)


@dataclass(frozen=True)
class AnswerStarted:
    """The server answers; the body is still to be read from the connection."""

    answer: Answer
    connection: ServerConnection


Outcome = NotRun | OutcomeUnknown | AnswerStarted


class AttemptAbandonedError(Exception):
    """An attempt was abandoned while its server was silent."""


async def send(
    gateway: Gateway,
    dispatch: Dispatch,
    server: ServerRecord,
    attempt: Attempt,
    timeout_seconds: float,
    max_idle_ms: float,
) -> Outcome:
    """Send a request and read the head of its answer.

    After a time of silence the server is abandoned, if the request can continue elsewhere.

    A pooled connection is reused only if it was used within ``max_idle_ms``.  If the server closes
    it while the request is written, it is unknown whether the server has read the request, so a
    request that may not be retried needs a connection that has hardly been idle.
    """
    hold = await check_hold(gateway, dispatch.call.id, server, attempt)
    if hold is not None:
        return not_run_on_hold(hold)
    connection = gateway.pool.take(server, now_ms(), max_idle_ms)
    if connection is None:
        connection = await connect_to(gateway, server)
    if connection is None:
        return NotRun(FailureKind.UNREACHABLE, "no connection", arrived=False)
    # Connecting may take a second, in which the server may ask for a hold or the permit may expire.
    hold = await check_hold(gateway, dispatch.call.id, server, attempt)
    if hold is not None:
        gateway.pool.put(server, connection)
        return not_run_on_hold(hold)
    attempt.sent = True
    finished = False
    try:
        head = gateway.wire.encode_dispatch(dispatch)
        outcome = await _exchange(
            gateway, dispatch, server, connection, head, attempt, timeout_seconds
        )
        finished = isinstance(outcome, AnswerStarted)
        return outcome
    finally:
        # Also when the client has disconnected: the reset tells the server to stop.
        if not finished:
            connection.reset()


async def _exchange(
    gateway: Gateway,
    dispatch: Dispatch,
    server: ServerRecord,
    connection: ServerConnection,
    head: RequestHead,
    attempt: Attempt,
    timeout_seconds: float,
) -> Outcome:
    """Write the request while reading the head: a server may answer before it has read it all."""
    outcomes: list[Outcome] = []
    sent_at = now_ms()

    async def read() -> None:
        try:
            answer_head = await connection.read_head()
        except PeerError as error:
            outcomes.append(connection_failure(error))
        else:
            answer = gateway.wire.decode_answer(answer_head)
            apply_restrictions(gateway, dispatch.call.id, server, answer, sent_at)
            outcomes.append(_classify(dispatch, answer, connection))
        nursery.cancel_scope.cancel()

    async def give_up() -> None:
        await attempt.wait_for_failover(timeout_seconds)
        nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(connection.send_request, head, dispatch.call.body)
        nursery.start_soon(read)
        nursery.start_soon(give_up)
    return outcomes[0] if outcomes else OutcomeUnknown(FailureKind.SILENT, "no answer in time")


def _classify(dispatch: Dispatch, answer: Answer, connection: ServerConnection) -> Outcome:
    """Return what the head of an answer proves.

    An answer that names another request, or none, is a late answer to an earlier request, and would
    reach the wrong caller.
    """
    connection.idle_seconds = answer.idle_seconds
    if answer.misdirected:
        return NotRun(FailureKind.UNREACHABLE, "another server has the address", True)
    if answer.never_ran and answer.status >= 400:
        return NotRun(FailureKind.BUSY, f"refused with {answer.status}", True, answer.at_fault)
    if answer.request_id != dispatch.call.id:
        return OutcomeUnknown(FailureKind.BROKEN, "the answer belongs to another request")
    return AnswerStarted(answer, connection)


async def read_body_part(
    connection: ServerConnection, attempt: Attempt, seconds: float
) -> bytes | None:
    """Read a part of an answer's body; return None at its end.

    Raise AttemptAbandonedError if the attempt was ended, or if nothing arrived within ``seconds``
    and the request can continue elsewhere.
    """
    while True:
        with attempt.wait_scope(seconds):
            return await connection.read_body_part()
        if attempt.end_reason or attempt.fail_over():
            raise AttemptAbandonedError
        seconds = RECHECK_SECONDS


def release_connection(gateway: Gateway, server: ServerRecord, started: AnswerStarted) -> None:
    """Return a connection to the pool after a complete answer, or close it if not reusable."""
    connection = started.connection
    if connection.prepare_reuse(now_ms()) and not started.answer.closes:
        gateway.pool.put(server, connection)
    else:
        connection.reset()
