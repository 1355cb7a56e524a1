"""Tests of the causes of late and failed requests, as read from a log."""

import pytest

from siskinspoke.analysis.losses import (
    Cause,
    FailureReport,
    RequestLine,
    classify_cause,
    parse_request_lines,
)


def line(**changes) -> RequestLine:
    """Return the log line of a short prompt that was served in time, with changed fields."""
    fields = {
        "request": "r1",
        "route": "short",
        "end": "served",
        "status": 200,
        "took": 1_500.0,
        "target": 300.0,
        "first": 110.0,
        "expected": 100.0,
        "longest_pause": 60.0,
        "pause_target": 250.0,
        "tried": [("e1", "complete", 1_500.0)],
    }
    return RequestLine(**{**fields, **changes})


class TestCauses:
    """The cause of a request is the first failure in its line."""

    def test_good(self):
        assert line().is_successful
        assert not line(first=301.0).is_successful
        assert not line(longest_pause=251.0).is_successful

    @pytest.mark.parametrize(
        ("changes", "cause"),
        [
            ({"end": "client gone"}, Cause.CLIENT_DISCONNECTED),
            ({"end": "no_server", "tried": []}, Cause.NO_CANDIDATE),
            ({"end": "timeout", "tried": []}, Cause.REQUEST_TIMEOUT),
            ({"first": 400.0, "expected": 350.0}, Cause.NO_TIMELY_ENGINE),
            ({"first": 400.0}, Cause.QUEUED_TOO_LONG),
            ({"longest_pause": 400.0}, Cause.STREAM_STALLED),
            ({"tried": [("e1", "no connection", 50.0)]}, Cause.SERVER_UNREACHABLE),
            ({"tried": [("e1", "no answer in time", 200.0)]}, Cause.SERVER_TIMEOUT),
            ({"tried": [("e1", "refused with 503", 2.0)]}, Cause.SERVER_OVERLOADED),
            ({"tried": [("e1", "not HTTP", 2.0)]}, Cause.INVALID_RESPONSE),
        ],
    )
    def test_cause(self, changes, cause):
        assert classify_cause(line(**changes)) is cause


class TestTable:
    """All requests are counted, and each late or failed one has a single cause."""

    def test_adds_up(self):
        losses = FailureReport()
        for item in (line(), line(first=400.0), line(end="client gone"), line(route="long")):
            losses.add(item)
        assert losses.request_counts == {"short": 3, "long": 1}
        assert losses.failure_counts["short"].total() == 2
        assert "short: 3 requests, 1 ok" in losses.to_text()

    def test_skips_other_events_and_truncated_lines(self):
        text = [
            "12.5 entry-1 " + '{"event":"start"}',
            '{"event":"request","request":"r1","route":"a","end":"served","status":200,'
            '"took":5,"target":100}',
            '{"event":"request","request":"r2","rou',
            "not a line of ours",
        ]
        assert [item.request for item in parse_request_lines(text)] == ["r1"]
