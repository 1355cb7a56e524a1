"""Decides when failed connections suggest that this VM is partitioned from many servers."""

import math

# This many different servers that could not be connected to, and none that could since.
MIN_FAILED_SERVERS = 2
# Failures further apart than this are not related.
FAILURE_WINDOW_MS = 2_500.0
# Least time between two surveys.
SURVEY_INTERVAL_MS = 500.0


class ConnectionFailures:
    """Servers that could not be connected to since the last successful connection."""

    def __init__(self) -> None:
        self._failed_at: dict[str, float] = {}
        self._surveyed_at = -math.inf

    def record_success(self) -> None:
        """Record a connection to any server."""
        self._failed_at.clear()

    def record_failure(self, server: str, now: float) -> bool:
        """Record a failed connection; return whether all failure domains should be surveyed."""
        self._failed_at[server] = now
        for name in [n for n, at in self._failed_at.items() if now - at > FAILURE_WINDOW_MS]:
            del self._failed_at[name]
        if len(self._failed_at) < MIN_FAILED_SERVERS:
            return False
        if now - self._surveyed_at < SURVEY_INTERVAL_MS:
            return False
        self._surveyed_at = now
        return True
