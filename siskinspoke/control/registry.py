"""The registry of a control VM: announcements of backend servers, and the configuration.

It answers for two promises.  A leave is confirmed only after those VMs that can hear of it
have; a configuration is accepted only once a majority has it on disk, and is read only by
who knows that there is no newer one.
"""

import math
from collections.abc import Set
from typing import NamedTuple

from siskinspoke.control.feed_hub import FeedHub, Held
from siskinspoke.control.replica_task import ReplicaTask, now_ms
from siskinspoke.coordination.directory import Directory, Heard
from siskinspoke.coordination.machine import PUBLISH, PublishRequest
from siskinspoke.coordination.vetting import announcement_fault
from siskinspoke.core.codes import Failure, ResultCode
from siskinspoke.core.counters import Counters
from siskinspoke.core.decisions import DecisionLog
from siskinspoke.protocol.announcements import Announcement

# A caller tries another VM after a second without an answer; these leave it room.
LEAVE_SECONDS = 0.4
PUBLISH_SECONDS = 0.9
READ_SECONDS = 0.7
# Another program may announce without end; one line in this time, in milliseconds, is enough.
REFUSED_EVERY_MS = 1_000.0


class Published(NamedTuple):
    """Whether a configuration is accepted; ``version`` is the one in force."""

    known: bool
    version: int


class Registry:
    """Take in announcements and configurations, and tell the followers."""

    def __init__(self, directory: Directory, counters: Counters, log: DecisionLog):
        self._directory = directory
        self._counters = counters
        self._log = log
        self._hub: FeedHub | None = None
        self._task: ReplicaTask | None = None
        self._refused_at = -math.inf

    def attach(self, hub: FeedHub) -> None:
        """Connect the hub that tells the followers."""
        self._hub = hub

    def serve_with(self, task: ReplicaTask | None) -> None:
        """Take the replica whose disk works now, or none."""
        self._task = task

    @property
    def held(self) -> Held:
        """Return the configuration that this replica has applied."""
        if self._task is None:
            return Held(0, None)
        machine = self._task.machine
        return Held(machine.version, machine.document)

    def known(self, server: str) -> Announcement | None:
        """Return the last announcement of a server."""
        record = self._directory.latest(server)
        return record.announcement if record is not None else None

    def fault_of(self, announcement: Announcement, services: Set[str] | None) -> Failure | None:
        """Return why an announcement is not believed; ``services`` are those in force, if any."""
        known = self.known(announcement.server)
        fault = announcement_fault(announcement, known, services)
        return None if fault is None else Failure(ResultCode.INVALID_FIELD, fault.value)

    def refuse(self, server: str, fault: Failure) -> None:
        """Count a word that names no server, and write down some of them."""
        self._counters.count("announcement.refused")
        now = now_ms()
        if now - self._refused_at < REFUSED_EVERY_MS:
            return
        self._refused_at = now
        self._log.note("server.refused", server=server[:100], reason=fault.message[:300])

    async def announce(self, announcement: Announcement) -> bool:
        """Take in one announcement; return whether it may be confirmed to its sender."""
        heard = self._directory.hear(announcement, now_ms())
        self._counters.count(f"announcement.{heard.value}")
        if announcement.leaving:
            return await self._spread_leave(announcement, heard)
        if heard is Heard.JOINED:
            self._note(announcement, heard)
            self._hub.tell_soon([announcement])
        elif heard is Heard.RENEWED:
            self._hub.renew(announcement)
        return True

    async def _spread_leave(self, announcement: Announcement, heard: Heard) -> bool:
        """Tell the followers of a leave, each time that it is said, and wait for them.

        The server stops a bounded time after the confirmation.  If this VM died between the
        two, a follower that had not heard would go on sending to a server that is gone.
        """
        number = self._hub.tell([announcement])
        missing = await self._hub.confirmed(number, LEAVE_SECONDS)
        followers = self._hub.followers
        self._note(announcement, heard, unconfirmed=missing, followers=followers)
        return followers > missing

    def hear_others(self, announcements: list[Announcement]) -> None:
        """Take in what another control VM has heard, and pass on what is new."""
        fresh, has_left = [], False
        for announcement in announcements:
            heard = self._directory.hear(announcement, now_ms())
            if heard in (Heard.JOINED, Heard.LEFT):
                self._note(announcement, heard)
                fresh.append(announcement)
                has_left = has_left or heard is Heard.LEFT
        if has_left:
            self._hub.tell(fresh)
        elif fresh:
            self._hub.tell_soon(fresh)

    def hear_remembered(self, announcements: list[Announcement]) -> None:
        """Take in which servers a VM knew before its restart, and pass on what is new."""
        now = now_ms()
        new = [item for item in announcements if self._directory.remember(item, now)]
        self._log.note("servers.remembered", told=len(announcements), new=len(new))
        if new:
            self._hub.recall(new)

    def hear_renewals(self, items: list[tuple[str, int, int]]) -> None:
        """Take in which servers another control VM has heard again."""
        for server, incarnation, seq in items:
            self._directory.renew(server, incarnation, seq, now_ms())

    def _note(self, announcement: Announcement, heard: Heard, **more) -> None:
        self._log.note(
            f"server.{heard.value}",
            server=announcement.server,
            service=announcement.service,
            address=f"{announcement.host}:{announcement.port}",
            start=announcement.incarnation,
            seq=announcement.seq,
            leaving=announcement.leaving,
            **more,
        )

    async def publish(self, version: int, document: dict) -> Published:
        """Have a checked configuration accepted by a majority."""
        if self._task is None:
            return Published(False, 0)
        pending = await self._task.ask(PUBLISH, PublishRequest(version, document), PUBLISH_SECONDS)
        known = pending.value is not None
        self._counters.count("publish.accepted" if known else "publish.unknown")
        self._log.note(
            "configuration.publish",
            version=version,
            known=known,
            held=self.held.version,
            leader=self._task.replica.leader,
            role=self._task.replica.role.value,
            term=self._task.replica.term,
            unheard_ms=round(now_ms() - self._task.replica.last_leader_contact_at),
        )
        return Published(known, self.held.version)

    async def read(self) -> Held | None:
        """Return the newest configuration, or None where this VM cannot be sure."""
        if self._task is None or not await self._task.read_newest(READ_SECONDS):
            self._counters.count("read.unsure")
            return None
        return self.held
