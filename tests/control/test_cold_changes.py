"""Tests of a registry that passes on changes of its servers' cold state."""

import pytest
import trio

from siskinspoke.bench.slopes import announcement
from siskinspoke.control.registry import Registry
from siskinspoke.coordination.directory import Directory
from siskinspoke.core.counters import Counters
from tests.feeds.test_follower import NullDecisionLog


class RecordingHub:
    """Records what a registry sends to its followers, as changes and as renewals."""

    def __init__(self):
        self.changes: list[int | None] = []
        self.renewals = 0

    def queue_broadcast(self, announcements) -> None:
        self.changes += [item.cold_ms for item in announcements]

    def queue_renewal(self, item) -> None:
        self.renewals += 1


@pytest.fixture
def hub() -> RecordingHub:
    """Return a hub that sends nothing."""
    return RecordingHub()


@pytest.fixture
def registry(hub) -> Registry:
    """Return a registry without a replica."""
    found = Registry(Directory(4_800), Counters(), NullDecisionLog())
    found.set_hub(hub)
    return found


def beat(seq: int, cold_ms: int | None):
    """Return an announcement of one server."""
    return announcement(1, seq, "a")._replace(cold_ms=cold_ms)


class TestChanges:
    """A change of the cold state is sent to all followers, an unchanged one is not."""

    def test_turns_cold_and_warm(self, registry, hub):
        """A server that turned cold was renewed, so no entry VM learned of it."""

        async def run():
            for seq, cold_ms in enumerate((0, 0, 8_000, 8_000, 0), start=1):
                await registry.announce(beat(seq, cold_ms))

        trio.run(run)
        assert hub.changes == [0, 8_000, 0]
        assert hub.renewals == 2

    def test_states_nothing(self, registry, hub):
        """Servers that do not state their cold time are renewed as before."""

        async def run():
            for seq in range(1, 4):
                await registry.announce(beat(seq, None))

        trio.run(run)
        assert hub.changes == [None]
        assert hub.renewals == 2

    def test_change_heard_by_another_registry(self, registry, hub):
        """A change that another registry heard did not reach this one's followers."""
        registry.handle_remote_announcements([beat(1, 0)])
        registry.handle_remote_announcements([beat(2, 8_000)])
        registry.handle_remote_announcements([beat(2, 8_000)])
        assert hub.changes == [0, 8_000]
