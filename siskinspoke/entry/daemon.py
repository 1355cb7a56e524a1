"""Set up the entry daemon and run it until it has drained."""

import random
import signal
import time
from contextlib import AsyncExitStack
from functools import partial

import trio
from loguru import logger

from siskinspoke.conf import Settings
from siskinspoke.conf.vm import process_descriptors
from siskinspoke.coordination.configuration import ConfigurationHolder
from siskinspoke.coordination.crash_watch import CrashWatch
from siskinspoke.coordination.directory import Directory
from siskinspoke.coordination.fairness import FairShares
from siskinspoke.coordination.memory_plan import ENTRY_SHARES, memory_plan
from siskinspoke.coordination.prefixes import PrefixIndex
from siskinspoke.coordination.retries import RetryBudget
from siskinspoke.coordination.routing import Router
from siskinspoke.coordination.watchers import SMALL_SITE_ENTRY_VMS
from siskinspoke.core.counters import Counters, create_counters
from siskinspoke.core.signals import receive_signals
from siskinspoke.core.stall_detector import StallDetector, tick_forever
from siskinspoke.entry.backend import Backend
from siskinspoke.entry.context import EntryContext
from siskinspoke.entry.control_client import ControlClient
from siskinspoke.entry.crashes import CrashReporter, EventLog
from siskinspoke.entry.followers import (
    AnnouncementFollower,
    CacheFollower,
    ConfigurationFollower,
    prune_forever,
)
from siskinspoke.entry.forwarding.deciding import ForwardDecision
from siskinspoke.entry.forwarding.probing import ServerProber
from siskinspoke.entry.forwarding.sending import Forwarder
from siskinspoke.entry.internal_app import internal_app, internal_rules
from siskinspoke.entry.janitor import Janitor
from siskinspoke.entry.public_app import public_app, public_rules
from siskinspoke.protocol.claims import Target
from siskinspoke.protocol.crashes import CrashNews
from siskinspoke.transport.client_resources import client_resources
from siskinspoke.transport.datagrams import open_datagram_port
from siskinspoke.transport.http import HttpServer
from siskinspoke.transport.http_server import LimitedServer, serve_limited

DRAIN_NOTICE_SECONDS = 0.5
CLEANUP_SECONDS = 3.0
WARM_UP_LEASES = 0.5
MAX_PENDING_CRASH_NEWS = 256


def _log_event(event: str, **fields: object) -> None:
    logger.warning("{}: {}", event, fields)


def make_context(
    settings: Settings,
    name: str,
    backend: Backend,
    control: ControlClient,
    counters: Counters,
    nursery: trio.Nursery,
) -> EntryContext:
    """Create and connect the components of an entry daemon."""
    vm = settings.entry(name)
    limits = settings.configuration.limits
    directory = Directory(settings.announcement_lease_ms)

    crash_news_sender, crash_news = trio.open_memory_channel[CrashNews](MAX_PENDING_CRASH_NEWS)

    def enqueue_crash_news(item: CrashNews) -> None:
        try:
            crash_news_sender.send_nowait(item)
        except trio.WouldBlock:
            counters.count("crash.untold")

    def is_superseded(target: Target) -> bool:
        return directory.superseded(target.server, target.incarnation)

    return EntryContext(
        vm=vm,
        settings=settings,
        incarnation=time.time_ns(),
        holder=ConfigurationHolder(settings.configuration, settings.configuration_document),
        directory=directory,
        router=Router(directory, PrefixIndex(), vm.failure_domain, backend.back_offs),
        shares=FairShares(limits.fair_window_ms),
        retries=RetryBudget(limits.retry_share),
        counters=counters,
        backend=backend,
        control=control,
        janitor=Janitor(backend, counters, is_superseded),
        crashes=CrashWatch(enqueue_crash_news, counters, EventLog()),
        crash_news=crash_news,
        rng=random.Random(),
        nursery=nursery,
        stall_detector=StallDetector(trio.current_time()),
    )


