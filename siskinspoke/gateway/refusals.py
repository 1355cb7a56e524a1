"""Refusals of requests that no server can take, with the time to retry."""

import math

from siskinspoke.core.codes import Failure, ResultCode, RunStatus
from siskinspoke.gateway.context import Gateway, Request
from siskinspoke.gateway.holds import hold_ends_in_ms
from siskinspoke.gateway.regions import find_region_refusal

# Retry-After of refusals because all servers are busy or gone.  Milliseconds.
RETRY_AFTER_MS = 400
RETRY_AFTER_JITTER = 0.5
# The end of an evacuation cannot be predicted, so callers poll at this interval.  Milliseconds.
EVACUATED_RETRY_AFTER_MS = 1_000
# Unreachable failure domains are probed again within this time.  Milliseconds.
OUT_OF_REACH_RETRY_AFTER_MS = 500


def retry_after(gateway: Gateway, least_ms: float = RETRY_AFTER_MS) -> int:
    """Return a Retry-After with jitter, so that refused callers do not return at the same time."""
    return int(least_ms * (1 + RETRY_AFTER_JITTER * gateway.rng.random()))


def is_short_of_room(result: object) -> bool:
    """Return whether a request has not run since its servers have no room."""
    if not isinstance(result, Failure) or result.run_status is not RunStatus.NOT_RUN:
        return False
    return result.code in (ResultCode.OVERLOADED, ResultCode.NO_SERVER)


def out_of_reach_failure(gateway: Gateway) -> Failure:
    """Return the refusal of a request while neither this VM nor a peer reaches its servers."""
    message = "the servers cannot be reached from this VM, nor from another one"
    return Failure(
        ResultCode.NOT_REACHABLE_NOW, message, retry_after(gateway, OUT_OF_REACH_RETRY_AFTER_MS)
    )


def no_server_failure(gateway: Gateway, request: Request, message: str) -> Failure:
    """Return the refusal of a request that no server can take, with the time to retry."""
    region_refusal = find_region_refusal(gateway, request)
    if region_refusal is not None:
        return region_refusal
    wait_ms = hold_ends_in_ms(gateway, request.service, request.domains)
    if wait_ms is None:
        return Failure(ResultCode.NO_SERVER, message, retry_after(gateway))
    if math.isinf(wait_ms):
        message += ": all are in evacuated failure domains"
        later_ms = retry_after(gateway, EVACUATED_RETRY_AFTER_MS)
        return Failure(ResultCode.EVACUATED, message, later_ms)
    message += f": all have asked for fewer requests, the first for {math.ceil(wait_ms)} ms more"
    return Failure(ResultCode.NO_SERVER, message, math.ceil(wait_ms) + retry_after(gateway))
