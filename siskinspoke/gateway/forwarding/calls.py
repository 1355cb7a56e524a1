"""Forward a plain call, whose answer is read as a whole."""

import trio

from siskinspoke.coordination.server_health import FailureKind
from siskinspoke.core.codes import Failure
from siskinspoke.gateway.context import Gateway, Request, now_ms
from siskinspoke.gateway.forwarding.sending import ForwardStarted, Progress, Refused, forwarded
from siskinspoke.gateway.plain_attempts import TIMED_OUT, WholeAnswer
from siskinspoke.gateway.upstream import OutcomeUnknown, connection_failure
from siskinspoke.transport.http1 import PeerError

CallOutcome = WholeAnswer | Refused | Failure | OutcomeUnknown


async def forward_call(gateway: Gateway, request: Request, progress: Progress) -> CallOutcome:
    """Forward a call to a peer and return the complete answer that it passes on."""
    async with forwarded(gateway, request, progress) as outcome:
        if isinstance(outcome, ForwardStarted):
            return await read_answer(request, outcome)
        return outcome


async def read_answer(request: Request, started: ForwardStarted) -> WholeAnswer | OutcomeUnknown:
    """Read the rest of an answer, until the request's deadline at most."""
    parts = []
    try:
        with trio.move_on_after(max(0.0, request.remaining_ms(now_ms())) / 1000):
            while (data := await started.connection.read_body_part()) is not None:
                parts.append(data)
            return WholeAnswer(started.answer, b"".join(parts))
    except PeerError as error:
        return connection_failure(error)
    return OutcomeUnknown(FailureKind.SILENT, TIMED_OUT)
