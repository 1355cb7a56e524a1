"""The feed server of a control VM: pushes its state, and each change, to all followers."""

from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

import trio

from siskinspoke.coordination.cells import MOST_VMS
from siskinspoke.coordination.crash_watch import CrashWatch
from siskinspoke.coordination.directory import Directory
from siskinspoke.coordination.known_entries import KnownEntries
from siskinspoke.coordination.watchers import rendezvous_order
from siskinspoke.core.channels import receive_queued
from siskinspoke.core.counters import Counters
from siskinspoke.core.decisions import DecisionLog
from siskinspoke.protocol.announcements import Announcement
from siskinspoke.protocol.crashes import CrashNews
from siskinspoke.protocol.feed import (
    EntryPeer,
    Follow,
    Holds,
    News,
    Publication,
    Receipt,
    Remembered,
    Renewals,
    Roster,
)
from siskinspoke.transport.frames import frame_of, frames_from, open_frame, send_frames
from siskinspoke.transport.sockets import tune

# Followers answer each batch of renewals. One that has not answered for three intervals is dropped,
# so that confirmations no longer wait for it.
SILENT_SECONDS = 1.5
# How long renewals are batched: a third of the usual announcement interval.
FLUSH_SECONDS = 0.45
# Rosters are repeated because followers drop VMs that no recent roster lists.
ROSTER_SECONDS = 5.0
# Followers that connect together, as after a restart of all VMs, share one roster.
JOINS_SECONDS = 0.05
# New servers are announced in batches, because each message takes a write for every follower.
ARRIVALS_SECONDS = 0.1
OUTBOX_FRAMES = 1_024
# Every entry VM receives the renewals of services with at most this many servers. If the fleet is
# divided into cells, it receives those of larger services for its own failure domain only, because
# it tracks no other servers of theirs.
FEW_SERVERS = 24
# Hubs send a configuration to a follower one after another, this far apart: the network latency and
# the transfer of 100 KB on a small VM's link. If five of six hubs are down, the last one sends
# after 0.75 s; a change must be in force within 2 s.
TURN_SECONDS = 0.15
LAST_TURN_SECONDS = 0.75


class Held(NamedTuple):
    """A configuration and its version; ``document`` is None if there is none."""

    version: int
    document: dict | None


class Session:
    """The connection of one follower.

    ``version`` is the latest version that the follower has confirmed, ``brought`` the latest one
    sent over this connection.
    """

    def __init__(self, follow: Follow):
        self.follow = follow
        self.version = follow.version
        self.brought = 0
        self.confirmed = 0
        self.outbox, self.pending = trio.open_memory_channel[bytes](OUTBOX_FRAMES)
        self.scope = trio.CancelScope()
        self.nursery: trio.Nursery | None = None


