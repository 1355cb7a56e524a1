"""The feed server of a control VM: pushes its state, and each change, to all followers."""

from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

import trio

from siskinspoke.control.replica_task import now_ms
from siskinspoke.coordination.cells import MAX_CELL_VMS
from siskinspoke.coordination.connection_table import TrackedConnection
from siskinspoke.coordination.crash_watch import CrashWatch
from siskinspoke.coordination.directory import Directory
from siskinspoke.coordination.known_entries import KnownEntries
from siskinspoke.coordination.memory_plan import REGISTRY_SHARES, memory_plan
from siskinspoke.coordination.watchers import rendezvous_order
from siskinspoke.core.channels import receive_queued
from siskinspoke.core.counters import Counters
from siskinspoke.core.decisions import DecisionLog
from siskinspoke.protocol.announcements import Announcement
from siskinspoke.protocol.crashes import CrashNews
from siskinspoke.protocol.evacuations import EvacuationsHeld, EvacuationState
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
from siskinspoke.transport.client_resources import (
    ClientResources,
    client_resources,
    serve_connections,
)
from siskinspoke.transport.frames import (
    FrameReader,
    decode_frame,
    encode_frame,
    receive_frames,
    send_frames,
)
from siskinspoke.transport.sockets import set_socket_options

# Followers answer each batch of renewals. One that has not answered for three intervals is dropped,
# so that confirmations no longer wait for it.
FOLLOWER_TIMEOUT_SECONDS = 1.5
# How long renewals are batched: a third of the usual announcement interval.
RENEWAL_INTERVAL_SECONDS = 0.45
# Rosters are repeated because followers drop VMs that no recent roster lists.
ROSTER_INTERVAL_SECONDS = 5.0
# Followers that connect together, as after a restart of all VMs, share one roster.
JOIN_BATCH_SECONDS = 0.05
# New servers are announced in batches, because each message takes a write for every follower.
NEW_SERVER_BATCH_SECONDS = 0.1
OUTBOX_FRAMES = 1_024
# Every entry VM receives the renewals of services with at most this many servers. If the fleet is
# divided into cells, it receives those of larger services for its own failure domain only, because
# it tracks no other servers of theirs.
SMALL_SERVICE_SERVERS = 24
# Hubs send a configuration to a follower one after another, this far apart: the network latency and
# the transfer of 100 KB on a small VM's link. If five of six hubs are down, the last one sends
# after 0.75 s; a change must be in force within 2 s.
PUBLICATION_STAGGER_SECONDS = 0.15
MAX_PUBLICATION_DELAY_SECONDS = 0.75


class ConfigurationVersion(NamedTuple):
    """A configuration and its version; ``document`` is None if there is none."""

    version: int
    document: dict | None


