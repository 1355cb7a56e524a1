"""What a control VM keeps on its disk of the backend servers that it has heard of.

It is a help and no promise: servers announce themselves again anyway.  After a loss of all
control VMs it spares callers the time until they have.
"""

from pathlib import Path
from typing import NamedTuple

import msgspec
from expression import Error, Ok, Result

from siskinspoke.coordination.vetting import fault_of
from siskinspoke.core.codes import Failure, ResultCode
from siskinspoke.protocol.announcements import Announcement
from siskinspoke.state.files import read_checked, write_atomically

SERVERS_FILE = "servers.json"


def save_servers(folder: Path, announcements: list[Announcement]) -> None:
    """Replace the file; raise FailureError if the disk refuses."""
    write_atomically(folder / SERVERS_FILE, msgspec.json.encode(announcements))


class KeptServers(NamedTuple):
    """The servers that a file holds, and how many of its entries name none."""

    announcements: list[Announcement]
    unread: int


def load_servers(folder: Path) -> Result[KeptServers, Failure]:
    """Return what was kept, nothing where there is no file.

    An entry that cannot be read takes no other with it.
    """
    read = read_checked(folder / SERVERS_FILE)
    if read.is_error():
        return Error(read.error)
    try:
        entries = msgspec.json.decode(read.ok or b"[]", type=list[msgspec.Raw])
    except msgspec.MsgspecError as error:
        return Error(Failure(ResultCode.JOURNAL_CORRUPT, f"{SERVERS_FILE}: {error}"))
    announcements = [item for entry in entries if (item := _entry(entry)) is not None]
    return Ok(KeptServers(announcements, len(entries) - len(announcements)))


def _entry(entry: msgspec.Raw) -> Announcement | None:
    try:
        announcement = msgspec.json.decode(entry, type=Announcement)
    except msgspec.MsgspecError:
        # The reader of the file logs how many there were.
        return None
    return None if fault_of(announcement, None, None) else announcement
