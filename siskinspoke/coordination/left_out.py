"""Which servers one request passes over, and for how long."""

from siskinspoke.coordination.directory import Directory

# A server that was full or silent may have room again by now: with all its slots taken an engine
# ends a stream several times a second.  To ask sooner would use up the few sendings that a request
# has, at the same server, while that one is still full.  Milliseconds.
PUT_OFF_MS = 1_000.0


class LeftOut:
    """Remember who failed a request, and who could not take it for a while."""

    def __init__(self) -> None:
        self._failed: set[tuple[str, int]] = set()
        self._until: dict[str, float] = {}

    def fail(self, start: tuple[str, int]) -> None:
        """Pass a server over until it starts anew: the new process has failed nobody."""
        self._failed.add(start)

    def put_off(self, server: str, now: float) -> None:
        """Pass a server over for a while."""
        self._until[server] = now + PUT_OFF_MS

    def names(self, directory: Directory, now: float) -> set[str]:
        """Return the servers that are passed over now."""
        failed = {name for name, start in self._failed if not directory.superseded(name, start)}
        return failed | {name for name, until in self._until.items() if now < until}
