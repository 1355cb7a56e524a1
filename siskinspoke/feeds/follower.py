"""Follow every control VM over one connection each, and find them through seeds and rosters."""

from collections.abc import Callable
from typing import NamedTuple

import trio

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

# A connection within a site takes some milliseconds, and whoever does not answer may have no power
# yet.  After a loss of all VMs callers wait until the first control VM is followed.
CONNECT_SECONDS = 0.12
# A hub speaks every 0.45 s; three times that without a word means that the connection is dead,
# which leaves time to connect anew within the time in which a change must be obeyed (2 s).
SILENT_SECONDS = 1.35
# Pauses between two tries grow from the first to the last, so that a control VM that is gone for
# long costs five tries a second.
FIRST_PAUSE_SECONDS = 0.04
MOST_PAUSE_SECONDS = 0.2
PAUSE_GROWTH = 1.3
# Whom rosters name anew is followed at once; only who is named no more is found by looking.
LOOK_SECONDS = 1.0
# An entry VM is told of work for this long after it was last named or heard.
PEER_SECONDS = 20.0
# A control VM that no roster names any more is followed on for this long.
FORGET_SECONDS = 10.0
# News of crashes that wait for one hub; a fleet has a few a second at the worst.
MOST_CRASH_NEWS = 256


class Listener(NamedTuple):
    """What to do with what a hub says, and what this VM has to say.

    ``version`` tells which configuration is held, ``own_crashes`` what it has seen of crashes.
    """

    on_publication: Callable[[int, dict], None]
    on_news: Callable[[list[Announcement]], None]
    on_renewals: Callable[[list[tuple[str, int, int]]], None]
    on_remembered: Callable[[list[Announcement]], None]
    version: Callable[[], int]
    on_crashes: Callable[[CrashNews], None] = lambda news: None
    own_crashes: Callable[[], list[CrashNews]] = list


class Me(NamedTuple):
    """What a follower says of itself."""

    name: str
    host: str
    peer_port: int
    failure_domain: str = ""


def pause_after(failures: int) -> float:
    """Return how long to wait after so many tries in a row that reached nobody, in seconds."""
    return min(MOST_PAUSE_SECONDS, FIRST_PAUSE_SECONDS * PAUSE_GROWTH ** min(failures, 20))


