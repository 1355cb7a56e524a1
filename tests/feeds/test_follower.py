"""Tests of how a VM reconnects to control VMs."""

import trio
from trio.testing import MockClock

from siskinspoke.core.counters import Counters
from siskinspoke.feeds import follower
from siskinspoke.feeds.follower import FeedClients, FeedHandlers, FollowerIdentity

POWER_ON_SECONDS = 0.35
MAX_RECONNECT_SECONDS = 0.25
OUTAGE_SECONDS = 30


class NullDecisionLog:
    """A decision log that discards all lines."""

    def note(self, event, **fields):
        """Discard a line."""


def make_feed_set():
    """Return the feeds of an entry VM that knows one seed."""
    handlers = FeedHandlers(print, print, print, print, lambda: 0)
    return FeedClients(
        FollowerIdentity("entry-1", "10.0.0.1", 9),
        ("10.0.0.2",),
        8,
        b"k",
        handlers,
        Counters(),
        NullDecisionLog(),
    )


class TestReconnecting:
    """A control VM is connected soon after it becomes reachable."""

    def test_control_vm_powers_on_late(self, monkeypatch):
        """Guards against a slow reconnect after a power loss of all VMs.

        Entry VMs are up 0.35 s before the first control VM. Connections to a VM without power hang
        instead of being refused. Callers' requests wait for a configuration meanwhile, and more of
        them are late with each 0.1 s.
        """
        attempts = []

        async def connect(*_args, **_kwargs):
            if trio.current_time() - began < POWER_ON_SECONDS:
                await trio.sleep_forever()
            attempts.append(trio.current_time() - began)
            raise OSError("enough is known")

        monkeypatch.setattr(follower.trio, "open_tcp_stream", connect)

        async def run():
            nonlocal began
            began = trio.current_time()
            with trio.move_on_after(2):
                await make_feed_set().run()

        began = 0.0
        trio.run(run, clock=MockClock(autojump_threshold=0))
        assert attempts[0] < POWER_ON_SECONDS + MAX_RECONNECT_SECONDS

    def test_restarted_task_reconnects(self, monkeypatch):
        """Guards against a restarted task that counts the connections of its last run as open."""
        tries = []

        async def connect(*_args, **_kwargs):
            tries.append(trio.current_time())
            await trio.sleep_forever()

        monkeypatch.setattr(follower.trio, "open_tcp_stream", connect)

        async def run():
            feed_set = make_feed_set()
            with trio.move_on_after(0.1):
                await feed_set.run()
            before = len(tries)
            feed_set._connected.add("10.0.0.2")
            with trio.move_on_after(0.1):
                await feed_set.run()
            assert len(tries) > before
            assert feed_set.connected_count == 0

        trio.run(run, clock=MockClock(autojump_threshold=0))

    def test_attempts_to_an_unreachable_control_vm_are_limited(self, monkeypatch):
        tries = []

        async def connect(*_args, **_kwargs):
            tries.append(trio.current_time())
            raise OSError("refused")

        monkeypatch.setattr(follower.trio, "open_tcp_stream", connect)

        async def run():
            with trio.move_on_after(OUTAGE_SECONDS):
                await make_feed_set().run()

        trio.run(run, clock=MockClock(autojump_threshold=0))
        assert len(tries) < 6 * OUTAGE_SECONDS


class TestControlUp:
    """An entry VM that knows only the seeds can be notified by a control VM that is up earlier."""

    def test_follows_the_sender(self):
        async def run():
            feed_set = make_feed_set()
            assert feed_set.controls == ("10.0.0.2",)
            feed_set.handle_control_up("10.0.0.7")
            assert feed_set.controls == ("10.0.0.2", "10.0.0.7")

        trio.run(run)
