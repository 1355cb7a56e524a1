"""Cache of recent searches that found no room for a prompt, by service and excluded servers."""

from typing import NamedTuple

# How long a failed search is cached.  Requests that wait for room in the same fleet get the same
# result; without the cache, the searches of many silent streams would use all of a VM's CPU time.
FULL_MS = 100.0


class Look(NamedTuple):
    """Where room is searched for.  Requests that wait at the same engine exclude the same one.

    ``left_out`` is part of the key because a request whose own engine is the only one with room
    finds none, while requests at other engines can use it.
    """

    service: str
    left_out: frozenset[str]
    near_only: bool


class _NoRoom(NamedTuple):
    tokens: int
    at: float


class Fullness:
    """Remember failed searches for a short time; times are in milliseconds."""

    def __init__(self) -> None:
        self._found: dict[Look, _NoRoom] = {}

    def note(self, look: Look, tokens: int, now: float) -> None:
        """Record that there was no room for a prompt of this many tokens."""
        self._found = {key: item for key, item in self._found.items() if now - item.at < FULL_MS}
        self._found[look] = _NoRoom(tokens, now)

    def is_full(self, look: Look, tokens: int, now: float) -> bool:
        """Return whether the same search recently failed for a prompt of at most this length."""
        found = self._found.get(look)
        return found is not None and tokens >= found.tokens and now - found.at < FULL_MS
