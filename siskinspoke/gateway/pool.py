"""Kept connections to backend servers."""

from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.transport.http1 import ServerConnection

# A server that does not say how long it keeps an idle connection is trusted this long.
IDLE_SECONDS = 3.0
# Part of the time that a server keeps a connection for which it is used: the server's clock
# started when its answer left, and a request needs time to arrive.
IDLE_SHARE = 0.6
MOST_IDLE = 16


class Pool:
    """Keep idle connections by server, the last used first; times are in milliseconds.

    They are kept by start: a connection to a process that is gone must not carry a request for
    the one that has taken its name.
    """

    def __init__(self) -> None:
        self._idle: dict[tuple[str, int], list[ServerConnection]] = {}

    def take(self, server: ServerRecord, now: float, fresh_ms: float) -> ServerConnection | None:
        """Return a connection used within ``fresh_ms`` on which nothing has arrived since."""
        kept = self._idle.get(server.start, [])
        while kept:
            connection = kept.pop()
            if self._is_usable(connection, now, fresh_ms):
                return connection
            connection.cut()
        return None

    def _is_usable(self, connection: ServerConnection, now: float, fresh_ms: float) -> bool:
        idle_seconds = connection.idle_seconds or IDLE_SECONDS
        most = min(fresh_ms, idle_seconds * 1000 * IDLE_SHARE)
        return now - connection.used_at < most and connection.is_quiet()

    def put(self, server: ServerRecord, connection: ServerConnection) -> None:
        """Keep a connection whose answer is complete."""
        kept = self._idle.setdefault(server.start, [])
        if len(kept) >= MOST_IDLE:
            kept.pop(0).cut()
        kept.append(connection)

    def prune(self, now: float) -> None:
        """Close connections that have been idle for too long."""
        for start, kept in list(self._idle.items()):
            still = []
            for connection in kept:
                if self._is_usable(connection, now, float("inf")):
                    still.append(connection)
                else:
                    connection.cut()
            if still:
                self._idle[start] = still
            else:
                del self._idle[start]

    def close(self) -> None:
        """Close all."""
        for kept in self._idle.values():
            for connection in kept:
                connection.cut()
        self._idle.clear()
