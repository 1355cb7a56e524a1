"""Tests of the limit on new connections while the processor cannot keep up."""

from siskinspoke.coordination.connection_limit import (
    CALM_INTERVALS,
    OVERLOADED_INTERVALS,
    OVERLOADED_LATE_MS,
    ConnectionLimit,
)

LATE_MS = OVERLOADED_LATE_MS + 1


def overload(limit: ConnectionLimit, waiting: int = 10) -> None:
    """Let connections arrive faster than they can be served."""
    for _ in range(OVERLOADED_INTERVALS):
        limit.admit(waiting)
        limit.end_interval(LATE_MS)


class TestConnectionLimit:
    """Guards against connections that are closed without an overload, or read in one."""

    def test_one_pause_closes_none(self):
        limit = ConnectionLimit()
        for late_ms in (0.0, 2_000.0, 0.0, 300.0, 300.0, 0.0):
            assert limit.admit(100) == 100
            limit.end_interval(late_ms)
        assert not limit.is_limited

    def test_work_of_open_connections_closes_none(self):
        limit = ConnectionLimit()
        overload(limit, waiting=1)
        assert not limit.is_limited

    def test_overload_limits_and_one_is_always_read(self):
        limit = ConnectionLimit()
        overload(limit)
        assert limit.admit(10) < 10
        for _ in range(50):
            limit.end_interval(LATE_MS)
        assert limit.admit(10) == 1
        assert limit.admit(10) == 0

    def test_limit_ends_when_fewer_arrive(self):
        limit = ConnectionLimit()
        overload(limit)
        for _ in range(CALM_INTERVALS):
            limit.admit(1)
            limit.end_interval(0.0)
        assert not limit.is_limited

    def test_limit_rises_while_there_is_time(self):
        limit = ConnectionLimit()
        overload(limit)
        before = limit.admit(100)
        for _ in range(10):
            limit.end_interval(0.0)
            limit.admit(100)
        limit.end_interval(0.0)
        assert limit.admit(100) > before
