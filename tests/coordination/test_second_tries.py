"""Tests of when a late first token is worth a second try elsewhere."""

from siskinspoke.coordination.second_tries import Move, doubt_after_ms, move

TARGET_MS = 300.0
MARGIN_MS = 30.0


class TestMoves:
    """A second try is made as late as it can be in time, and never in vain."""

    def test_waits_while_there_is_time(self):
        doubt = doubt_after_ms(90.0)
        chosen = move(TARGET_MS - doubt, 80.0, MARGIN_MS)
        assert not chosen.now
        assert doubt + chosen.again_ms + 80.0 < TARGET_MS

    def test_moves_when_time_runs_out(self):
        assert move(95.0, 90.0, MARGIN_MS) == Move(now=True)

    def test_not_where_it_would_be_late(self):
        """All engines are overrun after a loss of all; second tries would add to the load."""
        assert move(110.0, 160.0, MARGIN_MS) is None

    def test_not_without_another_server(self):
        assert move(200.0, None, MARGIN_MS) is None

    def test_each_put_off_ends(self):
        left, moves = 200.0, 0
        while not (chosen := move(left, 80.0, MARGIN_MS)).now:
            left -= max(1.0, chosen.again_ms)
            moves += 1
            assert moves < 50
        assert left >= 80.0

    def test_try_that_comes_later_than_expected_is_in_time(self):
        """A try expected after 61 ms was made with 80 ms left, and came after 107: 27 ms late."""
        left, expected = 200.0, 61.0
        while not (chosen := move(left, expected, MARGIN_MS)).now:
            left -= chosen.again_ms
        assert left >= expected + MARGIN_MS
