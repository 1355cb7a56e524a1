"""Tests of the in-memory log that follows a replica's snapshot."""

from siskinspoke.coordination.replicated_log import ReplicatedLog
from siskinspoke.protocol.replication import Entry


class TestBetween:
    """Slices of the log."""

    def test_end_before_the_base_is_empty(self):
        """Guards against applying uncommitted entries after a restart from a snapshot.

        If the admission of a disk precedes the end of the snapshot, a negative slice index selected
        all entries but the last as committed. A later leader then overwrote them.
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
