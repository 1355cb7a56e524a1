"""Append-only journal whose records are durable once ``append`` has returned.

Each frame consists of a magic number, the length of its body, a checksum of length and body, and
the body. A crash during a write leaves an incomplete frame at the end of the file. This frame is
truncated, since its record was never acknowledged. A corrupt frame that is followed by a valid one
had been synced and acknowledged, so the journal is rejected instead of truncated.
"""

import os
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import NamedTuple

import xxhash
from expression import Error, Ok, Result

from siskinspoke.core.codes import Failure, ResultCode
from siskinspoke.state.files import storage_error, sync_directory

MAGIC = b"\xabSJ1"
LENGTH_BYTES = 4
CHECKSUM_BYTES = 8
HEADER_BYTES = len(MAGIC) + LENGTH_BYTES + CHECKSUM_BYTES


class OpenedJournal(NamedTuple):
    """An open journal and the bodies of its records."""

    journal: "Journal"
    records: list[bytes]


def _encode_frame(body: bytes) -> bytes:
    length = len(body).to_bytes(LENGTH_BYTES, "big")
    return MAGIC + length + xxhash.xxh64_digest(length + body) + body


def _read_frame(data: bytes, position: int) -> bytes | None:
    """Return the body of the frame at a position, or None if it is not valid."""
    header = data[position : position + HEADER_BYTES]
    if len(header) < HEADER_BYTES or not header.startswith(MAGIC):
        return None
    length = header[len(MAGIC) : len(MAGIC) + LENGTH_BYTES]
    start = position + HEADER_BYTES
    body = data[start : start + int.from_bytes(length, "big")]
    if xxhash.xxh64_digest(length + body) != header[-CHECKSUM_BYTES:]:
        return None
    return body


def _valid_frames(data: bytes) -> Iterator[tuple[int, bytes]]:
    """Yield the end position and body of each frame up to the first invalid one."""
    position = 0
    while (body := _read_frame(data, position)) is not None:
        position += HEADER_BYTES + len(body)
        yield position, body


def _has_valid_frame_after(data: bytes, position: int) -> bool:
    """Return whether a valid frame starts anywhere after a position."""
    found = data.find(MAGIC, position + 1)
    while found >= 0:
        if _read_frame(data, found) is not None:
            return True
        found = data.find(MAGIC, found + 1)
    return False


class Journal:
    """Append records to a journal file."""

    def __init__(self, path: Path):
        self._path = path
        self._file = path.open("ab")

    def append(self, bodies: Iterable[bytes]) -> None:
        """Write records and sync them; raise FailureError on a storage error.

        The caller must stop and not retry after an error: the kernel may have discarded the dirty
        pages after a failed sync, so a later successful sync would not show that they are durable.
        """
        try:
            self._file.write(b"".join(_encode_frame(body) for body in bodies))
            self._file.flush()
            os.fdatasync(self._file.fileno())
        except OSError as error:
            raise storage_error(self._path, error) from error

    def rewrite(self, bodies: Iterable[bytes]) -> None:
        """Replace the journal atomically: a crash leaves either the old or the new one."""
        temporary = self._path.with_suffix(".new")
        try:
            with temporary.open("wb") as file:
                file.write(b"".join(_encode_frame(body) for body in bodies))
                file.flush()
                os.fsync(file.fileno())
            temporary.replace(self._path)
            sync_directory(self._path.parent)
            self._file.close()
            self._file = self._path.open("ab")
        except OSError as error:
            raise storage_error(self._path, error) from error

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def open_journal(path: Path) -> Result[OpenedJournal, Failure]:
    """Open or create a journal, truncate an incomplete frame at its end, and return its records."""
    try:
        existed = path.exists()
        data = path.read_bytes() if existed else b""
        end, records = 0, []
        for end, body in _valid_frames(data):  # noqa: B007  (used after the loop)
            records.append(body)
        if end < len(data):
            if _has_valid_frame_after(data, end):
                message = f"{path}: corrupt frame at byte {end} is followed by valid frames"
                return Error(Failure(ResultCode.JOURNAL_CORRUPT, message))
            with path.open("rb+") as file:
                file.truncate(end)
                os.fsync(file.fileno())
        journal = Journal(path)
        if not existed:
            sync_directory(path.parent)
    except OSError as error:
        return Error(storage_error(path, error).failure)
    return Ok(OpenedJournal(journal, records))
