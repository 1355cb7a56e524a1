"""Replicated orders to engines, and when a leader may send them.

The number of an order is its log index, which also serves as its fencing token: later orders have
higher numbers across changes of leader. Engines that check the token reject outdated orders.
Engines that ignore it are protected by timing alone: a leader sends orders only while it holds a
lease and abandons an order after ORDER_TIMEOUT_MS, and a new leader waits that long before it sends
the first order to such an engine.
"""

from typing import NamedTuple, TypedDict

from siskinspoke.core.codes import ResultCode

ORDER_TIMEOUT_MS = 3_000.0
ORDER_LIFETIME_MS = 60_000
MAX_FINISHED_ORDERS = 2_000
LOADING_ACTIONS = frozenset({"load-model", "load-adapter", "load-version"})
ACTIONS = LOADING_ACTIONS | {"change-role"}

PENDING, DONE, FAILED = "pending", "done", "failed"


class OrderRequest(NamedTuple):
    """An operator's order; ``order`` is its idempotency key."""

    order: str
    operator: str
    server: str
    incarnation: int
    host: str
    port: int
    fencing: bool
    action: str
    argument: str


class OrderBody(TypedDict):
    """Request body of an order; the fields match OrderRequest."""

    order: str
    operator: str
    server: str
    incarnation: int
    host: str
    port: int
    fencing: bool
    action: str
    argument: str


class OrderEnd(NamedTuple):
    """Result of an order as reported by the leader that sent it."""

    number: int
    done: bool
    detail: str


class OrderAnswer(NamedTuple):
    """Number and state of an order."""

    code: int
    number: int
    state: str
    detail: str = ""


class OrderRecord(NamedTuple):
    """An order and its state; ``given_ms`` is the replicated time at which it was accepted."""

    number: int
    given_ms: int
    request: OrderRequest
    state: str
    detail: str


class OrderTable:
    """Store orders in log order."""

    def __init__(self) -> None:
        self._records: dict[int, OrderRecord] = {}
        self._numbers: dict[str, int] = {}

    def submit(self, request: OrderRequest, number: int, clock_ms: int) -> OrderAnswer:
        """Accept an order, or answer for an earlier one with the same idempotency key."""
        known = self._numbers.get(request.order)
        if known is not None:
            same = self._records[known].request == request
            code = ResultCode.OK if same else ResultCode.ORDER_REUSED
            return self._answer(code, self._records[known])
        record = OrderRecord(number, clock_ms, request, PENDING, "")
        self._records[number] = record
        self._numbers[request.order] = number
        self._remove_oldest_finished()
        return self._answer(ResultCode.OK, record)

    def record_result(self, result: OrderEnd) -> OrderAnswer | None:
        """Record the result of an order; only the first result counts."""
        record = self._records.get(result.number)
        if record is None:
            return None
        if record.state == PENDING:
            state = DONE if result.done else FAILED
            record = record._replace(state=state, detail=result.detail)
            self._records[result.number] = record
        return self._answer(ResultCode.OK, record)

    def find(self, order: str) -> OrderAnswer | None:
        """Return the state of the order with an idempotency key."""
        number = self._numbers.get(order)
        return None if number is None else self._answer(ResultCode.OK, self._records[number])

    def _answer(self, code: ResultCode, record: OrderRecord) -> OrderAnswer:
        return OrderAnswer(int(code), record.number, record.state, record.detail)

    def pending(self) -> list[OrderRecord]:
        """Return the first pending order of each server; its orders are sent one at a time."""
        firsts: dict[str, OrderRecord] = {}
        for record in self._records.values():
            if record.state == PENDING:
                firsts.setdefault(record.request.server, record)
        return list(firsts.values())

    def _remove_oldest_finished(self) -> None:
        finished = [n for n, record in self._records.items() if record.state != PENDING]
        for number in finished[: max(0, len(finished) - MAX_FINISHED_ORDERS)]:
            del self._numbers[self._records.pop(number).request.order]

    def to_document(self) -> list:
        """Return all orders for a snapshot."""
        return [list(record) for record in self._records.values()]

    def load(self, document: list) -> None:
        """Replace all orders with those of a snapshot."""
        records = [
            OrderRecord(number, given, OrderRequest(*request), state, detail)
            for number, given, request, state, detail in document
        ]
        self._records = {record.number: record for record in records}
        self._numbers = {record.request.order: record.number for record in records}


class OrderDispatcher:
    """Select the orders that a leader may send; times are monotonic milliseconds."""

    def __init__(self, concurrent_loads: int):
        self._concurrent_loads = concurrent_loads
        self._in_flight: dict[int, OrderRecord] = {}
        self._leader_since: float | None = None

    def update_leadership(self, is_leader: bool, now: float) -> None:
        """Record whether this replica is the leader."""
        if not is_leader:
            self._leader_since = None
        elif self._leader_since is None:
            self._leader_since = now

    def select(self, pending: list[OrderRecord], lease_expires_at: float, now: float):
        """Return the orders to send now; none is returned again while it is in flight.

        Model weights are loaded from a store with a rate limit. Since a single leader sends all
        orders, limiting its concurrent loads limits those of all VMs. A new leader first waits for
        the loads of the previous one to end, so that the return of a failure domain does not
        trigger a burst of loads.
        """
        if self._leader_since is None or now >= lease_expires_at:
            return []
        takeover_complete = now - self._leader_since >= ORDER_TIMEOUT_MS
        selected = []
        for record in pending:
            is_load = record.request.action in LOADING_ACTIONS
            if record.number in self._in_flight:
                continue
            if not takeover_complete and (is_load or not record.request.fencing):
                continue
            if is_load and self._loads_in_flight() >= self._concurrent_loads:
                continue
            self._in_flight[record.number] = record
            selected.append(record)
        return selected

    def _loads_in_flight(self) -> int:
        return sum(r.request.action in LOADING_ACTIONS for r in self._in_flight.values())

    def mark_finished(self, number: int) -> None:
        """Record that an order is no longer in flight."""
        self._in_flight.pop(number, None)
