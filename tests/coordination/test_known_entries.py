"""Tests of which entry VMs a control VM announces to the others."""

from siskinspoke.coordination.known_entries import (
    LOST_ENTRY_ANNOUNCE_SECONDS,
    LOST_ENTRY_STORE_SECONDS,
    KnownEntries,
)
from siskinspoke.protocol.feed import EntryPeer

FIRST, SECOND = EntryPeer("10.0.0.1", 9, "a"), EntryPeer("10.0.0.2", 9, "b")


class TestKnownEntries:
    """Which entry VMs are announced, stored and dropped."""

    def test_restored_entries_are_announced_at_once(self):
        """After a loss of all VMs, each entry VM must learn of those that reconnect after it.

        Each was told only of those before it, so for half a second most entry VMs placed work
        without knowing of each other's.
        """
        known = KnownEntries()
        known.restore([FIRST, SECOND], 0.0)
        known.connected(FIRST)
        assert known.announced(0.1) == {FIRST, SECOND}

    def test_lost_entry_is_no_longer_announced(self):
        known = KnownEntries()
        known.restore([FIRST, SECOND], 0.0)
        known.connected(FIRST)
        assert known.announced(LOST_ENTRY_ANNOUNCE_SECONDS) == {FIRST}
        assert known.stored(LOST_ENTRY_ANNOUNCE_SECONDS) == {FIRST, SECOND}

    def test_stored_over_a_second_loss(self):
        """Entry VMs are lost first, and the control VMs a few seconds later."""
        known = KnownEntries()
        known.connected(FIRST)
        known.disconnected(FIRST, 10.0)
        assert known.stored(10.0 + LOST_ENTRY_STORE_SECONDS / 2) == {FIRST}
        known.prune(10.0 + LOST_ENTRY_STORE_SECONDS)
        assert known.stored(10.0 + LOST_ENTRY_STORE_SECONDS) == set()

    def test_overlapping_connections(self):
        """A new connection is opened before the end of the old one is detected."""
        known = KnownEntries()
        known.connected(FIRST)
        known.connected(FIRST)
        known.disconnected(FIRST, 1.0)
        assert known.is_connected(FIRST)
