"""Tests of the back-offs that servers request."""

from siskinspoke.coordination.back_off import MAX_BACK_OFF_MS, BackOffs
from siskinspoke.coordination.rate_limits import RESTART_OVERLAP_MS

START = ("i-1", 7)


class TestBackOffs:
    """Until when a server wants no requests of this VM."""

    def test_until_its_end(self):
        back_offs = BackOffs()
        assert back_offs.until(START) < 0
        back_offs.add(START, 3_000, 100)
        assert back_offs.until(START) == 3_100

    def test_longer_back_off_is_kept(self):
        """A second answer with a shorter back-off must not shorten the first."""
        back_offs = BackOffs()
        back_offs.add(START, 3_000, 100)
        back_offs.add(START, 500, 200)
        assert back_offs.until(START) == 3_100
        back_offs.add(START, 3_000, 1_000)
        assert back_offs.until(START) == 4_000

    def test_applies_to_one_incarnation(self):
        back_offs = BackOffs()
        back_offs.add(START, 3_000, 100)
        assert back_offs.until(("i-1", 8)) < 0

    def test_back_off_of_new_process_before_its_announcement(self):
        """A restarted server's announcement must not undo a back-off it has already requested."""
        back_offs = BackOffs()
        back_offs.add(START, 3_000, 100)
        back_offs.carry_over(START, ("i-1", 8), 900)
        assert back_offs.until(("i-1", 8)) == 3_100
        back_offs.add(START, 9_000, 1_000)
        back_offs.carry_over(START, ("i-1", 9), 1_000 + RESTART_OVERLAP_MS)
        assert back_offs.until(("i-1", 9)) < 0

    def test_no_value_excludes_a_server_permanently(self):
        back_offs = BackOffs()
        back_offs.add(START, 1e15, 100)
        assert back_offs.until(START) == 100 + MAX_BACK_OFF_MS

    def test_dropped_on_expiry_and_with_its_server(self):
        back_offs = BackOffs()
        back_offs.add(START, 3_000, 100)
        back_offs.add(("i-2", 1), 9_000, 100)
        back_offs.prune(["i-1", "i-2"], 3_100)
        assert len(back_offs) == 1
        back_offs.prune(["i-1"], 3_200)
        assert len(back_offs) == 0