class FeedSet:
    """Own the connections to all control VMs that are known."""

    def __init__(
        self,
        me: Me,
        seeds: tuple[str, ...],
        port: int,
        key: bytes,
        listener: Listener,
        counters: Counters,
        log: DecisionLog,
    ):
        self._me = me
        self._seeds = seeds
        self._port = port
        self._key = key
        self._listener = listener
        self._counters = counters
        self._log = log
        self._rosters: dict[str, Roster] = {}
        self._called_at: dict[str, float] = {}
        self._named_at: dict[str, float] = {}
        self._heard_at: dict[str, float] = {}
        self._following: dict[str, trio.CancelScope] = {}
        self._connected: set[str] = set()
        self._peers: dict[EntryPeer, float] = {}
        self._peer_changes = 0
        self._installed = trio.Event()
        self._named = trio.Event()
        self._outboxes: set[trio.MemorySendChannel[CrashNews]] = set()

    @property
    def connected(self) -> int:
        """Return how many control VMs this VM hears."""
        return len(self._connected)

    @property
    def controls(self) -> tuple[str, ...]:
        """Return the hosts of all control VMs that seeds or rosters name, or that have called."""
        named = {host for roster in self._rosters.values() for host in roster.controls}
        return tuple(sorted(named | set(self._seeds) | self._called_at.keys()))

    def hear_control(self, host: str) -> None:
        """Follow a control VM that says that it is up; rosters name it as long as it takes part."""
        is_new = host not in self.controls
        self._called_at[host] = trio.current_time()
        if is_new:
            self._named.set()

    @property
    def peer_changes(self) -> int:
        """Return how often an entry VM has come to be known, or was forgotten."""
        return self._peer_changes

    @property
    def peers(self) -> list[EntryPeer]:
        """Return the other entry VMs that are known.

        One that is cut off from the control VMs stands on no roster, but serves on: without
        its peers' news its books would fill with work that has long ended.
        """
        now = trio.current_time()
        return [peer for peer, at in self._peers.items() if now - at < PEER_SECONDS]

    def heard_peer(self, host: str, failure_domain: str) -> None:
        """Note that an entry VM lives, from its own word."""
        self._note_peer(EntryPeer(host, self._me.peer_port, failure_domain))

    def _note_peer(self, peer: EntryPeer) -> None:
        if peer.host == self._me.host:
            return
        self._peer_changes += peer not in self._peers
        self._peers[peer] = trio.current_time()

    def forget_peers(self) -> None:
        """Drop the entry VMs that nobody has named for long."""
        now = trio.current_time()
        for peer, at in list(self._peers.items()):
            if now - at >= PEER_SECONDS:
                del self._peers[peer]
                self._peer_changes += 1

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take over other seeds, as changed settings name them."""
        self._seeds = seeds
        self._named.set()

    async def run(self) -> None:
        """Follow whom seeds and rosters name, forever."""
        try:
            async with trio.open_nursery() as nursery:
                while True:
                    self._named = trio.Event()
                    self._look(nursery)
                    with trio.move_on_after(LOOK_SECONDS):
                        await self._named.wait()
        finally:
            # The followers ended with the nursery; begun anew, this would take them for running.
            self._following.clear()
            for host in list(self._connected):
                self._lost(host)

    def _look(self, nursery: trio.Nursery) -> None:
        now = trio.current_time()
        self._heard_at |= dict.fromkeys(self._connected, now)
        for host in list(self._rosters):
            # Only the roster of a VM that others do without is dropped.
            if self._connected and now - self._heard_at.get(host, 0.0) > FORGET_SECONDS:
                del self._rosters[host]
        for host, at in list(self._called_at.items()):
            if now - at > FORGET_SECONDS:
                del self._called_at[host]
        for host in self.controls:
            self._named_at[host] = now
            if host != self._me.host and host not in self._following:
                self._following[host] = trio.CancelScope()
                nursery.start_soon(self._follow_forever, host, self._following[host])
        for host, scope in list(self._following.items()):
            if now - self._named_at[host] > FORGET_SECONDS:
                scope.cancel()
                del self._following[host]

    async def _follow_forever(self, host: str, scope: trio.CancelScope) -> None:
        failures = 0
        with scope:
            while True:
                try:
                    await self._follow(host)
                except (OSError, trio.BrokenResourceError, trio.TooSlowError):
                    self._counters.count("feed.broken")
                failures = 0 if host in self._connected else failures + 1
                self._lost(host)
                await trio.sleep(pause_after(failures))

    def _lost(self, host: str) -> None:
        # The roster stays: the control VMs that it names may be the only way back.
        if host in self._connected:
            self._connected.discard(host)
            self._log.note("control.lost", control=host, hears=len(self._connected))

    async def _follow(self, host: str) -> None:
        with trio.fail_after(CONNECT_SECONDS):
            stream = await trio.open_tcp_stream(host, self._port, local_address=self._me.host)
        async with stream:
            tune(stream.socket)
            follow = Follow(
                self._me.name,
                self._me.host,
                self._me.peer_port,
                self._listener.version(),
                self._me.failure_domain,
            )
            await self._send(stream, follow)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._tell_versions, stream)
                nursery.start_soon(self._tell_crashes, stream)
                await self._listen(host, stream)
                nursery.cancel_scope.cancel()

    async def _listen(self, host: str, stream: trio.SocketStream) -> None:
        try:
            async for frame in frames_from(stream, SILENT_SECONDS):
                await self._hear(host, stream, frame)
        except (OSError, trio.BrokenResourceError, trio.TooSlowError):
            self._counters.count("feed.broken")

    async def _tell_versions(self, stream: trio.SocketStream) -> None:
        """Tell one hub which configuration this VM has, so that it need not send it as well."""
        while True:
            await self._installed.wait()
            try:
                await self._patiently(stream, Holds(self._listener.version()))
            except (OSError, trio.BrokenResourceError, trio.TooSlowError):
                # The reader of the same connection notices a break by itself.
                self._counters.count("feed.broken")
                return

    def tell_crashes(self, news: CrashNews) -> None:
        """Tell all hubs what this VM has learned of crashes; they tell everybody else."""
        for outbox in self._outboxes:
            try:
                outbox.send_nowait(news)
            except trio.WouldBlock:
                self._counters.count("feed.overrun")

    async def _tell_crashes(self, stream: trio.SocketStream) -> None:
        """Tell one hub of crashes, first what it may have forgotten in a restart or a cut."""
        outbox, pending = trio.open_memory_channel[CrashNews](MOST_CRASH_NEWS)
        self._outboxes.add(outbox)
        try:
            for news in self._listener.own_crashes():
                await self._patiently(stream, news)
            async for news in pending:
                await self._patiently(stream, news)
        except (OSError, trio.BrokenResourceError, trio.TooSlowError):
            # The reader of the same connection notices a break by itself.
            self._counters.count("feed.broken")
        finally:
            self._outboxes.discard(outbox)

    async def _send(self, stream: trio.SocketStream, item: NamedTuple) -> None:
        await send_frames(stream, [frame_of(self._key, item)])

    async def _hear(self, host: str, stream: trio.SocketStream, frame: bytes) -> None:
        opened = open_frame(self._key, frame)
        if opened.is_error():
            self._counters.count(f"feed.refused.{opened.error}")
            raise trio.BrokenResourceError(f"not a hub of ours: {opened.error}")
        if host not in self._connected:
            self._connected.add(host)
            self._log.note("control.heard", control=host, hears=len(self._connected))
        match opened.ok:
            case Roster() as roster:
                if self._rosters.get(host) != roster:
                    self._named.set()
                self._rosters[host] = roster
                for peer in roster.entries:
                    self._note_peer(peer)
            case Publication(version=version, document=document):
                self._listener.on_publication(version, document)
                event, self._installed = self._installed, trio.Event()
                event.set()
            case Renewals(items=items):
                self._listener.on_renewals(items)
                # It shows that this follower lives, in the moment in which it is awake anyway.
                await self._patiently(stream, Receipt(0))
            case Remembered(announcements=announcements):
                self._listener.on_remembered(announcements)
            case CrashNews() as news:
                self._listener.on_crashes(news)
            case News(number=number, announcements=announcements):
                self._listener.on_news(announcements)
                await self._confirm(stream, number)

    async def _confirm(self, stream: trio.SocketStream, number: int) -> None:
        await self._patiently(stream, Receipt(number))

    async def _patiently(self, stream: trio.SocketStream, item: NamedTuple) -> None:
        """Send a message, also where another is being written."""
        while True:
            try:
                await self._send(stream, item)
                return
            except trio.BusyResourceError:
                # Another message is being written; it takes a moment.
                await trio.sleep(0.001)
