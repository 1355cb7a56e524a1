"""Groups of engines that together serve a prompt larger than the memory of one engine.

Members are reserved all or none, ordered by server name, and each reservation has a lease.
This prevents a deadlock of two long prompts that each hold half of the engines: a refused
reservation releases its members, pauses for a random time and starts again.
"""

import math
from contextlib import asynccontextmanager, contextmanager
from typing import NamedTuple

import trio

from siskinspoke.coordination.routing import Choice
from siskinspoke.entry.context import EntryContext, target_of
from siskinspoke.entry.janitor import ReleaseMemory
from siskinspoke.protocol.claims import Target
from siskinspoke.protocol.engine import ReserveRequest

LEASE_MS = 4_000
RENEWALS_PER_LEASE = 4
RETRY_PAUSE_SECONDS = 0.2


class Member(NamedTuple):
    """One engine of a group and the number of prompt tokens it holds."""

    target: Target
    tokens: int


class Group(NamedTuple):
    """A group of engines; the head decodes, the helpers hold parts of the prompt."""

    reservation: str
    members: tuple[Member, ...]

    @property
    def head(self) -> Member:
        """Return the member that decodes."""
        return self.members[0]

    @property
    def helpers(self) -> tuple[Member, ...]:
        """Return the members that hold a part of the prompt and do not decode."""
        return self.members[1:]


def make_group(choice: Choice, reservation: str) -> Group:
    """Return the group for a routing choice."""
    pairs = zip(choice.servers, choice.shares, strict=True)
    return Group(reservation, tuple(Member(target_of(record), share) for record, share in pairs))


def _reserve_request(group: Group, member: Member, owner: str) -> ReserveRequest:
    return ReserveRequest(
        reservation=group.reservation, owner=owner, tokens=member.tokens, lease_ms=LEASE_MS
    )


async def _reserve_all(context: EntryContext, group: Group) -> bool:
    """Reserve all members in the order of server names, or none."""
    requested: list[Target] = []
    complete = False
    try:
        for member in sorted(group.members, key=lambda item: item.target.server):
            requested.append(member.target)
            body = _reserve_request(group, member, context.vm.name)
            if await context.backend.post(member.target, "/v1/reserve", body) is None:
                return False
        complete = True
    finally:
        # Also runs when the deadline or the caller cancels the reservation.  Includes the member
        # without a valid answer, which may have granted memory in an answer that was lost.
        if not complete:
            release_later(context, group.reservation, requested)
    return True


def release_later(context: EntryContext, reservation: str, targets: list[Target]) -> None:
    """Release the memory of a reservation through the janitor."""
    for target in targets:
        context.janitor.add(ReleaseMemory(target, reservation, context.vm.name))


async def _renew_forever(context: EntryContext, reservation: str, targets: list[Target]) -> None:
    """Renew the leases of a reservation until cancelled."""
    while True:
        await trio.sleep(LEASE_MS / 1000 / RENEWALS_PER_LEASE)
        for target in targets:
            body = ReserveRequest(
                reservation=reservation, owner=context.vm.name, tokens=0, lease_ms=LEASE_MS
            )
            await context.backend.post(target, "/v1/renew", body)


@contextmanager
def renewing_leases(context: EntryContext, reservation: str, targets: list[Target]):
    """Renew leases in a task of the daemon while the context is open.

    A nursery here would wrap exceptions of the reader in an exception group.
    """
    scope = trio.CancelScope()

    async def renew() -> None:
        with scope:
            await _renew_forever(context, reservation, targets)

    context.nursery.start_soon(renew)
    try:
        yield
    finally:
        scope.cancel()


@asynccontextmanager
async def reserve_group(context: EntryContext, choose):
    """Reserve a complete group, retrying until the deadline of the surrounding scope.

    ``choose`` returns a new routing choice, or None if routing refuses the request; None is then
    yielded.  Each try has its own reservation name, so that resends of one request at two VMs do
    not release each other's memory.
    """
    while True:
        choice = choose()
        if choice is None:
            yield None
            return
        group = make_group(choice, context.next_request_id())
        if await _reserve_all(context, group):
            break
        context.counters.count("group.reserve_refused")
        await trio.sleep(RETRY_PAUSE_SECONDS * context.rng.uniform(0.5, 1.5))
    targets = [member.target for member in group.members]
    try:
        with renewing_leases(context, group.reservation, targets):
            yield group
    finally:
        release_later(context, group.reservation, targets)


async def prefill_helpers(context: EntryContext, group: Group) -> bool:
    """Prefill the part of the prompt of every helper; return whether all succeeded."""
    results: list[bool] = []

    async def prefill(member: Member) -> None:
        body = _reserve_request(group, member, context.vm.name)
        answer = await context.backend.post(member.target, "/v1/prefill", body, math.inf)
        results.append(answer is not None)

    async with trio.open_nursery() as nursery:
        for member in group.helpers:
            nursery.start_soon(prefill, member)
    return all(results)
