"""Ask VMs of other cells where they would place a prompt, and answer them."""

import itertools
from collections.abc import Callable
from contextlib import contextmanager

import trio

from siskinspoke.core.counters import Counters
from siskinspoke.protocol.peers import PlaceOffer, PlaceQuestion
from siskinspoke.transport.datagrams import DatagramPort

# A question takes two crossings of 1 ms and a millisecond of processor at the VM asked; one that
# has no answer by then met a VM that is busy, gone or cut off.
ANSWER_SECONDS = 0.02

Address = tuple[str, int]


class Questions:
    """Own the questions that wait for an offer; ``offer`` answers those of other VMs."""

    def __init__(
        self,
        host: str,
        peer_port: int,
        offer: Callable[[PlaceQuestion], PlaceOffer],
        counters: Counters,
    ):
        self._host = host
        self._peer_port = peer_port
        self._offer = offer
        self._counters = counters
        self._port: DatagramPort | None = None
        self._numbers = itertools.count(1)
        self._waiting: dict[int, trio.MemorySendChannel[PlaceOffer]] = {}

    def use(self, port: DatagramPort) -> None:
        """Take over the port on which entry VMs hear each other."""
        self._port = port

    async def ask(self, question: PlaceQuestion, asked: list[Address]) -> list[PlaceOffer]:
        """Put a question to several VMs and return the offers that come in time."""
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

    @contextmanager
    def _numbered(self, most: int):
        number = next(self._numbers)
        self._waiting[number], receive = trio.open_memory_channel[PlaceOffer](most)
        try:
            yield number, receive
        finally:
            del self._waiting[number]

    def hear(self, offer: PlaceOffer) -> None:
        """Take in an offer; one that comes too late is of no use any more."""
        waiting = self._waiting.get(offer.number)
        if waiting is None:
            self._counters.count("cells.late_offers")
            return
        try:
            waiting.send_nowait(offer)
        except trio.WouldBlock:
            # A doubled datagram: each VM asked has its place in the channel already.
            self._counters.count("cells.late_offers")

    async def answer(self, question: PlaceQuestion) -> None:
        """Tell a VM of another cell where this one would place a prompt."""
        self._counters.count("cells.answered")
        await self._port.send(self._offer(question), question.host, self._peer_port)
