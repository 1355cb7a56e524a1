"""Tests of replicated orders to engines and of when a leader may send them."""

from siskinspoke.coordination.orders import (
    ORDER_TIMEOUT_MS,
    OrderDispatcher,
    OrderEnd,
    OrderRequest,
    OrderTable,
)
from siskinspoke.core.codes import ResultCode

NEVER_EXPIRES = 10**9


def order(name="o1", server="engine-1", action="change-role", fencing=True):
    """Return an operator's order."""
    return OrderRequest(name, "op", server, 7, "127.0.0.1", 9, fencing, action, "decode")


def table_with(*orders):
    """Return a store that contains orders, numbered from 10."""
    table = OrderTable()
    for number, item in enumerate(orders, 10):
        table.submit(item, number, 0)
    return table


def leader_dispatcher(loads=2, since=0.0):
    """Return the dispatcher of a leader."""
    dispatcher = OrderDispatcher(loads)
    dispatcher.update_leadership(True, since)
    return dispatcher


class TestOrderTable:
    """Concurrent and resent orders."""

    def test_resent_order_keeps_its_number(self):
        table = table_with(order())
        assert table.submit(order(), 99, 5).number == 10
        assert table.submit(order(action="load-model"), 99, 5).code == ResultCode.ORDER_REUSED

    def test_orders_of_one_server_are_sent_one_at_a_time(self):
        table = table_with(order("o1"), order("o2"), order("o3", server="engine-2"))
        assert [record.number for record in table.pending()] == [10, 12]
        table.record_result(OrderEnd(10, True, "carried out"))
        assert [record.number for record in table.pending()] == [11, 12]

    def test_only_first_result_counts(self):
        table = table_with(order())
        table.record_result(OrderEnd(10, True, "carried out"))
        assert table.record_result(OrderEnd(10, False, "late")).state == "done"

    def test_snapshot_contains_all_orders(self):
        copy = OrderTable()
        copy.load(table_with(order("o1"), order("o2")).to_document())
        assert copy.submit(order("o2"), 99, 5).number == 11


class TestOrderDispatcher:
    """Engines that ignore fencing tokens are protected by timing alone."""

    def test_new_leader_waits_if_fencing_is_ignored(self):
        """Guards against overtaking an order that a suspended former leader has in flight."""
        dispatcher, pending = leader_dispatcher(), table_with(order(fencing=False)).pending()
        assert dispatcher.select(pending, NEVER_EXPIRES, ORDER_TIMEOUT_MS - 1) == []
        assert len(dispatcher.select(pending, NEVER_EXPIRES, ORDER_TIMEOUT_MS)) == 1

    def test_new_leader_does_not_wait_for_fencing_engines(self):
        assert len(leader_dispatcher().select(table_with(order()).pending(), NEVER_EXPIRES, 1)) == 1

    def test_no_order_without_a_lease(self):
        """Guards against a leader that resumes from a suspension and sends without a lease."""
        dispatcher, pending = leader_dispatcher(), table_with(order()).pending()
        assert dispatcher.select(pending, 100.0, 100.0) == []
        dispatcher.update_leadership(False, 200.0)
        assert dispatcher.select(pending, NEVER_EXPIRES, 201.0) == []

    def test_concurrent_loads_are_limited(self):
        dispatcher = leader_dispatcher(loads=2)
        loads = [order(f"o{n}", f"engine-{n}", "load-model") for n in range(5)]
        pending = table_with(*loads).pending()
        chosen = dispatcher.select(pending, NEVER_EXPIRES, ORDER_TIMEOUT_MS)
        assert len(chosen) == 2
        assert dispatcher.select(pending, NEVER_EXPIRES, ORDER_TIMEOUT_MS) == []
        dispatcher.mark_finished(chosen[0].number)
        assert len(dispatcher.select(pending, NEVER_EXPIRES, ORDER_TIMEOUT_MS)) == 1
