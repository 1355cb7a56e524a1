"""Run a control VM that discovers its group through seeds: replica, registry and feed."""

import random
import signal
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple, Protocol

import trio

from siskinspoke.conf.vm import VmSettings, available_descriptors
from siskinspoke.conf.watch import SettingsWatcher
from siskinspoke.control.feed_hub import FeedHub
from siskinspoke.control.registry import Registry
from siskinspoke.control.replica_report import ReplicaReport
from siskinspoke.control.replica_task import ReplicaTask, now_ms
from siskinspoke.coordination.directory import ANNOUNCEMENTS_PER_LEASE, Directory
from siskinspoke.coordination.memory_plan import REGISTRY_SHARES, memory_plan
from siskinspoke.coordination.replica import Replica
from siskinspoke.coordination.replica_types import FoundGroup, JoinGroup, Times
from siskinspoke.core.codes import Failure, FailureError
from siskinspoke.core.counters import Counters
from siskinspoke.core.decisions import DecisionLog
from siskinspoke.core.latencies import Latencies
from siskinspoke.core.signals import log_further_signals, receive_signals
from siskinspoke.core.supervise import keep_running
from siskinspoke.feeds.follower import FeedClients, FeedHandlers, FollowerIdentity
from siskinspoke.protocol.feed import ControlUp
from siskinspoke.state.entry_file import load_entries, save_entries
from siskinspoke.state.replica_store import open_store
from siskinspoke.state.server_file import load_servers, save_servers
from siskinspoke.transport.client_resources import client_resources
from siskinspoke.transport.datagrams import open_datagram_port
from siskinspoke.transport.links import LinkListener, LinkSender, LinkSet

if TYPE_CHECKING:
    from siskinspoke.transport.calls import BodyLimits, Call, OpenCalls, Reply

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
# A small VM's disk may take 0.15 s for a sync; a leader whose heartbeats are delayed by a few such
# syncs must not be deposed.
HEARTBEAT_MS = 100.0
ELECTION_MS = 600.0
# Journal entries between snapshots. Each holds a whole configuration, which takes several times its
# size in memory.
SNAPSHOT_ENTRIES = 24
DISK_RETRY_SECONDS = 0.5
# A stopping VM waits for the answers to open calls twice, before and after it transfers its
# leadership, for this share of its grace period at most.
OPEN_CALLS_SHARE = 0.125
MAINTENANCE_SECONDS = 2.0
# Servers join and leave in bursts; the lists are written at most this often.
SAVE_LISTS_SECONDS = 0.5
# Entry VMs retry connections to control VMs every 0.2 s and need one round trip.
HTTP_START_DELAY_SECONDS = 0.25
# How often, and at which interval, a control VM that has started notifies entry VMs that do not
# follow it yet.
START_NOTIFICATIONS = 12
NOTIFICATION_INTERVAL_SECONDS = 0.1


class ControlParts(NamedTuple):
    """The dependencies of a control VM's HTTP interface."""

    registry: Registry
    counters: Counters
    latencies: Latencies
    log: DecisionLog


class App(Protocol):
    """The handler of calls from operators and servers."""

    async def answer(self, call: "Call") -> "Reply":
        """Answer one call."""


AppFactory = tuple[Callable[[ControlParts], App], "BodyLimits"]


