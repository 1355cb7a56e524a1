"""Server crashes at an entry VM: detection, exchange between VMs and quarantine."""

from collections.abc import Iterable
from typing import Any

import trio
from loguru import logger

from siskinspoke.conf.settings import EntryVM
from siskinspoke.coordination.crashes import Quarantined, Undecided, Verdict
from siskinspoke.coordination.fingerprints import RequestIdentity
from siskinspoke.coordination.watchers import rendezvous_order
from siskinspoke.coordination.witnesses import indicates_partition, witnesses_of
from siskinspoke.core.codes import Failure
from siskinspoke.entry.context import EntryContext, now_ms, target_of
from siskinspoke.protocol.claims import Target
from siskinspoke.protocol.crashes import CrashNews, CrashSpread, CrashWant
from siskinspoke.transport.datagrams import DatagramPort

# Interval of requests to a random VM for news that this VM may have missed because a datagram was
# lost, or the VM was cut off or has just started.  A VM that knows of no crash does not answer.
REQUEST_INTERVAL_SECONDS = 3.0
PRUNE_INTERVAL_SECONDS = 1.0


class EventLog:
    """An event log that writes to the log of this process."""

    def note(self, event: str, **fields: Any) -> None:
        """Log one event with the fields that explain it."""
        logger.info("{} {}", event, fields)


async def wait_for_verdict(context: EntryContext, identity: RequestIdentity) -> Verdict:
    """Wait until the quarantine verdict on a request is decided and return it."""
    while True:
        verdict = context.crashes.judge(identity, now_ms())
        if not isinstance(verdict, Undecided):
            return verdict
        context.counters.count("quarantine.waits")
        await trio.sleep(verdict.wait_seconds)


async def handle_connection_refused(context: EntryContext, target: Target) -> None:
    """Record a crash of a server that refuses connections, unless its whole domain does.

    A network partition may reset connections and refuse new ones although no server has crashed.
    """
    record = context.directory.latest(target.server)
    domain = record.announcement.failure_domain if record is not None else ""
    live, has_crashed = context.directory.live(now_ms()), context.crashes.has_crashed
    witnesses = witnesses_of(target.server, domain, live, has_crashed, context.rng)
    reached = [not await context.backend.refuses_connections(target_of(item)) for item in witnesses]
    if indicates_partition(reached):
        context.counters.count("crash.doubted")
        logger.info("domain.refuses {}", {"domain": domain, "server": target.server})
        return
    context.record_crash(target)


def count_quarantine_refusal(context: EntryContext, verdict: Quarantined) -> Failure:
    """Count a request that is refused by quarantine and return its failure."""
    context.counters.count("quarantine.refused")
    return verdict.refusal


class CrashReporter:
    """Report crashes to all entry VMs of the local failure domain and one of each other domain.

    Reporting to every VM would take hundreds of datagrams for each crash in a large fleet.
    """

    def __init__(self, context: EntryContext, port: DatagramPort):
        self._context = context
        self._port = port
        entries = [item for item in context.settings.entries if item.name != context.vm.name]
        self._local_entries = [
            item for item in entries if item.failure_domain == self._local_domain
        ]
        self._remote_entries = [
            item for item in entries if item.failure_domain != self._local_domain
        ]

    @property
    def _local_domain(self) -> str:
        return self._context.vm.failure_domain

    async def run(self) -> None:
        """Send local news, request missed news and prune old records, forever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_forever)
            nursery.start_soon(self._request_forever)
            nursery.start_soon(self._prune_forever)

    async def _send_forever(self) -> None:
        async for news in self._context.crash_news:
            await self._send(news, [*self._local_entries, *self._one_per_domain(news)])

    async def _send(self, news: CrashNews, entries: Iterable[EntryVM]) -> None:
        addresses = [(item.host, item.internal_port) for item in entries]
        await self._port.send_to_all(CrashSpread(self._local_domain, news), addresses)

    def _one_per_domain(self, news: CrashNews) -> list[EntryVM]:
        """Return one VM of each other failure domain, chosen by a hash of the news."""
        key = repr(news)
        by_domain: dict[str, dict[str, EntryVM]] = {}
        for item in self._remote_entries:
            by_domain.setdefault(item.failure_domain, {})[item.name] = item
        return [items[rendezvous_order(key, items)[0]] for items in by_domain.values()]

    async def _request_forever(self) -> None:
        """Request news from random VMs, first right after the start.

        The caller of a request that crashes servers may retry it at this VM next.
        """
        others = [*self._local_entries, *self._remote_entries]
        own_index = self._context.settings.entries.index(self._context.vm)
        while others:
            other = self._context.rng.choice(others)
            await self._port.send(CrashWant(own_index), other.host, other.internal_port)
            await trio.sleep(REQUEST_INTERVAL_SECONDS * self._context.rng.uniform(0.5, 1.0))

    async def _prune_forever(self) -> None:
        while True:
            await trio.sleep(PRUNE_INTERVAL_SECONDS)
            self._context.crashes.prune(now_ms())

    async def receive(self, spread: CrashSpread) -> None:
        """Apply news of another VM; forward news from other failure domains locally."""
        unseen = self._context.crashes.apply(spread.news, now_ms())
        if any(unseen) and spread.domain != self._local_domain:
            await self._send(unseen, self._local_entries)

    async def handle_want(self, request: CrashWant) -> None:
        """Send all relevant news to a VM that requests them."""
        entries = self._context.settings.entries
        if not 0 <= request.place < len(entries):
            return
        for news in self._context.crashes.all_reports(now_ms()):
            await self._send(news, [entries[request.place]])
