"""Tests of the journal and of atomic file replacement."""

from pathlib import Path

import pytest

from siskinspoke.core.codes import FailureError, ResultCode
from siskinspoke.state.files import read_verified, write_atomically
from siskinspoke.state.journal import Journal, open_journal

RECORDS = [b"first", b"second record", b"third"]


def write_records(path: Path) -> bytes:
    """Write the records to a journal and return the file's bytes."""
    opened = open_journal(path).ok
    opened.journal.append(RECORDS)
    opened.journal.close()
    return path.read_bytes()


class TestTornWrite:
    """A power failure during a write must not lose earlier records.

    The last record was never acknowledged and may be lost.
    """

    def test_truncation_at_any_byte_keeps_earlier_records(self, tmp_path):
        path = tmp_path / "journal"
        data = write_records(path)
        for end in range(len(data)):
            path.write_bytes(data[:end])
            loaded = open_journal(path).ok
            assert loaded.records == RECORDS[: len(loaded.records)]
            loaded.journal.append([b"later"])
            loaded.journal.close()
            assert open_journal(path).ok.records == [*loaded.records, b"later"]

    def test_zeros_after_the_end_are_truncated(self, tmp_path):
        path = tmp_path / "journal"
        path.write_bytes(write_records(path) + bytes(64))
        assert open_journal(path).ok.records == RECORDS


class TestCorruption:
    """Corruption of records that were synced and acknowledged must be detected.

    Truncating the journal at the damage would silently revert accepted changes.
    """

    def test_corrupt_frame_before_valid_one_is_rejected(self, tmp_path):
        path = tmp_path / "journal"
        data = bytearray(write_records(path))
        for position in range(len(data) - len(RECORDS[-1]) - 20):
            corrupt = bytearray(data)
            corrupt[position] ^= 0xFF
            path.write_bytes(corrupt)
            opened = open_journal(path)
            assert opened.is_error()
            assert opened.error.code is ResultCode.JOURNAL_CORRUPT
            assert path.read_bytes() == bytes(corrupt)

    def test_corrupt_atomic_file_is_rejected(self, tmp_path):
        path = tmp_path / "state"
        write_atomically(path, b"content")
        path.write_bytes(path.read_bytes()[:-1] + b"x")
        assert read_verified(path).error.code is ResultCode.JOURNAL_CORRUPT


class TestStorageErrors:
    """A record must not count as durable if the disk is full or read-only."""

    def test_full_disk_has_its_own_code(self):
        journal = Journal(Path("/dev/full"))
        with pytest.raises(FailureError) as raised:
            journal.append([b"record"])
        assert raised.value.failure.code is ResultCode.DISK_FULL

    def test_unwritable_folder_has_its_own_code(self):
        opened = open_journal(Path("/proc/siskinspoke-journal"))
        assert opened.error.code is ResultCode.DISK_FAILED


class TestRewrite:
    """Compaction replaces the complete journal."""

    def test_appends_go_to_the_new_file(self, tmp_path):
        path = tmp_path / "journal"
        loaded = open_journal(path).ok
        loaded.journal.append(RECORDS)
        loaded.journal.rewrite([b"kept"])
        loaded.journal.append([b"new"])
        loaded.journal.close()
        assert open_journal(path).ok.records == [b"kept", b"new"]
