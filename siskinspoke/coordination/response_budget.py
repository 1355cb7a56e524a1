"""Bound the memory of the answers that a VM reads as a whole before it passes them on."""

from collections.abc import Callable

# Share of the VM's memory that such answers may take up together, and what they may where the
# memory is unknown.
MEMORY_SHARE = 0.25
BYTES_PER_MEGABYTE = 1_000_000
DEFAULT_CAPACITY = 64_000_000
# Smaller answers are never ended to make room.
MIN_EVICTED_BYTES = 65_536


def response_capacity(memory_mb: float) -> int:
    """Return the bytes that answers may take up on a VM; ``memory_mb`` is 0 if unknown."""
    return int(memory_mb * MEMORY_SHARE * BYTES_PER_MEGABYTE) or DEFAULT_CAPACITY


class ResponseBudget:
    """The answers that a VM holds.

    If they exceed the capacity, the largest of those that are still being read is evicted.  An
    answer without end becomes the largest soon, and a sound one may be as long as there is room.
    """

    def __init__(self, capacity: int):
        self._capacity = capacity
        self._held = 0
        self._peak = 0
        self._reading: set[HeldResponse] = set()

    @property
    def held(self) -> int:
        """Return the bytes held now."""
        return self._held

    @property
    def peak(self) -> int:
        """Return the most bytes held at any time."""
        return self._peak

    def open(self, on_evict: Callable[[], None]) -> "HeldResponse":
        """Return an answer that is about to be read; ``on_evict`` ends the reading."""
        response = HeldResponse(self, on_evict)
        self._reading.add(response)
        return response

    def _add(self, size: int) -> None:
        self._held += size
        while self._held > self._capacity and (largest := self._largest()) is not None:
            largest.evict()
        self._peak = max(self._peak, self._held)

    def _largest(self) -> "HeldResponse | None":
        found = max(self._reading, key=lambda item: item.size, default=None)
        return found if found is not None and found.size >= MIN_EVICTED_BYTES else None

    def _release(self, response: "HeldResponse", size: int) -> None:
        self._reading.discard(response)
        self._held -= size


class HeldResponse:
    """The bytes of one answer, which count until they are released."""

    def __init__(self, budget: ResponseBudget, on_evict: Callable[[], None]):
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
        """Return whether the answer was ended to make room."""
        return self._is_evicted

    def add(self, size: int) -> None:
        """Count bytes that were received; this answer or others may be evicted."""
        self._size += size
        self._budget._add(size)

    def finish(self) -> None:
        """Keep the answer, which is complete, until it is released."""
        self._budget._reading.discard(self)

    def evict(self) -> None:
        """End the reading of the answer, and release its bytes."""
        self._is_evicted = True
        self.release()
        self._on_evict()

    def release(self) -> None:
        """Stop counting the answer."""
        self._budget._release(self, self._size)
        self._size = 0
