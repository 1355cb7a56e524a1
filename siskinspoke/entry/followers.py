"""Tasks that receive announcements, configuration and cache events at an entry VM."""

from collections import OrderedDict
from pathlib import Path

import msgspec
import trio
from loguru import logger

from siskinspoke.coordination.configuration import SOURCE_CONTROL, SOURCE_DISK
from siskinspoke.coordination.directory import AnnouncementEffect, ServerRecord
from siskinspoke.coordination.watchers import watchers
from siskinspoke.entry.context import EntryContext, now_ms, target_of
from siskinspoke.entry.crashes import CrashReporter
from siskinspoke.protocol.announcements import (
    Announcement,
    Load,
    Spread,
    Want,
    extract_load,
    server_key,
)
from siskinspoke.protocol.crashes import CrashSpread, CrashWant
from siskinspoke.state.files import read_verified, write_atomically
from siskinspoke.transport.datagrams import DatagramPort

CONFIGURATION_FILE = "configuration.json"
CONFIGURATION_WAIT_MS = 1_200
RETRY_PAUSE_SECONDS = 0.2
PRUNE_INTERVAL_SECONDS = 5.0
CACHE_POLL_INTERVAL_SECONDS = 1.0
FULL_ANNOUNCEMENTS_AT_START = 3
MAX_CACHED_ANNOUNCEMENTS = 512
WANT_INTERVAL_MS = 1_000.0


class AnnouncementFollower:
    """Receive announcements and forward those that come directly from servers.

    The load balancer sends the datagram of a server to one entry VM, which forwards it only to
    the watchers of the server, so that each VM of a large fleet handles a bounded number of
    datagrams.  Forwarded datagrams contain only the changing fields; a watcher that lacks the
    full announcement, for example after its start, requests it.
    """

    def __init__(self, context: EntryContext, port: DatagramPort, crashes: CrashReporter):
        self._context = context
        self._port = port
        self._crashes = crashes
        self._entries = context.settings.entries
        self._own_index = self._entries.index(context.vm)
        self._announcements: OrderedDict[int, Announcement] = OrderedDict()
        self._requested_at: dict[int, float] = {}

    async def run(self) -> None:
        """Receive and handle datagrams forever."""
        await self._port.receive_forever(self._handle)

    async def _handle(self, item) -> None:
        match item:
            case Announcement():
                await self._forward_to_watchers(item)
            case Spread(announcement=announcement):
                self._apply(announcement)
            case Load():
                await self._apply_load(item)
            case Want(key=key, sender=sender) if key in self._announcements:
                await self._send(Spread(self._announcements[key]), sender)
            case Want():
                self._context.counters.count("announcement.wanted_unknown")
            case CrashSpread():
                await self._crashes.receive(item)
            case CrashWant():
                await self._crashes.handle_want(item)
            case _:
                self._context.counters.count("datagram.refused.kind")

    async def _send(self, item, index: int) -> None:
        if 0 <= index < len(self._entries):
            entry = self._entries[index]
            await self._port.send(item, entry.host, entry.internal_port)

    async def _forward_to_watchers(self, announcement: Announcement) -> None:
        self._cache(announcement)
        send_full = announcement.leaving or announcement.seq <= FULL_ANNOUNCEMENTS_AT_START
        item = Spread(announcement) if send_full else extract_load(announcement, self._own_index)
        watching = watchers(announcement.server, announcement.failure_domain, self._entries)
        for entry in watching:
            if entry.name == self._context.vm.name:
                self._apply(announcement)
            else:
                await self._port.send(item, entry.host, entry.internal_port)

    def _cache(self, announcement: Announcement) -> None:
        """Keep the full announcement for watchers that request it."""
        key = server_key(announcement.server)
        self._announcements[key] = announcement
        self._announcements.move_to_end(key)
        if len(self._announcements) > MAX_CACHED_ANNOUNCEMENTS:
            self._announcements.popitem(last=False)

    async def _apply_load(self, load: Load) -> None:
        """Apply a load report; at most once a second, request the announcement if it is unknown."""
        now = now_ms()
        directory = self._context.directory
        previous = directory.latest(directory.name_of(load.key))
        effect = directory.apply_load(load, now)
        self._check_for_restart(previous, load.incarnation)
        self._record_effect(effect, directory.name_of(load.key), load.incarnation)
        if (
            effect is AnnouncementEffect.UNKNOWN
            and now - self._requested_at.get(load.key, 0.0) > WANT_INTERVAL_MS
        ):
            self._requested_at[load.key] = now
            await self._send(Want(load.key, self._own_index), load.sender)

    def _apply(self, announcement: Announcement) -> None:
        previous = self._context.directory.latest(announcement.server)
        effect = self._context.directory.apply(announcement, now_ms())
        self._check_for_restart(previous, announcement.incarnation)
        self._record_effect(effect, announcement.server, announcement.incarnation)

    def _check_for_restart(self, previous: ServerRecord | None, incarnation: int) -> None:
        """Record a crash if a server restarted without having announced that it leaves."""
        if previous is None or previous.announcement.leaving:
            return
        if previous.announcement.incarnation < incarnation:
            self._context.record_crash(target_of(previous))

    def _record_effect(self, effect: AnnouncementEffect, server: str, incarnation: int) -> None:
        """Count the effect of an announcement; log servers that join or leave."""
        context = self._context
        context.counters.count(f"announcement.{effect.value}")
        if effect in (AnnouncementEffect.JOINED, AnnouncementEffect.LEFT):
            logger.info("server {}: {} incarnation {}", effect.value, server, incarnation)
        if effect is AnnouncementEffect.JOINED:
            context.router.prefixes.reset(server)
        known_servers = [record.announcement.server for record in context.directory.all_records()]
        context.router.back_offs.prune(known_servers, now_ms())


