"""Build a gateway and run it until it has drained."""

import random
import signal
from collections.abc import Callable
from contextlib import AsyncExitStack

import trio

from siskinspoke.conf.vm import VmSettings, available_descriptors
from siskinspoke.conf.watch import SettingsWatcher
from siskinspoke.coordination.back_off import BackOffs
from siskinspoke.coordination.byte_budget import ByteBudget
from siskinspoke.coordination.crash_watch import CrashWatch
from siskinspoke.coordination.directory import (
    ANNOUNCEMENTS_PER_LEASE,
    AnnouncementEffect,
    Directory,
    start_of,
)
from siskinspoke.coordination.domains import DomainMonitor
from siskinspoke.coordination.liveness import ConnectTimeout, ProbeTracker
from siskinspoke.coordination.memory_plan import GATEWAY_SHARES, memory_plan
from siskinspoke.coordination.placement import Placement
from siskinspoke.coordination.rate_limits import RateLimits
from siskinspoke.coordination.read_budget import ReadBudget
from siskinspoke.coordination.retries import SharedRetryBudget
from siskinspoke.coordination.server_health import ServerHealth
from siskinspoke.coordination.work_table import WorkTable
from siskinspoke.core.counters import Counters
from siskinspoke.core.decisions import DecisionLog
from siskinspoke.core.latencies import Latencies
from siskinspoke.core.signals import log_further_signals, receive_signals
from siskinspoke.core.supervise import keep_running
from siskinspoke.feeds.follower import FeedClients, FeedHandlers, FollowerIdentity
from siskinspoke.gateway.announcements import handle_announcement
from siskinspoke.gateway.assignment import make_offer
from siskinspoke.gateway.attempts import OpenAttempts
from siskinspoke.gateway.cells import CellView
from siskinspoke.gateway.clients import ClientServer
from siskinspoke.gateway.cold import has_cold_services, maintain_cold_servers
from siskinspoke.gateway.cold_permits import ColdPermits
from siskinspoke.gateway.context import Gateway, now_ms
from siskinspoke.gateway.draining import begin_drain, drain
from siskinspoke.gateway.evacuations import apply_evacuations, report_evacuations
from siskinspoke.gateway.forwarding.receiving import ForwardServer
from siskinspoke.gateway.forwarding.survey import log_partition, survey_forever
from siskinspoke.gateway.peers import Peers
from siskinspoke.gateway.permits import Permits
from siskinspoke.gateway.plain_admission import PlainAdmission
from siskinspoke.gateway.pool import Pool
from siskinspoke.gateway.queries import PermitQuestion, Queries
from siskinspoke.gateway.reachability import (
    handle_loss_report,
    probe_overdue_forever,
    probe_unreachable_forever,
    unreachable_domains,
)
from siskinspoke.gateway.reports import poll_forever, probe_unreachable_domains_forever
from siskinspoke.gateway.restrictions import apply_peer_rate_limit
from siskinspoke.gateway.stream_checks import recheck_streams
from siskinspoke.gateway.waiting import WaitingRequests
from siskinspoke.gateway.wire import Wire
from siskinspoke.protocol.announcements import Announcement
from siskinspoke.protocol.crashes import CrashNews
from siskinspoke.protocol.feed import EntryPeer
from siskinspoke.protocol.peers import LeaseReply, PermitReply, PermitRequest
from siskinspoke.transport.client_resources import client_resources
from siskinspoke.transport.datagrams import open_datagram_port
from siskinspoke.transport.pages import Page, Pages, metrics_pages, serve_pages

MAINTENANCE_INTERVAL_SECONDS = 1.0
RELOAD_INTERVAL_SECONDS = 1.0