async def run_entry(settings: Settings, name: str) -> None:
    """Run the entry daemon of that name until SIGTERM, then drain."""
    vm = settings.entry(name)
    counters = create_counters(name, settings.statsd_host, settings.statsd_port)
    shutdown = trio.Event()
    async with AsyncExitStack() as stack:
        backend = await stack.enter_async_context(Backend(counters, vm.host))
        control = await stack.enter_async_context(
            ControlClient(settings.controls, settings.internal_key, name, counters, vm.host)
        )
        forwarder = await stack.enter_async_context(Forwarder(vm.host))
        nursery = await stack.enter_async_context(trio.open_nursery())
        context = make_context(settings, name, backend, control, counters, nursery)
        datagram_port = await open_datagram_port(
            vm.host, vm.internal_port, settings.internal_key, counters
        )
        plan = memory_plan(ENTRY_SHARES, vm.memory_mb, process_descriptors())
        clients = client_resources(plan, counters, _log_event)
        configuration_follower = ConfigurationFollower(context)
        configuration_follower.load()
        limits = context.holder.current.configuration.limits
        drain_seconds = limits.drain_ms / 1000
        crash_reporter = CrashReporter(context, datagram_port)
        prober = ServerProber(context)
        forwarding = ForwardDecision(context, prober, forwarder)
        tasks = [
            AnnouncementFollower(context, datagram_port, crash_reporter).run,
            crash_reporter.run,
            configuration_follower.run,
            context.janitor.run,
            backend.watch_forever,
            prober.run,
            partial(tick_forever, context.stall_detector),
        ]
        if len(settings.entries) <= SMALL_SITE_ENTRY_VMS:
            # A busy engine produces about 4 KB of cache events a second.  Polling them is too
            # expensive in a large fleet, where the daemon relies on its own dispatches alone.
            tasks.append(CacheFollower(context).run)
        for task in tasks:
            nursery.start_soon(task)
        nursery.start_soon(prune_forever, context)
        nursery.start_soon(_drain_on_signal, context)
        async with trio.open_nursery() as servers:
            for app, rules, listen_port in (
                (internal_app(context), internal_rules, vm.internal_port),
                (public_app(context, forwarding), public_rules, vm.port),
            ):
                if listen_port == vm.port:
                    await _wait_for_announcements(settings)
                server = HttpServer(app, vm.host, listen_port, drain_seconds)
                limited = LimitedServer(server, partial(rules, context), clients)
                await servers.start(serve_limited, limited, shutdown)
            logger.info("entry {} serves on {}:{}", name, vm.host, vm.port)
            await _until_drained(context, drain_seconds)
            shutdown.set()
        await _until_idle(context)
        nursery.cancel_scope.cancel()


async def _wait_for_announcements(settings: Settings) -> None:
    """Wait until the backend servers have had time to announce themselves.

    A VM that opened its port right after the start would refuse requests because it knows no
    server yet.  The load balancer uses the other VMs while the port is closed.
    """
    await trio.sleep(settings.announcement_lease_ms / 1000 * WARM_UP_LEASES)


async def _until_drained(context: EntryContext, drain_seconds: float) -> None:
    """Wait for SIGTERM or a drain by an operator, then for open requests to end.

    New requests are meanwhile refused as "not run"; the pause lets the load balancer notice the
    drain before the port closes.
    """
    await context.drain_begun.wait()
    logger.info("entry {} drains, {} requests open", context.vm.name, context.open_requests)
    await trio.sleep(DRAIN_NOTICE_SECONDS)
    with trio.move_on_after(drain_seconds):
        await context.drained.wait()


async def _drain_on_signal(context: EntryContext) -> None:
    """Drain on a signal; further ones change nothing, and must not end the process."""
    with receive_signals(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            context.begin_drain()


async def _until_idle(context: EntryContext) -> None:
    """Wait briefly for the tasks of the janitor; leases cover those that remain."""
    with trio.move_on_after(CLEANUP_SECONDS):
        while not context.janitor.idle:
            await trio.sleep(0.05)
