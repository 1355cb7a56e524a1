"""A pool of idle connections to backend servers."""

from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.transport.http1 import ServerConnection

# Assumed idle timeout of a server that does not announce one.
IDLE_SECONDS = 3.0
# Fraction of the server's idle timeout during which a connection is reused. The server's timeout
# started when it sent its response, and a request needs time to arrive.
IDLE_SHARE = 0.6
MOST_IDLE = 16


class Pool:
    """Keep idle connections per server process, most recently used first; times in milliseconds.

    Connections are keyed by server incarnation: a connection to a dead process must not carry a
    request for the process that has replaced it under the same name.
    """

    def __init__(self) -> None:
        self._idle: dict[tuple[str, int], list[ServerConnection]] = {}

    def take(self, server: ServerRecord, now: float, fresh_ms: float) -> ServerConnection | None:
        """Return a connection used within ``fresh_ms`` that has no unread data, or None."""
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
        """Return a connection to the pool after a complete response."""
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
        """Close all pooled connections."""
        for kept in self._idle.values():
            for connection in kept:
                connection.cut()
        self._idle.clear()
