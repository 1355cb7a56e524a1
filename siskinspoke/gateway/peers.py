"""Exchange updates on engine work with the other entry VMs of a cell.

Work at engines of another cell is reported to that cell, which tracks their load. All other
updates go to this VM's own cell only.
"""

import random
from collections.abc import Callable
from typing import Any

import trio

from siskinspoke.coordination.books import Books, Job, Work
from siskinspoke.coordination.cells import Cell
from siskinspoke.coordination.domains import Domains
from siskinspoke.coordination.retries import CommonBudget
from siskinspoke.core.counters import Counters
from siskinspoke.gateway.cells import CellView
from siskinspoke.gateway.questions import Questions
from siskinspoke.protocol.crashes import CrashNews
from siskinspoke.protocol.feed import ControlUp
from siskinspoke.protocol.peers import (
    EnginePace,
    PermitReply,
    PermitRequest,
    PlaceOffer,
    PlaceQuestion,
    RateLimitNews,
    WorkBegan,
    WorkNews,
)
from siskinspoke.transport.datagrams import DatagramPort

# Smaller changes of an engine's pace do not affect placement.
PACE_NEWS = 0.1
# New work is sent at once, since other VMs place requests by it. Other updates wait this long so
# that several share one datagram.
TELL_SECONDS = 0.2
# Limit on the pending updates of one kind; more cannot accumulate before the next send.
MOST_NEWS = 512
# Keep-alive interval of a VM that has open work but no updates. In a large fleet each VM gets less
# than one request a second, so its work would otherwise expire while its streams are running.
ALIVE_MS = 800.0
# A VM not heard from for this long is dead, or partitioned together with its clients' streams. Its
# work is dropped, since the engines involved would otherwise appear busy.
SILENT_MS = 2_500.0
# A VM with no requests for this long, or that cannot be heard, gets no share of the retry budget.
HEARD_MS = 5_000.0


