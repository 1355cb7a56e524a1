"""Token counts and prefix hashes of prompts, computed alike by entry VMs and engines."""

from collections.abc import Iterator

import xxhash

CHARACTERS_PER_TOKEN = 4
BLOCK_TOKENS = 256
_BLOCK_CHARACTERS = BLOCK_TOKENS * CHARACTERS_PER_TOKEN


def count_tokens(text: str) -> int:
    """Return the approximate token count used for reservations and estimates; at least 1."""
    return max(1, -(-len(text) // CHARACTERS_PER_TOKEN))


def prefix_hashes(text: str) -> list[int]:
    """Return a hash for the prefix up to each full block; equal hashes mean equal prefixes."""
    return list(_iterate_hashes(text))


def _iterate_hashes(text: str) -> Iterator[int]:
    previous = 0
    for start in range(0, len(text) - _BLOCK_CHARACTERS + 1, _BLOCK_CHARACTERS):
        block = text[start : start + _BLOCK_CHARACTERS]
        previous = xxhash.xxh64_intdigest(block.encode(), seed=previous)
        yield previous
