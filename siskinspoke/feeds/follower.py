"""Feed clients: one connection to each control VM, which seeds and rosters name."""

from collections.abc import Callable
from typing import NamedTuple

import trio

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
from siskinspoke.transport.frames import decode_frame, encode_frame, receive_frames, send_frames
from siskinspoke.transport.sockets import set_socket_options

# A connection within a site takes a few milliseconds; a VM that does not answer may not be powered
# on yet. After a restart of all VMs, callers wait until the first control VM is connected.
CONNECT_TIMEOUT_SECONDS = 0.12
# A hub sends something every 0.45 s; after three such intervals of silence the connection counts as
# dead. That leaves time to reconnect within the 2 s in which a change must be in force.
HUB_TIMEOUT_SECONDS = 1.35
# The delay between connection attempts grows exponentially, to five attempts a second for a control
# VM that stays unreachable.
MIN_RETRY_SECONDS = 0.04
MAX_RETRY_SECONDS = 0.2
RETRY_BACKOFF_FACTOR = 1.3
# New control VMs in rosters are followed at once; removed ones are found at this interval.
REFRESH_SECONDS = 1.0
# How long an entry VM counts as a peer after it was last on a roster or heard from.
PEER_EXPIRY_SECONDS = 20.0
# How long a control VM is still followed after the last roster that named it.
CONTROL_EXPIRY_SECONDS = 10.0
# Capacity of the queue of crash reports to one hub; a fleet has at most a few reports a second.
MAX_QUEUED_CRASH_NEWS = 256


class FeedHandlers(NamedTuple):
    """Handlers of messages from hubs, and sources of what this VM sends to them.

    The sources return the version of the current configuration, the crash reports of this VM and
    the revision of the evacuations that it obeys.
    """

    on_publication: Callable[[int, dict], None]
    on_news: Callable[[list[Announcement]], None]
    on_renewals: Callable[[list[tuple[str, int, int]]], None]
    on_remembered: Callable[[list[Announcement]], None]
    current_version: Callable[[], int]
    on_crashes: Callable[[CrashNews], None] = lambda news: None
    own_crash_reports: Callable[[], list[CrashNews]] = list
    on_evacuations: Callable[[EvacuationState], None] = lambda state: None
    evacuation_revision: Callable[[], int] = lambda: 0


class FollowerIdentity(NamedTuple):
    """The identity that a follower sends to hubs."""

    name: str
    host: str
    peer_port: int
    failure_domain: str = ""


def retry_delay(failures: int) -> float:
    """Return the delay in seconds after a number of consecutive failed connection attempts."""
    return min(MAX_RETRY_SECONDS, MIN_RETRY_SECONDS * RETRY_BACKOFF_FACTOR ** min(failures, 20))


