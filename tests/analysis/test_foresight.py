"""Tests of how far decisions on prompts were off, from the logs."""

from siskinspoke.analysis.foresight import Decision, decision_of, regret_ms, regrets_of, table
from siskinspoke.analysis.losses import RequestLine


def line(tried, first=120.0, expected=100.0, pause=50.0) -> RequestLine:
    """Return the line of a prompt with a target of 300 ms and pauses of 250."""
    took = tried[-1][2]
    return RequestLine(
        "r", "route", "served", 200, took, 300.0, first, expected, pause, 250.0, tried
    )


STAYED = line([("e1", "complete", 900.0)])
LATE = line([("e1", "no answer in time", 240.0), ("e2", "complete", 900.0)], first=348.0)
MOVED = line(
    [
        ("e1", "its engine reads for longer than the stream may pause", 400.0),
        ("e2", "complete", 900.0),
    ]
)


class TestRegret:
    """What was foreseen against what came."""

    def test_decisions(self):
        assert decision_of(STAYED) is Decision.STAYED
        assert decision_of(LATE) is Decision.SECOND_TRY
        assert decision_of(MOVED) is Decision.MOVED

    def test_counts_from_the_attempt_that_brought_the_token(self):
        assert regret_ms(STAYED) == 20.0
        assert regret_ms(LATE) == 8.0

    def test_first_token_before_a_move_says_nothing_of_the_second_engine(self):
        assert regret_ms(MOVED) is None

    def test_table_adds_up(self):
        regrets = regrets_of([STAYED, STAYED, LATE, MOVED])
        assert sum(item.asked for item in regrets) == 4
        assert sum(item.well for item in regrets) == 3
        assert "tried elsewhere" in table(regrets)
