"""Queries to other VMs by datagram: where they would place a prompt, and requests for permits."""

import itertools
from collections.abc import Callable
from contextlib import contextmanager

import trio

from siskinspoke.core.counters import Counters
from siskinspoke.protocol.peers import PermitReply, PermitRequest, PlaceOffer, PlaceQuestion
from siskinspoke.transport.datagrams import DatagramPort

# A query takes two network crossings of 1 ms and 1 ms of processor time at the other VM. A VM that
# has not answered by then is busy, gone or partitioned.
ANSWER_SECONDS = 0.02

# A permit request may cross regions, and the VM that answers it may be busy.
PERMIT_SECONDS = 0.05

Address = tuple[str, int]
Reply = PlaceOffer | PermitReply


class Questions:
    """Track pending queries; ``offer`` and ``permit`` answer those of other VMs."""

    def __init__(
        self,
        host: str,
        peer_port: int,
        offer: Callable[[PlaceQuestion], PlaceOffer],
        counters: Counters,
        permit: Callable[[PermitRequest], PermitReply | None] = lambda question: None,
    ):
        self._host = host
        self._peer_port = peer_port
        self._offer = offer
        self._permit = permit
        self._counters = counters
        self._port: DatagramPort | None = None
        self._numbers = itertools.count(1)
        self._waiting: dict[int, trio.MemorySendChannel[Reply]] = {}

    def use(self, port: DatagramPort) -> None:
        """Set the datagram port that the entry VMs use among themselves."""
        self._port = port

    async def ask(self, question: PlaceQuestion, asked: list[Address]) -> list[PlaceOffer]:
        """Send a placement query to several VMs and return the offers that arrive in time."""
        if self._port is None or not asked:
            return []
        self._counters.count("cells.asked", len(asked))
        offers: list[PlaceOffer] = []
        with self._numbered(len(asked)) as (number, receive):
            await self._port.send_to_all(question._replace(host=self._host, number=number), asked)
            with trio.move_on_after(ANSWER_SECONDS):
                while len(offers) < len(asked):
                    offers.append(await receive.receive())
        return [offer for offer in offers if offer.servers]

    async def ask_permit(self, question: PermitRequest, host: str) -> PermitReply | None:
        """Ask another VM for a permit; return None if it does not answer in time."""
        if self._port is None:
            return None
        with self._numbered(1) as (number, receive):
            question = question._replace(host=self._host, number=number)
            await self._port.send(question, host, self._peer_port)
            with trio.move_on_after(PERMIT_SECONDS):
                return await receive.receive()
        return None

    @contextmanager
    def _numbered(self, most: int):
        number = next(self._numbers)
        self._waiting[number], receive = trio.open_memory_channel[Reply](most)
        try:
            yield number, receive
        finally:
            del self._waiting[number]

    def hear(self, reply: Reply) -> None:
        """Deliver a reply to the pending query; late replies are counted and dropped."""
        late = "cells.late_offers" if isinstance(reply, PlaceOffer) else "permit.late"
        waiting = self._waiting.get(reply.number)
        if waiting is None:
            self._counters.count(late)
            return
        try:
            waiting.send_nowait(reply)
        except trio.WouldBlock:
            # A duplicated datagram: the channel has exactly one slot for each VM asked.
            self._counters.count(late)

    async def answer(self, question: PlaceQuestion | PermitRequest) -> None:
        """Answer a query of another VM."""
        match question:
            case PlaceQuestion():
                self._counters.count("cells.answered")
                reply = self._offer(question)
            case PermitRequest():
                self._counters.count("permit.answered")
                reply = self._permit(question)
        if reply is not None:
            await self._port.send(reply, question.host, self._peer_port)
