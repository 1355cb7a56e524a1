"""Queries to other VMs by datagram: where they would place a prompt, and requests for permits."""

import itertools
from collections.abc import Callable
from contextlib import contextmanager

import trio

from siskinspoke.core.counters import Counters
from siskinspoke.protocol.peers import (
    ColdPermitRequest,
    LeaseReply,
    LeaseRequest,
    PermitReply,
    PermitRequest,
    PlaceOffer,
    PlaceQuestion,
)
from siskinspoke.transport.datagrams import DatagramPort

# A query takes two network crossings of 1 ms and 1 ms of processor time at the other VM. A VM that
# has not answered by then is busy, gone or partitioned.
QUERY_TIMEOUT_SECONDS = 0.02

# A permit request may cross regions, and the VM that answers it may be busy.
PERMIT_TIMEOUT_SECONDS = 0.05

Address = tuple[str, int]
Reply = PlaceOffer | PermitReply | LeaseReply
PermitQuestion = PermitRequest | ColdPermitRequest | LeaseRequest


class Queries:
    """Track pending queries; ``make_offer`` and ``decide_permit`` answer those of others."""

    def __init__(
        self,
        host: str,
        peer_port: int,
        make_offer: Callable[[PlaceQuestion], PlaceOffer],
        counters: Counters,
        decide_permit: Callable[
            [PermitQuestion], PermitReply | LeaseReply | None
        ] = lambda question: None,
    ):
        self._host = host
        self._peer_port = peer_port
        self._make_offer = make_offer
        self._decide_permit = decide_permit
        self._counters = counters
        self._port: DatagramPort | None = None
        self._numbers = itertools.count(1)
        self._pending: dict[int, trio.MemorySendChannel[Reply]] = {}

    def set_port(self, port: DatagramPort) -> None:
        """Set the datagram port that the entry VMs use among themselves."""
        self._port = port

    async def request_offers(
        self, query: PlaceQuestion, addresses: list[Address]
    ) -> list[PlaceOffer]:
        """Send a placement query to several VMs and return the offers that arrive in time."""
        if self._port is None or not addresses:
            return []
        self._counters.count("cells.asked", len(addresses))
        offers: list[PlaceOffer] = []
        with self._pending_query(len(addresses)) as (number, receive):
            await self._port.send_to_all(query._replace(host=self._host, number=number), addresses)
            with trio.move_on_after(QUERY_TIMEOUT_SECONDS):
                while len(offers) < len(addresses):
                    offers.append(await receive.receive())
        return [offer for offer in offers if offer.servers]

    async def request_permit(
        self, request: PermitQuestion, host: str
    ) -> PermitReply | LeaseReply | None:
        """Ask another VM for a permit or lease; return None if it does not answer in time."""
        if self._port is None:
            return None
        with self._pending_query(1) as (number, receive):
            request = request._replace(host=self._host, number=number)
            await self._port.send(request, host, self._peer_port)
            with trio.move_on_after(PERMIT_TIMEOUT_SECONDS):
                return await receive.receive()
        return None

    @contextmanager
    def _pending_query(self, capacity: int):
        number = next(self._numbers)
        self._pending[number], receive = trio.open_memory_channel[Reply](capacity)
        try:
            yield number, receive
        finally:
            del self._pending[number]

    def handle_reply(self, reply: Reply) -> None:
        """Deliver a reply to the pending query; late replies are counted and dropped."""
        late_counter = "cells.late_offers" if isinstance(reply, PlaceOffer) else "permit.late"
        pending = self._pending.get(reply.number)
        if pending is None:
            self._counters.count(late_counter)
            return
        try:
            pending.send_nowait(reply)
        except trio.WouldBlock:
            # A duplicated datagram: the channel has exactly one slot for each VM asked.
            self._counters.count(late_counter)

    async def handle_query(self, query: PlaceQuestion | PermitQuestion) -> None:
        """Answer a query of another VM."""
        match query:
            case PlaceQuestion():
                self._counters.count("cells.answered")
                reply = self._make_offer(query)
            case PermitRequest() | ColdPermitRequest() | LeaseRequest():
                self._counters.count("permit.answered")
                reply = self._decide_permit(query)
        if reply is not None:
            await self._port.send(reply, query.host, self._peer_port)
