"""Take the place of an attempt: its entry in the work table, and memory at its engines."""

from contextlib import asynccontextmanager

from siskinspoke.coordination.cost_model import prefill_ms
from siskinspoke.coordination.work_table import Work
from siskinspoke.gateway.assignment import Assignment
from siskinspoke.gateway.context import Gateway, Request, now_ms
from siskinspoke.gateway.failover import PlannedAttempt
from siskinspoke.gateway.reservations import Member, ReservationRefused, reserved


def book(gateway: Gateway, assignment: Assignment) -> PlannedAttempt:
    """Enter the work into the work table before it is sent; no other request may take its place.

    Every entry must be ended by the caller.
    """
    now = now_ms()
    if assignment.job is None:
        return PlannedAttempt(assignment, None, now)
    work = Work(
        assignment.job, assignment.names, now, assignment.held_tokens, exclusive=assignment.isolated
    )
    return PlannedAttempt(assignment, gateway.peers.begin_work(work), now)


@asynccontextmanager
async def reserve_memory(gateway: Gateway, assignment: Assignment, work: int | None):
    """Reserve the helpers' memory; yield the reservation's name, "" where none is needed.

    Yield ReservationRefused where the memory cannot be reserved.
    """
    if not any(assignment.held_tokens):
        yield ""
        return
    name = f"{gateway.settings.host}-{work}-{gateway.rng.getrandbits(32):x}"
    pairs = zip(assignment.helpers, assignment.held_tokens, strict=True)
    async with reserved(gateway, name, [Member(*pair) for pair in pairs]) as result:
        yield result if isinstance(result, ReservationRefused) else name


def log_group(gateway: Gateway, request: Request, assignment: Assignment) -> None:
    """Log which engines are about to prefill a prompt together, where there are several.

    An engine emits no tokens to its streams while it prefills its part.
    """
    if not assignment.helpers:
        return
    gateway.log.note(
        "attempt.group",
        request=request.call.id,
        servers=assignment.names,
        leaving=[
            item.announcement.server for item in assignment.servers if item.announcement.leaving
        ],
        tokens=assignment.job.tokens,
        held=assignment.held_tokens,
        expected=round(assignment.expected_ms),
        read=round(prefill_ms(assignment.costs, assignment.job.tokens, len(assignment.servers))),
    )
