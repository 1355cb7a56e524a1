"""The task of the leader that sends orders to engines."""

import httpx
import msgspec
import trio
from loguru import logger

from siskinspoke.control.replica_task import ReplicaTask, now_ms, wall_ms
from siskinspoke.coordination.orders import (
    ORDER_LIFETIME_MS,
    ORDER_TIMEOUT_MS,
    OrderDispatcher,
    OrderEnd,
    OrderRecord,
)
from siskinspoke.coordination.state_machine import ORDER_END
from siskinspoke.core.counters import Counters
from siskinspoke.transport.http import make_client

POLL_SECONDS = 0.1
RECORD_TIMEOUT_SECONDS = 2.0
HTTP_CONFLICT = 409


class OrderTask:
    """Send pending orders while this replica is the leader, and record their results."""

    def __init__(
        self, task: ReplicaTask, counters: Counters, concurrent_loads: int, local_host: str
    ):
        self._task = task
        self._counters = counters
        self._dispatcher = OrderDispatcher(concurrent_loads)
        self._client = make_client(keep_alive=False, local_host=local_host)

    async def run(self) -> None:
        """Poll for pending orders until cancelled."""
        async with self._client, trio.open_nursery() as nursery:
            while True:
                await trio.sleep(POLL_SECONDS)
                now = now_ms()
                self._dispatcher.update_leadership(self._task.is_leader, now)
                pending = self._task.machine.orders.pending()
                for record in self._dispatcher.select(
                    pending, self._task.replica.lease_expires_at(), now
                ):
                    nursery.start_soon(self._send_and_record, record)

    async def _send_and_record(self, record: OrderRecord) -> None:
        """Send one order, with a timeout, and record its result if it is known."""
        try:
            result = await self._send(record)
            if result is None and wall_ms() - record.given_ms > ORDER_LIFETIME_MS:
                result = OrderEnd(record.number, False, "the engine did not answer in time")
            if result is not None:
                await self._task.propose(ORDER_END, result, RECORD_TIMEOUT_SECONDS)
                logger.info("order {}: {}", record.request.order, result.detail)
        finally:
            self._dispatcher.mark_finished(record.number)

    async def _send(self, record: OrderRecord) -> OrderEnd | None:
        """Send an order; return None if the outcome is unknown and it must be sent again."""
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
            if response.status_code == HTTP_CONFLICT:
                self._counters.count("order.refused")
                return OrderEnd(record.number, False, "refused: a later order came first")
            if response.status_code == 200:
                return OrderEnd(record.number, True, "carried out")
        self._counters.count("order.failed")
        return None
