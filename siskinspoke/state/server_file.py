"""Persistent list of the backend servers known to a control VM.

The list is only an optimization, since servers announce themselves repeatedly. After all control
VMs have failed, it spares callers the wait until the next announcements arrive.
"""

from pathlib import Path
from typing import NamedTuple

import msgspec
from expression import Error, Ok, Result

from siskinspoke.coordination.announcement_checks import announcement_fault
from siskinspoke.core.codes import Failure, ResultCode
from siskinspoke.protocol.announcements import Announcement
from siskinspoke.state.files import read_verified, write_atomically

SERVERS_FILE = "servers.json"


def save_servers(folder: Path, announcements: list[Announcement]) -> None:
    """Replace the file; raise FailureError on a storage error."""
    write_atomically(folder / SERVERS_FILE, msgspec.json.encode(announcements))


class LoadedServers(NamedTuple):
    """The announcements stored in a file, and the number of invalid entries."""

    announcements: list[Announcement]
    invalid_count: int


def load_servers(folder: Path) -> Result[LoadedServers, Failure]:
    """Return the stored announcements, or none if there is no file.

    Invalid entries are skipped and counted.
    """
    read = read_verified(folder / SERVERS_FILE)
    if read.is_error():
        return Error(read.error)
    try:
        entries = msgspec.json.decode(read.ok or b"[]", type=list[msgspec.Raw])
    except msgspec.MsgspecError as error:
        return Error(Failure(ResultCode.JOURNAL_CORRUPT, f"{SERVERS_FILE}: {error}"))
    announcements = [item for entry in entries if (item := _decode_entry(entry)) is not None]
    return Ok(LoadedServers(announcements, len(entries) - len(announcements)))


def _decode_entry(entry: msgspec.Raw) -> Announcement | None:
    try:
        announcement = msgspec.json.decode(entry, type=Announcement)
    except msgspec.MsgspecError:
        # The caller logs the number of invalid entries.
        return None
    return None if announcement_fault(announcement, None, None) else announcement
