"""Tests of the data folder of a control replica."""

import contextlib
import os
from pathlib import Path

import pytest

from siskinspoke.coordination.replica_types import RestoredState
from siskinspoke.core.codes import ResultCode
from siskinspoke.protocol import encode_message
from siskinspoke.protocol.replication import Admitted, Entry, HardState, Identity, Snapshot
from siskinspoke.state.files import write_atomically
from siskinspoke.state.replica_store import SNAPSHOT_FILE, open_store


class TestOpenStore:
    """Restart of a replica."""

    def test_state_is_restored(self, tmp_path):
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

    def test_folder_of_another_vm_is_rejected(self, tmp_path):
        """Guards against a wrongly mounted disk, with which two replicas would share one state."""
        store, _ = open_store(str(tmp_path), "control-a").ok
        store.save_identity(Identity("control-a", 1))
        store.close()
        assert open_store(str(tmp_path), "control-b").error.code is ResultCode.FOREIGN_FOLDER

    def test_log_without_identity_is_rejected(self, tmp_path):
        """Guards against votes by a replica whose votes were lost in a partial restore."""
        store, _ = open_store(str(tmp_path), "control-a").ok
        store.append([Entry(1, 1, "noop", None)])
        store.close()
        assert open_store(str(tmp_path), "control-a").error.code is ResultCode.JOURNAL_CORRUPT

    def test_separate_snapshot_file_is_read(self, tmp_path):
        """An upgrade must not lose the snapshot that earlier versions stored in a separate file."""
        snapshot = Snapshot(1, 3, {"control-a": 1}, {"version": 4})
        store, _ = open_store(str(tmp_path), "control-a").ok
        store.save_identity(Identity("control-a", 1))
        store.append([HardState(3, "control-b"), Entry(2, 3, "noop", None)])
        write_atomically(tmp_path / SNAPSHOT_FILE, encode_message(snapshot))
        store.close()
        store, restored = open_store(str(tmp_path), "control-a").ok
        assert restored.snapshot == snapshot
        newer = snapshot._replace(index=2, document={"version": 5})
        store.save_snapshot(newer, [HardState(3, "control-b")])
        store.close()
        _, restored = open_store(str(tmp_path), "control-a").ok
        assert restored.snapshot == newer


class SimulatedCrash(BaseException):
    """Abort a write, as a power failure would."""


class TestCrashDuringSnapshot:
    """A crash while saving a snapshot leaves either the old or the new state."""

    # Contains the admission of a disk that was later replaced, and entries of a deposed leader
    # beyond the snapshot index.
    OLD_RECORDS = (
        HardState(2, ""),
        *(Entry(index, 2, "noop", None) for index in range(1, 13)),
        Admitted("control-b", 111, 5),
    )
    SNAPSHOT = Snapshot(9, 4, {"control-a": 1, "control-b": 222}, {"version": 4})
    NEW_RECORDS = (HardState(4, "control-b"),)

    @pytest.mark.parametrize("completed_calls", range(6))
    def test_old_journal_is_not_combined_with_new_snapshot(
        self, tmp_path, monkeypatch, completed_calls
    ):
        """Stale members or terms in the restored state could revert an acknowledged change."""
        old = self._write(tmp_path / "old", snapshot=False)
        new = self._write(tmp_path / "new", snapshot=True)
        self._write(tmp_path / "crashed", snapshot=False)
        store, _ = open_store(str(tmp_path / "crashed"), "control-a").ok
        with monkeypatch.context() as patch:
            self._crash_after(patch, completed_calls)
            with contextlib.suppress(SimulatedCrash):
                store.save_snapshot(self.SNAPSHOT, list(self.NEW_RECORDS))
        store.close()
        _, restored = open_store(str(tmp_path / "crashed"), "control-a").ok
        assert restored in (old, new)

    def _write(self, folder: Path, snapshot: bool) -> RestoredState:
        store, _ = open_store(str(folder), "control-a").ok
        store.save_identity(Identity("control-a", 1))
        store.append(list(self.OLD_RECORDS))
        if snapshot:
            store.save_snapshot(self.SNAPSHOT, list(self.NEW_RECORDS))
        store.close()
        return open_store(str(folder), "control-a").ok[1]

    def _crash_after(self, patch: pytest.MonkeyPatch, completed_calls: int) -> None:
        """Crash at the first sync or rename after the given number of successful ones."""
        remaining = iter(range(completed_calls))

        def crash_when_exhausted(function):
            def call(*args):
                if next(remaining, None) is None:
                    raise SimulatedCrash
                return function(*args)

            return call

        patch.setattr(os, "fsync", crash_when_exhausted(os.fsync))
        patch.setattr(Path, "replace", crash_when_exhausted(Path.replace))
