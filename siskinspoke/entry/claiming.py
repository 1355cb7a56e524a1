"""Claim, settle and find out about non-idempotent attempts, for models and plain services."""

from dataclasses import dataclass

from expression import Error, Ok, Result

from siskinspoke.core.codes import Failure, ResultCode, Run
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
    """This request holds the claim and may dispatch this attempt."""

    attempt: int


@dataclass(frozen=True)
class Held:
    """Another attempt holds the claim, or has ended."""

    answer: ClaimAnswer


def claim_name(customer: str, key: IdempotencyKey) -> str:
    """Return the name under which a customer's key is claimed."""
    return f"{customer}/{key.text}"


async def claim(
    context: EntryContext, name: str, key: IdempotencyKey, target: Target
) -> Result[Claimed | Held, Failure]:
    """Claim a key for a target; an Error means that nothing was dispatched.

    The owner names this one try, so that a claim whose answer was lost and that is asked
    again within the try is granted again, and by nobody else.
    """
    limits = context.holder.current.configuration.limits
    owner = context.next_request_id()
    request = ClaimRequest(name, key.expires_ms, limits.key_lifetime_ms, owner, target)
    asked = await context.control.claim(request, CLAIM_SECONDS)
    if asked.is_error():
        return asked
    answer = asked.ok
    match ResultCode(answer.code):
        case ResultCode.OK:
            context.counters.count("claim.granted")
            return Ok(Claimed(answer.attempt))
        case ResultCode.IN_PROGRESS | ResultCode.ALREADY_RAN:
            context.counters.count("claim.held")
            return Ok(Held(answer))
        case ResultCode.KEY_EXPIRED:
            return Error(Failure(ResultCode.KEY_EXPIRED, "the key has expired"))
        case code:
            message = f"the key lives longer than {limits.key_lifetime_ms} ms"
            return Error(Failure(code, message))


async def lookup(context: EntryContext, name: str) -> Result[ClaimAnswer, Failure]:
    """Return what is held on a key; OK in the answer means nothing.

    The wait is short: it stands before refusals, which are to be given at once.
    """
    return await context.control.lookup(LookupRequest(name), LOOKUP_SECONDS)


async def honest(context: EntryContext, name: str, failure: Failure) -> Failure:
    """Return a refusal that says 'not run' only if no attempt of its key can have run.

    The request may be a resend: the first attempt runs at another VM while this one, which
    knows nothing of it, refuses for a reason of its own.
    """
    if failure.fate is not Run.NOT_RUN:
        return failure
    found = await lookup(context, name)
    if found.is_error():
        message = f"{failure.message}; an earlier attempt with this key may have run"
        return failure._replace(message=message, run=Run.UNKNOWN)
    if found.ok.code == ResultCode.OK:
        return failure
    message = f"{failure.message}; an earlier attempt holds this key"
    ran = found.ok.code == ResultCode.ALREADY_RAN
    return failure._replace(message=message, run=Run.RAN if ran else Run.UNKNOWN)


async def settle_ran(
    context: EntryContext, name: str, attempt: int, status: int, body: str
) -> None:
    """Record that an attempt ran; a lost record only means that a resend must find out."""
    request = SettleRequest(name, attempt, True, status, body)
    await context.control.settle(request, SETTLE_SECONDS)


async def settle_not_run(context: EntryContext, name: str, attempt: int) -> None:
    """Free a key whose attempt is proven never to have begun."""
    request = SettleRequest(name, attempt, False, 0, "")
    await context.control.settle(request, SETTLE_SECONDS)


async def find_out(context: EntryContext, target: Target, request: str, attempt: int) -> bool:
    """Tell whether it is proven that an attempt never began and never will.

    The server itself must confirm it, in the incarnation that the claim names: one restarted
    since knows nothing of what it ran before.
    """
    state = await context.backend.cancel(target, request, attempt, unless_began=True)
    return state == CancelState.NEVER_BEGAN
