"""Shut down gracefully: which requests are still accepted, and when the process may exit."""

import trio

from siskinspoke.coordination.graceful_shutdown import can_finish, stream_forecast_ms
from siskinspoke.coordination.routes import CallKind
from siskinspoke.core.codes import Failure, ResultCode
from siskinspoke.gateway.assignment import engine_costs
from siskinspoke.gateway.context import Gateway, Request, now_ms

POLL_SECONDS = 0.05
# Retry-After for requests refused while draining: another VM accepts them at once.  Not zero, which
# would look like an error.  Milliseconds.
RETRY_AFTER_MS = 10
STOPPING = "this VM is about to stop"
UNFINISHED = "this VM stopped before the answer was complete"


def begin_drain(gateway: Gateway) -> None:
    """Begin the shutdown; open requests end by its cutoff."""
    gateway.draining_since_ms = now_ms()
    for scope in gateway.response_scopes:
        scope.deadline = response_deadline(gateway, scope.deadline)


def response_deadline(gateway: Gateway, deadline: float) -> float:
    """Return when a request with a deadline on Trio's clock is ended."""
    shutdown = gateway.shutdown
    return deadline if shutdown is None else min(deadline, shutdown.cutoff_ms / 1000)


def find_drain_refusal(gateway: Gateway, request: Request) -> Failure | None:
    """Return the refusal of a request that may not end before this VM does, or None."""
    shutdown, now = gateway.shutdown, now_ms()
    if shutdown is None:
        return None
    left_ms, longest_ms = request.remaining_ms(now), _longest_ms(gateway, request)
    if can_finish(shutdown, left_ms, longest_ms, now):
        return None
    gateway.log.note(
        "drain.refused",
        request=request.call.id,
        route=request.route.name,
        left=round(left_ms),
        vm_left=round(shutdown.left_ms(now)),
        longest=None if longest_ms is None else round(longest_ms),
    )
    return Failure(ResultCode.DRAINING, STOPPING, RETRY_AFTER_MS)


def unfinished_failure(request: Request) -> Failure:
    """Return the answer to a request that is open at the cutoff."""
    if request.unsettled_attempts:
        return Failure(ResultCode.FATE_UNKNOWN, UNFINISHED)
    return Failure(ResultCode.DRAINING, STOPPING, RETRY_AFTER_MS)


async def drain(gateway: Gateway) -> None:
    """Serve requests that still arrive; return once none is open, or when the process must exit."""
    shutdown = gateway.shutdown
    with trio.move_on_at(shutdown.exit_ms / 1000):
        await trio.sleep_until(shutdown.closes_idle_at_ms / 1000)
        gateway.close_idle_connections()
        await _until_idle(gateway)
        # Connections that wait in the listener's queue are served, and no others.
        gateway.listening_ended.set()
        await trio.sleep(POLL_SECONDS)
        while gateway.unanswered_requests or gateway.idle_connections:
            await trio.sleep(POLL_SECONDS)


async def _until_idle(gateway: Gateway) -> None:
    while gateway.unanswered_requests:
        await trio.sleep(POLL_SECONDS)


def _longest_ms(gateway: Gateway, request: Request) -> float | None:
    """Return a forecast of how long such requests take at most, or None if there is none."""
    known = [gateway.durations.longest_ms(request.route.name)]
    prompt, route = request.call.prompt, request.route
    if route.kind is CallKind.STREAM and prompt is not None:
        services = [share.service for share in route.shares if share.weight > 0]
        costs = [engine_costs(gateway, service) for service in services]
        known += [
            stream_forecast_ms(route.target_ms, prompt.max_tokens, item)
            for item in costs
            if item is not None
        ]
    return max((item for item in known if item is not None), default=None)
