"""What an entry VM makes of servers' crashes: who is told, and which requests are not sent."""

from collections.abc import Iterable
from typing import Any

import trio
from loguru import logger

from siskinspoke.conf.settings import EntryVM
from siskinspoke.coordination.crashes import Quarantined, Undecided, Verdict
from siskinspoke.coordination.fingerprints import Subject
from siskinspoke.coordination.watchers import rendezvous_order
from siskinspoke.coordination.witnesses import speaks_for_cut, witnesses_of
from siskinspoke.core.codes import Failure
from siskinspoke.entry.context import EntryContext, now_ms, target_of
from siskinspoke.protocol.claims import Target
from siskinspoke.protocol.crashes import CrashNews, CrashSpread, CrashWant
from siskinspoke.transport.datagrams import DatagramPort

# A VM asks another one this often for what it may have missed: a datagram may be lost, the VM may
# have been cut off, or have just started.  Who knows of no crash does not answer.
ASK_SECONDS = 3.0
FORGET_SECONDS = 1.0


class LogLines:
    """Write events to this process's log."""

    def note(self, event: str, **fields: Any) -> None:
        """Write down one event and what decided it."""
        logger.info("{} {}", event, fields)


async def verdict_on(context: EntryContext, subject: Subject) -> Verdict:
    """Return what is to become of a request, once that is decided."""
    while True:
        verdict = context.crashes.judge(subject, now_ms())
        if not isinstance(verdict, Undecided):
            return verdict
        context.counters.count("quarantine.waits")
        await trio.sleep(verdict.wait_seconds)


async def note_refusal(context: EntryContext, target: Target) -> None:
    """Take in that a server refuses connections, unless its whole failure domain does.

    A cut may reset connections and refuse new ones; then nobody there has crashed.
    """
    record = context.directory.latest(target.server)
    domain = record.announcement.failure_domain if record is not None else ""
    live, has_crashed = context.directory.live(now_ms()), context.crashes.has_crashed
    asked = witnesses_of(target.server, domain, live, has_crashed, context.rng)
    reached = [not await context.backend.refuses(target_of(item)) for item in asked]
    if speaks_for_cut(reached):
        context.counters.count("crash.doubted")
        logger.info("domain.refuses {}", {"domain": domain, "server": target.server})
        return
    context.crashed(target)


def refusal(context: EntryContext, verdict: Quarantined) -> Failure:
    """Count a request that is not sent, and return its answer."""
    context.counters.count("quarantine.refused")
    return verdict.refusal


class CrashTeller:
    """Tell other entry VMs of crashes: all of the own failure domain, and one of each other.

    A VM of a large fleet would otherwise send hundreds of datagrams for each crash.
    """

    def __init__(self, context: EntryContext, port: DatagramPort):
        self._context = context
        self._port = port
        entries = [item for item in context.settings.entries if item.name != context.me.name]
        self._near = [item for item in entries if item.failure_domain == self._domain]
        self._far = [item for item in entries if item.failure_domain != self._domain]

    @property
    def _domain(self) -> str:
        return self._context.me.failure_domain

    async def run(self) -> None:
        """Tell what this VM learns, ask for what it may lack, and forget what is old, forever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tell_forever)
            nursery.start_soon(self._ask_forever)
            nursery.start_soon(self._forget_forever)

    async def _tell_forever(self) -> None:
        async for news in self._context.crash_news:
            await self._send(news, [*self._near, *self._heads(news)])

    async def _send(self, news: CrashNews, entries: Iterable[EntryVM]) -> None:
        addresses = [(item.host, item.internal_port) for item in entries]
        await self._port.send_to_all(CrashSpread(self._domain, news), addresses)

    def _heads(self, news: CrashNews) -> list[EntryVM]:
        """Return one VM of each other failure domain; which one differs from crash to crash."""
        key = repr(news)
        by_domain: dict[str, dict[str, EntryVM]] = {}
        for item in self._far:
            by_domain.setdefault(item.failure_domain, {})[item.name] = item
        return [items[rendezvous_order(key, items)[0]] for items in by_domain.values()]

    async def _ask_forever(self) -> None:
        """Ask soon after the start: the caller of such a request may come here next."""
        others = [*self._near, *self._far]
        me = self._context.settings.entries.index(self._context.me)
        while others:
            other = self._context.rng.choice(others)
            await self._port.send(CrashWant(me), other.host, other.internal_port)
            await trio.sleep(ASK_SECONDS * self._context.rng.uniform(0.5, 1.0))

    async def _forget_forever(self) -> None:
        while True:
            await trio.sleep(FORGET_SECONDS)
            self._context.crashes.forget(now_ms())

    async def hear(self, spread: CrashSpread) -> None:
        """Take in what another VM tells; pass on in this failure domain what came from outside."""
        fresh = self._context.crashes.hear(spread.news, now_ms())
        if any(fresh) and spread.domain != self._domain:
            await self._send(fresh, self._near)

    async def answer(self, want: CrashWant) -> None:
        """Tell a VM that may have started just now all that matters."""
        entries = self._context.settings.entries
        if not 0 <= want.place < len(entries):
            return
        for news in self._context.crashes.all_news(now_ms()):
            await self._send(news, [entries[want.place]])
