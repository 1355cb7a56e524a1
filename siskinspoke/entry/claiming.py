"""Claims on non-idempotent attempts of models and plain services."""

from dataclasses import dataclass

from expression import Error, Ok, Result

from siskinspoke.core.codes import Failure, ResultCode, RunStatus
from siskinspoke.entry.context import EntryContext
from siskinspoke.entry.requests import IdempotencyKey
from siskinspoke.protocol.claims import (
    ClaimAnswer,
    ClaimRequest,
    LookupRequest,
    SettleRequest,
    Target,
)
from siskinspoke.protocol.engine import CancelState

CLAIM_SECONDS = 4.0
LOOKUP_SECONDS = 1.0
SETTLE_SECONDS = 3.0


@dataclass(frozen=True)
class Claimed:
    """The claim was granted; this request may dispatch the attempt."""

    attempt: int


@dataclass(frozen=True)
class AlreadyClaimed:
    """Another attempt holds the claim or has already ended."""

    answer: ClaimAnswer


def claim_name(customer: str, key: IdempotencyKey) -> str:
    """Return the name of the claim on a customer's idempotency key."""
    return f"{customer}/{key.text}"


async def claim(
    context: EntryContext, name: str, key: IdempotencyKey, target: Target
) -> Result[Claimed | AlreadyClaimed, Failure]:
    """Claim a key for a target; an Error means that nothing was dispatched.

    The owner is unique to this call.  If the answer is lost and the claim is requested again
    within the call, it is granted again, but not to any other owner.
    """
    limits = context.holder.current.configuration.limits
    owner = context.next_request_id()
    request = ClaimRequest(name, key.expires_ms, limits.key_lifetime_ms, owner, target)
    result = await context.control.claim(request, CLAIM_SECONDS)
    if result.is_error():
        return result
    answer = result.ok
    match ResultCode(answer.code):
        case ResultCode.OK:
            context.counters.count("claim.granted")
            return Ok(Claimed(answer.attempt))
        case ResultCode.IN_PROGRESS | ResultCode.ALREADY_RAN:
            context.counters.count("claim.held")
            return Ok(AlreadyClaimed(answer))
        case ResultCode.KEY_EXPIRED:
            return Error(Failure(ResultCode.KEY_EXPIRED, "the key has expired"))
        case code:
            message = f"the key lives longer than {limits.key_lifetime_ms} ms"
            return Error(Failure(code, message))


async def lookup(context: EntryContext, name: str) -> Result[ClaimAnswer, Failure]:
    """Return the claim on a key; the code OK in the answer means that there is none.

    The timeout is short because refusals, which must be prompt, wait for this lookup.
    """
    return await context.control.lookup(LookupRequest(name), LOOKUP_SECONDS)


async def verify_not_run(context: EntryContext, name: str, failure: Failure) -> Failure:
    """Return a failure that says 'not run' only if no attempt with its key can have run.

    The request may be a resend whose first attempt runs at another VM, while this VM, which does
    not know about it, refuses the resend for a local reason.
    """
    if failure.run_status is not RunStatus.NOT_RUN:
        return failure
    found = await lookup(context, name)
    if found.is_error():
        message = f"{failure.message}; an earlier attempt with this key may have run"
        return failure._replace(message=message, run=RunStatus.UNKNOWN)
    if found.ok.code == ResultCode.OK:
        return failure
    message = f"{failure.message}; an earlier attempt holds this key"
    ran = found.ok.code == ResultCode.ALREADY_RAN
    return failure._replace(message=message, run=RunStatus.RAN if ran else RunStatus.UNKNOWN)


async def settle_ran(
    context: EntryContext, name: str, attempt: int, status: int, body: str
) -> None:
    """Record that an attempt ran; if the record is lost, a resend asks the server."""
    request = SettleRequest(name, attempt, True, status, body)
    await context.control.settle(request, SETTLE_SECONDS)


async def settle_not_run(context: EntryContext, name: str, attempt: int) -> None:
    """Free a key whose attempt provably never began."""
    request = SettleRequest(name, attempt, False, 0, "")
    await context.control.settle(request, SETTLE_SECONDS)


async def confirm_never_began(
    context: EntryContext, target: Target, request: str, attempt: int
) -> bool:
    """Return whether an attempt provably never began and never will.

    The server must confirm it in the incarnation that the claim names, because a restarted
    server does not know which attempts it ran before.
    """
    state = await context.backend.cancel(target, request, attempt, unless_began=True)
    return state == CancelState.NEVER_BEGAN
