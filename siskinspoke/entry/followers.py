"""Tasks that keep an entry VM up to date: announcements, configuration, cache events."""

from collections import OrderedDict
from pathlib import Path

import msgspec
import trio
from loguru import logger

from siskinspoke.coordination.configuration import SOURCE_CONTROL, SOURCE_DISK
from siskinspoke.coordination.directory import Heard, ServerRecord
from siskinspoke.coordination.watchers import watchers
from siskinspoke.entry.context import EntryContext, now_ms, target_of
from siskinspoke.entry.crashes import CrashTeller
from siskinspoke.protocol.announcements import (
    Announcement,
    Load,
    Spread,
    Want,
    load_of,
    server_key,
)
from siskinspoke.protocol.crashes import CrashSpread, CrashWant
from siskinspoke.state.files import read_verified, write_atomically
from siskinspoke.transport.datagrams import DatagramPort

CONFIGURATION_FILE = "configuration.json"
CONFIGURATION_WAIT_MS = 1_200
PAUSE_SECONDS = 0.2
FORGET_SECONDS = 5.0
CACHE_POLL_SECONDS = 1.0
WHOLE_AT_FIRST = 3
MAX_WHOLE = 512
ASK_MS = 1_000.0


class AnnouncementFollower:
    """Hear announcements, and spread those that come from the servers themselves.

    A server's datagram reaches one entry VM, through the balancer; that VM passes it on to
    the server's watchers and to nobody else, so that a large fleet costs each VM a bounded
    number of datagrams.  Only what changes is passed on; a watcher that lacks the rest, as
    after its start, asks for it.
    """

    def __init__(self, context: EntryContext, port: DatagramPort, crashes: CrashTeller):
        self._context = context
        self._port = port
        self._crashes = crashes
        self._entries = context.settings.entries
        self._place = self._entries.index(context.me)
        self._whole: OrderedDict[int, Announcement] = OrderedDict()
        self._asked: dict[int, float] = {}

    async def run(self) -> None:
        """Handle datagrams forever."""
        await self._port.receive_forever(self._handle)

    async def _handle(self, item) -> None:
        match item:
            case Announcement():
                await self._spread(item)
            case Spread(announcement=announcement):
                self._hear(announcement)
            case Load():
                await self._hear_load(item)
            case Want(key=key, sender=sender) if key in self._whole:
                await self._send(Spread(self._whole[key]), sender)
            case Want():
                self._context.counters.count("announcement.wanted_unknown")
            case CrashSpread():
                await self._crashes.hear(item)
            case CrashWant():
                await self._crashes.answer(item)
            case _:
                self._context.counters.count("datagram.refused.kind")

    async def _send(self, item, place: int) -> None:
        if 0 <= place < len(self._entries):
            entry = self._entries[place]
            await self._port.send(item, entry.host, entry.internal_port)

    async def _spread(self, announcement: Announcement) -> None:
        self._remember(announcement)
        whole = announcement.leaving or announcement.seq <= WHOLE_AT_FIRST
        item = Spread(announcement) if whole else load_of(announcement, self._place)
        chosen = watchers(announcement.server, announcement.failure_domain, self._entries)
        for entry in chosen:
            if entry.name == self._context.me.name:
                self._hear(announcement)
            else:
                await self._port.send(item, entry.host, entry.internal_port)

    def _remember(self, announcement: Announcement) -> None:
        """Keep what a watcher may ask for."""
        key = server_key(announcement.server)
        self._whole[key] = announcement
        self._whole.move_to_end(key)
        if len(self._whole) > MAX_WHOLE:
            self._whole.popitem(last=False)

    async def _hear_load(self, load: Load) -> None:
        """Take in a load; ask, at most once a second, for a server that is not known."""
        now = now_ms()
        directory = self._context.directory
        known = directory.latest(directory.name_of(load.key))
        heard = directory.hear_load(load, now)
        self._note_end(known, load.incarnation)
        self._note(heard, directory.name_of(load.key), load.incarnation)
        if heard is Heard.UNKNOWN and now - self._asked.get(load.key, 0.0) > ASK_MS:
            self._asked[load.key] = now
            await self._send(Want(load.key, self._place), load.sender)

    def _hear(self, announcement: Announcement) -> None:
        known = self._context.directory.latest(announcement.server)
        heard = self._context.directory.hear(announcement, now_ms())
        self._note_end(known, announcement.incarnation)
        self._note(heard, announcement.server, announcement.incarnation)

    def _note_end(self, known: ServerRecord | None, incarnation: int) -> None:
        """Take in that a server has started again without having left: it crashed before."""
        if known is None or known.announcement.leaving:
            return
        if known.announcement.incarnation < incarnation:
            self._context.crashed(target_of(known))

    def _note(self, heard: Heard, server: str, incarnation: int) -> None:
        """Count what was heard; log a server that comes or goes."""
        context = self._context
        context.counters.count(f"announcement.{heard.value}")
        if heard in (Heard.JOINED, Heard.LEFT):
            logger.info("server {}: {} incarnation {}", heard.value, server, incarnation)
        if heard is Heard.JOINED:
            context.router.prefixes.reset(server)
        known = [record.announcement.server for record in context.directory.all_known()]
        context.router.back_offs.forget(known, now_ms())


