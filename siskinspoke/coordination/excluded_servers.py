"""The servers that are excluded for one request, and for how long."""

from siskinspoke.coordination.directory import Directory

# A server that was full or silent may have room again after this time: a full engine ends a stream
# several times a second.  A shorter exclusion would use up the few attempts of a request at the
# same server while it is still full.
TEMPORARY_EXCLUSION_MS = 1_000.0


class ExcludedServers:
    """The servers that failed one request, and those excluded for it temporarily."""

    def __init__(self) -> None:
        self._failed_starts: set[tuple[str, int]] = set()
        self._excluded_until: dict[str, float] = {}

    def exclude_until_restart(self, start: tuple[str, int]) -> None:
        """Exclude a server until it restarts, since the failure was of the old process."""
        self._failed_starts.add(start)

    def readmit(self, start: tuple[str, int]) -> None:
        """Undo ``exclude_until_restart``."""
        self._failed_starts.discard(start)

    def exclude_temporarily(self, server: str, now: float) -> None:
        """Exclude a server for TEMPORARY_EXCLUSION_MS."""
        self._excluded_until[server] = now + TEMPORARY_EXCLUSION_MS

    def current(self, directory: Directory, now: float) -> set[str]:
        """Return the servers that are excluded now."""
        failed = {
            name for name, start in self._failed_starts if not directory.superseded(name, start)
        }
        return failed | {name for name, until in self._excluded_until.items() if now < until}
