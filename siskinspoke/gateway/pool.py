"""A pool of idle connections to backend servers."""

from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.transport.http1 import ServerConnection

# Assumed idle timeout of a server that does not announce one.
DEFAULT_IDLE_SECONDS = 3.0
# Fraction of the server's idle timeout during which a connection is reused. The server's timeout
# started when it sent its response, and a request needs time to arrive.
IDLE_TIMEOUT_FRACTION = 0.6
MAX_IDLE_PER_SERVER = 16


class Pool:
    """Keep idle connections per server process, most recently used first; times in milliseconds.

    Connections are keyed by server incarnation: a connection to a dead process must not carry a
    request for the process that has replaced it under the same name.
    """

    def __init__(self) -> None:
        self._idle: dict[tuple[str, int], list[ServerConnection]] = {}

    def take(self, server: ServerRecord, now: float, fresh_ms: float) -> ServerConnection | None:
        """Return a connection used within ``fresh_ms`` that has no unread data, or None."""
        idle = self._idle.get(server.start, [])
        while idle:
            connection = idle.pop()
            if self._is_usable(connection, now, fresh_ms):
                return connection
            connection.reset()
        return None

    def _is_usable(self, connection: ServerConnection, now: float, fresh_ms: float) -> bool:
        idle_seconds = connection.idle_seconds or DEFAULT_IDLE_SECONDS
        max_idle_ms = min(fresh_ms, idle_seconds * 1000 * IDLE_TIMEOUT_FRACTION)
        return now - connection.last_used_at < max_idle_ms and connection.has_no_pending_data()

    def put(self, server: ServerRecord, connection: ServerConnection) -> None:
        """Return a connection to the pool after a complete response."""
        idle = self._idle.setdefault(server.start, [])
        if len(idle) >= MAX_IDLE_PER_SERVER:
            idle.pop(0).reset()
        idle.append(connection)

    def prune(self, now: float) -> None:
        """Close connections that have been idle for too long."""
        for start, idle in list(self._idle.items()):
            usable = []
            for connection in idle:
                if self._is_usable(connection, now, float("inf")):
                    usable.append(connection)
                else:
                    connection.reset()
            if usable:
                self._idle[start] = usable
            else:
                del self._idle[start]

    def close(self) -> None:
        """Close all pooled connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.reset()
        self._idle.clear()
