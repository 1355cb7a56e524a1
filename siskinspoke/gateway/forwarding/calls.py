"""Forward a plain call, whose answer is read as a whole."""

import trio

from siskinspoke.coordination.server_health import FailureKind
from siskinspoke.core.codes import Failure
from siskinspoke.gateway.context import Gateway, Request, now_ms
from siskinspoke.gateway.forwarding.sending import ForwardStarted, Progress, Refused, forwarded
from siskinspoke.gateway.plain_attempts import TIMED_OUT, WholeAnswer
from siskinspoke.gateway.upstream import OutcomeUnknown, connection_failure
from siskinspoke.gateway.whole_answers import read_whole_body
from siskinspoke.transport.http1 import PeerError

# The sender of an answer in the log, where that is no server.
PEER = "peer"

CallOutcome = WholeAnswer | Refused | Failure | OutcomeUnknown


async def forward_call(gateway: Gateway, request: Request, progress: Progress) -> CallOutcome:
    """Forward a call to a peer and return the complete answer that it passes on."""
    async with forwarded(gateway, request, progress) as outcome:
        if isinstance(outcome, ForwardStarted):
            return await read_answer(gateway, request, outcome)
        return outcome


async def read_answer(
    gateway: Gateway, request: Request, started: ForwardStarted
) -> WholeAnswer | OutcomeUnknown:
    """Read the rest of an answer, until the request's deadline at most."""
    try:
        with trio.move_on_after(max(0.0, request.remaining_ms(now_ms())) / 1000):
            read_part = started.connection.read_body_part
            body = await read_whole_body(gateway, request, PEER, read_part)
            return WholeAnswer(started.answer, body)
    except PeerError as error:
        return connection_failure(error)
    return OutcomeUnknown(FailureKind.SILENT, TIMED_OUT)
