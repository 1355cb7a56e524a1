"""One sending of a request to one backend server, and what its first words prove."""

from dataclasses import dataclass

import trio

from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.coordination.standing import Trouble
from siskinspoke.gateway.attempts import ASK_AGAIN_SECONDS, Attempt
from siskinspoke.gateway.context import Gateway, now_ms
from siskinspoke.gateway.reaching import connect_to
from siskinspoke.gateway.restrictions import hear_answer
from siskinspoke.gateway.sending import Held, hold_back
from siskinspoke.gateway.wire import Answer, Dispatch
from siskinspoke.transport.http1 import PeerError, RequestHead, ServerConnection


@dataclass(frozen=True)
class NotRun:
    """The server has not run the request and never will.

    ``at_fault`` is the address of a helper that the server names, ``member`` the name of one
    that this VM could not have.
    """

    trouble: Trouble
    reason: str
    arrived: bool
    at_fault: str | None = None
    member: str | None = None


@dataclass(frozen=True)
class Broke:
    """Nobody knows whether the server has run the request or will.

    ``gone`` means that the server itself is gone, or out of this VM's reach; ``closed`` that it
    ended the connection.
    """

    trouble: Trouble
    reason: str
    gone: bool = False
    closed: bool = False


def held_back(held: Held) -> NotRun:
    """Return what it means that a server gets no request now."""
    return NotRun(Trouble.HELD, held.why, arrived=False)


def broken(error: PeerError) -> Broke:
    """Return what a failed connection shows."""
    return Broke(Trouble.BROKEN, str(error), closed=error.closed)


@dataclass(frozen=True)
class Begun:
    """The server answers; its body is still to be read from the connection."""

    answer: Answer
    connection: ServerConnection


Outcome = NotRun | Broke | Begun


class GivenUpError(Exception):
    """An attempt was given up while its server was silent."""


async def send(
    gateway: Gateway,
    dispatch: Dispatch,
    server: ServerRecord,
    attempt: Attempt,
    patience_seconds: float,
    fresh_ms: float,
) -> Outcome:
    """Send a request and read the head of its answer.

    After a time of silence the server is given up, if the request can go on elsewhere.

    A kept connection is taken only if it was used within ``fresh_ms``.  If the server closed it
    as the request was written, nothing shows whether the server has read the request, so one
    that may not be repeated needs a connection that is hardly idle.
    """
    found = await hold_back(gateway, dispatch.call.id, server, attempt)
    if found is not None:
        return held_back(found)
    connection = gateway.pool.take(server, now_ms(), fresh_ms)
    if connection is None:
        connection = await connect_to(gateway, server)
    if connection is None:
        return NotRun(Trouble.UNREACHABLE, "no connection", arrived=False)
    # A connection may take a second, in which the server asks for something or a permit ends.
    found = await hold_back(gateway, dispatch.call.id, server, attempt)
    if found is not None:
        gateway.pool.put(server, connection)
        return held_back(found)
    attempt.sent = True
    finished = False
    try:
        head = gateway.wire.encode_dispatch(dispatch)
        outcome = await _exchange(
            gateway, dispatch, server, connection, head, attempt, patience_seconds
        )
        finished = isinstance(outcome, Begun)
        return outcome
    finally:
        # Also when the caller has gone: the reset is what tells the server to stop.
        if not finished:
            connection.cut()


async def _exchange(
    gateway: Gateway,
    dispatch: Dispatch,
    server: ServerRecord,
    connection: ServerConnection,
    head: RequestHead,
    attempt: Attempt,
    patience_seconds: float,
) -> Outcome:
    """Write the request and read the head at once: a server may answer before it has read all."""
    found: list[Outcome] = []
    sent_at = now_ms()

    async def read() -> None:
        try:
            answer_head = await connection.read_head()
        except PeerError as error:
            found.append(broken(error))
        else:
            answer = gateway.wire.decode_answer(answer_head)
            hear_answer(gateway, dispatch.call.id, server, answer, sent_at)
            found.append(_judge(dispatch, answer, connection))
        nursery.cancel_scope.cancel()

    async def give_up() -> None:
        await attempt.impatience(patience_seconds)
        nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(connection.send_request, head, dispatch.call.body)
        nursery.start_soon(read)
        nursery.start_soon(give_up)
    return found[0] if found else Broke(Trouble.SILENT, "no answer in time")


def _judge(dispatch: Dispatch, answer: Answer, connection: ServerConnection) -> Outcome:
    """Return what the head of an answer proves.

    An answer that names another request, or none, is a late one of an earlier request, which
    would reach the wrong caller.
    """
    connection.idle_seconds = answer.idle_seconds
    if answer.misdirected:
        return NotRun(Trouble.UNREACHABLE, "another server has the address", True)
    if answer.never_ran and answer.status >= 400:
        return NotRun(Trouble.BUSY, f"refused with {answer.status}", True, answer.at_fault)
    if answer.request_id != dispatch.call.id:
        return Broke(Trouble.BROKEN, "the answer belongs to another request")
    return Begun(answer, connection)


async def read_on(connection: ServerConnection, attempt: Attempt, seconds: float) -> bytes | None:
    """Read a part of an answer's body; None at its end.

    Raise GivenUpError if the attempt was ended, or if nothing came within a time and the request
    can go on elsewhere.
    """
    while True:
        with attempt.within(seconds):
            return await connection.read_data()
        if attempt.lost or attempt.move_on():
            raise GivenUpError
        seconds = ASK_AGAIN_SECONDS


def keep_or_cut(gateway: Gateway, server: ServerRecord, begun: Begun) -> None:
    """Keep a connection whose answer is complete, unless it must not be used again."""
    connection = begun.connection
    if connection.finish(now_ms()) and not begun.answer.closes:
        gateway.pool.put(server, connection)
    else:
        connection.cut()
