"""Tests of the log that a replica holds after its snapshot."""

from siskinspoke.coordination.replicated_log import ReplicatedLog
from siskinspoke.protocol.replication import Entry


class TestBetween:
    """Slices of the log."""

    def test_end_before_the_base_is_empty(self):
        """A replica restarts from a snapshot and hands out entries nobody has committed.

        The admission of a disk lies before the snapshot's end; a negative slice took all
        entries but the last as committed, and another leader later put others in their place.
        """
        log = ReplicatedLog(base_index=14, base_term=2)
        log.put(Entry(15, 2, "command", 1))
        log.put(Entry(16, 2, "command", 2))
        assert log.between(14, 13) == []

    def test_put_replaces_the_tail(self):
        log = ReplicatedLog()
        for index in (1, 2, 3):
            log.put(Entry(index, 1, "command", index))
        log.put(Entry(2, 2, "command", 9))
        assert (log.last_index, log.last_term) == (2, 2)
