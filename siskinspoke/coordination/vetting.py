"""Tell announcements of backend servers from what other programs write to the same place.

A foreign announcement that was believed would name a server to which requests go in vain, or
replace the word of one that is well.  So each is held against what is known already.
"""

import ipaddress
import re
from collections.abc import Set
from enum import Enum

from siskinspoke.protocol.announcements import Announcement

# A server's name goes into the head of each request for it.
_NAME = re.compile(r"[A-Za-z0-9._:~-]{1,128}", re.ASCII)
MOST_PORT = 65_535


class AnnouncementFault(Enum):
    """Why an announcement names no server."""

    NAME = "the name of the server holds other signs than letters, digits and . _ : ~ -"
    ADDRESS = "the address is no IP number and port"
    NUMBER = "the start or the sequence is negative"
    SERVICE = "no configuration names the service"
    MOVED = "the server has another service or address since the same start"


def fault_of(
    said: Announcement, known: Announcement | None, services: Set[str] | None
) -> AnnouncementFault | None:
    """Return why an announcement is not believed, or None.

    ``known`` is the last announcement under the same name; ``services`` are those of the
    configuration in force, None where there is none yet.
    """
    if not _NAME.fullmatch(said.server):
        return AnnouncementFault.NAME
    if said.incarnation < 0 or said.seq < 0:
        return AnnouncementFault.NUMBER
    if not _is_address(said):
        return AnnouncementFault.ADDRESS
    same_start = known is not None and known.incarnation == said.incarnation
    if same_start and _place(known) == _place(said):
        # Also where its service is in no configuration any more: its leave must be heard.
        return None
    if services is not None and said.service not in services:
        return AnnouncementFault.SERVICE
    if same_start and (services is None or known.service in services):
        return AnnouncementFault.MOVED
    return None


def _is_address(said: Announcement) -> bool:
    try:
        ipaddress.IPv4Address(said.host)
    except ValueError:
        # The caller counts and logs the fault.
        return False
    return 0 < said.port <= MOST_PORT


def _place(said: Announcement) -> tuple[str, str, int]:
    return said.service, said.host, said.port
