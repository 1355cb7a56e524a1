"""The entry VMs that follow one control VM, or recently did.

After a loss of all VMs, all entry VMs admit the waiting requests at the same time, so each of them
must know from its start which other entry VMs to tell about the work that it begins. Times are in
seconds.
"""

from siskinspoke.protocol.feed import EntryPeer

# A lost entry VM is still announced for this long; one that is restarted is back by then.
LOST_ENTRY_ANNOUNCE_SECONDS = 3.0
# It is stored on disk for longer, so that it is found again after a second loss of all VMs.
LOST_ENTRY_STORE_SECONDS = 60.0


class KnownEntries:
    """The entry VMs that are connected, and those that recently were."""

    def __init__(self) -> None:
        self._following: dict[EntryPeer, int] = {}
        self._left_at: dict[EntryPeer, float] = {}

    def restore(self, entries: list[EntryPeer], now: float) -> None:
        """Restore the entry VMs that were connected before this VM restarted."""
        self._left_at |= dict.fromkeys(entries, now)

    def connected(self, entry: EntryPeer) -> None:
        """Record a connection of an entry VM; it may briefly have two."""
        self._following[entry] = self._following.get(entry, 0) + 1
        self._left_at.pop(entry, None)

    def disconnected(self, entry: EntryPeer, now: float) -> None:
        """Record that one of an entry VM's connections has ended."""
        self._following[entry] -= 1
        if not self._following[entry]:
            del self._following[entry]
            self._left_at[entry] = now

    def is_connected(self, entry: EntryPeer) -> bool:
        """Return whether an entry VM is connected."""
        return entry in self._following

    def announced(self, now: float) -> set[EntryPeer]:
        """Return the entry VMs to announce to the others."""
        return self._following.keys() | self._lost_since(now, LOST_ENTRY_ANNOUNCE_SECONDS)

    def stored(self, now: float) -> set[EntryPeer]:
        """Return the entry VMs to store on disk."""
        return self._following.keys() | self._lost_since(now, LOST_ENTRY_STORE_SECONDS)

    def _lost_since(self, now: float, seconds: float) -> set[EntryPeer]:
        return {entry for entry, at in self._left_at.items() if now - at < seconds}

    def prune(self, now: float) -> None:
        """Drop entry VMs that were lost too long ago."""
        for entry in self._left_at.keys() - self._lost_since(now, LOST_ENTRY_STORE_SECONDS):
            del self._left_at[entry]
