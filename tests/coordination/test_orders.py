"""Tests of replicated orders to engines and of when a leader may send them."""

from siskinspoke.coordination.orders import (
    FLIGHT_MS,
    OrderBook,
    OrderEnd,
    OrderGate,
    OrderRequest,
)
from siskinspoke.core.codes import ResultCode

FAR = 10**9


def order(name="o1", server="engine-1", action="change-role", fencing=True):
    """Return an operator's order."""
    return OrderRequest(name, "op", server, 7, "127.0.0.1", 9, fencing, action, "decode")


def book(*orders):
    """Return a store that contains orders, numbered from 10."""
    found = OrderBook()
    for number, item in enumerate(orders, 10):
        found.give(item, number, 0)
    return found


def leading_gate(loads=2, since=0.0):
    """Return the dispatcher of a leader."""
    gate = OrderGate(loads)
    gate.leadership(True, since)
    return gate


class TestBook:
    """Concurrent and resent orders."""

    def test_resent_order_keeps_its_number(self):
        found = book(order())
        assert found.give(order(), 99, 5).number == 10
        assert found.give(order(action="load-model"), 99, 5).code == ResultCode.ORDER_REUSED

    def test_orders_of_one_server_go_one_by_one(self):
        found = book(order("o1"), order("o2"), order("o3", server="engine-2"))
        assert [record.number for record in found.pending()] == [10, 12]
        found.end(OrderEnd(10, True, "carried out"))
        assert [record.number for record in found.pending()] == [11, 12]

    def test_first_word_on_an_end_counts(self):
        found = book(order())
        found.end(OrderEnd(10, True, "carried out"))
        assert found.end(OrderEnd(10, False, "late")).state == "done"

    def test_snapshot_keeps_everything(self):
        copy = OrderBook()
        copy.load(book(order("o1"), order("o2")).to_document())
        assert copy.give(order("o2"), 99, 5).number == 11


class TestGate:
    """Engines that ignore fencing tokens are protected by timing alone."""

    def test_new_leader_waits_where_fencing_is_ignored(self):
        """Guards against overtaking an order that a suspended former leader has in flight."""
        gate, pending = leading_gate(), book(order(fencing=False)).pending()
        assert gate.choose(pending, FAR, FLIGHT_MS - 1) == []
        assert len(gate.choose(pending, FAR, FLIGHT_MS)) == 1

    def test_new_leader_need_not_wait_for_fencing_engines(self):
        assert len(leading_gate().choose(book(order()).pending(), FAR, 1)) == 1

    def test_no_order_without_a_lease(self):
        """Guards against a leader that resumes from a suspension and sends without a lease."""
        gate, pending = leading_gate(), book(order()).pending()
        assert gate.choose(pending, 100.0, 100.0) == []
        gate.leadership(False, 200.0)
        assert gate.choose(pending, FAR, 201.0) == []

    def test_loads_are_bounded_together(self):
        gate = leading_gate(loads=2)
        loads = [order(f"o{n}", f"engine-{n}", "load-model") for n in range(5)]
        pending = book(*loads).pending()
        chosen = gate.choose(pending, FAR, FLIGHT_MS)
        assert len(chosen) == 2
        assert gate.choose(pending, FAR, FLIGHT_MS) == []
        gate.landed(chosen[0].number)
        assert len(gate.choose(pending, FAR, FLIGHT_MS)) == 1