class FeedClients:
    """Keep a connection to each known control VM."""

    def __init__(
        self,
        identity: FollowerIdentity,
        seeds: tuple[str, ...],
        port: int,
        key: bytes,
        handlers: FeedHandlers,
        counters: Counters,
        log: DecisionLog,
    ):
        self._identity = identity
        self._seeds = seeds
        self._port = port
        self._key = key
        self._handlers = handlers
        self._counters = counters
        self._log = log
        self._rosters: dict[str, Roster] = {}
        self._control_up_at: dict[str, float] = {}
        self._named_at: dict[str, float] = {}
        self._last_connected_at: dict[str, float] = {}
        self._connection_scopes: dict[str, trio.CancelScope] = {}
        self._connected: set[str] = set()
        self._peers: dict[EntryPeer, float] = {}
        self._peer_changes = 0
        self._version_changed = trio.Event()
        self._refresh_needed = trio.Event()
        self._outboxes: set[trio.MemorySendChannel[CrashNews]] = set()

    @property
    def connected_count(self) -> int:
        """Return the number of control VMs with a working connection."""
        return len(self._connected)

    @property
    def controls(self) -> tuple[str, ...]:
        """Return the hosts of all control VMs from seeds, rosters and ControlUp messages."""
        named = {host for roster in self._rosters.values() for host in roster.controls}
        return tuple(sorted(named | set(self._seeds) | self._control_up_at.keys()))

    def handle_control_up(self, host: str) -> None:
        """Follow a control VM that has sent ControlUp; rosters name it while it is a member."""
        is_new = host not in self.controls
        self._control_up_at[host] = trio.current_time()
        if is_new:
            self._refresh_needed.set()

    @property
    def peer_changes(self) -> int:
        """Return how many times an entry VM has been added or removed."""
        return self._peer_changes

    @property
    def peers(self) -> list[EntryPeer]:
        """Return the other known entry VMs.

        An entry VM that is partitioned from the control VMs is on no roster but keeps serving.
        Without reports from its peers it would count their finished requests as running.
        """
        now = trio.current_time()
        return [
            peer
            for peer, last_seen_at in self._peers.items()
            if now - last_seen_at < PEER_EXPIRY_SECONDS
        ]

    def record_peer(self, host: str, failure_domain: str) -> None:
        """Record that a message from an entry VM has arrived."""
        self._add_peer(EntryPeer(host, self._identity.peer_port, failure_domain))

    def _add_peer(self, peer: EntryPeer) -> None:
        if peer.host == self._identity.host:
            return
        self._peer_changes += peer not in self._peers
        self._peers[peer] = trio.current_time()

    def prune_peers(self) -> None:
        """Remove the entry VMs that no roster or message has named for PEER_EXPIRY_SECONDS."""
        now = trio.current_time()
        for peer, at in list(self._peers.items()):
            if now - at >= PEER_EXPIRY_SECONDS:
                del self._peers[peer]
                self._peer_changes += 1

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds after a change of the settings."""
        self._seeds = seeds
        self._refresh_needed.set()

    async def run(self) -> None:
        """Follow all known control VMs until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                while True:
                    self._refresh_needed = trio.Event()
                    self._refresh(nursery)
                    with trio.move_on_after(REFRESH_SECONDS):
                        await self._refresh_needed.wait()
        finally:
            # The connections ended with the nursery; a restarted task must not count them as open.
            self._connection_scopes.clear()
            for host in list(self._connected):
                self._set_disconnected(host)

    def _refresh(self, nursery: trio.Nursery) -> None:
        now = trio.current_time()
        self._last_connected_at |= dict.fromkeys(self._connected, now)
        for host in list(self._rosters):
            # Rosters expire only while another hub is connected; its roster names all members.
            if (
                self._connected
                and now - self._last_connected_at.get(host, 0.0) > CONTROL_EXPIRY_SECONDS
            ):
                del self._rosters[host]
        for host, at in list(self._control_up_at.items()):
            if now - at > CONTROL_EXPIRY_SECONDS:
                del self._control_up_at[host]
        for host in self.controls:
            self._named_at[host] = now
            if host != self._identity.host and host not in self._connection_scopes:
                self._connection_scopes[host] = trio.CancelScope()
                nursery.start_soon(self._follow_forever, host, self._connection_scopes[host])
        for host, scope in list(self._connection_scopes.items()):
            if now - self._named_at[host] > CONTROL_EXPIRY_SECONDS:
                scope.cancel()
                del self._connection_scopes[host]

    async def _follow_forever(self, host: str, scope: trio.CancelScope) -> None:
        failures = 0
        with scope:
            while True:
                try:
                    await self._follow(host)
                except (OSError, trio.BrokenResourceError, trio.TooSlowError):
                    self._counters.count("feed.broken")
                failures = 0 if host in self._connected else failures + 1
                self._set_disconnected(host)
                await trio.sleep(retry_delay(failures))

    def _set_disconnected(self, host: str) -> None:
        # The roster is kept: the control VMs that it names may be the only ones reachable later.
        if host in self._connected:
            self._connected.discard(host)
            self._log.note("control.lost", control=host, hears=len(self._connected))

    async def _follow(self, host: str) -> None:
        with trio.fail_after(CONNECT_TIMEOUT_SECONDS):
            stream = await trio.open_tcp_stream(host, self._port, local_address=self._identity.host)
        async with stream:
            set_socket_options(stream.socket)
            follow = Follow(
                self._identity.name,
                self._identity.host,
                self._identity.peer_port,
                self._handlers.current_version(),
                self._identity.failure_domain,
            )
            await self._send(stream, follow)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._report_versions, stream)
                nursery.start_soon(self._send_queued_crash_news, stream)
                await self._listen(host, stream)
                nursery.cancel_scope.cancel()

    async def _listen(self, host: str, stream: trio.SocketStream) -> None:
        try:
            async for frame in receive_frames(stream, HUB_TIMEOUT_SECONDS):
                await self._handle_frame(host, stream, frame)
        except (OSError, trio.BrokenResourceError, trio.TooSlowError):
            self._counters.count("feed.broken")

    async def _report_versions(self, stream: trio.SocketStream) -> None:
        """Report each new configuration version to a hub, so that it need not send it as well."""
        while True:
            await self._version_changed.wait()
            try:
                await self._send_when_idle(stream, Holds(self._handlers.current_version()))
            except (OSError, trio.BrokenResourceError, trio.TooSlowError):
                # The task that reads from the connection handles the failure.
                self._counters.count("feed.broken")
                return

    def send_crash_news(self, news: CrashNews) -> None:
        """Send crash reports of this VM to all hubs, which forward them to all other VMs."""
        for outbox in self._outboxes:
            try:
                outbox.send_nowait(news)
            except trio.WouldBlock:
                self._counters.count("feed.overrun")

    async def _send_queued_crash_news(self, stream: trio.SocketStream) -> None:
        """Send crash reports to a hub, starting with those lost in a restart or partition."""
        outbox, pending = trio.open_memory_channel[CrashNews](MAX_QUEUED_CRASH_NEWS)
        self._outboxes.add(outbox)
        try:
            for news in self._handlers.own_crash_reports():
                await self._send_when_idle(stream, news)
            async for news in pending:
                await self._send_when_idle(stream, news)
        except (OSError, trio.BrokenResourceError, trio.TooSlowError):
            # The task that reads from the connection handles the failure.
            self._counters.count("feed.broken")
        finally:
            self._outboxes.discard(outbox)

    async def _send(self, stream: trio.SocketStream, item: NamedTuple) -> None:
        await send_frames(stream, [encode_frame(self._key, item)])

    async def _handle_frame(self, host: str, stream: trio.SocketStream, frame: bytes) -> None:
        opened = decode_frame(self._key, frame)
        if opened.is_error():
            self._counters.count(f"feed.refused.{opened.error}")
            raise trio.BrokenResourceError(f"invalid frame from hub: {opened.error}")
        if host not in self._connected:
            self._connected.add(host)
            self._log.note("control.heard", control=host, hears=len(self._connected))
        match opened.ok:
            case Roster() as roster:
                if self._rosters.get(host) != roster:
                    self._refresh_needed.set()
                self._rosters[host] = roster
                for peer in roster.entries:
                    self._add_peer(peer)
            case Publication(version=version, document=document):
                self._handlers.on_publication(version, document)
                event, self._version_changed = self._version_changed, trio.Event()
                event.set()
            case Renewals(items=items):
                self._handlers.on_renewals(items)
                # Serves as a heartbeat without a timer of its own.
                await self._send_when_idle(stream, Receipt(0))
            case Remembered(announcements=announcements):
                self._handlers.on_remembered(announcements)
            case CrashNews() as news:
                self._handlers.on_crashes(news)
            case EvacuationState() as state:
                self._handlers.on_evacuations(state)
                held = EvacuationsHeld(self._handlers.evacuation_revision())
                await self._send_when_idle(stream, held)
            case News(number=number, announcements=announcements):
                self._handlers.on_news(announcements)
                await self._confirm(stream, number)

    async def _confirm(self, stream: trio.SocketStream, number: int) -> None:
        await self._send_when_idle(stream, Receipt(number))

    async def _send_when_idle(self, stream: trio.SocketStream, item: NamedTuple) -> None:
        """Send a message, waiting while another task writes to the stream."""
        while True:
            try:
                await self._send(stream, item)
                return
            except trio.BusyResourceError:
                await trio.sleep(0.001)
