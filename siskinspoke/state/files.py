"""Atomic replacement of checksummed files, and error codes for storage failures."""

import errno
import os
from pathlib import Path

import xxhash
from expression import Error, Ok, Result

from siskinspoke.core.codes import Failure, FailureError, ResultCode

CHECKSUM_BYTES = 8


def storage_error(path: Path, error: OSError) -> FailureError:
    """Convert an ``OSError`` to a failure with a result code."""
    full = error.errno in (errno.ENOSPC, errno.EDQUOT)
    code = ResultCode.DISK_FULL if full else ResultCode.DISK_FAILED
    return FailureError(Failure(code, f"{path}: {error.strerror or error}"))


def sync_directory(folder: Path) -> None:
    """Sync the directory entries of a folder; a rename may otherwise be lost in a power failure."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_atomically(path: Path, body: bytes) -> None:
    """Replace a file atomically: after a crash it has either the old or the new content."""
    temporary = path.with_suffix(path.suffix + ".new")
    try:
        with temporary.open("wb") as file:
            file.write(xxhash.xxh64_digest(body) + body)
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(path)
        sync_directory(path.parent)
    except OSError as error:
        raise storage_error(path, error) from error


def read_verified(path: Path) -> Result[bytes | None, Failure]:
    """Return the body of a file, None if it does not exist, or an error if it is corrupt."""
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return Ok(None)
    except OSError as error:
        return Error(storage_error(path, error).failure)
    checksum, body = data[:CHECKSUM_BYTES], data[CHECKSUM_BYTES:]
    if checksum != xxhash.xxh64_digest(body):
        return Error(Failure(ResultCode.JOURNAL_CORRUPT, f"{path}: checksum mismatch"))
    return Ok(body)
