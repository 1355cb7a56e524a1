"""Messages by which control VMs tell others what they know, over one connection each.

A follower (an entry VM, or another control VM) opens the connection and says what it has.  The
hub answers with all that it knows and then with each change.
"""

from typing import NamedTuple

from siskinspoke.protocol.announcements import Announcement
from siskinspoke.protocol.codec import message


@message
class Follow(NamedTuple):
    """A follower's first word; ``version`` is the configuration that it has.

    ``peer_port`` is where an entry VM hears the other entry VMs, 0 at a control VM.
    """

    name: str
    host: str
    peer_port: int
    version: int
    failure_domain: str = ""


class EntryPeer(NamedTuple):
    """An entry VM, and where it hears the others."""

    host: str
    port: int
    failure_domain: str


@message
class ControlUp(NamedTuple):
    """A control VM's word to an entry VM, by datagram, that it can be followed at this host."""

    host: str


@message
class Roster(NamedTuple):
    """The hosts of all control VMs that the hub knows, and the entry VMs that follow it."""

    controls: list[str]
    entries: list[EntryPeer]


@message
class Publication(NamedTuple):
    """A configuration as operators sent it."""

    version: int
    document: dict


@message
class News(NamedTuple):
    """Announcements that say something new; the follower confirms the number."""

    number: int
    announcements: list[Announcement]


@message
class Remembered(NamedTuple):
    """Servers that a control VM knew before it was restarted and has not heard since."""

    announcements: list[Announcement]


@message
class Renewals(NamedTuple):
    """Servers that have spoken again without saying anything new, each with its sequence."""

    items: list[tuple[str, int, int]]


@message
class Holds(NamedTuple):
    """The follower has a configuration, from whichever hub it came."""

    version: int


@message
class Receipt(NamedTuple):
    """The follower has taken in all news up to a number; 0 only shows that it lives."""

    number: int
