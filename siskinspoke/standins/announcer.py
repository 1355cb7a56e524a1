"""Announce a stand-in to the entry VMs of its failure domain, as through the load balancer."""

import random
from collections.abc import Callable

import trio

from siskinspoke.protocol.announcements import Announcement
from siskinspoke.transport.datagrams import DatagramPort

ANNOUNCE_INTERVAL_SECONDS = 0.5
LEAVE_REPEATS = 3

AnnouncementFactory = Callable[[int, bool], Announcement]


class Announcer:
    """Send the announcements of one backend server."""

    def __init__(
        self,
        port: DatagramPort,
        entries: list[tuple[str, int]],
        make_announcement: AnnouncementFactory,
    ):
        self._port = port
        self._entries = entries
        self._make_announcement = make_announcement
        self._seq = 0
        self.is_leaving = False

    async def run(self) -> None:
        """Announce at a jittered interval, to one entry VM at a time."""
        while True:
            await self.announce_once()
            await trio.sleep(ANNOUNCE_INTERVAL_SECONDS * random.uniform(0.9, 1.1))

    async def announce_once(self) -> None:
        """Send an announcement to a random entry VM, as the load balancer would."""
        self._seq += 1
        host, port = random.choice(self._entries)
        await self._port.send(self._make_announcement(self._seq, self.is_leaving), host, port)

    async def leave(self) -> None:
        """Announce that the server is leaving, repeatedly since datagrams may be lost."""
        self.is_leaving = True
        for _ in range(LEAVE_REPEATS):
            await self.announce_once()
            await trio.sleep(ANNOUNCE_INTERVAL_SECONDS / 5)
