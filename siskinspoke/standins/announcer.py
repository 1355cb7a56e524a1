"""Announce a stand-in to the entry VMs of its failure domain, as the balancer would spread it."""

import random
from collections.abc import Callable

import trio

from siskinspoke.protocol.announcements import Announcement
from siskinspoke.transport.datagrams import DatagramPort

ANNOUNCE_SECONDS = 0.5
FAREWELLS = 3

Report = Callable[[int, bool], Announcement]


class Announcer:
    """Own the announcements of one backend server."""

    def __init__(self, port: DatagramPort, entries: list[tuple[str, int]], report: Report):
        self._port = port
        self._entries = entries
        self._report = report
        self._seq = 0
        self.leaving = False

    async def run(self) -> None:
        """Announce at a steady pace, to one entry VM at a time."""
        while True:
            await self.announce_once()
            await trio.sleep(ANNOUNCE_SECONDS * random.uniform(0.9, 1.1))

    async def announce_once(self) -> None:
        """Send one announcement to an entry VM of the balancer's choice."""
        self._seq += 1
        host, port = random.choice(self._entries)
        await self._port.send(self._report(self._seq, self.leaving), host, port)

    async def leave(self) -> None:
        """Say that the server leaves, several times, since datagrams get lost."""
        self.leaving = True
        for _ in range(FAREWELLS):
            await self.announce_once()
            await trio.sleep(ANNOUNCE_SECONDS / 5)
