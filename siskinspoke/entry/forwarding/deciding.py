"""Decide whether a caller's request is forwarded to a peer."""

from typing import NamedTuple

from quart import Response

from siskinspoke.core.codes import Failure, ResultCode
from siskinspoke.entry.context import EntryContext, now_ms
from siskinspoke.entry.forwarding.probing import ServerProber, is_out_of_reach
from siskinspoke.entry.forwarding.sending import CallerRequest, Forwarder
from siskinspoke.protocol.forwarding import ForwardedRequest
from siskinspoke.transport.http import failure_response

OUT_OF_REACH_RETRY_MS = 1_000
# Failures that another VM may not have, because this one reaches no server.  A claimed request may
# be sent again: the claim tells the peer which server to ask for the first attempt.
PARTITION_CODES = frozenset(
    (
        ResultCode.DISPATCH_FAILED,
        ResultCode.ENGINE_LOST,
        ResultCode.FATE_UNKNOWN,
        ResultCode.NO_SERVER,
    )
)


class Arrival(NamedTuple):
    """A caller's request, and what a peer told of it if one has forwarded it."""

    request: CallerRequest
    origin: ForwardedRequest | None


class ForwardDecision:
    """Forwards requests that this VM cannot serve because it reaches none of their servers."""

    def __init__(self, context: EntryContext, prober: ServerProber, forwarder: Forwarder):
        self._context = context
        self._prober = prober
        self._forwarder = forwarder

    async def before(self, arrival: Arrival) -> Response | Failure | None:
        """Return the answer to a request that cannot be served here, or None to serve it."""
        context, origin = self._context, arrival.origin
        version = context.holder.current.version
        if origin is not None and version < origin.version:
            message = f"this VM has configuration {version}, the peer {origin.version}"
            return Failure(ResultCode.OLDER_CONFIGURATION, message, OUT_OF_REACH_RETRY_MS)
        if not is_out_of_reach(context, arrival.request.service):
            return None
        found = None
        if origin is None:
            found = await self._forwarder.forward(context, arrival.request)
        message = f"this VM reaches no server of {arrival.request.service!r}"
        return found or Failure(ResultCode.NOT_REACHABLE_NOW, message, OUT_OF_REACH_RETRY_MS)

    async def after(self, arrival: Arrival, failure: Failure) -> Response | None:
        """Return a peer's answer to a request that failed here because of a partition."""
        context = self._context
        if arrival.origin is not None or failure.code not in PARTITION_CODES:
            return None
        if not context.reach.has_failed_recently(now_ms()):
            return None
        await self._prober.survey()
        if not is_out_of_reach(context, arrival.request.service):
            return None
        found = await self._forwarder.forward(context, arrival.request)
        return failure_response(found) if isinstance(found, Failure) else found
