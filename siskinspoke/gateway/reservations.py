"""Hold memory at several engines for a prompt that no engine holds alone, all or nothing.

Members are reserved in one total order, by server name, so two long prompts never hold half
each and wait for the other.  Each reservation has a short lease that is renewed for as long as
its request runs: whatever is lost or carried out late, an entry VM's death included, the memory
is free again soon after.
"""

from collections.abc import Sequence
from contextlib import asynccontextmanager
from typing import NamedTuple

import trio

from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.gateway.context import Gateway
from siskinspoke.gateway.exchange import ask

# Lease of reserved memory.  Engines may carry an order out seconds late, after the release; the
# memory must not then stay taken for two seconds, which counts as lost.  Milliseconds.
LEASE_MS = 1_900
# A renewal must still count after one loss: a lost packet is sent again after 0.2 s.
RENEW_SECONDS = 0.6
ORDER_SECONDS = 0.5
# An order on a connection that has fallen silent is lost; one used lately has hardly done so.
FRESH_MS = 1_000.0
# An order without an answer may be carried out up to this much later; until then its release is
# sent again as often as the lease runs out.  Seconds.
LATE_SECONDS = 13.0
AGAIN_SECONDS = 1.5
GRANTED = 200


class Member(NamedTuple):
    """One engine of a group and the tokens that it is to hold; 0 if it only reads a part."""

    server: ServerRecord
    tokens: int


class Refused(NamedTuple):
    """A group could not be had because of one member; ``full`` if it answered and had no room."""

    server: str
    full: bool


class Held(NamedTuple):
    """A reservation at one engine."""

    server: ServerRecord
    name: str
    tokens: int


async def _order(gateway: Gateway, held: Held, release: bool) -> int | None:
    """Send one order; return the status of its answer, or None where there is none."""
    wire = gateway.wire
    server = held.server.announcement
    if release:
        head, body = wire.release_order(server.server, held.name)
    else:
        head, body = wire.reserve_order(server.server, held.name, held.tokens, LEASE_MS)
    gateway.counters.count("reservation.released" if release else "reservation.ordered")
    reply = await ask(gateway, held.server, head, body, ORDER_SECONDS, FRESH_MS)
    return None if reply is None else reply.status


def _is_gone(gateway: Gateway, held: Held) -> bool:
    """Tell whether the engine has started anew since, and holds nothing of before.

    A renewal that reached the new process would take memory there that nobody uses.
    """
    return gateway.directory.superseded(*held.server.start)


@asynccontextmanager
async def reserved(gateway: Gateway, name: str, members: Sequence[Member]):
    """Hold a group's memory while the context is open; yield Refused where it cannot be had."""
    wanted = sorted(
        (Held(item.server, name, item.tokens) for item in members if item.tokens),
        key=lambda held: held.server.announcement.server,
    )
    asked: list[Held] = []
    doubtful: set[str] = set()
    scope = trio.CancelScope()
    try:
        for held in wanted:
            asked.append(held)
            status = await _order(gateway, held, release=False)
            if status is None:
                doubtful.add(held.server.announcement.server)
            if status != GRANTED:
                gateway.counters.count("reservation.refused")
                gateway.log.note(
                    "reservation.refused",
                    reservation=name,
                    server=held.server.announcement.server,
                    tokens=held.tokens,
                    status=status,
                )
                yield Refused(held.server.announcement.server, status is not None)
                return
        gateway.chores.start_soon(_renew_forever, gateway, wanted, doubtful, scope)
        yield tuple(wanted)
    finally:
        scope.cancel()
        for held in asked:
            unsure = held.server.announcement.server in doubtful
            gateway.chores.start_soon(_release, gateway, held, unsure)


async def _renew_forever(
    gateway: Gateway, group: Sequence[Held], doubtful: set[str], scope: trio.CancelScope
) -> None:
    """Renew the leases of a group; note who gave no answer."""

    async def renew(held: Held) -> None:
        if _is_gone(gateway, held):
            return
        if await _order(gateway, held, release=False) is None:
            doubtful.add(held.server.announcement.server)

    with scope:
        while True:
            await trio.sleep(RENEW_SECONDS)
            async with trio.open_nursery() as nursery:
                for held in group:
                    nursery.start_soon(renew, held)


async def _release(gateway: Gateway, held: Held, unsure: bool) -> None:
    """Give memory back, again and again where an earlier order may still be carried out."""
    last = trio.current_time() + LATE_SECONDS
    while not _is_gone(gateway, held):
        status = await _order(gateway, held, release=True)
        unsure = unsure or status is None
        if not unsure or trio.current_time() > last:
            return
        await trio.sleep(AGAIN_SECONDS)
