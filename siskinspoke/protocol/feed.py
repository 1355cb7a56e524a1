"""Messages of the feed from control VMs to their followers.

A follower, which is an entry VM or another control VM, opens a connection and sends Follow with its
configuration version. The hub answers with its whole state and then with each change.
"""

from typing import NamedTuple

from siskinspoke.protocol.announcements import Announcement
from siskinspoke.protocol.codec import message


@message
class Follow(NamedTuple):
    """The first message of a follower; ``version`` is that of its configuration.

    ``peer_port`` is the port on which an entry VM receives messages of its peers, 0 for a control
    VM.
    """

    name: str
    host: str
    peer_port: int
    version: int
    failure_domain: str = ""


class EntryPeer(NamedTuple):
    """An entry VM and the address on which it receives messages of its peers."""

    host: str
    port: int
    failure_domain: str


@message
class ControlUp(NamedTuple):
    """A datagram from a control VM to an entry VM: the feed at this host can be followed."""

    host: str


@message
class Roster(NamedTuple):
    """The hosts of all control VMs and the entry VMs that the hub knows."""

    controls: list[str]
    entries: list[EntryPeer]


@message
class Publication(NamedTuple):
    """A configuration as submitted by an operator."""

    version: int
    document: dict


@message
class News(NamedTuple):
    """Announcements with changes; the follower confirms them by ``number``."""

    number: int
    announcements: list[Announcement]


@message
class Remembered(NamedTuple):
    """Servers that a control VM has restored after a restart and not heard from since."""

    announcements: list[Announcement]


@message
class Renewals(NamedTuple):
    """Name, incarnation and sequence number of servers with an unchanged announcement."""

    items: list[tuple[str, int, int]]


@message
class Holds(NamedTuple):
    """The version of the follower's configuration, whichever hub sent it."""

    version: int


@message
class Receipt(NamedTuple):
    """A follower's confirmation of all News up to ``number``; 0 is only a heartbeat."""

    number: int
