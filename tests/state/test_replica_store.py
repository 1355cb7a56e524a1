"""Tests of what a control replica finds in its data folder."""

from siskinspoke.core.codes import ResultCode
from siskinspoke.protocol.replication import Admitted, Entry, HardState, Identity, Snapshot
from siskinspoke.state.replica_store import open_store


class TestOpenStore:
    """Restarts of a replica."""

    def test_everything_comes_back(self, tmp_path):
        store, empty = open_store(str(tmp_path), "control-a").ok
        assert empty.identity is None
        store.save_identity(Identity("control-a", 1))
        store.append([HardState(3, "control-b"), Entry(1, 3, "noop", None)])
        store.save_snapshot(
            Snapshot(1, 3, {"control-a": 1}, {"version": 4}), [HardState(3, "control-b")]
        )
        store.append([Entry(2, 3, "claim", {"now_ms": 5}), Admitted("control-c", 9, 2)])
        store.close()
        _, restored = open_store(str(tmp_path), "control-a").ok
        assert restored.identity == Identity("control-a", 1)
        assert restored.hard == HardState(3, "control-b")
        assert restored.snapshot.document == {"version": 4}
        assert [entry.index for entry in restored.entries] == [2]
        assert restored.admitted == (Admitted("control-c", 9, 2),)

    def test_folder_of_another_vm_is_refused(self, tmp_path):
        """An operator mounts the wrong disk; two replicas would vote with one memory."""
        store, _ = open_store(str(tmp_path), "control-a").ok
        store.save_identity(Identity("control-a", 1))
        store.close()
        assert open_store(str(tmp_path), "control-b").error.code is ResultCode.FOREIGN_FOLDER

    def test_log_without_identity_is_refused(self, tmp_path):
        """Half a folder was restored: votes may be missing, so the replica must not vote."""
        store, _ = open_store(str(tmp_path), "control-a").ok
        store.append([Entry(1, 1, "noop", None)])
        store.close()
        assert open_store(str(tmp_path), "control-a").error.code is ResultCode.JOURNAL_CORRUPT
