"""Compose the entry daemon and run it until it has drained."""

import random
import signal
import time
from contextlib import AsyncExitStack
from functools import partial

import trio
from loguru import logger

from siskinspoke.conf import Settings
from siskinspoke.coordination.configuration import ConfigurationHolder
from siskinspoke.coordination.crash_watch import CrashWatch
from siskinspoke.coordination.directory import Directory
from siskinspoke.coordination.fairness import FairShares
from siskinspoke.coordination.prefixes import PrefixIndex
from siskinspoke.coordination.retries import RetryBudget
from siskinspoke.coordination.routing import Router
from siskinspoke.coordination.watchers import SMALL_SITE
from siskinspoke.core.counters import Counters, counters_for
from siskinspoke.core.standstill import Standstill, tick_forever
from siskinspoke.entry.backend import Backend
from siskinspoke.entry.context import EntryContext
from siskinspoke.entry.control_client import ControlClient
from siskinspoke.entry.crashes import CrashTeller, LogLines
from siskinspoke.entry.followers import (
    AnnouncementFollower,
    CacheFollower,
    ConfigurationFollower,
    forget_forever,
)
from siskinspoke.entry.internal_app import internal_app
from siskinspoke.entry.janitor import Janitor
from siskinspoke.entry.public_app import public_app
from siskinspoke.protocol.claims import Target
from siskinspoke.protocol.crashes import CrashNews
from siskinspoke.transport.datagrams import open_datagram_port
from siskinspoke.transport.http import HttpServer, serve

REFUSING_SECONDS = 0.5
CHORES_SECONDS = 3.0
WARM_UP_LEASES = 0.5
# News of crashes that wait to be told.
MOST_CRASH_NEWS = 256


def make_context(
    settings: Settings,
    name: str,
    backend: Backend,
    control: ControlClient,
    counters: Counters,
    nursery: trio.Nursery,
) -> EntryContext:
    """Return the wired parts of an entry daemon."""
    me = settings.entry(name)
    limits = settings.configuration.limits
    directory = Directory(settings.announcement_lease_ms)

    news, crash_news = trio.open_memory_channel[CrashNews](MOST_CRASH_NEWS)

    def tell(item: CrashNews) -> None:
        try:
            news.send_nowait(item)
        except trio.WouldBlock:
            counters.count("crash.untold")

    def is_gone(target: Target) -> bool:
        return directory.superseded(target.server, target.incarnation)

    return EntryContext(
        me=me,
        settings=settings,
        incarnation=time.time_ns(),
        holder=ConfigurationHolder(settings.configuration, settings.configuration_document),
        directory=directory,
        router=Router(directory, PrefixIndex(), me.failure_domain, backend.back_offs),
        shares=FairShares(limits.fair_window_ms),
        retries=RetryBudget(limits.retry_share),
        counters=counters,
        backend=backend,
        control=control,
        janitor=Janitor(backend, counters, is_gone),
        crashes=CrashWatch(tell, counters, LogLines()),
        crash_news=crash_news,
        rng=random.Random(),
        nursery=nursery,
        standstill=Standstill(trio.current_time()),
    )


async def run_entry(settings: Settings, name: str) -> None:
    """Run the entry daemon of that name until SIGTERM, then drain."""
    me = settings.entry(name)
    counters = counters_for(name, settings.statsd_host, settings.statsd_port)
    shutdown = trio.Event()
    async with AsyncExitStack() as stack:
        backend = await stack.enter_async_context(Backend(counters, me.host))
        control = await stack.enter_async_context(
            ControlClient(settings.controls, settings.internal_key, name, counters, me.host)
        )
        nursery = await stack.enter_async_context(trio.open_nursery())
        context = make_context(settings, name, backend, control, counters, nursery)
        port = await open_datagram_port(me.host, me.internal_port, settings.internal_key, counters)
        follower = ConfigurationFollower(context)
        follower.load()
        limits = context.holder.current.configuration.limits
        drain_seconds = limits.drain_ms / 1000
        teller = CrashTeller(context, port)
        tasks = [
            AnnouncementFollower(context, port, teller).run,
            teller.run,
            follower.run,
            context.janitor.run,
            backend.watch_forever,
            partial(tick_forever, context.standstill),
        ]
        if len(settings.entries) <= SMALL_SITE:
            # One busy engine gives some 4 KB of cache events a second.  A daemon of a large
            # fleet cannot afford to follow them and goes by its own dispatches alone.
            tasks.append(CacheFollower(context).run)
        for task in tasks:
            nursery.start_soon(task)
        nursery.start_soon(forget_forever, context)
        async with trio.open_nursery() as servers:
            for app, listen in (
                (internal_app(context), me.internal_port),
                (public_app(context), me.port),
            ):
                if listen == me.port:
                    await _hear_announcements(settings)
                server = HttpServer(app, me.host, listen, drain_seconds)
                await servers.start(serve, server, shutdown)
            logger.info("entry {} serves on {}:{}", name, me.host, me.port)
            await _until_drained(context, drain_seconds)
            shutdown.set()
        await _until_idle(context)
        nursery.cancel_scope.cancel()


async def _hear_announcements(settings: Settings) -> None:
    """Wait until the backend servers have had time to announce themselves.

    A VM that took callers at once after its start would refuse them, since it knows no server
    yet; the balancer sends them to the others while the port is closed.
    """
    await trio.sleep(settings.announcement_lease_ms / 1000 * WARM_UP_LEASES)


async def _until_drained(context: EntryContext, drain_seconds: float) -> None:
    """Wait for SIGTERM or an operator's drain, then for open requests to end.

    New requests meanwhile get a refusal that says "not run"; the pause lets the balancer
    notice before the port closes.
    """
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_drain_on_signal, context)
        await context.drain_begun.wait()
        logger.info("entry {} drains, {} requests open", context.me.name, context.open_requests)
        await trio.sleep(REFUSING_SECONDS)
        with trio.move_on_after(drain_seconds):
            await context.drained.wait()
        nursery.cancel_scope.cancel()


async def _drain_on_signal(context: EntryContext) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            context.begin_drain()


async def _until_idle(context: EntryContext) -> None:
    """Give the janitor's chores a little time; leases cover those that stay."""
    with trio.move_on_after(CHORES_SECONDS):
        while not context.janitor.idle:
            await trio.sleep(0.05)
