"""The backend servers known to one entry VM from their announcements.

An announcement is a lease: unless it is renewed, the server is dropped when it expires. Leaving is
final for an incarnation, so an older announcement that arrives late cannot bring the server back.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from siskinspoke.coordination.cold_servers import remaining_cold_ms
from siskinspoke.protocol.announcements import Announcement, Load, merge_load, server_key

# Announcement intervals in a lease: it outlasts two lost announcements in a row and a third that
# arrives late.
ANNOUNCEMENTS_PER_LEASE = 4
LEFT_RETENTION_MS = 60_000
CAPACITY_RETENTION_MS = 3_600_000
# How long a restarted VM routes to servers that it knew before and has not heard from since. It
# hears announcements from 0.7 s after its start, and a healthy server announces itself every 1.2 s;
# a server that has left must stop getting new work within a few seconds.
RESTORED_LEASE_MS = 2_200
# The incarnation of a server that does not report its start time.
UNKNOWN_INCARNATION = 0


def start_of(announcement: Announcement) -> tuple[str, int]:
    """Return the server name and incarnation of an announcement."""
    return announcement.server, announcement.incarnation


class AnnouncementEffect(Enum):
    """The effect of an announcement."""

    JOINED = "joined"
    RENEWED = "renewed"
    LEFT = "left"
    STALE = "stale"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class ServerRecord:
    """The latest announcement of a server and when it was received.

    ``is_restored`` is set for a server that was restored after a restart of this VM and has not
    announced itself since.
    """

    announcement: Announcement
    heard_at: float
    suspended_until: float = 0.0
    answered_at: float = -math.inf
    since: float = 0.0
    is_restored: bool = False

    @property
    def start(self) -> tuple[str, int]:
        """Return the server name and incarnation."""
        return start_of(self.announcement)

    def announcement_at(self, now: float) -> Announcement:
        """Return the announcement with the time for which the server is cold from now on."""
        if not self.announcement.cold_ms:
            return self.announcement
        cold_ms = remaining_cold_ms(self.announcement.cold_ms, self.heard_at, now)
        return self.announcement._replace(cold_ms=cold_ms)

    @property
    def sort_key(self) -> tuple[int, int]:
        """Return the sort key that tells the later of two announcements of a server."""
        return self.announcement.incarnation, self.announcement.seq


class Directory:
    """The backend servers that announce themselves; times are in milliseconds."""

    def __init__(self, lease_ms: float):
        self._lease_ms = lease_ms
        self._records: dict[str, ServerRecord] = {}
        self._names: dict[int, str] = {}
        self._services_with_start_times: set[str] = set()
        self.changes = 0

    def apply(self, announcement: Announcement, now: float) -> AnnouncementEffect:
        """Apply an announcement, which may be delayed or out of order."""
        known = self._records.get(announcement.server)
        if known is not None and self._is_stale(known, announcement):
            if known.announcement.leaving and known.start == start_of(announcement):
                # A server that left but still announces itself must be kept, or it would rejoin.
                known.heard_at = now
            return AnnouncementEffect.STALE
        was_live = known is not None and self._is_live(known, now)
        is_same_incarnation = (
            known is not None and known.announcement.incarnation == announcement.incarnation
        )
        record = ServerRecord(announcement, now, since=now)
        if is_same_incarnation:
            record.suspended_until = known.suspended_until
            record.answered_at = known.answered_at
            record.since = known.since
        self._store(record)
        if announcement.leaving:
            self.changes += known is None or not known.announcement.leaving
            return AnnouncementEffect.LEFT if was_live else AnnouncementEffect.RENEWED
        if was_live and is_same_incarnation and not known.is_restored:
            return AnnouncementEffect.RENEWED
        self.changes += 1
        return AnnouncementEffect.JOINED

    def restore(self, announcement: Announcement, now: float) -> bool:
        """Restore a server that was known before a restart; return whether it was added.

        The stored announcement is old, so it is valid only briefly unless the server announces
        itself again. It only replaces a record of an earlier incarnation.
        """
        known = self._records.get(announcement.server)
        if known is not None and known.announcement.incarnation >= announcement.incarnation:
            return False
        heard_at = now - self._lease_ms + RESTORED_LEASE_MS
        self.changes += 1
        self._store(ServerRecord(announcement, heard_at, since=heard_at, is_restored=True))
        return True

    def _store(self, record: ServerRecord) -> None:
        announcement = record.announcement
        self._records[announcement.server] = record
        self._names[server_key(announcement.server)] = announcement.server
        if announcement.incarnation != UNKNOWN_INCARNATION:
            self._services_with_start_times.add(announcement.service)

    def apply_load(self, load: Load, now: float) -> AnnouncementEffect:
        """Apply a load update; return UNKNOWN if the server's announcement is not known."""
        known = self._records.get(self.name_of(load.key))
        if known is None or known.announcement.incarnation < load.incarnation:
            return AnnouncementEffect.UNKNOWN
        if known.announcement.incarnation > load.incarnation:
            return AnnouncementEffect.STALE
        return self.apply(merge_load(known.announcement, load), now)

    def renew(self, server: str, incarnation: int, seq: int, now: float) -> AnnouncementEffect:
        """Renew the lease of a known server whose announcement has not changed."""
        known = self.find(server, incarnation)
        if known is None:
            return AnnouncementEffect.UNKNOWN
        cold_ms = remaining_cold_ms(known.announcement.cold_ms, known.heard_at, now)
        return self.apply(known.announcement._replace(seq=seq, cold_ms=cold_ms), now)

    def record_answer(self, server: str, incarnation: int, now: float) -> None:
        """Record that a server has answered a request of this VM.

        This keeps a server in use that is cut off from the VMs that receive announcements, but not
        from this VM.
        """
        record = self.find(server, incarnation)
        if record is not None:
            record.answered_at = now

    def mark_leaving(self, server: str, incarnation: int) -> None:
        """Mark a server as leaving: it said so, or another server answers at its address."""
        record = self.find(server, incarnation)
        if record is not None and not record.announcement.leaving:
            record.announcement = record.announcement._replace(leaving=True)
            self.changes += 1

    def name_of(self, key: int) -> str:
        """Return the name of a known server by its short key, or an empty string."""
        return self._names.get(key, "")

    def _is_stale(self, known: ServerRecord, announcement: Announcement) -> bool:
        """Return whether a later announcement of the server has already been applied.

        Otherwise an older announcement that arrives after the leaving one would undo it, and new
        work would go to a server that has left.
        """
        is_same_incarnation = known.announcement.incarnation == announcement.incarnation
        if is_same_incarnation and known.announcement.leaving:
            return True
        return (announcement.incarnation, announcement.seq) <= known.sort_key

    def suspend(self, server: str, incarnation: int, now: float) -> None:
        """Stop sending new work to a server that refused a connection, for one lease.

        Its announcement may remain valid for up to a lease after it died; until then every request
        would try the dead server first.
        """
        record = self._records.get(server)
        if record is not None and record.announcement.incarnation == incarnation:
            record.suspended_until = now + self._lease_ms

    def end_suspensions(self, servers: Iterable[str]) -> None:
        """Send new work to servers again that can be connected to."""
        for server in servers:
            record = self._records.get(server)
            if record is not None:
                record.suspended_until = 0.0

    def _is_live(self, record: ServerRecord, now: float) -> bool:
        last_seen_at = max(record.heard_at, record.answered_at)
        return now - last_seen_at < self._lease_ms and self._may_serve(record.announcement)

    def _may_serve(self, announcement: Announcement) -> bool:
        """Return whether a server has not left and is a genuine member of its service.

        If other servers of the service report their start time, one that does not is foreign:
        another program announces itself for the same service, and requests sent to it would be
        wasted.
        """
        is_foreign = (
            announcement.incarnation == UNKNOWN_INCARNATION
            and announcement.service in self._services_with_start_times
        )
        return not announcement.leaving and not is_foreign

    def _accepts_work(self, record: ServerRecord, now: float) -> bool:
        return self._is_live(record, now) and record.suspended_until <= now

    def live(self, now: float) -> list[ServerRecord]:
        """Return the servers that may get new work."""
        return [record for record in self._records.values() if self._accepts_work(record, now)]

    def all_records(self) -> list[ServerRecord]:
        """Return all records, including those of servers that have left."""
        return list(self._records.values())

    def registered(self, service: str) -> list[ServerRecord]:
        """Return the servers of a service that have not left, even if their lease has expired."""
        return [
            item
            for item in self._records.values()
            if item.announcement.service == service and self._may_serve(item.announcement)
        ]

    def live_servers_of(self, service: str, now: float) -> list[ServerRecord]:
        """Return the servers of a service that may get new work."""
        return [item for item in self.live(now) if item.announcement.service == service]

    def has_live_server(self, service: str, now: float) -> bool:
        """Return whether any server of a service may get new work."""
        return any(
            item.announcement.service == service and self._accepts_work(item, now)
            for item in self._records.values()
        )

    def is_routable(self, record: ServerRecord, now: float) -> bool:
        """Return whether ``routable`` would return this server for its service."""
        if not self._may_serve(record.announcement):
            return False
        return self._is_live(record, now) or not self.has_live_server(
            record.announcement.service, now
        )

    def routable_among(self, names: Iterable[str], now: float) -> list[ServerRecord]:
        """Return the servers among ``names`` that may get work, by the rule of ``routable``."""
        known = [record for name in names if (record := self._records.get(name)) is not None]
        live = [item for item in known if self._accepts_work(item, now)]
        return live or [item for item in known if self._may_serve(item.announcement)]

    def latest(self, server: str) -> ServerRecord | None:
        """Return the record of a server's latest incarnation, live or not."""
        return self._records.get(server)

    def has_left(self, server: str) -> bool:
        """Return whether a server has announced that it leaves, or is not known."""
        record = self._records.get(server)
        return record is None or record.announcement.leaving

    def routable(self, service: str, now: float) -> list[ServerRecord]:
        """Return the servers of a service that may get work.

        If no lease is valid, fall back to servers whose lease has expired: a VM that is cut off
        from the VMs that receive announcements continues with what it knows.
        """
        return self.live_servers_of(service, now) or self.registered(service)

    def find(self, server: str, incarnation: int) -> ServerRecord | None:
        """Return the record of one incarnation of a server, live or not."""
        record = self._records.get(server)
        if record is None or record.announcement.incarnation != incarnation:
            return None
        return record

    def superseded(self, server: str, incarnation: int) -> bool:
        """Return whether a later incarnation of a server has announced itself."""
        record = self._records.get(server)
        return record is not None and record.announcement.incarnation > incarnation

    def registered_capacity(self, service: str) -> int:
        """Return the total KV memory of a service's servers that have not left, live or not."""
        return sum(
            item.announcement.total_tokens
            for item in self._records.values()
            if item.announcement.service == service and not item.announcement.leaving
        )

    def prune(self, now: float) -> list[str]:
        """Drop expired records and return the names of their servers.

        A record is kept after its lease has expired, so that a datagram delayed in the network is
        still recognized as older than the latest announcement.
        """
        forgotten = []
        for name, record in list(self._records.items()):
            retention_ms = (
                LEFT_RETENTION_MS if record.announcement.leaving else CAPACITY_RETENTION_MS
            )
            if now - record.heard_at > retention_ms:
                del self._records[name]
                self.changes += 1
                self._names.pop(server_key(name), None)
                forgotten.append(name)
        return forgotten