async def prune_forever(context: EntryContext) -> None:
    """Periodically drop the records of servers that are long gone."""
    while True:
        await trio.sleep(PRUNE_INTERVAL_SECONDS)
        for server in context.directory.prune(now_ms()):
            context.router.prefixes.reset(server)
        context.counters.gauge("servers", len(context.directory.live(now_ms())))


class ConfigurationFollower:
    """Follow the accepted configuration; keep a copy on disk if the VM has a data folder."""

    def __init__(self, context: EntryContext):
        self._context = context
        folder = context.vm.data_folder
        self._file = Path(folder) / CONFIGURATION_FILE if folder else None

    def load(self) -> None:
        """Load the copy on disk, which is at least as new as the configuration last in force."""
        if self._file is None:
            return
        self._file.parent.mkdir(parents=True, exist_ok=True)
        read = read_verified(self._file)
        if read.is_error():
            logger.warning("ignored the configuration copy on disk: {}", read.error.message)
            return
        if read.ok is not None:
            version, document = msgspec.json.decode(read.ok, type=tuple[int, dict])
            self._context.holder.install(version, document, SOURCE_DISK)
            self._context.apply_limits()

    async def run(self) -> None:
        """Poll the control replicas in turn for a newer configuration."""
        while True:
            current = self._context.holder.current
            update = await self._context.control.configuration_after(
                current.version, CONFIGURATION_WAIT_MS
            )
            if update is None:
                await trio.sleep(RETRY_PAUSE_SECONDS)
                continue
            document = update.applied_to(current.document)
            if document is not None:
                await self._install(update.version, document)
            elif update.version < current.version:
                # The replica lags behind this VM: query another one after a short pause.
                self._context.counters.count("configuration.replica_lags")
                await trio.sleep(RETRY_PAUSE_SECONDS)

    async def _install(self, version: int, document: dict) -> None:
        context = self._context
        if not context.holder.install(version, document, SOURCE_CONTROL):
            context.counters.count("configuration.refused")
            return
        context.apply_limits()
        context.counters.gauge("configuration_version", version)
        logger.info("configuration in force: version {}", version)
        if self._file is not None:
            content = msgspec.json.encode((version, document))
            await trio.to_thread.run_sync(write_atomically, self._file, content)


class CacheFollower:
    """Poll the cache events of one server a second, in turn, as a routing hint."""

    def __init__(self, context: EntryContext):
        self._context = context
        self._last_seen: dict[str, tuple[int, int]] = {}
        self._poll_count = 0

    async def run(self) -> None:
        """Poll servers forever."""
        while True:
            await trio.sleep(CACHE_POLL_INTERVAL_SECONDS)
            records = [
                record
                for record in self._context.directory.live(now_ms())
                if record.announcement.kind == "model"
            ]
            if records:
                self._poll_count += 1
                await self._poll(records[self._poll_count % len(records)])

    async def _poll(self, record) -> None:
        """Apply the events since the last poll; a gap clears what is known of the server."""
        context, target = self._context, target_of(record)
        incarnation, after = self._last_seen.get(target.server, (target.incarnation, 0))
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
        self._last_seen[target.server] = (target.incarnation, after)
