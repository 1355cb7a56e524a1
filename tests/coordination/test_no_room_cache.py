"""Tests for the cache of searches that found no room."""

from siskinspoke.coordination.no_room_cache import NO_ROOM_TTL_MS, NoRoomCache, RoomSearch

SEARCH = RoomSearch("m", frozenset({"one"}), False)


class TestFullness:
    """A failed search is not repeated for a short time for prompts of at least that length."""

    def test_prompts_of_equal_or_greater_length(self):
        cache = NoRoomCache()
        cache.record(SEARCH, 1_000, 0.0)
        assert cache.found_no_room(SEARCH, 1_000, NO_ROOM_TTL_MS - 1)
        assert cache.found_no_room(SEARCH, 2_000, NO_ROOM_TTL_MS - 1)

    def test_shorter_prompts_are_searched_for(self):
        """A short prompt may fit where a long one did not."""
        cache = NoRoomCache()
        cache.record(SEARCH, 1_000, 0.0)
        assert not cache.found_no_room(SEARCH, 999, 1.0)

    def test_entry_expires(self):
        cache = NoRoomCache()
        cache.record(SEARCH, 1_000, 0.0)
        assert not cache.found_no_room(SEARCH, 1_000, NO_ROOM_TTL_MS)

    def test_other_searches_are_unaffected(self):
        """A request that excludes another engine may find room at this one."""
        cache = NoRoomCache()
        cache.record(SEARCH, 1_000, 0.0)
        for other in (
            SEARCH._replace(service="other"),
            SEARCH._replace(excluded=frozenset()),
            SEARCH._replace(near_only=True),
        ):
            assert not cache.found_no_room(other, 1_000, 1.0)
