"""What is remembered of a full fleet, and for how long."""

from siskinspoke.coordination.fullness import FULL_MS, Fullness, Look

LOOK = Look("m", frozenset({"one"}), False)


class TestFullness:
    """Prompts that are no shorter need not be tried for a moment."""

    def test_prompts_as_long_and_longer(self):
        fullness = Fullness()
        fullness.note(LOOK, 1_000, 0.0)
        assert fullness.is_full(LOOK, 1_000, FULL_MS - 1)
        assert fullness.is_full(LOOK, 2_000, FULL_MS - 1)

    def test_shorter_prompts_are_tried(self):
        """A short prompt may fit where a long one did not."""
        fullness = Fullness()
        fullness.note(LOOK, 1_000, 0.0)
        assert not fullness.is_full(LOOK, 999, 1.0)

    def test_ends_by_itself(self):
        fullness = Fullness()
        fullness.note(LOOK, 1_000, 0.0)
        assert not fullness.is_full(LOOK, 1_000, FULL_MS)

    def test_other_looks(self):
        """Whoever leaves out another engine may find room at this one."""
        fullness = Fullness()
        fullness.note(LOOK, 1_000, 0.0)
        for other in (
            LOOK._replace(service="other"),
            LOOK._replace(left_out=frozenset()),
            LOOK._replace(near_only=True),
        ):
            assert not fullness.is_full(other, 1_000, 1.0)
