"""Recognize an answer in tiny chunks: parsing a chunk takes far longer than reading its bytes."""

# After MIN_CHUNKS chunks, the average one of an answer must have MIN_CHUNK_BYTES.
MIN_CHUNKS = 4_096
MIN_CHUNK_BYTES = 3


class ChunkCount:
    """The chunks of one answer."""

    def __init__(self) -> None:
        self._count = 0
        self._bytes = 0

    @property
    def count(self) -> int:
        """Return how many chunks there were."""
        return self._count

    @property
    def are_tiny(self) -> bool:
        """Return whether no sound server sends such chunks."""
        return self._count >= MIN_CHUNKS and self._bytes < MIN_CHUNK_BYTES * self._count

    def add(self, size: int) -> None:
        """Count a chunk."""
        self._count += 1
        self._bytes += size
