"""Tests of what a log says of requests that did not end well."""

import pytest

from siskinspoke.analysis.losses import Cause, Losses, RequestLine, cause_of, request_lines


def line(**changes) -> RequestLine:
    """Return the line of a short prompt that was served in time, with some fields changed."""
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
    """The first thing that went wrong is the cause."""

    def test_good(self):
        assert line().is_good
        assert not line(first=301.0).is_good
        assert not line(longest_pause=251.0).is_good

    @pytest.mark.parametrize(
        ("changes", "cause"),
        [
            ({"end": "client gone"}, Cause.CLIENT_LEFT),
            ({"end": "no_server", "tried": []}, Cause.NOBODY),
            ({"end": "timeout", "tried": []}, Cause.TIMEOUT),
            ({"first": 400.0, "expected": 350.0}, Cause.PLACED_LATE),
            ({"first": 400.0}, Cause.WAITED),
            ({"longest_pause": 400.0}, Cause.PAUSED),
            ({"tried": [("e1", "no connection", 50.0)]}, Cause.LOST_SERVER),
            ({"tried": [("e1", "no answer in time", 200.0)]}, Cause.SILENT_SERVER),
            ({"tried": [("e1", "refused with 503", 2.0)]}, Cause.BUSY_SERVER),
            ({"tried": [("e1", "not HTTP", 2.0)]}, Cause.BROKEN_SERVER),
        ],
    )
    def test_cause(self, changes, cause):
        assert cause_of(line(**changes)) is cause


class TestTable:
    """All requests are counted, and each loss has one cause."""

    def test_adds_up(self):
        losses = Losses()
        for item in (line(), line(first=400.0), line(end="client gone"), line(route="long")):
            losses.add(item)
        assert losses.asked == {"short": 3, "long": 1}
        assert losses.lost["short"].total() == 2
        assert "short: 3 asked, 1 well" in losses.table()

    def test_lines_of_other_kinds_and_torn_ones(self):
        text = [
            "12.5 entry-1 " + '{"event":"start"}',
            '{"event":"request","request":"r1","route":"a","end":"served","status":200,'
            '"took":5,"target":100}',
            '{"event":"request","request":"r2","rou',
            "not a line of ours",
        ]
        assert [item.request for item in request_lines(text)] == ["r1"]
