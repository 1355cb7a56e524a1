"""Tests of when a late first token is worth a second try elsewhere."""

from siskinspoke.coordination.second_tries import Move, doubt_after_ms, move

TARGET_MS = 300.0


class TestMoves:
    """A second try is made as late as it can be in time, and never in vain."""

    def test_waits_while_there_is_time(self):
        doubt = doubt_after_ms(90.0)
        chosen = move(TARGET_MS - doubt, 80.0)
        assert not chosen.now
        assert doubt + chosen.again_ms + 80.0 < TARGET_MS

    def test_moves_when_time_runs_out(self):
        assert move(95.0, 90.0) == Move(now=True)

    def test_not_where_it_would_be_late(self):
        """All engines are overrun after a loss of all; second tries would add to the load."""
        assert move(110.0, 160.0) is None

    def test_not_without_another_server(self):
        assert move(200.0, None) is None

    def test_each_put_off_ends(self):
        left, moves = 200.0, 0
        while not (chosen := move(left, 80.0)).now:
            left -= max(1.0, chosen.again_ms)
            moves += 1
            assert moves < 50
        assert left >= 80.0
