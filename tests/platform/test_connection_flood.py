"""Most new connections of a failure domain arrive at one VM, more than its processor can serve."""

import socket
import time
from dataclasses import dataclass

import pytest
import trio

from siskinspoke.gateway.clients import ClientServer
from tests.platform.site import Site, gateway_site, request_bytes, servers
from tests.platform.standin_server import Events, Whole
from tests.platform.test_streams import PROMPT

# Processor time of a request before it is sent to a server.
COST_SECONDS = 0.02
USUAL_PER_SECOND, FLOOD_PER_SECOND = 10, 120
USUAL_SECONDS, FLOOD_SECONDS = 2.0, 6.0
SETTLE_SECONDS = 1.5
SERVED_SHARE = 0.95
# Share of the requests that the processor could serve.
USED_SHARE = 0.6
# Time in which a connection is answered or closed unread, for nine of ten.
CLOSED_SECONDS = 0.5


@dataclass
class Outcome:
    """A request: when it was sent, whether the VM has read it, its status and how long it took."""

    sent_at: float
    request_id: str
    was_read: bool = False
    status: int = 0
    took: float = 0.0


class Clients:
    """Clients that open a connection for each request, in a thread with an event loop of its own.

    In the loop of the VM they would wait for it, and send less the slower it is.
    """

    def __init__(self, site: Site, monkeypatch):
        self.outcomes: dict[str, Outcome] = {}
        self._site = site
        answer = ClientServer._answer

        async def slow_answer(server, connection, head, body):
            found = dict(head.headers)[b"Request-Id"].decode()
            self.outcomes[found].was_read = True
            time.sleep(COST_SECONDS)
            return await answer(server, connection, head, body)

        monkeypatch.setattr(ClientServer, "_answer", slow_answer)

    async def _send(self, path: str) -> None:
        request_id = f"r{len(self.outcomes)}"
        item = self.outcomes[request_id] = Outcome(time.monotonic(), request_id)
        raw = b""
        try:
            stream = await self._site.connect()
            async with stream:
                await stream.send_all(request_bytes(path, request_id, **PROMPT))
                with trio.move_on_after(2.5):
                    while data := await stream.receive_some():
                        raw += data
                        if b"\r\n0\r\n\r\n" in raw or b"Content-Length" in raw:
                            item.status = int(raw.split(b" ", 2)[1])
                            break
        except (OSError, trio.BrokenResourceError):
            pass
        item.took = time.monotonic() - item.sent_at

    async def send_steadily(self, path: str, per_second: float, seconds: float) -> None:
        """Send requests at a rate, whatever becomes of them."""
        await trio.to_thread.run_sync(trio.run, self._send_all, path, per_second, seconds)

    async def _send_all(self, path: str, per_second: float, seconds: float) -> None:
        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            for number in range(round(per_second * seconds)):
                await trio.sleep_until(began + number / per_second)
                nursery.start_soon(self._send, path)

    def served_share(self, since: float, until: float) -> float:
        """Return the share of the requests that were read which were served."""
        read = [o for o in self.outcomes.values() if o.was_read and since <= o.sent_at < until]
        return sum(o.status == 200 for o in read) / len(read)


class TestConnectionFlood:
    """Guards against a VM that reads more requests than it can answer."""

    @pytest.mark.parametrize("path", ["/again/x", "/stream/x"])
    def test_requests_that_are_read_are_served(self, path, tmp_path, monkeypatch):
        async def run():
            service = "plain" if path == "/again/x" else "engines"
            script = [Whole()] if path == "/again/x" else [Events(last=2)]
            async with (
                gateway_site(tmp_path) as site,
                servers(site, service, *[script] * 6),
                trio.open_nursery() as nursery,
            ):
                with socket.socket() as free:
                    free.bind((site.host, 0))
                    site.port = free.getsockname()[1]
                await nursery.start(ClientServer(site.gateway).serve, site.host, site.port)
                clients = Clients(site, monkeypatch)
                processor = time.thread_time()
                await clients.send_steadily(path, USUAL_PER_SECOND, USUAL_SECONDS)
                processor = time.thread_time() - processor
                cost = COST_SECONDS + processor / len(clients.outcomes)
                began = time.monotonic()
                await clients.send_steadily(path, FLOOD_PER_SECOND, FLOOD_SECONDS)
                since, until = began + SETTLE_SECONDS, began + FLOOD_SECONDS
                usual = clients.served_share(0.0, began)
                share = clients.served_share(since, until)
                late = [o for o in clients.outcomes.values() if since <= o.sent_at < until]
                served = sum(o.status == 200 for o in late)
                could = (until - since) / cost
                slow = sorted(o.took for o in late)[int(0.9 * len(late))]
                found = (
                    usual,
                    share,
                    served,
                    could,
                    sum(o.was_read for o in late),
                    len(late),
                    slow,
                )
                assert share >= SERVED_SHARE * usual, found
                assert served >= USED_SHARE * could, found
                assert slow <= CLOSED_SECONDS, found
                nursery.cancel_scope.cancel()

        trio.run(run)
