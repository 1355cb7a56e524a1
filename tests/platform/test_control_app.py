"""Tests for the calls by which servers announce themselves to a control VM."""

import msgspec
import pytest
import trio

from siskinspoke.control.group_daemon import ControlParts
from siskinspoke.control.registry import Registry
from siskinspoke.control.replica_task import now_ms
from siskinspoke.coordination.directory import Directory
from siskinspoke.core.counters import Counters
from siskinspoke.core.latencies import Latencies
from siskinspoke.platform.control_app import ANNOUNCEMENT_BYTES, BOUNDS, ControlApp
from siskinspoke.transport.calls import Call, serve_calls
from tests.client_resources import unlogged_resources
from tests.feeds.test_follower import NullDecisionLog

LEASE_MS = 4_800


class Hub:
    """A hub with one follower that confirms everything it receives."""

    follower_count = 1

    def __init__(self):
        self.sent = []

    def broadcast(self, announcements):
        """Record the announcements sent to the follower."""
        self.sent += announcements
        return len(self.sent)

    def queue_broadcast(self, announcements):
        """Record the announcements sent to the follower."""
        self.sent += announcements

    def queue_renewal(self, announcement):
        """Ignore renewals."""

    async def wait_until_confirmed(self, number, seconds):
        """Return that no confirmation is missing."""
        return 0


class Control:
    """The application of a control VM without its replication group, and a client."""

    def __init__(self):
        self.counters = Counters()
        self.directory = Directory(LEASE_MS)
        self.hub = Hub()
        registry = Registry(self.directory, self.counters, NullDecisionLog())
        registry.set_hub(self.hub)
        self.app = ControlApp(ControlParts(registry, self.counters, Latencies(), NullDecisionLog()))

    async def heartbeat(self, server, **changes):
        """Send a heartbeat; return the response status."""
        fields = {
            "service": "engines",
            "address": "10.0.0.9:8080",
            "zone": "a",
            "seq": 4,
            "born": 1_000,
            **changes,
        }
        return await self.post(f"/instances/{server}/heartbeat", msgspec.json.encode(fields))

    async def post(self, path, body=b""):
        """Send a call; return the response status."""
        return (await self.app.answer(Call("POST", path, body))).status

    def live(self):
        """Return the names and start times of the servers that may get work."""
        return [record.start for record in self.directory.live(now_ms())]


class TestInvalidAnnouncements:
    """Invalid announcements are refused and leave the known servers unchanged."""

    def test_refused_without_side_effects(self):
        """A foreign program sends heartbeats while a healthy server is registered."""

        async def run():
            control = Control()
            assert await control.heartbeat("i-1") == 200
            invalid = [
                ("i-1", {"address": "10.0.0.66:8080", "seq": 99}),
                ("i-1", {"service": "other", "seq": 99}),
                ("i-2", {"state": "asleep"}),
                ("i-2", {"seq": "4"}),
                ("i-2", {"born": 1.5}),
                ("i%202", {}),
            ]
            for server, changes in invalid:
                assert await control.heartbeat(server, **changes) == 400
            assert await control.post("/instances/i-2/heartbeat", b"\xff{") == 400
            assert control.live() == [("i-1", 1_000)]
            assert len(control.hub.sent) == 1

        trio.run(run)


class TestRestarts:
    """A server restarts under the same name."""

    def test_lower_sequence_number_after_restart(self):
        async def run():
            control = Control()
            await control.heartbeat("i-1", seq=90)
            assert await control.heartbeat("i-1", seq=1, born=2_000) == 200
            assert control.live() == [("i-1", 2_000)]

        trio.run(run)

    def test_restart_after_deregistration(self):
        async def run():
            control = Control()
            await control.heartbeat("i-1", seq=90)
            assert await control.post("/instances/i-1/deregister") == 200
            assert control.live() == []
            assert await control.heartbeat("i-1", seq=1, born=2_000) == 200
            assert control.live() == [("i-1", 2_000)]

        trio.run(run)

    def test_late_deregistration_of_old_process(self):
        """The server restarts while its deregistration is in transit."""

        async def run():
            control = Control()
            await control.heartbeat("i-1", seq=90)
            await control.heartbeat("i-1", seq=1, born=2_000)
            assert await control.post("/instances/i-1/deregister", b'{"born":1000}') == 200
            assert control.live() == [("i-1", 2_000)]
            assert await control.post("/instances/i-1/deregister", b'{"born":2000}') == 200
            assert control.live() == []

        trio.run(run)


class TestBodyLimits:
    """What servers send of themselves is short; what operators send may be long."""

    SOCKET_BYTES = 8_000_000

    async def send_endlessly(self, port: int, path: str) -> int:
        """Send a body without end; return how many bytes were taken."""
        head = f"POST {path} HTTP/1.1\r\nHost: c\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunk = b"10000\r\n" + b" " * 65_536 + b"\r\n"
        sent = 0
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        async with stream:
            try:
                await stream.send_all(head.encode())
                while True:
                    await stream.send_all(chunk)
                    sent += len(chunk)
            except trio.BrokenResourceError:
                return sent

    @pytest.mark.parametrize("path", ["/instances/i-1/heartbeat", "/instances/i-1/deregister"])
    def test_announcement_without_end(self, path):
        """Guards against servers whose bodies without end fill the memory of a registry."""

        async def answer(call):
            raise AssertionError(call.path)

        async def run():
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(
                    serve_calls, answer, BOUNDS, unlogged_resources(), "127.0.0.1", 0
                )
                port = listeners[0].socket.getsockname()[1]
                with trio.fail_after(3):
                    sent = await self.send_endlessly(port, path)
                assert sent < ANNOUNCEMENT_BYTES + self.SOCKET_BYTES
                nursery.cancel_scope.cancel()

        trio.run(run)

    def test_configurations_may_be_long(self):
        """Guards against a limit for servers that refuses a large configuration."""
        assert BOUNDS.bytes_for("/config/replace") == BOUNDS.max_bytes
        assert BOUNDS.bytes_for("/instances/i-1/heartbeat") == ANNOUNCEMENT_BYTES


class TestCalls:
    """Unknown calls, and an exception while handling a valid one."""

    def test_unknown_path_and_method(self):
        async def run():
            control = Control()
            assert await control.post("/instances/i-1") == 404
            assert (await control.app.answer(Call("GET", "/instances/i-1/heartbeat"))).status == 404

        trio.run(run)

    def test_exception_fails_only_its_call(self):
        """An exception escaped into the control VM's nursery and would have stopped the VM."""

        async def run():
            control = Control()
            control.hub.queue_broadcast = None
            assert await control.heartbeat("i-1") == 500
            control.hub = Hub()
            assert control.counters.totals["fault"]

        trio.run(run)
