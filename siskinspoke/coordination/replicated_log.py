"""In-memory log of the entries that follow a replica's snapshot."""

from siskinspoke.protocol.replication import Entry


class ReplicatedLog:
    """Log entries from ``base_index`` + 1; the snapshot covers entries up to ``base_index``."""

    def __init__(self, base_index: int = 0, base_term: int = 0):
        self.base_index = base_index
        self.base_term = base_term
        self._entries: list[Entry] = []

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if the log does not contain it."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def between(self, first: int, last: int) -> list[Entry]:
        """Return the entries from ``first`` to ``last``, inclusive."""
        start = max(first, self.base_index + 1) - self.base_index - 1
        # Without the lower bound, a ``last`` before the base would be a negative slice index, which
        # counts from the end of the list and would return uncommitted entries.
        end = max(last - self.base_index, 0)
        return self._entries[start:end]

    def put(self, entry: Entry) -> None:
        """Store an entry, removing any entry at the same index and all that follow."""
        if entry.index <= self.base_index:
            return
        del self._entries[entry.index - self.base_index - 1 :]
        self._entries.append(entry)

    def compact(self, index: int) -> None:
        """Remove entries up to an index that a snapshot covers."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        del self._entries[: index - self.base_index]
        self.base_index, self.base_term = index, term

    def reset(self, index: int, term: int) -> None:
        """Remove all entries and restart after a snapshot from another replica."""
        self._entries.clear()
        self.base_index, self.base_term = index, term
