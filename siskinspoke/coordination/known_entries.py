"""Which entry VMs belong to the fleet, as one control VM knows: who follows it, or lately did.

Answers the load pattern of a loss of all VMs: what has waited is let go by all entry VMs at once,
and each of them must know from its first moment whom to tell of the work that it begins.
Times are in seconds.
"""

from siskinspoke.protocol.feed import EntryPeer

# An entry VM that was lost is named for so long: one that is started again is back by then.
LOST_SECONDS = 3.0
# It is remembered on the disk for longer, so that a second loss of all finds it again.
KEPT_SECONDS = 60.0


class KnownEntries:
    """The entry VMs that follow, and those that did a short time ago."""

    def __init__(self) -> None:
        self._following: dict[EntryPeer, int] = {}
        self._left_at: dict[EntryPeer, float] = {}

    def recall(self, entries: list[EntryPeer], now: float) -> None:
        """Take in who followed before this VM's restart."""
        self._left_at |= dict.fromkeys(entries, now)

    def joined(self, entry: EntryPeer) -> None:
        """Note that an entry VM follows; it may do so by two connections for a moment."""
        self._following[entry] = self._following.get(entry, 0) + 1
        self._left_at.pop(entry, None)

    def left(self, entry: EntryPeer, now: float) -> None:
        """Note that one of an entry VM's connections has ended."""
        self._following[entry] -= 1
        if not self._following[entry]:
            del self._following[entry]
            self._left_at[entry] = now

    def follows(self, entry: EntryPeer) -> bool:
        """Tell whether an entry VM follows now."""
        return entry in self._following

    def named(self, now: float) -> set[EntryPeer]:
        """Return whom the others are told of."""
        return self._following.keys() | self._lost_since(now, LOST_SECONDS)

    def kept(self, now: float) -> set[EntryPeer]:
        """Return who is kept on the disk."""
        return self._following.keys() | self._lost_since(now, KEPT_SECONDS)

    def _lost_since(self, now: float, seconds: float) -> set[EntryPeer]:
        return {entry for entry, at in self._left_at.items() if now - at < seconds}

    def forget(self, now: float) -> None:
        """Drop who has been lost for too long to matter."""
        for entry in self._left_at.keys() - self._lost_since(now, KEPT_SECONDS):
            del self._left_at[entry]