class Peers:
    """Send and receive the datagrams between entry VMs."""

    def __init__(
        self,
        host: str,
        domain: str,
        books: Books,
        budget: CommonBudget,
        domains: Domains,
        cells: CellView,
        questions: Questions,
        counters: Counters,
        heard_peer: Callable[[str, str], None],
        heard_lost: Callable[[str], None],
        heard_crashes: Callable[[CrashNews], None] = lambda news: None,
        heard_control: Callable[[str], None] = lambda host: None,
        work_began: Callable[[Work], None] = lambda work: None,
        heard_rate_limit: Callable[[RateLimitNews], None] = lambda news: None,
    ):
        self._host = host
        self._domain = domain
        self._books = books
        self._budget = budget
        self._domains = domains
        self._cells = cells
        self._questions = questions
        self._counters = counters
        self._heard_peer = heard_peer
        self._heard_lost = heard_lost
        self._heard_crashes = heard_crashes
        self._heard_control = heard_control
        self._work_began = work_began
        self._heard_rate_limit = heard_rate_limit
        self._crash_news: list[CrashNews] = []
        self._rate_limits: dict[tuple[str, int], tuple[float | None, float]] = {}
        self._next = 0
        # Distinguishes this process from earlier ones on the same VM.
        self._start = f"{random.getrandbits(32):x}"
        self._heard: dict[str, tuple[str, float]] = {}
        self._news: dict[Cell, WorkNews] = {}
        # The cells that track each open work item of this VM, by work number.
        self._watching: dict[int, set[Cell]] = {}
        self._told_at: dict[Cell, float] = {}
        self._some_news = trio.Event()
        self._urgent = trio.Event()

    def began(self, work: Work) -> int:
        """Record work in the load state of this VM and of its peers, and return its number."""
        self._next += 1
        number, job = self._next, work.job
        self._books.begin(self._name(number), work)
        self._work_began(work)
        news = WorkBegan(
            number,
            list(work.servers),
            job.tokens,
            job.max_tokens,
            job.target_ms,
            job.pause_ms,
            list(work.held),
            work.alone,
        )
        self._watching[number] = self._cells.watching(work.servers)
        for cell in self._watching[number]:
            self._tell(self._news_for(cell).began, news)
        self._urgent.set()
        return number

    def wrote(self, number: int) -> None:
        """Record that the first token of some work was written."""
        self._books.wrote(self._name(number))
        for cell in self._watching[number]:
            self._tell(self._news_for(cell).wrote, number)

    def ended(self, number: int) -> None:
        """Remove finished work from the load state."""
        self._books.end(self._name(number))
        for cell in self._watching.pop(number):
            self._tell(self._news_for(cell).ended, number)

    def cut(self, domain: str) -> None:
        """Tell the other VMs that a failure domain has become unreachable."""
        self._tell(self._own_news().cuts, domain)
        self._urgent.set()

    def lost(self, server: str) -> None:
        """Tell the other VMs that a server is unreachable from this VM."""
        self._tell(self._own_news().lost, server)
        self._urgent.set()

    def crashes(self, news: CrashNews) -> None:
        """Send the crash information of this VM to the other VMs of its cell.

        They also receive it from control VMs, but a partition may separate them from those.
        """
        self._tell(self._crash_news, news)
        self._urgent.set()

    def rate_limit(self, start: tuple[str, int], rate: float | None, now: float) -> None:
        """Send a server's overall rate limit to this cell and to those that track the server."""
        self._rate_limits[start] = rate, now
        self._some_news.set()
        self._urgent.set()

    def paced(self, server: str, pace: float) -> None:
        """Record the pace reported by an engine, and send it to the peers if it has changed."""
        changed = abs(self._books.engine(server).pace - pace) > PACE_NEWS
        self._books.engine(server).pace = pace
        if changed:
            self._tell(self._own_news().paces, EnginePace(server, pace))

    def _name(self, number: int) -> str:
        return _work_name(self._host, self._start, number)

    def _no_news(self) -> WorkNews:
        return WorkNews(self._host, self._start, [], [], [], [], [], self._domain, [], [])

    def _news_for(self, cell: Cell) -> WorkNews:
        found = self._news.get(cell)
        if found is None:
            found = self._news[cell] = self._no_news()
        return found

    def _own_news(self) -> WorkNews:
        return self._news_for(self._cells.mine)

    def _tell(self, items: list, item: Any) -> None:
        if len(items) >= MOST_NEWS:
            self._counters.count("peers.dropped")
            return
        items.append(item)
        self._some_news.set()

    async def run(self, port: DatagramPort) -> None:
        """Send and receive forever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(port.receive_forever, self._hear)
            self._questions.use(port)
            while True:
                with trio.move_on_after(ALIVE_MS / 1000):
                    await self._some_news.wait()
                with trio.move_on_after(TELL_SECONDS):
                    await self._urgent.wait()
                self._some_news, self._urgent = trio.Event(), trio.Event()
                await self._tell_all(port)

    async def _tell_all(self, port: DatagramPort) -> None:
        now = trio.current_time() * 1000
        crash_news, self._crash_news = self._crash_news, []
        for item in crash_news:
            await port.send_to_all(item, self._cells.addresses(self._cells.mine))
        rate_limits, self._rate_limits = self._rate_limits, {}
        for (server, incarnation), (rate, at) in rate_limits.items():
            item = RateLimitNews(server, incarnation, rate, now - at)
            for cell in {self._cells.mine, *self._cells.watching([server])}:
                await port.send_to_all(item, self._cells.addresses(cell))
        news, self._news = self._news, {}
        mine = self._cells.mine
        if mine in news or self._budget.has_repeats_to_tell:
            news.setdefault(mine, self._no_news()).calls.extend(self._budget.take_news())
        for cell in self._silent_to(now):
            news.setdefault(cell, self._no_news())
        for cell, item in news.items():
            self._told_at[cell] = now
            await port.send_to_all(item, self._cells.addresses(cell))

    def _silent_to(self, now: float) -> set[Cell]:
        """Return the cells that track open work of this VM and are due for a keep-alive."""
        open_at = {cell for cells in self._watching.values() for cell in cells}
        for cell in self._told_at.keys() - open_at:
            del self._told_at[cell]
        return {cell for cell in open_at if now - self._told_at.get(cell, 0.0) > ALIVE_MS}

    def heard(self, now: float) -> int:
        """Return how many VMs of the cell were heard from recently; ``now`` is in milliseconds."""
        return sum(
            now - at < HEARD_MS and self._cells.is_neighbour(host)
            for host, (_, at) in self._heard.items()
        )

    def heard_within(self, host: str, ms: float, now: float) -> bool:
        """Return whether a VM was heard from within ``ms``; ``now`` is in milliseconds."""
        known = self._heard.get(host)
        return known is not None and now - known[1] < ms

    def forget_silent(self, now: float) -> None:
        """Drop the work of VMs no longer heard from; ``now`` is in milliseconds."""
        for host, (start, at) in list(self._heard.items()):
            if now - at > SILENT_MS and self._books.end_all(_work_name(host, start, "")):
                self._counters.count("peers.silent")
            if now - at > HEARD_MS:
                del self._heard[host]

    def _note_speaker(self, host: str, start: str, domain: str) -> None:
        """Record the sender; if its process has restarted, drop the work of the old one."""
        known = self._heard.get(host)
        if known is not None and known[0] != start:
            self._books.end_all(_work_name(host, known[0], ""))
        self._heard[host] = (start, trio.current_time() * 1000)
        self._heard_peer(host, domain)

    async def _hear(self, item: Any) -> None:
        match item:
            case WorkNews():
                self._hear_news(item)
            case PlaceQuestion() | PermitRequest():
                await self._questions.answer(item)
            case PlaceOffer() | PermitReply():
                self._questions.hear(item)
            case RateLimitNews():
                self._heard_rate_limit(item)
            case CrashNews():
                self._heard_crashes(item)
            case ControlUp(host=host):
                self._heard_control(host)
            case _:
                self._counters.count("datagram.refused.kind")

    def _hear_news(self, item: WorkNews) -> None:
        host, start = item.host, item.start
        self._note_speaker(host, start, item.domain)
        now = trio.current_time() * 1000
        for began in item.began:
            job = Job(began.tokens, began.max_tokens, began.target_ms, began.pause_ms)
            work = Work(job, tuple(began.servers), now, tuple(began.held), alone=began.alone)
            self._books.begin(_work_name(host, start, began.number), work)
            self._work_began(work)
        for number in item.wrote:
            self._books.wrote(_work_name(host, start, number))
        for number in item.ended:
            self._books.end(_work_name(host, start, number))
        for calls in item.calls:
            self._budget.heard(calls, now)
        if item.domain == self._domain:
            for domain in item.cuts:
                if self._domains.told(domain, host, now):
                    self._counters.count("domain.cut_told")
        for server in item.lost:
            self._heard_lost(server)
        for pace in item.paces:
            self._books.engine(pace.server).pace = pace.pace


def _work_name(host: str, start: str, number: int | str) -> str:
    """Return the key of work in the load state."""
    return f"{host}/{start}/{number}"
