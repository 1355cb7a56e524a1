"""Tests for the calls by which servers announce themselves to a control VM."""

import msgspec
import trio

from siskinspoke.control.group_daemon import ControlParts
from siskinspoke.control.registry import Registry
from siskinspoke.control.replica_task import now_ms
from siskinspoke.coordination.directory import Directory
from siskinspoke.core.counters import Counters
from siskinspoke.core.latencies import Latencies
from siskinspoke.platform.control_app import ControlApp
from siskinspoke.transport.calls import Call
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
