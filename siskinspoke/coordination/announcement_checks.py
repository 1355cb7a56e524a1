"""Validation of backend server announcements.

Other programs may write to the address that receives announcements. Accepting a foreign message
could route requests to a server that does not exist, or replace the announcement of a healthy
server. Each announcement is therefore checked against the known state.
"""

import ipaddress
import re
from collections.abc import Set
from enum import Enum

from siskinspoke.protocol.announcements import Announcement

# The server name is sent in a header of each request to the server.
_NAME = re.compile(r"[A-Za-z0-9._:~-]{1,128}", re.ASCII)
MAX_PORT = 65_535


class AnnouncementFault(Enum):
    """Reason for which an announcement is rejected."""

    NAME = "server name is not 1 to 128 letters, digits or characters of . _ : ~ -"
    ADDRESS = "address is not an IPv4 address with a valid port"
    NUMBER = "incarnation or sequence number is negative"
    SERVICE = "service is not part of the configuration"
    MOVED = "service or address differs from the known one of the same incarnation"


def announcement_fault(
    announcement: Announcement, known: Announcement | None, services: Set[str] | None
) -> AnnouncementFault | None:
    """Return why an announcement is rejected, or None if it is accepted.

    ``known`` is the last announcement with the same server name. ``services`` are the services of
    the active configuration, or None if there is none yet.
    """
    if not _NAME.fullmatch(announcement.server):
        return AnnouncementFault.NAME
    if announcement.incarnation < 0 or announcement.seq < 0:
        return AnnouncementFault.NUMBER
    if not _is_address(announcement):
        return AnnouncementFault.ADDRESS
    same_incarnation = known is not None and known.incarnation == announcement.incarnation
    if same_incarnation and _endpoint(known) == _endpoint(announcement):
        # Accept it even if its service is no longer configured, so that the server can still
        # announce that it is leaving.
        return None
    if services is not None and announcement.service not in services:
        return AnnouncementFault.SERVICE
    if same_incarnation and (services is None or known.service in services):
        return AnnouncementFault.MOVED
    return None


def _is_address(announcement: Announcement) -> bool:
    try:
        ipaddress.IPv4Address(announcement.host)
    except ValueError:
        # The caller counts and logs the rejection.
        return False
    return 0 < announcement.port <= MAX_PORT


def _endpoint(announcement: Announcement) -> tuple[str, str, int]:
    return announcement.service, announcement.host, announcement.port
