"""Replace whole files atomically, with a checksum, and name what the disk refuses."""

import errno
import os
from pathlib import Path

import xxhash
from expression import Error, Ok, Result

from siskinspoke.core.codes import Failure, FailureError, ResultCode

CHECKSUM_BYTES = 8


def storage_error(path: Path, error: OSError) -> FailureError:
    """Return the numbered error for what the disk refused."""
    full = error.errno in (errno.ENOSPC, errno.EDQUOT)
    code = ResultCode.DISK_FULL if full else ResultCode.DISK_FAILED
    return FailureError(Failure(code, f"{path}: {error.strerror or error}"))


def sync_folder(folder: Path) -> None:
    """Make the names in a folder last: a rename alone may be lost with the power."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_atomically(path: Path, body: bytes) -> None:
    """Replace a file as a whole; a crash leaves the old content or the new."""
    temporary = path.with_suffix(path.suffix + ".new")
    try:
        with temporary.open("wb") as file:
            file.write(xxhash.xxh64_digest(body) + body)
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(path)
        sync_folder(path.parent)
    except OSError as error:
        raise storage_error(path, error) from error


def read_checked(path: Path) -> Result[bytes | None, Failure]:
    """Return a file's body, None where there is no file, or the failure of a damaged one."""
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return Ok(None)
    except OSError as error:
        return Error(storage_error(path, error).failure)
    checksum, body = data[:CHECKSUM_BYTES], data[CHECKSUM_BYTES:]
    if checksum != xxhash.xxh64_digest(body):
        return Error(Failure(ResultCode.JOURNAL_CORRUPT, f"{path}: wrong checksum"))
    return Ok(body)
