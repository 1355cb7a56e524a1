"""The attempts that are open at backend servers, to be ended when a server starts anew."""

from collections.abc import Iterable, Iterator
from contextlib import contextmanager

import trio

from siskinspoke.coordination.directory import ServerRecord

STARTED_AGAIN = "the server has started anew"


class Attempt:
    """An open attempt at one server or several; ``restarted`` names the one that is gone."""

    def __init__(self, servers: Iterable[ServerRecord]):
        self._starts = dict(item.start for item in servers)
        self._waiting: trio.CancelScope | None = None
        self.restarted = ""

    def within(self, seconds: float) -> trio.CancelScope:
        """Return a scope in which to wait for the servers, for a bounded time.

        What is on its way to the client must stay outside: it would be cut in the middle.
        """
        self._waiting = trio.move_on_after(0.0 if self.restarted else seconds)
        return self._waiting

    def rely_on(self, servers: Iterable[ServerRecord]) -> None:
        """Go on with these servers only; what becomes of the others no longer matters."""
        names = {item.announcement.server for item in servers}
        self._starts = {name: start for name, start in self._starts.items() if name in names}

    def started(self, server: str, incarnation: int) -> None:
        """End the attempt if one of its servers has started since.

        Without this a caller waits for a process that is gone until the silence is long enough,
        1.4 s in a stream and up to the deadline of a call that may not be repeated.
        """
        if self._starts.get(server, incarnation) >= incarnation:
            return
        self.restarted = server
        if self._waiting is not None:
            self._waiting.cancel()


class OpenAttempts:
    """All open attempts of this VM."""

    def __init__(self) -> None:
        self._attempts: set[Attempt] = set()

    @contextmanager
    def attempt(self, *servers: ServerRecord) -> Iterator[Attempt]:
        """Keep an attempt while the context is open; its waits end if a server starts anew."""
        found = Attempt(servers)
        self._attempts.add(found)
        try:
            yield found
        finally:
            self._attempts.discard(found)

    def started(self, server: str, incarnation: int) -> int:
        """End the attempts at a server's former starts; return how many there were."""
        before = [item for item in self._attempts if not item.restarted]
        for item in before:
            item.started(server, incarnation)
        return sum(bool(item.restarted) for item in before)