class GatewayDaemon:
    """Connect the components of a gateway; each owns its sockets and state."""

    def __init__(self, read_settings: Callable[[], VmSettings], wire: Wire, log: DecisionLog):
        self._log = log
        self._settings_watch = SettingsWatcher(
            read_settings, lambda seeds: self._feeds.set_seeds(seeds), log
        )
        settings = self._settings_watch.settings
        plan = memory_plan(GATEWAY_SHARES, settings.memory_mb, available_descriptors(settings))
        counters = Counters()
        work_table = WorkTable()
        domains = DomainMonitor()
        budget = SharedRetryBudget(settings.retry_share, settings.retry_burst)
        listener = FeedHandlers(
            on_publication=self._on_publication,
            on_news=self._on_announcements,
            on_renewals=self._on_renewals,
            on_remembered=self._on_remembered_servers,
            current_version=lambda: self.gateway.table.version if self.gateway.table else 0,
            on_crashes=self._on_crashes,
            own_crash_reports=lambda: self.gateway.crashes.own_reports(now_ms()),
            on_evacuations=lambda state: apply_evacuations(self.gateway, state),
            evacuation_revision=lambda: self.gateway.evacuations.revision,
        )
        directory = Directory(settings.announce_every_ms * ANNOUNCEMENTS_PER_LEASE)
        self._feeds = FeedClients(
            FollowerIdentity(
                settings.name, settings.host, settings.peer_port, settings.failure_domain
            ),
            settings.seed_hosts,
            settings.feed_port,
            settings.internal_key,
            listener,
            counters,
            log,
        )
        cells = CellView(
            EntryPeer(settings.host, settings.peer_port, settings.failure_domain),
            directory,
            lambda: self._feeds.peers,
            lambda: self._feeds.peer_changes,
            log,
        )
        queries = Queries(
            settings.host,
            settings.peer_port,
            lambda question: make_offer(self.gateway, question),
            counters,
            self._answer_permit_question,
        )
        rate_limits = RateLimits()
        latencies, rng = Latencies(), random.Random()
        plain_admission = None
        if settings.queue_capacity:
            plain_admission = PlainAdmission(settings.queue_capacity, counters, latencies, log, rng)
        waiting = WaitingRequests(
            settings.queue_capacity,
            counters,
            latencies,
            log,
            rng,
            lambda item: self.gateway.peers.begin_wait(item),
            lambda number: self.gateway.peers.end_wait(number),
            lambda number: self.gateway.peers.wait_key(number),
        )
        self.gateway = Gateway(
            settings=settings,
            wire=wire,
            directory=directory,
            placement=Placement(work_table),
            server_health=ServerHealth(),
            domains=domains,
            rate_limits=rate_limits,
            back_offs=BackOffs(),
            budget=budget,
            pool=Pool(),
            attempts=OpenAttempts(),
            probes=ProbeTracker(),
            connect_timeout=ConnectTimeout(),
            cells=cells,
            queries=queries,
            permits=Permits(
                EntryPeer(settings.host, settings.peer_port, settings.failure_domain),
                lambda: self._feeds.peers,
                lambda: self._feeds.peer_changes,
                self._has_quorum,
                lambda host, ms: self.gateway.peers.heard_within(host, ms, now_ms()),
                rate_limits,
                counters,
            ),
            peers=Peers(
                settings.host,
                settings.failure_domain,
                work_table,
                budget,
                domains,
                cells,
                queries,
                counters,
                self._feeds.record_peer,
                lambda server: handle_loss_report(self.gateway, server),
                self._on_crashes,
                self._feeds.handle_control_up,
                lambda work: recheck_streams(self.gateway, work),
                lambda news: apply_peer_rate_limit(self.gateway, news),
                open_calls=plain_admission,
                waiting=waiting if waiting.enabled else None,
                on_unreachable_domain=lambda domain: self.gateway.surveys.request(domain),
                unreachable_now=lambda: unreachable_domains(self.gateway),
            ),
            crashes=CrashWatch(self._send_crashes, counters, log),
            counters=counters,
            latencies=latencies,
            log=log,
            rng=rng,
            buffers=ByteBudget(settings.buffer_bytes),
            responses=ReadBudget(plan.answers),
            clients=client_resources(plan, counters, log.note),
            cold_permits=ColdPermits(
                EntryPeer(settings.host, settings.peer_port, settings.failure_domain),
                lambda: self._feeds.peers,
                lambda: self._feeds.peer_changes,
                self._reaches_control,
                counters,
                random.Random(),
            ),
            plain_admission=plain_admission,
            waiting=waiting,
            known_peers=lambda: self._feeds.peers,
        )

    def _answer_permit_question(self, question: PermitQuestion) -> PermitReply | LeaseReply:
        if isinstance(question, PermitRequest):
            return self.gateway.permits.answer(question)
        return self.gateway.cold_permits.answer(question)

    async def _run_cold_permits(self) -> None:
        """Hold the leases of cold servers, forever."""
        gateway = self.gateway
        await gateway.cold_permits.run(gateway.queries, lambda: has_cold_services(gateway))

    def _reaches_control(self) -> bool:
        """Return whether this VM hears a majority of the control VMs."""
        return 2 * self._feeds.connected_count > len(self._feeds.controls)

    def _has_quorum(self) -> bool:
        """Return whether this VM hears a majority of the control VMs or of its cell's entry VMs."""
        feeds, cells = self._feeds, self.gateway.cells
        if 2 * feeds.connected_count > len(feeds.controls):
            return True
        vms = 1 + len(cells.addresses(cells.own_cell))
        return 2 * (1 + self.gateway.peers.count_heard(now_ms())) > vms

    def _on_publication(self, version: int, document: dict) -> None:
        """Apply a newer configuration; the version never decreases.

        A control VM that lags or is partitioned offers older versions, which would undo a change.
        """
        gateway = self.gateway
        if gateway.table is not None and version <= gateway.table.version:
            return
        decoded = gateway.wire.decode_configuration(document)
        if decoded.is_error():
            gateway.counters.count("configuration.refused")
            self._log.note("configuration.refused", version=version, reason=decoded.error.message)
            return
        gateway.table = decoded.ok
        gateway.configured.set()
        self._log.note("configuration.in_force", version=version, routes=len(decoded.ok.routes))

    def _on_announcements(self, announcements: list[Announcement]) -> None:
        for announcement in announcements:
            change = handle_announcement(self.gateway, announcement)
            if change in (AnnouncementEffect.JOINED, AnnouncementEffect.LEFT):
                self._log.note(
                    f"server.{change.value}",
                    server=announcement.server,
                    service=announcement.service,
                    address=f"{announcement.host}:{announcement.port}",
                    start=announcement.incarnation,
                    seq=announcement.seq,
                )

    def _on_remembered_servers(self, announcements: list[Announcement]) -> None:
        now = now_ms()
        new = [item for item in announcements if self.gateway.directory.restore(item, now)]
        for item in new:
            self.gateway.cold_servers.remembered(start_of(item), item.cold_ms, now)
        self._log.note("servers.remembered", told=len(announcements), new=len(new))

    def _on_crashes(self, crashes: CrashNews) -> None:
        self.gateway.crashes.apply(crashes, now_ms())

    def _send_crashes(self, crashes: CrashNews) -> None:
        """Send crash updates to this cell's VMs directly, and to all others via control VMs."""
        self.gateway.peers.send_crashes(crashes)
        self._feeds.send_crash_news(crashes)

    def _on_renewals(self, renewals: list[tuple[str, int, int]]) -> None:
        now = now_ms()
        for server, incarnation, seq in renewals:
            self.gateway.directory.renew(server, incarnation, seq, now)
            self.gateway.cold_servers.renewed((server, incarnation), now)

    @property
    def _ready(self) -> bool:
        """Return whether new clients may connect: this VM is configured and not draining."""
        return self.gateway.table is not None and not self.gateway.draining

    def _readiness_pages(self) -> Pages:
        return {"/readyz": lambda: Page(200 if self._ready else 503)}

    def server_tasks(self) -> list[tuple]:
        """Return the background tasks that observe backend servers, with their arguments."""
        gateway = self.gateway
        return [
            (poll_forever, gateway, lambda: self._feeds.connected_count > 0),
            (probe_unreachable_domains_forever, gateway),
            (probe_overdue_forever, gateway),
            (probe_unreachable_forever, gateway),
            (survey_forever, gateway),
        ]

    async def run(self, metrics_port: int) -> None:
        """Serve until SIGTERM or SIGINT, then let open requests finish."""
        gateway, settings = self.gateway, self._settings_watch.settings
        gateway.started_at = trio.current_time()
        async with AsyncExitStack() as stack:
            stack.callback(gateway.pool.close)
            nursery = await stack.enter_async_context(trio.open_nursery())
            port = await open_datagram_port(
                settings.host, settings.peer_port, settings.internal_key, gateway.counters
            )
            gateway.nursery = nursery
            await nursery.start(ForwardServer(gateway).serve, settings.host, settings.forward_port)
            for task, *args in (
                (gateway.peers.run, port),
                (self._feeds.run,),
                (self._run_cold_permits,),
                (self._maintain_forever,),
                *self.server_tasks(),
                (self._reload_forever,),
            ):
                nursery.start_soon(keep_running, self._log, gateway.counters, task, *args)
            public = settings.public_address
            await nursery.start(ClientServer(gateway).serve, public.host, public.port)
            ready = settings.readiness_address
            await nursery.start(
                serve_pages, self._readiness_pages(), gateway.clients, ready.host, ready.port
            )
            if metrics_port:
                pages = metrics_pages(gateway.counters, gateway.latencies)
                await nursery.start(
                    serve_pages, pages, gateway.clients, settings.host, metrics_port
                )
            self._log.note("start", role="gateway", host=settings.host)
            with receive_signals(signal.SIGTERM, signal.SIGINT) as signals:
                await anext(signals)
                await nursery.start(log_further_signals, signals, self._log.note)
                await self._drain()
                nursery.cancel_scope.cancel()

    async def _drain(self) -> None:
        """Report not ready, and return once the process may exit."""
        gateway = self.gateway
        began = now_ms()
        begin_drain(gateway)
        self._log.note("drain", open=gateway.open_requests)
        await drain(gateway)
        took = round(now_ms() - began)
        self._log.note("stop", open=gateway.open_requests, took=took)

    async def _maintain_forever(self) -> None:
        """Expire old state, and divide the common retry budget among the known VMs."""
        gateway = self.gateway
        while True:
            await trio.sleep(MAINTENANCE_INTERVAL_SECONDS)
            now = now_ms()
            gateway.budget.set_vms(1 + len(self._feeds.peers), 1 + gateway.peers.count_heard(now))
            gateway.directory.prune(now)
            if gateway.table is not None:
                gateway.durations.prune({route.name for route in gateway.table.routes})
            self._feeds.prune_peers()
            names = [item.announcement.server for item in gateway.directory.all_records()]
            gateway.server_health.prune(names)
            gateway.work_table.expire(now, names)
            gateway.rate_limits.prune(names)
            gateway.permits.tick(names)
            maintain_cold_servers(gateway, names)
            gateway.back_offs.prune(names, now)
            gateway.peers.expire_peers(now)
            gateway.crashes.prune(now)
            if gateway.waiting.enabled:
                gateway.waiting.expire(now)
                gateway.plain_admission.places.prune(names)
                waiting = gateway.waiting.own_count + gateway.plain_admission.waiting_count
                gateway.counters.gauge("admission.waiting", waiting)
            gateway.pool.prune(now)
            gateway.forwarding.prune(now)
            log_partition(gateway)
            report_evacuations(gateway)
            gateway.counters.gauge("requests.open", gateway.open_requests)
            gateway.counters.gauge("controls.heard", self._feeds.connected_count)
            gateway.counters.gauge("rate_limits.in_force", len(gateway.rate_limits))
            gateway.counters.gauge("back_offs.in_force", len(gateway.back_offs))
            gateway.counters.gauge("log.dropped", self._log.dropped)
            gateway.counters.gauge("responses.bytes", gateway.responses.held)
            gateway.counters.gauge("responses.peak", gateway.responses.peak)
            clients = gateway.clients
            gateway.counters.gauge("clients.connections", clients.connections.table.count)
            gateway.counters.gauge("clients.body_bytes", clients.arrivals.budget.held)
            if gateway.buffers.enabled:
                gateway.counters.gauge("buffer.bytes", gateway.buffers.held)
                gateway.counters.gauge("buffer.peak", gateway.buffers.peak)

    async def _reload_forever(self) -> None:
        """Reload the settings on SIGHUP and periodically, as they may change without a signal."""
        with trio.open_signal_receiver(signal.SIGHUP) as signals:
            while True:
                with trio.move_on_after(RELOAD_INTERVAL_SECONDS):
                    await signals.__anext__()
                self._settings_watch.reload()
