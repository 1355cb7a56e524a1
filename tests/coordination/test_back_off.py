"""Back-offs that servers ask for."""

from siskinspoke.coordination.back_off import MOST_MS, BackOffs
from siskinspoke.coordination.rate_limits import FORMER_MS

START = ("i-1", 7)


class TestBackOffs:
    """Until when a server wants nothing of this VM."""

    def test_until_its_end(self):
        back_offs = BackOffs()
        assert back_offs.until(START) < 0
        back_offs.ask(START, 3_000, 100)
        assert back_offs.until(START) == 3_100

    def test_longer_word_stands(self):
        """A second answer asked for less, and the first promise was broken."""
        back_offs = BackOffs()
        back_offs.ask(START, 3_000, 100)
        back_offs.ask(START, 500, 200)
        assert back_offs.until(START) == 3_100
        back_offs.ask(START, 3_000, 1_000)
        assert back_offs.until(START) == 4_000

    def test_concerns_one_start(self):
        back_offs = BackOffs()
        back_offs.ask(START, 3_000, 100)
        assert back_offs.until(("i-1", 8)) < 0

    def test_word_of_a_new_process_before_its_announcement(self):
        """A server started anew and asked for a back-off; its announcement then undid that."""
        back_offs = BackOffs()
        back_offs.ask(START, 3_000, 100)
        back_offs.started(START, ("i-1", 8), 900)
        assert back_offs.until(("i-1", 8)) == 3_100
        back_offs.ask(START, 9_000, 1_000)
        back_offs.started(START, ("i-1", 9), 1_000 + FORMER_MS)
        assert back_offs.until(("i-1", 9)) < 0

    def test_no_value_keeps_a_server_out_for_good(self):
        back_offs = BackOffs()
        back_offs.ask(START, 1e15, 100)
        assert back_offs.until(START) == 100 + MOST_MS

    def test_forgotten_at_its_end_and_with_its_server(self):
        back_offs = BackOffs()
        back_offs.ask(START, 3_000, 100)
        back_offs.ask(("i-2", 1), 9_000, 100)
        back_offs.forget(["i-1", "i-2"], 3_100)
        assert len(back_offs) == 1
        back_offs.forget(["i-1"], 3_200)
        assert len(back_offs) == 0
