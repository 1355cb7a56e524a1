"""Which services had no room for a prompt a moment ago, beside the servers that it leaves out."""

from typing import NamedTuple

# Many that wait for room in one fleet learn the same: after one has found none, the others do not
# look for so long.  Otherwise many silent streams of one VM would take all of its processor.
# Milliseconds.
FULL_MS = 100.0


class Look(NamedTuple):
    """Where room is looked for: those that wait at one engine leave out the same one.

    What a request finds whose own engine is the only one with room holds for no other.
    """

    service: str
    left_out: frozenset[str]
    near_only: bool


class _Full(NamedTuple):
    tokens: int
    at: float


class Fullness:
    """Remember for a moment that a look found no room; times are in milliseconds."""

    def __init__(self) -> None:
        self._full: dict[Look, _Full] = {}

    def note(self, look: Look, tokens: int, now: float) -> None:
        """Note that there was no room for a prompt of so many tokens."""
        self._full = {key: item for key, item in self._full.items() if now - item.at < FULL_MS}
        self._full[look] = _Full(tokens, now)

    def is_full(self, look: Look, tokens: int, now: float) -> bool:
        """Tell whether the same look need not be made now for a prompt of so many tokens."""
        found = self._full.get(look)
        return found is not None and tokens >= found.tokens and now - found.at < FULL_MS
