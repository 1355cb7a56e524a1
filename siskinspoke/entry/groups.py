"""Serve a prompt larger than one engine's memory over several engines, all or nothing.

Members are reserved in one total order, by server name, and each reservation has a lease.
Two long prompts can therefore never hold half each and wait for the other: the one that is
refused gives back what it holds, pauses for a random time and begins again.
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
PAUSE_SECONDS = 0.2


class Member(NamedTuple):
    """One engine of a group and the tokens it holds."""

    target: Target
    tokens: int


class Group(NamedTuple):
    """A reserved group; the head decodes, the others hold their part of the prompt."""

    reservation: str
    members: tuple[Member, ...]

    @property
    def head(self) -> Member:
        """Return the member that decodes."""
        return self.members[0]

    @property
    def helpers(self) -> tuple[Member, ...]:
        """Return the members that only hold a part of the prompt."""
        return self.members[1:]


def group_of(choice: Choice, reservation: str) -> Group:
    """Return the group that a routing choice describes."""
    pairs = zip(choice.servers, choice.shares, strict=True)
    return Group(reservation, tuple(Member(target_of(record), share) for record, share in pairs))


def _body(group: Group, member: Member, owner: str) -> ReserveRequest:
    return ReserveRequest(
        reservation=group.reservation, owner=owner, tokens=member.tokens, lease_ms=LEASE_MS
    )


async def _reserve(context: EntryContext, group: Group) -> bool:
    """Reserve every member in the order of server names, or none."""
    asked: list[Target] = []
    whole = False
    try:
        for member in sorted(group.members, key=lambda item: item.target.server):
            asked.append(member.target)
            body = _body(group, member, context.me.name)
            if await context.backend.post(member.target, "/v1/reserve", body) is None:
                return False
        whole = True
    finally:
        # Also when the deadline or the caller ends the try in its middle, and also at the member
        # that refused: its grant may only have been lost on the way.
        if not whole:
            release(context, group.reservation, asked)
    return True


def release(context: EntryContext, reservation: str, targets: list[Target]) -> None:
    """Give the memory of a reservation back, through the janitor."""
    for target in targets:
        context.janitor.add(ReleaseMemory(target, reservation, context.me.name))


async def renew_forever(context: EntryContext, reservation: str, targets: list[Target]) -> None:
    """Renew the leases of a reservation for as long as its answer is read."""
    while True:
        await trio.sleep(LEASE_MS / 1000 / RENEWALS_PER_LEASE)
        for target in targets:
            body = ReserveRequest(
                reservation=reservation, owner=context.me.name, tokens=0, lease_ms=LEASE_MS
            )
            await context.backend.post(target, "/v1/renew", body)


@contextmanager
def renewed(context: EntryContext, reservation: str, targets: list[Target]):
    """Renew leases in a task of the daemon for as long as the context is open.

    A nursery here would wrap what the reader of the answer raises in a group.
    """
    scope = trio.CancelScope()

    async def renew() -> None:
        with scope:
            await renew_forever(context, reservation, targets)

    context.nursery.start_soon(renew)
    try:
        yield
    finally:
        scope.cancel()


@asynccontextmanager
async def reserved(context: EntryContext, choose):
    """Hold a whole group; wait for memory within the deadline of the surrounding scope.

    ``choose`` returns a fresh routing choice, or None when routing refuses; then None is
    yielded.  Each try has a name of its own: resends of one request at two VMs must not
    release each other's memory.
    """
    while True:
        choice = choose()
        if choice is None:
            yield None
            return
        group = group_of(choice, context.next_request_id())
        if await _reserve(context, group):
            break
        context.counters.count("group.reserve_refused")
        await trio.sleep(PAUSE_SECONDS * context.rng.uniform(0.5, 1.5))
    targets = [member.target for member in group.members]
    try:
        with renewed(context, group.reservation, targets):
            yield group
    finally:
        release(context, group.reservation, targets)


async def prefill_helpers(context: EntryContext, group: Group) -> bool:
    """Let every helper compute its part of the prompt; False if one could not."""
    done: list[bool] = []

    async def one(member: Member) -> None:
        body = _body(group, member, context.me.name)
        answer = await context.backend.post(member.target, "/v1/prefill", body, math.inf)
        done.append(answer is not None)

    async with trio.open_nursery() as nursery:
        for member in group.helpers:
            nursery.start_soon(one, member)
    return all(done)
