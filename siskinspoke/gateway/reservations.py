"""Reserve memory on several engines, all or nothing, for a prompt that none holds alone.

Members are reserved in one total order, by server name, so that two long prompts never hold half of
the members each and wait for the other.  Each reservation has a short lease that is renewed while
its request runs: the memory is free again soon after any loss or delay, the failure of an entry VM
included.
"""

from collections.abc import Sequence
from contextlib import asynccontextmanager
from typing import NamedTuple

import trio

from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.gateway.context import Gateway
from siskinspoke.gateway.exchange import ask
from siskinspoke.gateway.holds import is_evacuated

# Lease of reserved memory.  An engine may carry out an order seconds late, after its release; the
# memory must be free again in less than the two seconds after which it counts as lost.
# Milliseconds.
LEASE_MS = 1_900
# The lease must outlive the loss of one renewal: a lost packet is retransmitted after 0.2 s.
RENEW_SECONDS = 0.6
ORDER_SECONDS = 0.5
# Longest idle time of a pooled connection for an order: an order on a connection that has stopped
# responding is lost, which is unlikely soon after its last use.  Milliseconds.
MAX_IDLE_MS = 1_000.0
# An unanswered order may be carried out up to this much later; until then its release is repeated
# about as often as the lease expires.  Seconds.
LATE_EXECUTION_SECONDS = 13.0
RELEASE_RETRY_SECONDS = 1.5
GRANTED = 200


class Member(NamedTuple):
    """One engine of a group and the tokens that it is to hold; 0 if it only prefills a part."""

    server: ServerRecord
    tokens: int


class ReservationRefused(NamedTuple):
    """One member could not be reserved.

    ``full`` if it answered that it has no memory left, ``evacuated`` if it was not asked because
    its failure domain is evacuated.
    """

    server: str
    full: bool
    evacuated: bool = False


class Reservation(NamedTuple):
    """A reservation on one engine."""

    server: ServerRecord
    name: str
    tokens: int


async def _order(gateway: Gateway, reservation: Reservation, release: bool) -> int | None:
    """Send one order; return the status of its answer, or None where there is none."""
    wire = gateway.wire
    server = reservation.server.announcement
    if release:
        head, body = wire.release_order(server.server, reservation.name)
    else:
        head, body = wire.reserve_order(
            server.server, reservation.name, reservation.tokens, LEASE_MS
        )
    gateway.counters.count("reservation.released" if release else "reservation.ordered")
    reply = await ask(gateway, reservation.server, head, body, ORDER_SECONDS, MAX_IDLE_MS)
    return None if reply is None else reply.status


def _has_restarted(gateway: Gateway, reservation: Reservation) -> bool:
    """Tell whether the engine has restarted since, and holds nothing from before.

    A renewal that reached the new process would reserve memory there that nobody uses.
    """
    return gateway.directory.superseded(*reservation.server.start)


@asynccontextmanager
async def reserved(gateway: Gateway, name: str, members: Sequence[Member]):
    """Reserve a group's memory while the context is open; yield ReservationRefused on failure."""
    wanted = sorted(
        (Reservation(item.server, name, item.tokens) for item in members if item.tokens),
        key=lambda reservation: reservation.server.announcement.server,
    )
    asked: list[Reservation] = []
    unconfirmed: set[str] = set()
    scope = trio.CancelScope()
    try:
        for reservation in wanted:
            if is_evacuated(gateway, reservation.server):
                gateway.counters.count("evacuation.held")
                yield ReservationRefused(reservation.server.announcement.server, False, True)
                return
            asked.append(reservation)
            status = await _order(gateway, reservation, release=False)
            if status is None:
                unconfirmed.add(reservation.server.announcement.server)
            if status != GRANTED:
                gateway.counters.count("reservation.refused")
                gateway.log.note(
                    "reservation.refused",
                    reservation=name,
                    server=reservation.server.announcement.server,
                    tokens=reservation.tokens,
                    status=status,
                )
                yield ReservationRefused(reservation.server.announcement.server, status is not None)
                return
        gateway.nursery.start_soon(_renew_forever, gateway, wanted, unconfirmed, scope)
        yield tuple(wanted)
    finally:
        scope.cancel()
        for reservation in asked:
            is_unconfirmed = reservation.server.announcement.server in unconfirmed
            gateway.nursery.start_soon(_release, gateway, reservation, is_unconfirmed)


async def _renew_forever(
    gateway: Gateway, group: Sequence[Reservation], unconfirmed: set[str], scope: trio.CancelScope
) -> None:
    """Renew the leases of a group; record the members that did not answer."""

    async def renew(reservation: Reservation) -> None:
        if _has_restarted(gateway, reservation):
            return
        if await _order(gateway, reservation, release=False) is None:
            unconfirmed.add(reservation.server.announcement.server)

    with scope:
        while True:
            await trio.sleep(RENEW_SECONDS)
            async with trio.open_nursery() as nursery:
                for reservation in group:
                    nursery.start_soon(renew, reservation)


async def _release(gateway: Gateway, reservation: Reservation, is_unconfirmed: bool) -> None:
    """Release memory, repeatedly where an earlier order may still be carried out."""
    last = trio.current_time() + LATE_EXECUTION_SECONDS
    while not _has_restarted(gateway, reservation):
        status = await _order(gateway, reservation, release=True)
        is_unconfirmed = is_unconfirmed or status is None
        if not is_unconfirmed or trio.current_time() > last:
            return
        await trio.sleep(RELEASE_RETRY_SECONDS)
