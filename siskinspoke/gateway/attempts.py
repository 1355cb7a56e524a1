"""The open attempts at backend servers, which are ended when a server is gone."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager

import trio

from siskinspoke.coordination.cold_servers import ColdDecision
from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.coordination.liveness import OVERDUE_PROBE_INTERVAL_MS
from siskinspoke.gateway.permits import Permit

RESTARTED = "the server has started anew"
UNREACHABLE = "the server cannot be reached any more"
ANSWER_TIMED_OUT = "no answer in time"
MOVED = "its engine reads for longer than the stream may pause"
# Interval at which a silent attempt that cannot fail over is checked again: where all slots of an
# engine are taken, one is freed every 0.2 s.
RECHECK_SECONDS = 0.2


class Attempt:
    """An open attempt at one or several servers; ``end_reason`` says why it was ended.

    ``server_lost`` tells that one of the servers is gone.  At ``recheck_at``, in milliseconds,
    ``reconsider`` is called; it returns the reason to end the attempt, or postpones ``recheck_at``
    and returns "".  ``is_streaming`` tells that the stream has begun.  ``fail_over`` plans the
    request's next attempt, and tells whether there is one.  ``sent`` is False until there is a
    connection.  ``permit`` allows sending to a server that has set a rate limit, and
    ``permit_wait_ms`` is how long the attempt may wait for one.  ``cold_permit`` allows sending to
    a cold server, and ``cold_decision`` tells whether to ask or wait for one.
    """

    def __init__(self, servers: Iterable[ServerRecord], fail_over: Callable[[], bool]):
        self._servers = {item.announcement.server: item for item in servers}
        self.fail_over = fail_over
        self._wait_scope: trio.CancelScope | None = None
        self._waiting_since = 0.0
        self._due_ms = math.inf
        self.recheck_at = math.inf
        self.sent = False
        self.is_streaming = False
        self.reconsider: Callable[[Attempt, float], str] | None = None
        self.end_reason = ""
        self.server_lost = False
        self.permit: Permit | None = None
        self.permit_wait_ms = 0.0
        self.cold_permit: Permit | None = None
        self.cold_decision: ColdDecision | None = None
        self.urgent = False

    @property
    def servers(self) -> list[ServerRecord]:
        """Return the servers that the attempt depends on."""
        return list(self._servers.values())

    def wait_scope(self, seconds: float) -> trio.CancelScope:
        """Return a cancel scope in which to wait for the servers, for a bounded time.

        Writes to the client must stay outside of it: cancellation would cut them in the middle.
        """
        self._wait_scope = trio.move_on_after(0.0 if self.end_reason else seconds)
        return self._wait_scope

    async def wait_for_failover(self, seconds: float) -> None:
        """Return after a time of silence, once the request can continue elsewhere.

        A late answer is better than none: abandoning the attempt where no other server can take the
        request would fail it and discard the server's work.
        """
        await trio.sleep(seconds)
        while not self.fail_over():
            await trio.sleep(RECHECK_SECONDS)

    def expect_answer_within(self, due_ms: float, now: float) -> None:
        """Set the time within which the servers should send something."""
        self._waiting_since = now
        self._due_ms = due_ms

    def is_overdue(self, now: float, patience_factor: float) -> bool:
        """Tell whether ``patience_factor`` times the expected time has passed without an answer."""
        return now - self._waiting_since >= self._due_ms * patience_factor

    def next_check_ms(self, now: float, patience_factor: float) -> float:
        """Return how long this attempt needs no check."""
        overdue = self._waiting_since + self._due_ms * patience_factor - now
        return min(overdue, self.recheck_at - now)

    def depend_on(self, servers: Iterable[ServerRecord]) -> None:
        """Depend on these servers only; the others may fail without ending the attempt."""
        self._servers = {item.announcement.server: item for item in servers}

    def end_if_restarted(self, server: str, incarnation: int) -> None:
        """End the attempt if one of its servers has restarted since.

        Without this, a caller waits for a process that is gone until the silence is long enough:
        1.4 s in a stream, and up to the deadline for a call that may not be retried.
        """
        known = self._servers.get(server)
        if known is not None and known.announcement.incarnation < incarnation:
            self._end(RESTARTED, server_lost=True)

    def end_if_lost(self, server: str, incarnation: int) -> None:
        """End the attempt if it depends on an unreachable server and can continue elsewhere.

        Otherwise it is kept: the server's answer may still arrive once a partition heals.  An
        attempt that is not sent yet learns of the loss from its own connection: ended here it would
        count as an attempt and use up a retry.
        """
        known = self._servers.get(server)
        if not self.sent:
            return
        if known is not None and known.start == (server, incarnation) and self.fail_over():
            self._end(UNREACHABLE, server_lost=True)

    def recheck(self, now: float) -> None:
        """End the attempt if another server is expected to answer sooner."""
        self.recheck_at = math.inf
        reason = self.reconsider(self, now) if self.reconsider is not None else ""
        if reason:
            self._end(reason, server_lost=False)

    def depends_on_any(self, servers: Iterable[str]) -> bool:
        """Tell whether the attempt depends on any of some servers."""
        return not self._servers.keys().isdisjoint(servers)

    def _end(self, reason: str, server_lost: bool) -> None:
        self.end_reason = reason
        self.server_lost = server_lost
        if self._wait_scope is not None:
            self._wait_scope.cancel()


class OpenAttempts:
    """All open attempts of this VM."""

    def __init__(self) -> None:
        self._attempts: set[Attempt] = set()
        self._any_open = trio.Event()

    @contextmanager
    def attempt(self, *servers: ServerRecord, fail_over: Callable[[], bool]) -> Iterator[Attempt]:
        """Register an attempt while the context is open; its waits end if a server is gone."""
        found = Attempt(servers, fail_over)
        self._attempts.add(found)
        self._any_open.set()
        try:
            yield found
        finally:
            self._attempts.discard(found)
            if not self._attempts:
                self._any_open = trio.Event()

    async def wait_until_open(self) -> None:
        """Wait until there is an open attempt."""
        await self._any_open.wait()

    def overdue(self, now: float, patience_factor: float) -> list[ServerRecord]:
        """Return the servers that should have sent something by now.

        The expected time is multiplied by ``patience_factor``.
        """
        found = {}
        for item in self._attempts:
            if item.end_reason or not item.is_overdue(now, patience_factor):
                continue
            item.expect_answer_within(OVERDUE_PROBE_INTERVAL_MS, now)
            found |= {server.start: server for server in item.servers}
        return list(found.values())

    def next_check_ms(self, now: float, patience_factor: float) -> float:
        """Return how long no attempt needs a check."""
        return min(
            (item.next_check_ms(now, patience_factor) for item in self._active()), default=0.0
        )

    def recheck(self, now: float) -> None:
        """Reconsider the attempts whose first token should have arrived by now."""
        for item in self._active():
            if item.recheck_at <= now:
                item.recheck(now)

    def recheck_streams_at(self, servers: Iterable[str], now: float) -> None:
        """Have the streams reconsidered that some of these servers are writing."""
        for item in self._active():
            if item.is_streaming and item.depends_on_any(servers):
                item.recheck_at = min(item.recheck_at, now)

    def end_restarted(self, server: str, incarnation: int) -> int:
        """End the attempts at earlier incarnations of a server; return how many there were."""
        before = self._active()
        for item in before:
            item.end_if_restarted(server, incarnation)
        return sum(bool(item.end_reason) for item in before)

    def end_lost(self, server: str, incarnation: int) -> int:
        """End the attempts at a server that cannot be reached; return how many there were."""
        before = self._active()
        for item in before:
            item.end_if_lost(server, incarnation)
        return sum(bool(item.end_reason) for item in before)

    def _active(self) -> list[Attempt]:
        return [item for item in self._attempts if not item.end_reason]
