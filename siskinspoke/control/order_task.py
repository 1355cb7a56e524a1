"""The task of a leading replica that carries orders to engines."""

import httpx
import msgspec
import trio
from loguru import logger

from siskinspoke.control.replica_task import ReplicaTask, now_ms, wall_ms
from siskinspoke.coordination.machine import ORDER_END
from siskinspoke.coordination.orders import (
    ORDER_LIFETIME_MS,
    ORDER_TIMEOUT_MS,
    OrderDispatcher,
    OrderEnd,
    OrderRecord,
)
from siskinspoke.core.counters import Counters
from siskinspoke.transport.http import make_client

LOOK_SECONDS = 0.1
RECORD_SECONDS = 2.0
REFUSED = 409


class OrderTask:
    """Send pending orders while this replica leads, and record how they end."""

    def __init__(
        self, task: ReplicaTask, counters: Counters, concurrent_loads: int, local_host: str
    ):
        self._task = task
        self._counters = counters
        self._gate = OrderDispatcher(concurrent_loads)
        self._client = make_client(keep_alive=False, local_host=local_host)

    async def run(self) -> None:
        """Look for orders forever."""
        async with self._client, trio.open_nursery() as nursery:
            while True:
                await trio.sleep(LOOK_SECONDS)
                now = now_ms()
                self._gate.update_leadership(self._task.leads, now)
                pending = self._task.machine.orders.pending()
                for record in self._gate.select(
                    pending, self._task.replica.lease_expires_at(), now
                ):
                    nursery.start_soon(self._carry_out, record)

    async def _carry_out(self, record: OrderRecord) -> None:
        """Send one order, under a time limit, and record its end if it is known."""
        try:
            end = await self._send(record)
            if end is None and wall_ms() - record.given_ms > ORDER_LIFETIME_MS:
                end = OrderEnd(record.number, False, "the engine did not answer in time")
            if end is not None:
                await self._task.propose(ORDER_END, end, RECORD_SECONDS)
                logger.info("order {}: {}", record.request.order, end.detail)
        finally:
            self._gate.mark_finished(record.number)

    async def _send(self, record: OrderRecord) -> OrderEnd | None:
        """Send an order; None where its fate is not known and it must be sent again."""
        request = record.request
        url = f"http://{request.host}:{request.port}/v1/orders"
        body = {
            "order": request.order,
            "fence": record.number,
            "action": request.action,
            "argument": request.argument,
        }
        self._counters.count("order.sent")
        with trio.move_on_after(ORDER_TIMEOUT_MS / 1000):
            try:
                response = await self._client.post(url, content=msgspec.json.encode(body))
            except httpx.HTTPError:
                self._counters.count("order.failed")
                return None
            if response.status_code == REFUSED:
                self._counters.count("order.refused")
                return OrderEnd(record.number, False, "refused: a later order came first")
            if response.status_code == 200:
                return OrderEnd(record.number, True, "carried out")
        self._counters.count("order.failed")
        return None
