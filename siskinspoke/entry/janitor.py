"""Reliable cleanup of what ended requests hold at backend servers."""

import math
from collections.abc import Callable
from typing import NamedTuple

import trio

from siskinspoke.core.counters import Counters
from siskinspoke.entry.backend import Backend
from siskinspoke.protocol.claims import Target

QUEUE_SIZE = 10_000
MIN_RETRY_PAUSE_SECONDS = 0.2
MAX_RETRY_PAUSE_SECONDS = 5.0
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


CleanupTask = CancelAttempt | ReleaseMemory


class Janitor:
    """Retry each task until the server confirms it, has restarted, or GIVE_UP_SECONDS pass.

    Without retries a lost cancellation would leave an engine computing for nobody.  After
    GIVE_UP_SECONDS the lease of the attempt or reservation frees the memory.
    """

    def __init__(
        self, backend: Backend, counters: Counters, is_superseded: Callable[[Target], bool]
    ):
        self._backend = backend
        self._counters = counters
        self._is_superseded = is_superseded
        self._send, self._receive = trio.open_memory_channel[CleanupTask](math.inf)
        self._active = 0

    @property
    def idle(self) -> bool:
        """Return whether no task is queued or running."""
        return not self._active and not self._send.statistics().current_buffer_used

    def add(self, task: CleanupTask) -> None:
        """Queue a task; a task dropped by a full queue is covered by its lease."""
        if self._send.statistics().current_buffer_used >= QUEUE_SIZE:
            self._counters.count("janitor.queue_full")
            return
        self._send.send_nowait(task)

    async def run(self) -> None:
        """Run queued tasks forever."""
        async with trio.open_nursery() as nursery:
            for _ in range(WORKERS):
                nursery.start_soon(self._run_queued)

    async def _run_queued(self) -> None:
        async for task in self._receive:
            self._active += 1
            with trio.move_on_after(GIVE_UP_SECONDS) as scope:
                await self._retry_until_done(task)
            self._active -= 1
            if scope.cancelled_caught:
                self._counters.count("janitor.gave_up")

    async def _retry_until_done(self, task: CleanupTask) -> None:
        pause = MIN_RETRY_PAUSE_SECONDS
        while not self._is_superseded(task.target):
            if await self._attempt(task):
                self._counters.count("janitor.done")
                return
            self._counters.count("janitor.repeated")
            await trio.sleep(pause)
            pause = min(MAX_RETRY_PAUSE_SECONDS, pause * 2)

    async def _attempt(self, task: CleanupTask) -> bool:
        match task:
            case CancelAttempt(target, request, attempt):
                return await self._backend.cancel(target, request, attempt) is not None
            case ReleaseMemory(target, reservation, owner):
                body = {"reservation": reservation, "owner": owner, "tokens": 0, "lease_ms": 0}
                return await self._backend.post(target, "/v1/release", body) is not None