class ControlDaemon:
    """Create and run the components of a control VM; each owns its sockets and state."""

    def __init__(self, read_settings: Callable[[], VmSettings], log: DecisionLog):
        self._watch = SettingsWatcher(read_settings, self._update_seeds, log)
        self._log = log
        self._counters = Counters()
        self._latencies = Latencies()
        settings = self._watch.settings
        plan = memory_plan(REGISTRY_SHARES, settings.memory_mb, available_descriptors(settings))
        self._clients = client_resources(plan, self._counters, log.note)
        lease_ms = self._watch.settings.announce_every_ms * ANNOUNCEMENTS_PER_LEASE
        self._directory = Directory(lease_ms)
        self.registry = Registry(
            self._directory,
            self._counters,
            log,
            self._watch.settings.name,
            self._watch.settings.domain_regions,
        )
        self._replica: Replica | None = None
        self._task: ReplicaTask | None = None
        # None until operators are served.
        self._open_calls: OpenCalls | None = None
        self._feeds = self._make_feeds()
        self._hub = FeedHub(
            self._watch.settings.host,
            self._watch.settings.failure_domain,
            self._directory,
            self._control_hosts,
            lambda: self.registry.configuration,
            self._watch.settings.internal_key,
            self._counters,
            log,
            lambda: self.registry.evacuations.state,
            self._clients,
        )
        self.registry.set_hub(self._hub)

    def _make_feeds(self) -> FeedClients:
        settings = self._watch.settings
        listener = FeedHandlers(
            on_publication=lambda version, document: None,
            on_news=self.registry.handle_remote_announcements,
            on_renewals=self.registry.handle_renewals,
            on_remembered=self.registry.restore_servers,
            current_version=lambda: 2**62,
            on_crashes=lambda news: self._hub.handle_crash_news(news),
        )
        return FeedClients(
            FollowerIdentity(settings.name, settings.host, 0, settings.failure_domain),
            settings.seed_hosts,
            settings.feed_port,
            settings.internal_key,
            listener,
            self._counters,
            self._log,
        )

    def _control_hosts(self) -> list[str]:
        """Return the hosts of the group's members as this VM knows them, and its own."""
        members = set(self._replica.members) if self._replica is not None else set()
        return sorted(members | {self._watch.settings.host})

    async def run(self, load_app: Callable[[], AppFactory], metrics_port: int) -> None:
        """Serve until SIGTERM or SIGINT."""
        settings = self._watch.settings
        parts = ControlParts(self.registry, self._counters, self._latencies, self._log)
        self._restore_servers()
        self._restore_entries()
        async with AsyncExitStack() as stack:
            nursery = await stack.enter_async_context(trio.open_nursery())
            links = LinkSet(self._open_link, nursery)
            listener = LinkListener(
                settings.internal_key, self._counters, self._receive, self._clients
            )
            await nursery.start(listener.serve, settings.host, settings.link_port)
            await nursery.start(self._hub.serve, settings.host, settings.feed_port)
            for task, *args in (
                (self._run_replicas, links),
                (self._feeds.run,),
                (self._maintain, links),
                (self._save_lists,),
                (self._notify_entries,),
            ):
                nursery.start_soon(keep_running, self._log, self._counters, task, *args)
            nursery.start_soon(self._serve_calls, load_app, parts, metrics_port)
            self._log.note(
                "start", role="control", found=settings.is_first_start, host=settings.host
            )
            with receive_signals(*HANDLED_SIGNALS) as signals:
                await self._wait_for_stop_signal(signals)
                await nursery.start(log_further_signals, signals, self._log.note)
                self._log.note("stop", role="control")
                await self._stop()
                nursery.cancel_scope.cancel()

    async def _stop(self) -> None:
        """Answer the open calls, and transfer the leadership between two waits for them.

        A new leader doesn't know of a change that this VM has not replicated yet; the calls that
        arrive meanwhile are forwarded to it.
        """
        seconds = OPEN_CALLS_SHARE * self._watch.settings.shutdown_seconds
        if self._open_calls is not None:
            await self._open_calls.wait_until_answered(seconds)
        if self._task is not None:
            await self._task.transfer_leadership()
        if self._open_calls is not None:
            await self._open_calls.wait_until_answered(seconds)

    async def _serve_calls(
        self, load_app: Callable[[], AppFactory], parts: ControlParts, metrics_port: int
    ) -> None:
        """Serve operators, announcements and metrics, after followers have had time to connect.

        After a restart of all VMs, callers are served again as soon as entry VMs have a
        configuration. The HTTP modules are imported here so that they do not delay that.
        """
        await trio.sleep(HTTP_START_DELAY_SECONDS)
        from siskinspoke.transport.calls import OpenCalls, serve_calls
        from siskinspoke.transport.pages import metrics_pages, serve_pages

        make_app, limits = load_app()
        host, address = self._watch.settings.host, self._watch.settings.operator_address
        async with trio.open_nursery() as nursery:
            if metrics_port:
                pages = metrics_pages(self._counters, parts.latencies)
                nursery.start_soon(serve_pages, pages, self._clients, host, metrics_port)
            handle = make_app(parts).answer
            self._open_calls = OpenCalls()
            await nursery.start(
                serve_calls,
                handle,
                limits,
                self._clients,
                address.host,
                address.port,
                self._open_calls,
            )
            self._log.note("operators.open", port=address.port)

    async def _wait_for_stop_signal(self, signals: AsyncIterator[int]) -> None:
        """Wait for SIGTERM or SIGINT; reload the settings on SIGHUP."""
        async for number in signals:
            if number != signal.SIGHUP:
                return
            self._watch.reload()

    def _open_link(self, host: str) -> LinkSender:
        settings = self._watch.settings
        return LinkSender(
            host, settings.link_port, settings.internal_key, self._counters, settings.host
        )

    async def _receive(self, item) -> None:
        if self._task is not None:
            await self._task.receive(item)

    async def _maintain(self, links: LinkSet) -> None:
        """Reload changed settings and close the links to control VMs that have been removed."""
        while True:
            await trio.sleep(MAINTENANCE_SECONDS)
            self._watch.reload()
            links.close_all_except({*self._control_hosts(), *self._feeds.controls})

    def _update_seeds(self, seeds: tuple[str, ...]) -> None:
        self._feeds.set_seeds(seeds)
        if self._replica is not None:
            self._replica.set_join_targets(seeds)

    def _restore_servers(self) -> None:
        """Restore the servers that were known before the restart, for a limited time."""
        read = load_servers(Path(self._watch.settings.data_folder))
        if read.is_error():
            self._log.note("servers.not_recalled", reason=read.error.message)
            return
        if read.ok.invalid_count:
            self._log.note("servers.unread", entries=read.ok.invalid_count)
        self.registry.restore_servers(read.ok.announcements)

    def _restore_entries(self) -> None:
        """Restore the entry VMs that followed this VM before the restart."""
        read = load_entries(Path(self._watch.settings.data_folder))
        if read.is_error():
            self._log.note("entries.not_recalled", reason=read.error.message)
            return
        self._hub.entries.restore(read.ok, trio.current_time())
        self._log.note("entries.recalled", entries=len(read.ok))

    async def _notify_entries(self) -> None:
        """Notify the entry VMs that followed this VM before its restart that it is up.

        After a restart of all VMs they know only the seeds, which may be the last to come up.
        """
        settings = self._watch.settings
        port = await open_datagram_port(
            settings.host, settings.peer_port, settings.internal_key, self._counters
        )
        for _ in range(START_NOTIFICATIONS):
            for entry in self._hub.entries.stored(trio.current_time()):
                if not self._hub.entries.is_connected(entry):
                    await port.send(ControlUp(settings.host), entry.host, entry.port)
            await trio.sleep(NOTIFICATION_INTERVAL_SECONDS)
        await trio.sleep_forever()

    async def _save_lists(self) -> None:
        """Save the known servers and entry VMs whenever they change."""
        servers, entries = self._directory.changes, self._hub.entries.stored(trio.current_time())
        while True:
            await trio.sleep(SAVE_LISTS_SECONDS)
            if servers != self._directory.changes:
                servers = self._directory.changes
                known = [record.announcement for record in self._directory.all_records()]
                await self._save(save_servers, known)
            if entries != (current := self._hub.entries.stored(trio.current_time())):
                entries = current
                await self._save(save_entries, sorted(current))

    async def _save(self, save: Callable[[Path, list], None], items: list) -> None:
        try:
            folder = Path(self._watch.settings.data_folder)
            await trio.to_thread.run_sync(save, folder, items)
        except FailureError as error:
            # Nothing depends on this file, and the replica detects a failed disk by itself.
            self._log.note("list.not_kept", reason=str(error))

    async def _run_replicas(self, links: LinkSet) -> None:
        """Run a replica until a disk write fails, then start another one from the disk.

        After a failed write the contents of the disk are unknown, so the replica must not
        acknowledge anything more. Announcements and the feed need no disk and continue.
        """
        while True:
            failures = []
            try:
                await self._run_replica(links)
            except* FailureError as group:
                failures = [_first_failure(group)]
            self._task = None
            self._replica = None
            self.registry.set_replica(None)
            self._log.note("disk.failed", reason=failures[0].message if failures else "")
            self._counters.count("disk.failed")
            await trio.sleep(DISK_RETRY_SECONDS)

    async def _run_replica(self, links: LinkSet) -> None:
        settings = self._watch.settings
        opened = await trio.to_thread.run_sync(open_store, settings.data_folder, settings.host)
        if opened.is_error():
            raise FailureError(opened.error)
        store, restored = opened.ok
        founder = settings.is_first_start and settings.host in settings.seed_hosts
        replica = Replica(
            settings.host,
            list(settings.seed_hosts) if founder else [],
            Times(HEARTBEAT_MS, ELECTION_MS),
            restored,
            random.Random(),
            now_ms(),
            FoundGroup() if founder else JoinGroup(),
        )
        replica.set_join_targets(settings.seed_hosts)
        report = ReplicaReport(self._counters, self._latencies, self._log.note, links.states)
        task = ReplicaTask(replica, store, links, self._counters, SNAPSHOT_ENTRIES, report=report)
        self._replica, self._task = replica, task
        self.registry.set_replica(task)
        self._log.note(
            "replica.restored",
            known=restored.identity is not None,
            founder=founder,
            version=task.machine.version,
            last=replica.log.last_index,
        )
        async with AsyncExitStack() as stack:
            stack.callback(store.close)
            nursery = await stack.enter_async_context(trio.open_nursery())
            nursery.start_soon(self._publish_changes, task)
            nursery.start_soon(self._log_roles, replica)
            nursery.start_soon(task.run)

    async def _publish_changes(self, task: ReplicaTask) -> None:
        """Publish configurations and evacuations to the followers once this replica has them.

        The evacuations go first: a VM that can serve must know them already.
        """
        published, revision = 0, 0
        while True:
            await task.wait_for_change(published, revision, 3600)
            machine = task.machine
            if machine.evacuations.revision > revision:
                revision = machine.evacuations.revision
                domains = sorted(machine.evacuations.domains)
                self._counters.gauge("evacuation.domains", len(domains))
                self._log.note("evacuation.published", revision=revision, domains=domains)
                self._hub.publish_evacuations()
            if machine.version > published and machine.document is not None:
                published = machine.version
                self._log.note("configuration.accepted", version=published)
                self._hub.publish(published, machine.document)

    async def _log_roles(self, replica: Replica) -> None:
        """Log the replica's role, term, leader and members whenever they change."""
        logged = None
        while True:
            state = (replica.role.value, replica.term, replica.leader, sorted(replica.members))
            if state != logged:
                logged = state
                role, term, leader, members = state
                self._log.note(
                    "replica.role",
                    role=role,
                    term=term,
                    leader=leader,
                    members=members,
                    admitted=replica.admitted,
                )
            await trio.sleep(0.1)


def _first_failure(group: BaseExceptionGroup) -> Failure:
    error = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error.failure
