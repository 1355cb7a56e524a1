"""Persistent list of the entry VMs that follow a control VM.

Entry VMs have no disk and, after all VMs have failed, know only the seeds. Until they have
discovered each other again, each chooses engines without knowing which requests the others have
started. The file only speeds up this discovery: without it, entry VMs are announced to each other
as they connect.
"""

from pathlib import Path

import msgspec
from expression import Error, Ok, Result

from siskinspoke.core.codes import Failure, ResultCode
from siskinspoke.protocol.feed import EntryPeer
from siskinspoke.state.files import read_verified, write_atomically

ENTRIES_FILE = "entries.json"


def save_entries(folder: Path, entries: list[EntryPeer]) -> None:
    """Replace the file; raise FailureError on a storage error."""
    write_atomically(folder / ENTRIES_FILE, msgspec.json.encode(entries))


def load_entries(folder: Path) -> Result[list[EntryPeer], Failure]:
    """Return the stored entry VMs, or an empty list if there is no file."""
    read = read_verified(folder / ENTRIES_FILE)
    if read.is_error():
        return Error(read.error)
    try:
        return Ok(msgspec.json.decode(read.ok or b"[]", type=list[EntryPeer]))
    except msgspec.MsgspecError as error:
        return Error(Failure(ResultCode.JOURNAL_CORRUPT, f"{ENTRIES_FILE}: {error}"))