async def forget_forever(context: EntryContext) -> None:
    """Drop records of servers that are long gone."""
    while True:
        await trio.sleep(FORGET_SECONDS)
        for server in context.directory.forget(now_ms()):
            context.router.prefixes.reset(server)
        context.counters.gauge("servers", len(context.directory.live(now_ms())))


class ConfigurationFollower:
    """Follow the accepted configuration and keep a copy on disk, where there is one."""

    def __init__(self, context: EntryContext):
        self._context = context
        folder = context.me.data_folder
        self._file = Path(folder) / CONFIGURATION_FILE if folder else None

    def load(self) -> None:
        """Start from the copy on disk, which is never older than what was in force before."""
        if self._file is None:
            return
        self._file.parent.mkdir(parents=True, exist_ok=True)
        read = read_verified(self._file)
        if read.is_error():
            logger.warning("configuration copy refused: {}", read.error.message)
            return
        if read.ok is not None:
            version, document = msgspec.json.decode(read.ok, type=tuple[int, dict])
            self._context.holder.install(version, document, SOURCE_DISK)
            self._context.apply_limits()

    async def run(self) -> None:
        """Ask the control replicas, one after the other, for what is newer."""
        while True:
            current = self._context.holder.current
            news = await self._context.control.configuration_after(
                current.version, CONFIGURATION_WAIT_MS
            )
            if news is None:
                await trio.sleep(PAUSE_SECONDS)
                continue
            document = news.applied_to(current.document)
            if document is not None:
                await self._install(news.version, document)
            elif news.version < current.version:
                # The replica lags behind what is in force here: ask another one soon.
                self._context.counters.count("configuration.replica_lags")
                await trio.sleep(PAUSE_SECONDS)

    async def _install(self, version: int, document: dict) -> None:
        context = self._context
        if not context.holder.install(version, document, SOURCE_CONTROL):
            context.counters.count("configuration.refused")
            return
        context.apply_limits()
        context.counters.gauge("configuration_version", version)
        logger.info("configuration in force: version {}", version)
        if self._file is not None:
            body = msgspec.json.encode((version, document))
            await trio.to_thread.run_sync(write_atomically, self._file, body)


class CacheFollower:
    """Follow cache events of one server a second, in turn, as a routing hint."""

    def __init__(self, context: EntryContext):
        self._context = context
        self._seen: dict[str, tuple[int, int]] = {}
        self._turn = 0

    async def run(self) -> None:
        """Poll forever."""
        while True:
            await trio.sleep(CACHE_POLL_SECONDS)
            records = [
                record
                for record in self._context.directory.live(now_ms())
                if record.announcement.kind == "model"
            ]
            if records:
                self._turn += 1
                await self._poll(records[self._turn % len(records)])

    async def _poll(self, record) -> None:
        """Take in the events since the last poll; a gap means that nothing is known."""
        context, target = self._context, target_of(record)
        incarnation, after = self._seen.get(target.server, (target.incarnation, 0))
        if incarnation != target.incarnation:
            after = 0
        answer = await context.backend.cache_events(target, after)
        if answer is None:
            return
        events = answer["events"]
        if answer["first"] > after + 1:
            context.counters.count("cache_events.gap")
            context.router.prefixes.reset(target.server)
        for seq, kind, block in events:
            after = seq
            if kind == "stored":
                context.router.prefixes.stored(target.server, [block])
            else:
                context.router.prefixes.removed(target.server, [block])
        self._seen[target.server] = (target.incarnation, after)