class FeedHub:
    """Accept followers' connections and send them announcements, configurations and rosters."""

    def __init__(
        self,
        host: str,
        failure_domain: str,
        directory: Directory,
        controls: Callable[[], list[str]],
        held: Callable[[], Held],
        key: bytes,
        counters: Counters,
        log: DecisionLog,
    ):
        self._host = host
        self._failure_domain = failure_domain
        self._directory = directory
        self._controls = controls
        self._held = held
        self._key = key
        self._counters = counters
        self._log = log
        self._sessions: set[Session] = set()
        self._number = 0
        self._renewed: dict[str, Announcement] = {}
        self._control_domains = {host: failure_domain}
        self._confirmation = trio.Event()
        self._entries = KnownEntries()
        self._last_roster: Roster | None = None
        self._joins = trio.Event()
        self._published: tuple[int, bytes] = (0, b"")
        self._untold: list[Announcement] = []
        self._arrivals = trio.Event()
        # A control VM sends no requests to servers, so it has no crash reports of its own.
        self._crashes = CrashWatch(lambda news: None, counters, log)

    async def serve(self, host: str, port: int, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve followers until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._flush_forever)
            nursery.start_soon(self._tell_joins_forever)
            nursery.start_soon(self._tell_arrivals_forever)
            await nursery.start(self._listen, host, port)
            task_status.started()

    async def _listen(self, host: str, port: int, task_status=trio.TASK_STATUS_IGNORED) -> None:
        await trio.serve_tcp(self._serve_one, port, host=host, task_status=task_status)

    async def _serve_one(self, stream: trio.SocketStream) -> None:
        session = None
        try:
            tune(stream.socket)
            async for frame in frames_from(stream, SILENT_SECONDS):
                opened = open_frame(self._key, frame)
                if opened.is_error():
                    self._counters.count(f"feed.refused.{opened.error}")
                    return
                match opened.ok:
                    case Follow() as follow if session is None:
                        session = Session(follow)
                        async with trio.open_nursery() as nursery:
                            session.scope = nursery.cancel_scope
                            session.nursery = nursery
                            nursery.start_soon(self._write, session, stream)
                            self._begin(session)
                            await self._read(session, stream)
                            nursery.cancel_scope.cancel()
                        return
                    case _:
                        return
        except (OSError, trio.BrokenResourceError, trio.TooSlowError):
            self._counters.count("feed.broken")
        finally:
            self._end(session)

    async def _read(self, session: Session, stream: trio.SocketStream) -> None:
        """Process a follower's messages until it disconnects or times out."""
        try:
            async for frame in frames_from(stream, SILENT_SECONDS):
                opened = open_frame(self._key, frame)
                match opened.default_value(None):
                    case Receipt(number=number):
                        if number > session.confirmed:
                            session.confirmed = number
                            self._wake()
                    case Holds(version=version):
                        session.version = max(session.version, version)
                    case CrashNews() as news:
                        self.hear_crashes(news, session)
                    case _:
                        self._counters.count("feed.refused.kind")
                        return
        except (OSError, trio.BrokenResourceError, trio.TooSlowError):
            self._counters.count("feed.broken")

    async def _write(self, session: Session, stream: trio.SocketStream) -> None:
        try:
            async for frame in session.pending:
                frames = [frame, *receive_queued(session.pending, OUTBOX_FRAMES - 1)]
                sent = await send_frames(stream, frames)
                self._counters.count("feed.bytes_sent", sent)
        except (OSError, trio.BrokenResourceError, trio.TooSlowError):
            self._counters.count("feed.broken")
            session.scope.cancel()

    def _begin(self, session: Session) -> None:
        """Send the whole state to a new follower, including servers that have left."""
        self._sessions.add(session)
        follow = session.follow
        if follow.peer_port:
            self._entries.joined(_peer_of(follow))
        else:
            self._control_domains[follow.host] = follow.failure_domain
        self._joins.set()
        self._log.note("follower.joined", follower=follow.name, host=follow.host)
        self._send(session, self._current_roster())
        held = self._held()
        if held.document is not None:
            self._offer(session, held)
        known = self._directory.all_known()
        recalled = [record.announcement for record in known if record.recalled]
        if recalled:
            self._send(session, Remembered(recalled))
        heard = [record.announcement for record in known if not record.recalled]
        self._send(session, News(self._number, heard))
        for news in self._crashes.all_news(_now_ms()):
            self._send(session, news)

    def _end(self, session: Session | None) -> None:
        if session is None or session not in self._sessions:
            return
        self._sessions.discard(session)
        if session.follow.peer_port:
            self._entries.left(_peer_of(session.follow), trio.current_time())
        self._log.note("follower.lost", follower=session.follow.name, host=session.follow.host)
        self._wake()

    def _wake(self) -> None:
        event, self._confirmation = self._confirmation, trio.Event()
        event.set()

    def _send(self, session: Session, item: Any) -> None:
        self._send_frame(session, frame_of(self._key, item))

    def _send_frame(self, session: Session, frame: bytes) -> None:
        """Queue a frame; if the queue is full, disconnect the follower so that it resyncs."""
        try:
            session.outbox.send_nowait(frame)
        except (trio.WouldBlock, trio.BrokenResourceError):
            self._counters.count("feed.overrun")
            session.scope.cancel()

    def _send_all(self, item: Any) -> None:
        frame = frame_of(self._key, item)
        for session in list(self._sessions):
            self._send_frame(session, frame)

    def _current_roster(self) -> Roster:
        entries = self._entries.named(trio.current_time())
        # A control VM that follows this one may not be a member of the group yet.
        newcomers = {item.follow.host for item in self._sessions if not item.follow.peer_port}
        return Roster(sorted(newcomers.union(self._controls())), sorted(entries))

    @property
    def entries(self) -> KnownEntries:
        """Return the known entry VMs."""
        return self._entries

    def publish(self, version: int, document: dict) -> None:
        """Send a configuration to all followers that lack it."""
        for session in list(self._sessions):
            self._offer(session, Held(version, document))

    def _offer(self, session: Session, held: Held) -> None:
        """Send a configuration after this hub's delay, unless the follower has it by then.

        If six hubs sent a configuration of 100 KB at once, the copies would fill a follower's
        10 Mbit/s link for half a second at every change. A follower without a configuration cannot
        serve its callers, so all hubs send to it at once.
        """
        if session.version >= held.version:
            return
        turn = self._turn(session.follow) if session.version else 0
        if not turn:
            self._bring(session, held)
            return
        seconds = min(turn * TURN_SECONDS, LAST_TURN_SECONDS)
        session.nursery.start_soon(self._bring_later, session, seconds)

    async def _bring_later(self, session: Session, seconds: float) -> None:
        """Send the newest configuration after a delay, if the follower still lacks it.

        The newest is read after the delay: in a series of changes, each configuration is replaced
        by the next one before its delay ends.
        """
        await trio.sleep(seconds)
        self._bring(session, self._held())

    def _bring(self, session: Session, held: Held) -> None:
        if held.document is None or held.version <= max(session.version, session.brought):
            return
        session.brought = held.version
        self._send_frame(session, self._publication(held))

    def _publication(self, held: Held) -> bytes:
        """Return the frame of a configuration, encoded once for all followers."""
        version, frame = self._published
        if version != held.version:
            frame = frame_of(self._key, Publication(held.version, held.document))
            self._published = (held.version, frame)
        return frame

    def _turn(self, follow: Follow) -> int:
        """Return this hub's rank in the order in which hubs send to a follower.

        All hubs compute the same order. Hubs in the follower's own failure domain come first: with
        rendezvous hashing alone over five domains, 156 of 195 copies of a configuration cross
        between domains.
        """
        ranked = rendezvous_order(follow.host, self._controls())
        ranked.sort(key=lambda host: self._control_domains.get(host) != follow.failure_domain)
        return ranked.index(self._host) if self._host in ranked else len(ranked)

    def tell(self, announcements: list[Announcement]) -> int:
        """Send announcements to all followers; return the number that they will confirm.

        Queued announcements are sent first, so that a server's leave cannot overtake its join.
        """
        told, self._untold = [*self._untold, *announcements], []
        self._number += 1
        self._send_all(News(self._number, told))
        return self._number

    def tell_soon(self, announcements: list[Announcement]) -> None:
        """Queue announcements of new servers, to be sent to all followers in one batch.

        No caller waits for them, and after a restart of all VMs all servers register at once.
        """
        self._untold += announcements
        self._arrivals.set()

    async def _tell_arrivals_forever(self) -> None:
        while True:
            await self._arrivals.wait()
            await trio.sleep(ARRIVALS_SECONDS)
            self._arrivals = trio.Event()
            if self._untold:
                self.tell([])

    def recall(self, announcements: list[Announcement]) -> None:
        """Send the servers that this VM has restored from disk to all followers."""
        self._send_all(Remembered(announcements))

    def hear_crashes(self, news: CrashNews, teller: Session | None = None) -> None:
        """Apply a VM's crash reports and forward those that are new to all other followers."""
        fresh = self._crashes.hear(news, _now_ms())
        if not any(fresh):
            return
        frame = frame_of(self._key, fresh)
        for session in self._sessions - {teller}:
            self._send_frame(session, frame)

    def renew(self, announcement: Announcement) -> None:
        """Add a server to the next batch of renewals."""
        self._renewed[announcement.server] = announcement

    @property
    def followers(self) -> int:
        """Return the number of connected followers."""
        return len(self._sessions)

    async def confirmed(self, number: int, seconds: float) -> int:
        """Wait up to ``seconds`` for all followers to confirm; return how many have not."""
        with trio.move_on_after(seconds):
            while self._missing(number):
                await self._confirmation.wait()
        return self._missing(number)

    def _missing(self, number: int) -> int:
        return sum(session.confirmed < number for session in self._sessions)

    async def _flush_forever(self) -> None:
        """Send batched renewals, or an empty batch as a heartbeat, and expire old state."""
        told_at = 0.0
        while True:
            await trio.sleep(FLUSH_SECONDS)
            due = trio.current_time() - told_at > ROSTER_SECONDS
            if self._tell_roster(due):
                told_at = trio.current_time()
            self._entries.forget(trio.current_time())
            self._send_renewals()
            self._crashes.forget(_now_ms())
            self._counters.gauge("feed.followers", len(self._sessions))

    async def _tell_joins_forever(self) -> None:
        """Send the roster soon after a join: entry VMs choose engines by their peers' reports."""
        while True:
            await self._joins.wait()
            await trio.sleep(JOINS_SECONDS)
            self._joins = trio.Event()
            self._tell_roster(due=False)

    def _tell_roster(self, due: bool) -> bool:
        """Send the roster to all followers if it changed or is due; return whether it was sent."""
        roster = self._current_roster()
        if roster == self._last_roster and not due:
            return False
        self._last_roster = roster
        self._send_all(roster)
        return True

    def _send_renewals(self) -> None:
        """Send each follower the renewals of the servers that it tracks."""
        renewed, self._renewed = list(self._renewed.values()), {}
        large = self._large_services()
        frames: dict[str | None, bytes] = {}
        for session in list(self._sessions):
            follow = session.follow
            # Control VMs forward renewals to their own followers, so they receive all.
            domain = follow.failure_domain if follow.peer_port and large else None
            if domain not in frames:
                frames[domain] = frame_of(self._key, _renewals_for(domain, renewed, large))
            self._send_frame(session, frames[domain])

    def _large_services(self) -> set[str]:
        """Return the services whose renewals are sent only within the failure domain."""
        entries = sum(bool(session.follow.peer_port) for session in self._sessions)
        if entries <= MOST_VMS:
            return set()
        sizes = Counter(item.announcement.service for item in self._directory.all_known())
        return {service for service, size in sizes.items() if size > FEW_SERVERS}


def _peer_of(follow: Follow) -> EntryPeer:
    return EntryPeer(follow.host, follow.peer_port, follow.failure_domain)


def _now_ms() -> float:
    return trio.current_time() * 1000


def _renewals_for(domain: str | None, renewed: list[Announcement], large: set[str]) -> Renewals:
    """Return the renewals for followers in a failure domain, or all if ``domain`` is None."""
    return Renewals(
        [
            (said.server, said.incarnation, said.seq)
            for said in renewed
            if domain is None or said.failure_domain == domain or said.service not in large
        ]
    )
