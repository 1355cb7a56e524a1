"""Tests of first-token prediction errors by decision, as read from logs."""

from siskinspoke.analysis.foresight import (
    Decision,
    classify_decision,
    collect_stats,
    first_token_error_ms,
    format_table,
)
from siskinspoke.analysis.losses import RequestLine


def line(tried, first=120.0, expected=100.0, pause=50.0) -> RequestLine:
    """Return the log line of a prompt with a target of 300 ms and pauses of up to 250 ms."""
    took = tried[-1][2]
    return RequestLine(
        "r", "route", "served", 200, took, 300.0, first, expected, pause, 250.0, tried
    )


UNCHANGED = line([("e1", "complete", 900.0)])
RETRIED = line([("e1", "no answer in time", 240.0), ("e2", "complete", 900.0)], first=348.0)
MOVED = line(
    [
        ("e1", "its engine reads for longer than the stream may pause", 400.0),
        ("e2", "complete", 900.0),
    ]
)


class TestFirstTokenErrors:
    """Predicted against actual first-token times."""

    def test_decisions(self):
        assert classify_decision(UNCHANGED) is Decision.UNCHANGED
        assert classify_decision(RETRIED) is Decision.RETRIED
        assert classify_decision(MOVED) is Decision.MOVED

    def test_error_counts_from_the_start_of_the_successful_attempt(self):
        assert first_token_error_ms(UNCHANGED) == 20.0
        assert first_token_error_ms(RETRIED) == 8.0

    def test_no_error_for_first_token_before_a_move(self):
        assert first_token_error_ms(MOVED) is None

    def test_table_adds_up(self):
        stats = collect_stats([UNCHANGED, UNCHANGED, RETRIED, MOVED])
        assert sum(item.request_count for item in stats) == 4
        assert sum(item.success_count for item in stats) == 3
        assert "retried elsewhere" in format_table(stats)
