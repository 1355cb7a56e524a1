"""An approximate index of the prompt prefixes that each server caches.

It is built from this VM's own dispatches and the servers' cache events.
"""

from collections import OrderedDict

MAX_BLOCKS_PER_SERVER = 16_384


class PrefixIndex:
    """An LRU index of prefix blocks per server.

    A wrong entry can delay a first token but never causes a wrong answer.
    """

    def __init__(self) -> None:
        self._blocks: dict[str, OrderedDict[int, None]] = {}

    def stored(self, server: str, blocks: list[int]) -> None:
        """Record that a server holds these blocks."""
        held = self._blocks.setdefault(server, OrderedDict())
        for block in blocks:
            held[block] = None
            held.move_to_end(block)
        while len(held) > MAX_BLOCKS_PER_SERVER:
            held.popitem(last=False)

    def removed(self, server: str, blocks: list[int]) -> None:
        """Record that a server no longer holds these blocks."""
        held = self._blocks.get(server, {})
        for block in blocks:
            held.pop(block, None)

    def reset(self, server: str) -> None:
        """Remove all blocks of a server, after a gap in its events or a restart."""
        self._blocks.pop(server, None)

    def cached_prefix_blocks(self, server: str, blocks: list[int]) -> int:
        """Return the number of consecutive blocks at the start of a prompt that a server holds."""
        held = self._blocks.get(server)
        if not held:
            return 0
        for count, block in enumerate(blocks):
            if block not in held:
                return count
        return len(blocks)
