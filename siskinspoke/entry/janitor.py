"""Give back what ended requests hold at backend servers, however often a message is lost."""

import math
from collections.abc import Callable
from typing import NamedTuple

import trio

from siskinspoke.core.counters import Counters
from siskinspoke.entry.backend import Backend
from siskinspoke.protocol.claims import Target

QUEUE_SIZE = 10_000
FIRST_PAUSE_SECONDS = 0.2
LONGEST_PAUSE_SECONDS = 5.0
GIVE_UP_SECONDS = 120.0
WORKERS = 8


class CancelAttempt(NamedTuple):
    """Cancel one attempt at one server."""

    target: Target
    request: str
    attempt: int


class ReleaseMemory(NamedTuple):
    """Release one reservation at one server."""

    target: Target
    reservation: str
    owner: str


Chore = CancelAttempt | ReleaseMemory


class Janitor:
    """Repeat each chore until the server confirms it, is another incarnation, or is given up.

    A lost cancel would leave an engine computing for nobody; past GIVE_UP_SECONDS the lease
    that every attempt and reservation carries returns the memory.
    """

    def __init__(self, backend: Backend, counters: Counters, is_gone: Callable[[Target], bool]):
        self._backend = backend
        self._counters = counters
        self._is_gone = is_gone
        self._send, self._receive = trio.open_memory_channel[Chore](math.inf)
        self._at_work = 0

    @property
    def idle(self) -> bool:
        """Tell whether no chore waits or is under way."""
        return not self._at_work and not self._send.statistics().current_buffer_used

    def add(self, chore: Chore) -> None:
        """Take on a chore; the lease covers one that finds the queue full."""
        if self._send.statistics().current_buffer_used >= QUEUE_SIZE:
            self._counters.count("janitor.queue_full")
            return
        self._send.send_nowait(chore)

    async def run(self) -> None:
        """Work on chores forever."""
        async with trio.open_nursery() as nursery:
            for _ in range(WORKERS):
                nursery.start_soon(self._work)

    async def _work(self) -> None:
        async for chore in self._receive:
            self._at_work += 1
            with trio.move_on_after(GIVE_UP_SECONDS) as scope:
                await self._repeat(chore)
            self._at_work -= 1
            if scope.cancelled_caught:
                self._counters.count("janitor.gave_up")

    async def _repeat(self, chore: Chore) -> None:
        pause = FIRST_PAUSE_SECONDS
        while not self._is_gone(chore.target):
            if await self._try(chore):
                self._counters.count("janitor.done")
                return
            self._counters.count("janitor.repeated")
            await trio.sleep(pause)
            pause = min(LONGEST_PAUSE_SECONDS, pause * 2)

    async def _try(self, chore: Chore) -> bool:
        match chore:
            case CancelAttempt(target, request, attempt):
                return await self._backend.cancel(target, request, attempt) is not None
            case ReleaseMemory(target, reservation, owner):
                body = {"reservation": reservation, "owner": owner, "tokens": 0, "lease_ms": 0}
                return await self._backend.post(target, "/v1/release", body) is not None
