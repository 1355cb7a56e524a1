"""Cache of recent searches that found no room for a prompt, by service and excluded servers."""

from typing import NamedTuple

# How long a failed search is cached.  Requests that wait for room in the same fleet get the same
# result; without the cache, the searches of many silent streams would use all of a VM's CPU time.
NO_ROOM_TTL_MS = 100.0


class RoomSearch(NamedTuple):
    """Where room is searched for.  Requests that wait at the same engine exclude the same one.

    ``excluded`` is part of the key because a request whose own engine is the only one with room
    finds none, while requests at other engines can use it.  So are the only failure domains that
    the request may use, None for all.
    """

    service: str
    excluded: frozenset[str]
    near_only: bool
    domains: frozenset[str] | None = None


class _NoRoom(NamedTuple):
    tokens: int
    at: float


class NoRoomCache:
    """Remember failed searches for a short time; times are in milliseconds."""

    def __init__(self) -> None:
        self._failed_searches: dict[RoomSearch, _NoRoom] = {}

    def record(self, search: RoomSearch, tokens: int, now: float) -> None:
        """Record that there was no room for a prompt of this many tokens."""
        self._failed_searches = {
            key: item
            for key, item in self._failed_searches.items()
            if now - item.at < NO_ROOM_TTL_MS
        }
        self._failed_searches[search] = _NoRoom(tokens, now)

    def found_no_room(self, search: RoomSearch, tokens: int, now: float) -> bool:
        """Return whether the same search recently failed for a prompt of at most this length."""
        found = self._failed_searches.get(search)
        return found is not None and tokens >= found.tokens and now - found.at < NO_ROOM_TTL_MS
