"""Tests of which entry VMs a control VM names to the others."""

from siskinspoke.coordination.known_entries import KEPT_SECONDS, LOST_SECONDS, KnownEntries
from siskinspoke.protocol.feed import EntryPeer

ONE, TWO = EntryPeer("10.0.0.1", 9, "a"), EntryPeer("10.0.0.2", 9, "b")


class TestKnownEntries:
    """Who follows, who lately did, and who is forgotten."""

    def test_all_are_named_from_the_first_moment(self):
        """After a loss of all each follower was told of those alone that had come before it.

        For half a second most entry VMs chose engines without hearing of each other's work.
        """
        known = KnownEntries()
        known.recall([ONE, TWO], 0.0)
        known.joined(ONE)
        assert known.named(0.1) == {ONE, TWO}

    def test_who_is_not_back_is_named_no_more(self):
        known = KnownEntries()
        known.recall([ONE, TWO], 0.0)
        known.joined(ONE)
        assert known.named(LOST_SECONDS) == {ONE}
        assert known.kept(LOST_SECONDS) == {ONE, TWO}

    def test_kept_over_a_second_loss(self):
        """Entry VMs are lost first, and the control VMs some seconds later."""
        known = KnownEntries()
        known.joined(ONE)
        known.left(ONE, 10.0)
        assert known.kept(10.0 + KEPT_SECONDS / 2) == {ONE}
        known.forget(10.0 + KEPT_SECONDS)
        assert known.kept(10.0 + KEPT_SECONDS) == set()

    def test_two_connections_for_a_moment(self):
        """A new connection comes before the end of the old one is noticed."""
        known = KnownEntries()
        known.joined(ONE)
        known.joined(ONE)
        known.left(ONE, 1.0)
        assert known.follows(ONE)
