"""Tests for the route table and its validation."""

import pytest

from siskinspoke.coordination.routes import (
    CallKind,
    ClientLimits,
    Customer,
    Route,
    RouteTable,
    Service,
    Share,
    table_faults,
)

TO_S = (Share("s", 1),)


def route(name="r", host="h", prefix="/a/", shares=TO_S, timeout_ms=100.0, **more):
    """Return a route with defaults for all other fields."""
    fields = {
        "kind": CallKind.IDEMPOTENT,
        "target_ms": 50.0,
        "pause_ms": 0.0,
        "priority": 1,
        "max_attempts": 1,
        "public": False,
        "resumable": False,
        **more,
    }
    return Route(name, host, prefix, timeout_ms=timeout_ms, shares=tuple(shares), **fields)


def table(*routes, customers=()):
    """Return a table with one service."""
    return RouteTable(1, routes, [Service("s", "/", 10)], ClientLimits(), customers)


class TestFinding:
    """Lookup of routes and customers."""

    def test_longest_prefix_wins(self):
        short, long = route("short", prefix="/a/"), route("long", prefix="/a/b/")
        assert table(short, long).find("h", "/a/b/c").name == "long"
        assert table(long, short).find("h", "/a/x").name == "short"

    @pytest.mark.parametrize(("host", "path"), [("other", "/a/x"), ("h", "/b/x"), ("h", "/a")])
    def test_no_route(self, host, path):
        assert table(route()).find(host, path) is None

    def test_customers_by_key(self):
        found = table(route(), customers=[Customer("acme", ("k1", "k2"))])
        assert found.customer_of("k2").name == "acme"
        assert found.customer_of("k3") is None

    @pytest.mark.parametrize(
        ("kind", "resumable", "repeatable"),
        [
            (CallKind.IDEMPOTENT, False, True),
            (CallKind.NON_IDEMPOTENT, False, False),
            (CallKind.STREAM, True, True),
            (CallKind.STREAM, False, False),
        ],
    )
    def test_repeatable(self, kind, resumable, repeatable):
        assert route(kind=kind, resumable=resumable).repeatable is repeatable


class TestFaults:
    """Each fault has an id; a table with a fault is never applied."""

    @pytest.mark.parametrize(
        ("fault", "invalid"),
        [
            ("routes.E201", table(route(shares=(Share("nobody", 1),)))),
            ("routes.E202", table(route("one"), route("two"))),
            ("routes.E203", table(route(shares=(Share("s", 0),)))),
            ("routes.E203", table(route(shares=(Share("s", 2), Share("s", -1))))),
            ("routes.E204", table(route(timeout_ms=0))),
            (
                "routes.E205",
                table(route(), customers=[Customer("a", ("k",)), Customer("b", ("k",))]),
            ),
        ],
    )
    def test_invalid_tables(self, fault, invalid):
        assert [found.id for found in table_faults(invalid)] == [fault]

    def test_valid_table(self):
        assert table_faults(table(route(), customers=[Customer("a", ("k",))])) == []
