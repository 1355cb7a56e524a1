"""Tests for the cache of searches that found no room."""

from siskinspoke.coordination.fullness import FULL_MS, Fullness, Look

SEARCH = Look("m", frozenset({"one"}), False)


class TestFullness:
    """A failed search is not repeated for a short time for prompts of at least that length."""

    def test_prompts_of_equal_or_greater_length(self):
        cache = Fullness()
        cache.note(SEARCH, 1_000, 0.0)
        assert cache.is_full(SEARCH, 1_000, FULL_MS - 1)
        assert cache.is_full(SEARCH, 2_000, FULL_MS - 1)

    def test_shorter_prompts_are_searched_for(self):
        """A short prompt may fit where a long one did not."""
        cache = Fullness()
        cache.note(SEARCH, 1_000, 0.0)
        assert not cache.is_full(SEARCH, 999, 1.0)

    def test_entry_expires(self):
        cache = Fullness()
        cache.note(SEARCH, 1_000, 0.0)
        assert not cache.is_full(SEARCH, 1_000, FULL_MS)

    def test_other_searches_are_unaffected(self):
        """A request that excludes another engine may find room at this one."""
        cache = Fullness()
        cache.note(SEARCH, 1_000, 0.0)
        for other in (
            SEARCH._replace(service="other"),
            SEARCH._replace(excluded=frozenset()),
            SEARCH._replace(near_only=True),
        ):
            assert not cache.is_full(other, 1_000, 1.0)
