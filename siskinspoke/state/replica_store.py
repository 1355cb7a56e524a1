"""Data folder of a control replica, which contains its identity and journal.

The snapshot, if any, is the first record of the journal. Earlier versions stored it in a separate
file, which is still read if the journal contains no snapshot.
"""

from pathlib import Path

import msgspec
from expression import Error, Ok, Result

from siskinspoke.coordination.replica_types import RestoredState, restore_state
from siskinspoke.core.codes import Failure, FailureError, ResultCode
from siskinspoke.protocol import decode_message, encode_message
from siskinspoke.protocol.replication import (
    Admitted,
    Checkpoint,
    Committed,
    Entry,
    HardState,
    Identity,
    Snapshot,
)
from siskinspoke.state.files import read_verified, storage_error, write_atomically
from siskinspoke.state.journal import Journal, open_journal

IDENTITY_FILE, SNAPSHOT_FILE, JOURNAL_FILE = "identity.json", "snapshot.json", "journal"

Record = HardState | Admitted | Committed | Entry


class ReplicaStore:
    """Write the data folder of one control replica."""

    def __init__(self, folder: Path, journal: Journal):
        self._folder = folder
        self._journal = journal

    def save_identity(self, identity: Identity) -> None:
        """Store the identity of the replica that owns the folder."""
        write_atomically(self._folder / IDENTITY_FILE, msgspec.json.encode(identity))

    def append(self, records: list[Record]) -> None:
        """Append records to the journal and sync them."""
        self._journal.append(encode_message(record) for record in records)

    def save_snapshot(self, snapshot: Snapshot, records: list[Record]) -> None:
        """Atomically replace the journal with a snapshot followed by the given records.

        Storing both in one file prevents a crash from pairing a new snapshot with an old journal,
        which could restore superseded members or log entries.
        """
        self._journal.rewrite(encode_message(record) for record in (Checkpoint(snapshot), *records))

    def close(self) -> None:
        """Close the journal."""
        self._journal.close()


def _unwrap(result: Result) -> bytes | None:
    if result.is_error():
        raise FailureError(result.error)
    return result.ok


def _read_identity(folder: Path, name: str) -> Identity | None:
    body = _unwrap(read_verified(folder / IDENTITY_FILE))
    if body is None:
        return None
    identity = msgspec.json.decode(body, type=Identity)
    if identity.name != name:
        message = f"{folder}: data folder belongs to {identity.name}, not to {name}"
        raise FailureError(Failure(ResultCode.FOREIGN_FOLDER, message))
    return identity


def _decode(body: bytes, path: Path):
    decoded = decode_message(body)
    if decoded.is_error():
        raise FailureError(Failure(ResultCode.JOURNAL_CORRUPT, f"{path}: {decoded.error}"))
    return decoded.ok


def _restore(folder: Path, name: str, bodies: list[bytes]) -> RestoredState:
    identity = _read_identity(folder, name)
    records = [_decode(item, folder / JOURNAL_FILE) for item in bodies]
    snapshot = None
    if not any(isinstance(record, Checkpoint) for record in records):
        body = _unwrap(read_verified(folder / SNAPSHOT_FILE))
        snapshot = None if body is None else _decode(body, folder / SNAPSHOT_FILE)
    restored = restore_state(identity, snapshot, records)
    if identity is None and (restored.entries or restored.snapshot is not None):
        message = f"{folder}: log without an identity; empty the folder to start as a new replica"
        raise FailureError(Failure(ResultCode.JOURNAL_CORRUPT, message))
    return restored


def open_store(path: str, name: str) -> Result[tuple[ReplicaStore, RestoredState], Failure]:
    """Open or create a data folder and return its store and the replica's restored state."""
    folder = Path(path)
    try:
        folder.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        return Error(storage_error(folder, error).failure)
    opened = open_journal(folder / JOURNAL_FILE)
    if opened.is_error():
        return opened
    try:
        restored = _restore(folder, name, opened.ok.records)
    except FailureError as error:
        return Error(error.failure)
    return Ok((ReplicaStore(folder, opened.ok.journal), restored))
