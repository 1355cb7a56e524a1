"""What a control VM keeps on its disk of the entry VMs that follow it.

Entry VMs have no disk, and after a loss of all VMs they know nobody but the seeds.  Until they have
found each other again each of them chooses engines without knowing what the others have begun.
The file is a help and no promise: without it they are named as they come.
"""

from pathlib import Path

import msgspec
from expression import Error, Ok, Result

from siskinspoke.core.codes import Failure, ResultCode
from siskinspoke.protocol.feed import EntryPeer
from siskinspoke.state.files import read_checked, write_atomically

ENTRIES_FILE = "entries.json"


def save_entries(folder: Path, entries: list[EntryPeer]) -> None:
    """Replace the file; raise FailureError if the disk refuses."""
    write_atomically(folder / ENTRIES_FILE, msgspec.json.encode(entries))


def load_entries(folder: Path) -> Result[list[EntryPeer], Failure]:
    """Return what was kept, nothing where there is no file."""
    read = read_checked(folder / ENTRIES_FILE)
    if read.is_error():
        return Error(read.error)
    try:
        return Ok(msgspec.json.decode(read.ok or b"[]", type=list[EntryPeer]))
    except msgspec.MsgspecError as error:
        return Error(Failure(ResultCode.JOURNAL_CORRUPT, f"{ENTRIES_FILE}: {error}"))
