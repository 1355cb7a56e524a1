"""What one entry VM knows of backend servers, from their announcements alone.

An announcement is a lease: without a later one the server is gone when it runs out.  Leaving
is final for an incarnation, so an older announcement that arrives late cannot bring the
server back.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from siskinspoke.protocol.announcements import Announcement, Load, server_key, with_load

FORGET_MS = 60_000
REMEMBER_CAPACITY_MS = 3_600_000
# How long servers that a restarted VM knew before are believed in without a word of theirs.  It
# hears announcements 0.7 s after its start, and who is well speaks every 1.2 s; who has left
# must get no new work after some seconds.
RECALLED_MS = 2_200
# The incarnation of a server that does not say when it started.
UNDATED = 0


def start_of(announcement: Announcement) -> tuple[str, int]:
    """Return what tells one start of a server from its others."""
    return announcement.server, announcement.incarnation


class Heard(Enum):
    """What an announcement changed."""

    JOINED = "joined"
    RENEWED = "renewed"
    LEFT = "left"
    STALE = "stale"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class ServerRecord:
    """The latest announcement of a server and when it was heard.

    ``recalled`` marks one that a VM knew before a restart and nobody has heard since.
    """

    announcement: Announcement
    heard_at: float
    suspected_until: float = 0.0
    proven_at: float = -math.inf
    since: float = 0.0
    recalled: bool = False

    @property
    def start(self) -> tuple[str, int]:
        """Return what tells one start of a server from its others."""
        return start_of(self.announcement)

    @property
    def order(self) -> tuple[int, int]:
        """Return what decides which of two announcements is the later one."""
        return self.announcement.incarnation, self.announcement.seq


class Directory:
    """Keep the backend servers that announce themselves; times are in milliseconds."""

    def __init__(self, lease_ms: float):
        self._lease_ms = lease_ms
        self._records: dict[str, ServerRecord] = {}
        self._names: dict[int, str] = {}
        self._dated_services: set[str] = set()
        self.changes = 0

    def hear(self, announcement: Announcement, now: float) -> Heard:
        """Take in one announcement, however late it comes."""
        known = self._records.get(announcement.server)
        if known is not None and self._is_stale(known, announcement):
            if known.announcement.leaving and known.start == start_of(announcement):
                # Forgotten while it still speaks, a server that has left would join anew.
                known.heard_at = now
            return Heard.STALE
        was_live = known is not None and self._is_live(known, now)
        same = known is not None and known.announcement.incarnation == announcement.incarnation
        record = ServerRecord(announcement, now, since=now)
        if same:
            record.suspected_until = known.suspected_until
            record.proven_at = known.proven_at
            record.since = known.since
        self._keep(record)
        if announcement.leaving:
            self.changes += known is None or not known.announcement.leaving
            return Heard.LEFT if was_live else Heard.RENEWED
        if was_live and same and not known.recalled:
            return Heard.RENEWED
        self.changes += 1
        return Heard.JOINED

    def remember(self, announcement: Announcement, now: float) -> bool:
        """Take in a server that was known before a restart; return whether that is news.

        Its word is old, so it counts for a short time only, unless the server speaks again.  It
        replaces what is known of an earlier incarnation alone.
        """
        known = self._records.get(announcement.server)
        if known is not None and known.announcement.incarnation >= announcement.incarnation:
            return False
        heard_at = now - self._lease_ms + RECALLED_MS
        self.changes += 1
        self._keep(ServerRecord(announcement, heard_at, since=heard_at, recalled=True))
        return True

    def _keep(self, record: ServerRecord) -> None:
        said = record.announcement
        self._records[said.server] = record
        self._names[server_key(said.server)] = said.server
        if said.incarnation != UNDATED:
            self._dated_services.add(said.service)

    def hear_load(self, load: Load, now: float) -> Heard:
        """Take in the changing part alone; UNKNOWN where the rest is not known."""
        known = self._records.get(self.name_of(load.key))
        if known is None or known.announcement.incarnation < load.incarnation:
            return Heard.UNKNOWN
        if known.announcement.incarnation > load.incarnation:
            return Heard.STALE
        return self.hear(with_load(known.announcement, load), now)

    def renew(self, server: str, incarnation: int, seq: int, now: float) -> Heard:
        """Take in that a known server has spoken again and said nothing new."""
        known = self.find(server, incarnation)
        if known is None:
            return Heard.UNKNOWN
        return self.hear(known.announcement._replace(seq=seq), now)

    def prove(self, server: str, incarnation: int, now: float) -> None:
        """Note that a server has answered this VM's own request.

        A server that is cut off from the VMs that hear announcements, but not from this one,
        keeps its work in this way.
        """
        record = self.find(server, incarnation)
        if record is not None:
            record.proven_at = now

    def retire(self, server: str, incarnation: int) -> None:
        """Take a server as leaving for good, by its own answer or one of another at its address."""
        record = self.find(server, incarnation)
        if record is not None and not record.announcement.leaving:
            record.announcement = record.announcement._replace(leaving=True)
            self.changes += 1

    def name_of(self, key: int) -> str:
        """Return the name of a known server by its short stand-in, or an empty string."""
        return self._names.get(key, "")

    def _is_stale(self, known: ServerRecord, announcement: Announcement) -> bool:
        """Tell whether a later word of the server is known already.

        A leaving announcement overtaken by an older one would otherwise be undone, and new
        work would go to a server that has left.
        """
        same = known.announcement.incarnation == announcement.incarnation
        if same and known.announcement.leaving:
            return True
        return (announcement.incarnation, announcement.seq) <= known.order

    def suspect(self, server: str, incarnation: int, now: float) -> None:
        """Keep new work from a server that refused a connection, for one lease.

        Its announcement may outlive it by a lease; without this every request of that time
        would first try the dead server.
        """
        record = self._records.get(server)
        if record is not None and record.announcement.incarnation == incarnation:
            record.suspected_until = now + self._lease_ms

    def _is_live(self, record: ServerRecord, now: float) -> bool:
        last = max(record.heard_at, record.proven_at)
        return now - last < self._lease_ms and self._may_serve(record.announcement)

    def _may_serve(self, said: Announcement) -> bool:
        """Tell whether a server has not left, and speaks as the others of its service do.

        Where the servers of a service say when they started, one that does not is no server of
        ours: another program writes to the same place, and a request sent there is lost time.
        """
        foreign = said.incarnation == UNDATED and said.service in self._dated_services
        return not said.leaving and not foreign

    def _may_get_work(self, record: ServerRecord, now: float) -> bool:
        return self._is_live(record, now) and record.suspected_until <= now

    def live(self, now: float) -> list[ServerRecord]:
        """Return the servers that may get new work."""
        return [record for record in self._records.values() if self._may_get_work(record, now)]

    def all_known(self) -> list[ServerRecord]:
        """Return every record, also of servers that have left."""
        return list(self._records.values())

    def remembered(self, service: str) -> list[ServerRecord]:
        """Return the servers of a service that have not left, heard lately or not.

        A VM that nobody speaks to any more goes on with these.
        """
        return [
            item
            for item in self._records.values()
            if item.announcement.service == service and self._may_serve(item.announcement)
        ]

    def serving(self, service: str, now: float) -> list[ServerRecord]:
        """Return the servers of one service that may get new work."""
        return [item for item in self.live(now) if item.announcement.service == service]

    def is_served(self, service: str, now: float) -> bool:
        """Tell whether any server of a service may get new work."""
        return any(
            item.announcement.service == service and self._may_get_work(item, now)
            for item in self._records.values()
        )

    def is_believed(self, record: ServerRecord, now: float) -> bool:
        """Tell whether a server is one of those that ``believed`` returns of its service."""
        if not self._may_serve(record.announcement):
            return False
        return self._is_live(record, now) or not self.is_served(record.announcement.service, now)

    def believed_among(self, names: Iterable[str], now: float) -> list[ServerRecord]:
        """Return those of some servers that may get work, as ``believed`` does of a service."""
        known = [record for name in names if (record := self._records.get(name)) is not None]
        live = [item for item in known if self._may_get_work(item, now)]
        return live or [item for item in known if self._may_serve(item.announcement)]

    def latest(self, server: str) -> ServerRecord | None:
        """Return the record of a server's latest incarnation, live or not."""
        return self._records.get(server)

    def has_left(self, server: str) -> bool:
        """Tell whether a server has said that it leaves, or is not known any more."""
        record = self._records.get(server)
        return record is None or record.announcement.leaving

    def believed(self, service: str, now: float) -> list[ServerRecord]:
        """Return the servers of a service that may get work.

        Where none has spoken lately, those that are remembered are tried: a VM that is cut off
        from the VMs that hear announcements goes on with what it knows.
        """
        return self.serving(service, now) or self.remembered(service)

    def find(self, server: str, incarnation: int) -> ServerRecord | None:
        """Return the record of one incarnation of a server, live or not."""
        record = self._records.get(server)
        if record is None or record.announcement.incarnation != incarnation:
            return None
        return record

    def superseded(self, server: str, incarnation: int) -> bool:
        """Tell whether a later incarnation of a server has announced itself."""
        record = self._records.get(server)
        return record is not None and record.announcement.incarnation > incarnation

    def remembered_capacity(self, service: str) -> int:
        """Return the KV memory of all remembered servers of a service, live or not."""
        return sum(
            item.announcement.total_tokens
            for item in self._records.values()
            if item.announcement.service == service and not item.announcement.leaving
        )

    def forget(self, now: float) -> list[str]:
        """Drop records too old to matter and return their servers' names.

        A record outlives its lease, since a datagram that was delayed in the network must
        still meet the later word that it would undo.
        """
        gone = []
        for name, record in list(self._records.items()):
            keep_ms = FORGET_MS if record.announcement.leaving else REMEMBER_CAPACITY_MS
            if now - record.heard_at > keep_ms:
                del self._records[name]
                self.changes += 1
                self._names.pop(server_key(name), None)
                gone.append(name)
        return gone
