"""The entries that one replica holds after its snapshot."""

from siskinspoke.protocol.replication import Entry


class ReplicatedLog:
    """Entries from ``base_index`` + 1 on; the base itself is the snapshot's last entry."""

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
        """Return the term of an entry, or None where it is not held."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def between(self, first: int, last: int) -> list[Entry]:
        """Return the entries from ``first`` to ``last``, both included."""
        start = max(first, self.base_index + 1) - self.base_index - 1
        # An end before the base would be a negative slice, which counts from the far end and
        # would hand out entries that nobody has committed.
        end = max(last - self.base_index, 0)
        return self._entries[start:end]

    def put(self, entry: Entry) -> None:
        """Add an entry; one that stands in its place, and all after it, go."""
        if entry.index <= self.base_index:
            return
        del self._entries[entry.index - self.base_index - 1 :]
        self._entries.append(entry)

    def compact(self, index: int) -> None:
        """Drop entries up to an index that a snapshot covers."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        del self._entries[: index - self.base_index]
        self.base_index, self.base_term = index, term

    def reset(self, index: int, term: int) -> None:
        """Forget everything in favour of a snapshot from elsewhere."""
        self._entries.clear()
        self.base_index, self.base_term = index, term
