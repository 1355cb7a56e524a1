"""The attempts that are open at backend servers, to be ended when a server is gone."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager

import trio

from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.coordination.liveness import OVERDUE_AGAIN_MS
from siskinspoke.gateway.permits import Permit

STARTED_AGAIN = "the server has started anew"
UNREACHABLE = "the server cannot be reached any more"
SLOW = "no answer in time"
MOVED = "its engine reads for longer than the stream may pause"
# A silent attempt that may not go on elsewhere is thought of again after this time: a slot of an
# engine is free every fifth of a second where all are taken.
ASK_AGAIN_SECONDS = 0.2


class Attempt:
    """An open attempt at one server or several; ``lost`` says why it was ended.

    ``gone`` means that one of the servers is.  In milliseconds: ``doubt_at`` is when
    ``reconsider`` is to be asked why to end it; it may put the moment off and return nothing.
    ``writes`` tells that its stream has begun.
    ``move_on`` takes the request's next step, and tells whether there is one.  ``sent`` is False
    until there is a connection.  ``permit`` is leave to send to a server that has named a rate
    limit, and ``patience_ms`` how long the attempt may wait for one.
    """

    def __init__(self, servers: Iterable[ServerRecord], move_on: Callable[[], bool]):
        self._servers = {item.announcement.server: item for item in servers}
        self.move_on = move_on
        self._waiting: trio.CancelScope | None = None
        self._waits_from = 0.0
        self._due_ms = math.inf
        self.doubt_at = math.inf
        self.sent = False
        self.writes = False
        self.reconsider: Callable[[Attempt, float], str] | None = None
        self.lost = ""
        self.gone = False
        self.permit: Permit | None = None
        self.patience_ms = 0.0

    @property
    def servers(self) -> list[ServerRecord]:
        """Return the servers that the attempt relies on."""
        return list(self._servers.values())

    def within(self, seconds: float) -> trio.CancelScope:
        """Return a scope in which to wait for the servers, for a bounded time.

        What is on its way to the client must stay outside: it would be cut in the middle.
        """
        self._waiting = trio.move_on_after(0.0 if self.lost else seconds)
        return self._waiting

    async def impatience(self, seconds: float) -> None:
        """Return after a time of silence, once the request can go on elsewhere.

        An answer that is late is worth more than none: to give up where nobody else can take the
        request would fail it, and throw the server's work away, for nothing.
        """
        await trio.sleep(seconds)
        while not self.move_on():
            await trio.sleep(ASK_AGAIN_SECONDS)

    def expect_within(self, due_ms: float, now: float) -> None:
        """Note within which time something should come from the servers."""
        self._waits_from = now
        self._due_ms = due_ms

    def is_overdue(self, now: float, patience: float) -> bool:
        """Tell whether nothing has come for so many times the time in which it should."""
        return now - self._waits_from >= self._due_ms * patience

    def next_thought_ms(self, now: float, patience: float) -> float:
        """Return how long nothing about this attempt needs to be thought of."""
        overdue = self._waits_from + self._due_ms * patience - now
        return min(overdue, self.doubt_at - now)

    def rely_on(self, servers: Iterable[ServerRecord]) -> None:
        """Go on with these servers only; what becomes of the others no longer matters."""
        self._servers = {item.announcement.server: item for item in servers}

    def end_if_restarted(self, server: str, incarnation: int) -> None:
        """End the attempt if one of its servers has started since.

        Without this a caller waits for a process that is gone until the silence is long enough,
        1.4 s in a stream and up to the deadline of a call that may not be repeated.
        """
        known = self._servers.get(server)
        if known is not None and known.announcement.incarnation < incarnation:
            self._end(STARTED_AGAIN, gone=True)

    def end_if_lost(self, server: str, incarnation: int) -> None:
        """End the attempt if it relies on a server that cannot be reached, and can go elsewhere.

        The answer of one that cannot could still come, after a cut.  One that is not sent yet finds
        out by its own connection: ended here it would count as an attempt, and cost a repeat.
        """
        known = self._servers.get(server)
        if not self.sent:
            return
        if known is not None and known.start == (server, incarnation) and self.move_on():
            self._end(UNREACHABLE, gone=True)

    def doubt(self, now: float) -> None:
        """End the attempt if another server is the better bet."""
        self.doubt_at = math.inf
        reason = self.reconsider(self, now) if self.reconsider is not None else ""
        if reason:
            self._end(reason, gone=False)

    def relies_on_any(self, servers: Iterable[str]) -> bool:
        """Tell whether the attempt relies on one of some servers."""
        return not self._servers.keys().isdisjoint(servers)

    def _end(self, reason: str, gone: bool) -> None:
        self.lost = reason
        self.gone = gone
        if self._waiting is not None:
            self._waiting.cancel()


class OpenAttempts:
    """All open attempts of this VM."""

    def __init__(self) -> None:
        self._attempts: set[Attempt] = set()
        self._some = trio.Event()

    @contextmanager
    def attempt(self, *servers: ServerRecord, move_on: Callable[[], bool]) -> Iterator[Attempt]:
        """Keep an attempt while the context is open; its waits end if a server is gone."""
        found = Attempt(servers, move_on)
        self._attempts.add(found)
        self._some.set()
        try:
            yield found
        finally:
            self._attempts.discard(found)
            if not self._attempts:
                self._some = trio.Event()

    async def some_open(self) -> None:
        """Wait until there are attempts."""
        await self._some.wait()

    def overdue(self, now: float, patience: float) -> list[ServerRecord]:
        """Return the servers of which something should have come by now.

        ``patience`` is how many times the time in which it should come is waited.
        """
        found = {}
        for item in self._attempts:
            if item.lost or not item.is_overdue(now, patience):
                continue
            item.expect_within(OVERDUE_AGAIN_MS, now)
            found |= {server.start: server for server in item.servers}
        return list(found.values())

    def next_thought_ms(self, now: float, patience: float) -> float:
        """Return how long nothing about any attempt needs to be thought of."""
        return min((item.next_thought_ms(now, patience) for item in self._waiting()), default=0.0)

    def doubt(self, now: float) -> None:
        """Think again about the attempts whose first token should be there by now."""
        for item in self._waiting():
            if item.doubt_at <= now:
                item.doubt(now)

    def think_of_streams_at(self, servers: Iterable[str], now: float) -> None:
        """Have the streams reconsidered that are written by some of these servers."""
        for item in self._waiting():
            if item.writes and item.relies_on_any(servers):
                item.doubt_at = min(item.doubt_at, now)

    def started(self, server: str, incarnation: int) -> int:
        """End the attempts at a server's former starts; return how many there were."""
        before = self._waiting()
        for item in before:
            item.end_if_restarted(server, incarnation)
        return sum(bool(item.lost) for item in before)

    def lost(self, server: str, incarnation: int) -> int:
        """End the attempts at a server that cannot be reached; return how many there were."""
        before = self._waiting()
        for item in before:
            item.end_if_lost(server, incarnation)
        return sum(bool(item.lost) for item in before)

    def _waiting(self) -> list[Attempt]:
        return [item for item in self._attempts if not item.lost]