class Session:
    """The connection of one follower.

    ``confirmed_version`` is the latest configuration version that the follower has confirmed,
    ``sent_version`` the latest one sent over this connection, and ``confirmed_evacuations`` the
    revision of the evacuations that the follower obeys.
    """

    def __init__(self, follow: Follow):
        self.follow = follow
        self.confirmed_version = follow.version
        self.sent_version = 0
        self.confirmed_number = 0
        self.confirmed_evacuations = 0
        self.outbox, self.queued_frames = trio.open_memory_channel[bytes](OUTBOX_FRAMES)
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
        current_configuration: Callable[[], ConfigurationVersion],
        key: bytes,
        counters: Counters,
        log: DecisionLog,
        current_evacuations: Callable[[], EvacuationState] = lambda: EvacuationState(0, []),
        resources: ClientResources | None = None,
    ):
        self._resources = resources or client_resources(
            memory_plan(REGISTRY_SHARES), counters, log.note
        )
        self._host = host
        self._failure_domain = failure_domain
        self._directory = directory
        self._controls = controls
        self._current_configuration = current_configuration
        self._current_evacuations = current_evacuations
        self._key = key
        self._counters = counters
        self._log = log
        self._sessions: set[Session] = set()
        self._last_number = 0
        self._renewed: dict[str, Announcement] = {}
        self._control_domains = {host: failure_domain}
        self._confirmation_changed = trio.Event()
        self._entries = KnownEntries()
        self._last_roster: Roster | None = None
        self._follower_joined = trio.Event()
        self._encoded_publication: tuple[int, bytes] = (0, b"")
        self._queued_announcements: list[Announcement] = []
        self._announcements_ready = trio.Event()
        # A control VM sends no requests to servers, so it has no crash reports of its own.
        self._crashes = CrashWatch(lambda news: None, counters, log)

    async def serve(self, host: str, port: int, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve followers until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_periodically)
            nursery.start_soon(self._send_roster_changes)
            nursery.start_soon(self._send_queued_announcements)
            await nursery.start(self._listen, host, port)
            task_status.started()

    async def _listen(self, host: str, port: int, task_status=trio.TASK_STATUS_IGNORED) -> None:
        await serve_connections(self._resources, self._serve_connection, host, port, task_status)

    async def _serve_connection(
        self, stream: trio.SocketStream, tracked: TrackedConnection
    ) -> None:
        session = None
        reader = FrameReader(stream, tracked, self._resources.arrivals)
        try:
            set_socket_options(stream.socket)
            async for frame in reader.frames(FOLLOWER_TIMEOUT_SECONDS):
                opened = decode_frame(self._key, frame)
                if opened.is_error():
                    self._counters.count(f"feed.refused.{opened.error}")
                    return
                reader.accept_key()
                match opened.ok:
                    case Follow() as follow if session is None:
                        session = Session(follow)
                        async with trio.open_nursery() as nursery:
                            session.scope = nursery.cancel_scope
                            session.nursery = nursery
                            nursery.start_soon(self._send_queued_frames, session, stream)
                            self._start_session(session)
                            await self._process_messages(session, stream)
                            nursery.cancel_scope.cancel()
                        return
                    case _:
                        return
        except (
            OSError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            trio.TooSlowError,
        ):
            self._counters.count("feed.broken")
        finally:
            self._end_session(session)

    async def _process_messages(self, session: Session, stream: trio.SocketStream) -> None:
        """Process a follower's messages until it disconnects or times out."""
        try:
            async for frame in receive_frames(stream, FOLLOWER_TIMEOUT_SECONDS):
                opened = decode_frame(self._key, frame)
                match opened.default_value(None):
                    case Receipt(number=number):
                        if number > session.confirmed_number:
                            session.confirmed_number = number
                            self._notify_waiters()
                    case Holds(version=version):
                        session.confirmed_version = max(session.confirmed_version, version)
                    case EvacuationsHeld(revision=revision):
                        session.confirmed_evacuations = revision
                    case CrashNews() as news:
                        self.handle_crash_news(news, session)
                    case _:
                        self._counters.count("feed.refused.kind")
                        return
        except (OSError, trio.BrokenResourceError, trio.TooSlowError):
            self._counters.count("feed.broken")

    async def _send_queued_frames(self, session: Session, stream: trio.SocketStream) -> None:
        try:
            async for frame in session.queued_frames:
                frames = [frame, *receive_queued(session.queued_frames, OUTBOX_FRAMES - 1)]
                sent = await send_frames(stream, frames)
                self._counters.count("feed.bytes_sent", sent)
        except (OSError, trio.BrokenResourceError, trio.TooSlowError):
            self._counters.count("feed.broken")
            session.scope.cancel()

    def _start_session(self, session: Session) -> None:
        """Send the whole state to a new follower, including servers that have left."""
        self._sessions.add(session)
        follow = session.follow
        if follow.peer_port:
            self._entries.connected(_entry_peer(follow))
        else:
            self._control_domains[follow.host] = follow.failure_domain
        self._follower_joined.set()
        self._log.note("follower.joined", follower=follow.name, host=follow.host)
        self._send(session, self._current_roster())
        # Before the configuration: a VM that can serve must know the evacuations already.
        self._send_evacuations(session, self._current_evacuations())
        configuration = self._current_configuration()
        if configuration.document is not None:
            self._schedule_publication(session, configuration)
        records = self._directory.all_records()
        restored = [record.announcement for record in records if record.is_restored]
        if restored:
            self._send(session, Remembered(restored))
        # The directory is kept on the registry's clock.
        now = now_ms()
        registered = [record.announcement_at(now) for record in records if not record.is_restored]
        self._send(session, News(self._last_number, registered))
        for news in self._crashes.all_reports(_now_ms()):
            self._send(session, news)

    def _end_session(self, session: Session | None) -> None:
        if session is None or session not in self._sessions:
            return
        self._sessions.discard(session)
        if session.follow.peer_port:
            self._entries.disconnected(_entry_peer(session.follow), trio.current_time())
        self._log.note("follower.lost", follower=session.follow.name, host=session.follow.host)
        self._notify_waiters()

    def _notify_waiters(self) -> None:
        event, self._confirmation_changed = self._confirmation_changed, trio.Event()
        event.set()

    def _send(self, session: Session, item: Any) -> None:
        self._send_frame(session, encode_frame(self._key, item))

    def _send_frame(self, session: Session, frame: bytes) -> None:
        """Queue a frame; if the queue is full, disconnect the follower so that it resyncs."""
        try:
            session.outbox.send_nowait(frame)
        except (trio.WouldBlock, trio.BrokenResourceError):
            self._counters.count("feed.overrun")
            session.scope.cancel()

    def _send_all(self, item: Any) -> None:
        frame = encode_frame(self._key, item)
        for session in list(self._sessions):
            self._send_frame(session, frame)

    def _current_roster(self) -> Roster:
        entries = self._entries.announced(trio.current_time())
        # A control VM that follows this one may not be a member of the group yet.
        newcomers = {item.follow.host for item in self._sessions if not item.follow.peer_port}
        return Roster(sorted(newcomers.union(self._controls())), sorted(entries))

    @property
    def entries(self) -> KnownEntries:
        """Return the known entry VMs."""
        return self._entries

    def publish_evacuations(self) -> None:
        """Send the evacuations to all entry VMs."""
        state = self._current_evacuations()
        for session in list(self._sessions):
            self._send_evacuations(session, state)

    def _send_evacuations(self, session: Session, state: EvacuationState) -> None:
        """Send the evacuations to an entry VM, unless there has never been one.

        Entry VMs of builds that do not know the message close the connection that carries it.
        Other control VMs get the orders from the replicated log.
        """
        if state.revision and session.follow.peer_port:
            self._send(session, state)

    @property
    def confirmed_evacuations(self) -> dict[str, int]:
        """Return the revision of the evacuations that each connected entry VM has confirmed."""
        confirmed: dict[str, int] = {}
        for session in self._sessions:
            if session.follow.peer_port:
                name = session.follow.name
                confirmed[name] = max(confirmed.get(name, 0), session.confirmed_evacuations)
        return confirmed

    @property
    def failure_domains(self) -> frozenset[str]:
        """Return the failure domains of the VMs that follow this one or recently did."""
        entries = self._entries.stored(trio.current_time())
        return frozenset(self._control_domains.values()) | {item.failure_domain for item in entries}

    def publish(self, version: int, document: dict) -> None:
        """Send a configuration to all followers that lack it."""
        for session in list(self._sessions):
            self._schedule_publication(session, ConfigurationVersion(version, document))

    def _schedule_publication(self, session: Session, configuration: ConfigurationVersion) -> None:
        """Send a configuration after this hub's delay, unless the follower has it by then.

        If six hubs sent a configuration of 100 KB at once, the copies would fill a follower's
        10 Mbit/s link for half a second at every change. A follower without a configuration cannot
        serve its callers, so all hubs send to it at once.
        """
        if session.confirmed_version >= configuration.version:
            return
        rank = self._publication_rank(session.follow) if session.confirmed_version else 0
        if not rank:
            self._send_publication(session, configuration)
            return
        seconds = min(rank * PUBLICATION_STAGGER_SECONDS, MAX_PUBLICATION_DELAY_SECONDS)
        session.nursery.start_soon(self._send_publication_later, session, seconds)

    async def _send_publication_later(self, session: Session, seconds: float) -> None:
        """Send the newest configuration after a delay, if the follower still lacks it.

        The newest is read after the delay: in a series of changes, each configuration is replaced
        by the next one before its delay ends.
        """
        await trio.sleep(seconds)
        self._send_publication(session, self._current_configuration())

    def _send_publication(self, session: Session, configuration: ConfigurationVersion) -> None:
        if configuration.document is None or configuration.version <= max(
            session.confirmed_version, session.sent_version
        ):
            return
        session.sent_version = configuration.version
        self._send_frame(session, self._encode_publication(configuration))

    def _encode_publication(self, configuration: ConfigurationVersion) -> bytes:
        """Return the frame of a configuration, encoded once for all followers."""
        version, frame = self._encoded_publication
        if version != configuration.version:
            frame = encode_frame(
                self._key, Publication(configuration.version, configuration.document)
            )
            self._encoded_publication = (configuration.version, frame)
        return frame

    def _publication_rank(self, follow: Follow) -> int:
        """Return this hub's rank in the order in which hubs send to a follower.

        All hubs compute the same order. Hubs in the follower's own failure domain come first: with
        rendezvous hashing alone over five domains, 156 of 195 copies of a configuration cross
        between domains.
        """
        ranked = rendezvous_order(follow.host, self._controls())
        ranked.sort(key=lambda host: self._control_domains.get(host) != follow.failure_domain)
        return ranked.index(self._host) if self._host in ranked else len(ranked)

    def broadcast(self, announcements: list[Announcement]) -> int:
        """Send announcements to all followers; return the number that they will confirm.

        Queued announcements are sent first, so that a server's leave cannot overtake its join.
        """
        batch, self._queued_announcements = [*self._queued_announcements, *announcements], []
        self._last_number += 1
        self._send_all(News(self._last_number, batch))
        return self._last_number

    def queue_broadcast(self, announcements: list[Announcement]) -> None:
        """Queue announcements of new servers, to be sent to all followers in one batch.

        No caller waits for them, and after a restart of all VMs all servers register at once.
        """
        self._queued_announcements += announcements
        self._announcements_ready.set()

    async def _send_queued_announcements(self) -> None:
        while True:
            await self._announcements_ready.wait()
            await trio.sleep(NEW_SERVER_BATCH_SECONDS)
            self._announcements_ready = trio.Event()
            if self._queued_announcements:
                self.broadcast([])

    def broadcast_restored(self, announcements: list[Announcement]) -> None:
        """Send the servers that this VM has restored from disk to all followers."""
        self._send_all(Remembered(announcements))

    def handle_crash_news(self, news: CrashNews, sender: Session | None = None) -> None:
        """Apply a VM's crash reports and forward those that are new to all other followers."""
        new = self._crashes.apply(news, _now_ms())
        if not any(new):
            return
        frame = encode_frame(self._key, new)
        for session in self._sessions - {sender}:
            self._send_frame(session, frame)

    def queue_renewal(self, announcement: Announcement) -> None:
        """Add a server to the next batch of renewals."""
        self._renewed[announcement.server] = announcement

    @property
    def follower_count(self) -> int:
        """Return the number of connected followers."""
        return len(self._sessions)

    async def wait_until_confirmed(self, number: int, seconds: float) -> int:
        """Wait up to ``seconds`` for all followers to confirm; return how many have not."""
        with trio.move_on_after(seconds):
            while self._unconfirmed_count(number):
                await self._confirmation_changed.wait()
        return self._unconfirmed_count(number)

    def _unconfirmed_count(self, number: int) -> int:
        return sum(session.confirmed_number < number for session in self._sessions)

    async def _send_periodically(self) -> None:
        """Send batched renewals, or an empty batch as a heartbeat, and expire old state."""
        roster_sent_at = 0.0
        while True:
            await trio.sleep(RENEWAL_INTERVAL_SECONDS)
            roster_due = trio.current_time() - roster_sent_at > ROSTER_INTERVAL_SECONDS
            if self._broadcast_roster(roster_due):
                roster_sent_at = trio.current_time()
            self._entries.prune(trio.current_time())
            self._send_renewals()
            self._crashes.prune(_now_ms())
            self._counters.gauge("feed.followers", len(self._sessions))

    async def _send_roster_changes(self) -> None:
        """Send the roster soon after a join: entry VMs choose engines by their peers' reports."""
        while True:
            await self._follower_joined.wait()
            await trio.sleep(JOIN_BATCH_SECONDS)
            self._follower_joined = trio.Event()
            self._broadcast_roster(due=False)

    def _broadcast_roster(self, due: bool) -> bool:
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
        large_services = self._large_services()
        frames: dict[str | None, bytes] = {}
        for session in list(self._sessions):
            follow = session.follow
            # Control VMs forward renewals to their own followers, so they receive all.
            domain = follow.failure_domain if follow.peer_port and large_services else None
            if domain not in frames:
                frames[domain] = encode_frame(
                    self._key, _make_renewals(domain, renewed, large_services)
                )
            self._send_frame(session, frames[domain])

    def _large_services(self) -> set[str]:
        """Return the services whose renewals are sent only within the failure domain."""
        entries = sum(bool(session.follow.peer_port) for session in self._sessions)
        if entries <= MAX_CELL_VMS:
            return set()
        sizes = Counter(item.announcement.service for item in self._directory.all_records())
        return {service for service, size in sizes.items() if size > SMALL_SERVICE_SERVERS}


def _entry_peer(follow: Follow) -> EntryPeer:
    return EntryPeer(follow.host, follow.peer_port, follow.failure_domain)


def _now_ms() -> float:
    return trio.current_time() * 1000


def _make_renewals(
    domain: str | None, announcements: list[Announcement], large_services: set[str]
) -> Renewals:
    """Return the renewals for followers in a failure domain, or all if ``domain`` is None."""
    return Renewals(
        [
            (announcement.server, announcement.incarnation, announcement.seq)
            for announcement in announcements
            if domain is None
            or announcement.failure_domain == domain
            or announcement.service not in large_services
        ]
    )
