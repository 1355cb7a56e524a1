"""Read the bodies of answers that are passed on as a whole, within this VM's memory."""

import io
from collections.abc import Awaitable, Callable

import trio

from siskinspoke.gateway.context import Gateway, Request
from siskinspoke.transport.http1 import InvalidAnswerError

ReadPart = Callable[[], Awaitable[bytes | None]]


async def read_whole_body(
    gateway: Gateway, request: Request, sender: str, read_part: ReadPart
) -> bytes:
    """Return a body whose parts ``read_part`` returns, and None at the end.

    Raise InvalidAnswerError if there is no room for more of it.  The bytes count until the
    request ends.
    """
    body = io.BytesIO()
    complete = False
    with trio.CancelScope() as scope:
        response = gateway.responses.open(scope.cancel)
        request.responses.append(response)
        try:
            while (data := await read_part()) is not None:
                response.add(len(data))
                if response.is_evicted:
                    break
                body.write(data)
            complete = not response.is_evicted
        finally:
            if complete:
                response.finish()
            else:
                response.release()
    if complete:
        return body.getvalue()
    size = body.tell()
    gateway.counters.count("response.too_large")
    gateway.log.note(
        "response.too_large",
        request=request.call.id,
        sender=sender,
        size=size,
        held=gateway.responses.held,
    )
    raise InvalidAnswerError(f"the answer is too large: over {size} bytes")
