"""Tests for the cache of searches that found no room."""

from siskinspoke.coordination.fullness import FULL_MS, Fullness, Look

LOOK = Look("m", frozenset({"one"}), False)


class TestFullness:
    """A failed search is not repeated for a short time for prompts of at least that length."""

    def test_prompts_of_equal_or_greater_length(self):
        fullness = Fullness()
        fullness.note(LOOK, 1_000, 0.0)
        assert fullness.is_full(LOOK, 1_000, FULL_MS - 1)
        assert fullness.is_full(LOOK, 2_000, FULL_MS - 1)

    def test_shorter_prompts_are_searched_for(self):
        """A short prompt may fit where a long one did not."""
        fullness = Fullness()
        fullness.note(LOOK, 1_000, 0.0)
        assert not fullness.is_full(LOOK, 999, 1.0)

    def test_entry_expires(self):
        fullness = Fullness()
        fullness.note(LOOK, 1_000, 0.0)
        assert not fullness.is_full(LOOK, 1_000, FULL_MS)

    def test_other_searches_are_unaffected(self):
        """A request that excludes another engine may find room at this one."""
        fullness = Fullness()
        fullness.note(LOOK, 1_000, 0.0)
        for other in (
            LOOK._replace(service="other"),
            LOOK._replace(left_out=frozenset()),
            LOOK._replace(near_only=True),
        ):
            assert not fullness.is_full(other, 1_000, 1.0)
