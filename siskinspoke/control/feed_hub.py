"""The hub of a control VM: it tells every follower what this VM knows, as it learns it."""

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

# Followers answer each flush; one that has missed three is dropped, so that a confirmation waits
# for it no longer.
SILENT_SECONDS = 1.5
# Renewals are gathered for this long: a third of the usual time between announcements.
FLUSH_SECONDS = 0.45
# A roster is said again after this time: followers forget whom nobody names.
ROSTER_SECONDS = 5.0
# Followers that come together, as after a loss of all VMs, are named together.
JOINS_SECONDS = 0.05
# Servers that come are told of together: each message costs a hub a write for every follower.
ARRIVALS_SECONDS = 0.1
OUTBOX_FRAMES = 1_024
# Every entry VM hears the renewals of a service with up to so many servers, wherever they are.  Of
# a larger one, in a fleet that is parted into cells, it hears those of its own failure domain,
# which are all that its books hold.
FEW_SERVERS = 24
# Each hub gives the one before it this time to bring a follower a configuration: a crossing and
# what 100 KB take on a small VM's link.  With six hubs, five of them lost, the last has its turn
# after 0.75 s, where a change must be in force within 2 s.
TURN_SECONDS = 0.15
LAST_TURN_SECONDS = 0.75


class Held(NamedTuple):
    """A configuration and its number."""

    version: int
    document: dict | None


class Session:
    """One follower's connection.

    ``version`` is the configuration that the follower is known to have, ``brought`` the last one
    that was sent to it here.
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
    """Own the followers' connections."""

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
        # A control VM sends no requests, so it has nothing of its own to tell of crashes.
        self._crashes = CrashWatch(lambda news: None, counters, log)

    async def serve(self, host: str, port: int, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve followers forever."""
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
        """Take in receipts until the follower goes or is silent."""
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
        """Tell a new follower everything, also which servers have left."""
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
        """Queue a frame; a follower whose queue is full must begin anew, or it would miss news."""
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
        # A control VM that follows this one may be too new to be a member.
        newcomers = {item.follow.host for item in self._sessions if not item.follow.peer_port}
        return Roster(sorted(newcomers.union(self._controls())), sorted(entries))

    @property
    def entries(self) -> KnownEntries:
        """Return which entry VMs are known."""
        return self._entries

    def publish(self, version: int, document: dict) -> None:
        """Tell all followers of a configuration."""
        for session in list(self._sessions):
            self._offer(session, Held(version, document))

    def _offer(self, session: Session, held: Held) -> None:
        """Send a configuration to a follower when it is this hub's turn, unless it has it by then.

        A configuration may have 100 KB, and each hub tells each follower: of 88 entry VMs with
        links of 10 Mbit/s each would get six copies of every change, half a second of its link.
        A follower without any is waited for by callers, and gets it from all at once.
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
        """Send the newest configuration after a time, if the follower still lacks it.

        Not the one that was new before: in a storm of changes each would be overtaken in turn.
        """
        await trio.sleep(seconds)
        self._bring(session, self._held())

    def _bring(self, session: Session, held: Held) -> None:
        if held.document is None or held.version <= max(session.version, session.brought):
            return
        session.brought = held.version
        self._send_frame(session, self._publication(held))

    def _publication(self, held: Held) -> bytes:
        """Return the frame of a configuration, made once for all followers."""
        version, frame = self._published
        if version != held.version:
            frame = frame_of(self._key, Publication(held.version, held.document))
            self._published = (held.version, frame)
        return frame

    def _turn(self, follow: Follow) -> int:
        """Return how many hubs come before this one for a follower; all hubs agree on it.

        Those of its own failure domain come first: of 195 copies of a configuration that rendezvous
        hashing alone spreads over five domains, 156 cross from one to another.
        """
        ranked = rendezvous_order(follow.host, self._controls())
        ranked.sort(key=lambda host: self._control_domains.get(host) != follow.failure_domain)
        return ranked.index(self._host) if self._host in ranked else len(ranked)

    def tell(self, announcements: list[Announcement]) -> int:
        """Tell all followers something new; return the number that they will confirm.

        What waits to be told goes first: a leave must not overtake its server's own arrival.
        """
        told, self._untold = [*self._untold, *announcements], []
        self._number += 1
        self._send_all(News(self._number, told))
        return self._number

    def tell_soon(self, announcements: list[Announcement]) -> None:
        """Tell all followers of servers that have come, together with those that come just then.

        Nobody waits for it, and after a loss of all VMs all servers come at once.
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
        """Tell all followers which servers this VM knew before its restart."""
        self._send_all(Remembered(announcements))

    def hear_crashes(self, news: CrashNews, teller: Session | None = None) -> None:
        """Take in what a VM has learned of crashes, and tell all others what of it is news."""
        fresh = self._crashes.hear(news, _now_ms())
        if not any(fresh):
            return
        frame = frame_of(self._key, fresh)
        for session in self._sessions - {teller}:
            self._send_frame(session, frame)

    def renew(self, announcement: Announcement) -> None:
        """Tell all followers soon that a server has spoken again."""
        self._renewed[announcement.server] = announcement

    @property
    def followers(self) -> int:
        """Return how many followers there are."""
        return len(self._sessions)

    async def confirmed(self, number: int, seconds: float) -> int:
        """Wait a bounded time until all followers have confirmed; return how many have not."""
        with trio.move_on_after(seconds):
            while self._missing(number):
                await self._confirmation.wait()
        return self._missing(number)

    def _missing(self, number: int) -> int:
        return sum(session.confirmed < number for session in self._sessions)

    async def _flush_forever(self) -> None:
        """Send renewals together, and a sign of life where there is nothing to say."""
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
        """Name new followers to the others soon: they choose engines by what each other tell."""
        while True:
            await self._joins.wait()
            await trio.sleep(JOINS_SECONDS)
            self._joins = trio.Event()
            self._tell_roster(due=False)

    def _tell_roster(self, due: bool) -> bool:
        """Send the roster to all where it has changed or is due; return whether it was sent."""
        roster = self._current_roster()
        if roster == self._last_roster and not due:
            return False
        self._last_roster = roster
        self._send_all(roster)
        return True

    def _send_renewals(self) -> None:
        """Tell each follower who has spoken again of those that it needs to know of."""
        renewed, self._renewed = list(self._renewed.values()), {}
        large = self._large_services()
        frames: dict[str | None, bytes] = {}
        for session in list(self._sessions):
            follow = session.follow
            # Control VMs pass on what they know to their own followers, so they hear all.
            domain = follow.failure_domain if follow.peer_port and large else None
            if domain not in frames:
                frames[domain] = frame_of(self._key, _renewals_for(domain, renewed, large))
            self._send_frame(session, frames[domain])

    def _large_services(self) -> set[str]:
        """Return the services whose servers are known by failure domain only."""
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
    """Return what followers of a failure domain hear, or those that hear all."""
    return Renewals(
        [
            (said.server, said.incarnation, said.seq)
            for said in renewed
            if domain is None or said.failure_domain == domain or said.service not in large
        ]
    )
