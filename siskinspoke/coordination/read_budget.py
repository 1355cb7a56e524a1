"""Bound the memory of data that a VM reads as a whole: bodies of requests, and answers."""

from collections.abc import Callable

# Smaller answers are never ended to make room.
MIN_EVICTED_BYTES = 65_536


class ReadBudget:
    """The bodies or answers that a VM holds.

    If they exceed the capacity, the largest of those that are still being read is evicted.  One
    without end becomes the largest soon, and a sound one may be as long as there is room.  Those
    below ``min_evicted`` bytes are never evicted.
    """

    def __init__(self, capacity: int, min_evicted: int = MIN_EVICTED_BYTES):
        self._capacity = capacity
        self._min_evicted = min_evicted
        self._held = 0
        self._peak = 0
        self._reading: set[HeldData] = set()

    @property
    def held(self) -> int:
        """Return the bytes held now."""
        return self._held

    @property
    def peak(self) -> int:
        """Return the most bytes held at any time."""
        return self._peak

    def open(self, on_evict: Callable[[], None]) -> "HeldData":
        """Return data that is about to be read; ``on_evict`` ends the reading."""
        data = HeldData(self, on_evict)
        self._reading.add(data)
        return data

    def _add(self, size: int) -> None:
        self._held += size
        while self._held > self._capacity and (largest := self._largest()) is not None:
            largest.evict()
        self._peak = max(self._peak, self._held)

    def _largest(self) -> "HeldData | None":
        found = max(self._reading, key=lambda item: item.size, default=None)
        return found if found is not None and found.size >= self._min_evicted else None

    def _release(self, data: "HeldData", size: int) -> None:
        self._reading.discard(data)
        self._held -= size


class HeldData:
    """The bytes of one body or answer, which count until they are released."""

    def __init__(self, budget: ReadBudget, on_evict: Callable[[], None]):
        self._budget = budget
        self._on_evict = on_evict
        self._size = 0
        self._is_evicted = False

    @property
    def size(self) -> int:
        """Return the bytes that count."""
        return self._size

    @property
    def is_evicted(self) -> bool:
        """Return whether the reading was ended to make room."""
        return self._is_evicted

    def add(self, size: int) -> None:
        """Count bytes that were received; this data or other data may be evicted."""
        if self._is_evicted:
            return
        self._size += size
        self._budget._add(size)

    def finish(self) -> None:
        """Keep the data, which is complete, until it is released."""
        self._budget._reading.discard(self)

    def evict(self) -> None:
        """End the reading, and release the bytes."""
        self._is_evicted = True
        self.release()
        self._on_evict()

    def release(self) -> None:
        """Stop counting the data."""
        self._budget._release(self, self._size)
        self._size = 0
