"""Exchange updates on engine work with the other entry VMs of a cell.

Work at engines of another cell is reported to that cell, which tracks their load. All other
updates go to this VM's own cell only.
"""

import math
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any, Protocol

import trio

from siskinspoke.coordination.cells import Cell
from siskinspoke.coordination.domains import DomainMonitor
from siskinspoke.coordination.retries import SharedRetryBudget
from siskinspoke.coordination.work_table import Job, Work, WorkTable
from siskinspoke.core.counters import Counters
from siskinspoke.gateway.cells import CellView
from siskinspoke.gateway.plain_admission import PlainAdmission
from siskinspoke.gateway.queries import Queries
from siskinspoke.protocol.crashes import CrashNews
from siskinspoke.protocol.feed import ControlUp
from siskinspoke.protocol.peers import (
    ColdPermitRequest,
    EnginePace,
    LeaseReply,
    LeaseRequest,
    OpenCalls,
    PermitReply,
    PermitRequest,
    PlaceOffer,
    PlaceQuestion,
    RateLimitNews,
    WaitBegan,
    WorkBegan,
    WorkNews,
)
from siskinspoke.transport.datagrams import DatagramPort

# Smaller changes of an engine's pace do not affect placement.
MIN_PACE_CHANGE = 0.1
# New work is sent at once, since other VMs place requests by it. Other updates wait this long so
# that several share one datagram.
BATCH_DELAY_SECONDS = 0.2
# Limit on the pending updates of one kind; more cannot accumulate before the next send.
MAX_PENDING_UPDATES = 512
# Keep-alive interval of a VM that has open work but no updates. In a large fleet each VM gets less
# than one request a second, so its work would otherwise expire while its streams are running.
KEEPALIVE_INTERVAL_MS = 800.0
# A VM not heard from for this long is dead, or partitioned together with its clients' streams. Its
# work is dropped, since the engines involved would otherwise appear busy.
PEER_TIMEOUT_MS = 2_500.0
# A VM with no requests for this long, or that cannot be heard, gets no share of the retry budget.
BUDGET_TIMEOUT_MS = 5_000.0


# Changed numbers of open plain calls travel with other updates.  Where a server becomes full or
# free they are sent without any, no more often than this: with 24 VMs in a cell each message is
# sent 23 times.
OPEN_CALLS_INTERVAL_MS = 1_000.0


class WaitingView(Protocol):
    """The requests of the cell that wait for room, which ``Peers`` keeps up to date."""

    def anybody_waits(self) -> bool:
        """Return whether a request of this VM or another is known to wait."""

    def add_remote(self, prefix: str, items: Sequence[WaitBegan]) -> None:
        """Add requests of another VM; their names begin with ``prefix``."""

    def remove_remote(self, prefix: str, numbers: Sequence[int]) -> None:
        """Remove requests of another VM that no longer wait."""

    def remove_vm(self, prefix: str) -> None:
        """Remove all requests of a VM that is silent or has restarted."""

    def room_changed(self) -> None:
        """Handle the end of work at some engine."""


class Peers:
    """Send and receive the datagrams between entry VMs."""

    def __init__(
        self,
        host: str,
        domain: str,
        work_table: WorkTable,
        budget: SharedRetryBudget,
        domains: DomainMonitor,
        cells: CellView,
        queries: Queries,
        counters: Counters,
        on_peer: Callable[[str, str], None],
        on_unreachable_server: Callable[[str], None],
        on_crashes: Callable[[CrashNews], None] = lambda news: None,
        on_control: Callable[[str], None] = lambda host: None,
        on_work_began: Callable[[Work], None] = lambda work: None,
        on_rate_limit: Callable[[RateLimitNews], None] = lambda news: None,
        open_calls: PlainAdmission | None = None,
        waiting: WaitingView | None = None,
        on_unreachable_domain: Callable[[str], None] = lambda domain: None,
        unreachable_now: Callable[[], Iterable[str]] = tuple,
    ):
        self._host = host
        self._domain = domain
        self._work_table = work_table
        self._budget = budget
        self._domains = domains
        self._cells = cells
        self._queries = queries
        self._counters = counters
        self._on_peer = on_peer
        self._on_unreachable_server = on_unreachable_server
        self._on_crashes = on_crashes
        self._on_control = on_control
        self._on_work_began = on_work_began
        self._on_rate_limit = on_rate_limit
        self._open_calls = open_calls
        self._open_calls_sent_ms = -math.inf
        self._waiting = waiting
        self._open_waits: set[int] = set()
        self._on_unreachable_domain = on_unreachable_domain
        self._unreachable_now = unreachable_now
        # The failure domains that this VM, by its last message, and the others cannot reach.
        self._sent_unreachable: list[str] = []
        self._unreachable: dict[str, frozenset[str]] = {}
        self._open_work: dict[str, int] = {}
        self._pending_crashes: list[CrashNews] = []
        self._pending_rate_limits: dict[tuple[str, int], tuple[float | None, float]] = {}
        self._last_number = 0
        # Distinguishes this process from earlier ones on the same VM.
        self._process_id = f"{random.getrandbits(32):x}"
        self._last_heard: dict[str, tuple[str, float]] = {}
        self._pending_work: dict[Cell, WorkNews] = {}
        # The cells that track each open work item of this VM, by work number.
        self._tracking_cells: dict[int, set[Cell]] = {}
        self._last_sent_ms: dict[Cell, float] = {}
        self._has_updates = trio.Event()
        self._send_now = trio.Event()

    def begin_work(self, work: Work) -> int:
        """Record work in the work tables of this VM and its peers, and return its number."""
        self._last_number += 1
        number, job = self._last_number, work.job
        self._work_table.add(self._own_work_key(number), work)
        self._on_work_began(work)
        update = WorkBegan(
            number,
            list(work.servers),
            job.tokens,
            job.max_tokens,
            job.target_ms,
            job.pause_ms,
            list(work.held),
            work.exclusive,
        )
        self._tracking_cells[number] = self._cells.cells_tracking(work.servers)
        for cell in self._tracking_cells[number]:
            self._enqueue(self._update_for(cell).began, update)
        self._send_now.set()
        return number

    def mark_first_token(self, number: int) -> None:
        """Record that the first token of some work was written."""
        self._work_table.mark_first_token(self._own_work_key(number))
        for cell in self._tracking_cells[number]:
            self._enqueue(self._update_for(cell).wrote, number)
        if self._waiting is not None:
            # The engines that only prefilled parts of the prompt have room again.
            self._waiting.room_changed()

    def end_work(self, number: int) -> None:
        """Remove finished work from the work table."""
        self._work_table.remove(self._own_work_key(number))
        for cell in self._tracking_cells.pop(number):
            self._enqueue(self._update_for(cell).ended, number)
        if self._waiting is not None and self._waiting.anybody_waits():
            self._send_now.set()
            self._waiting.room_changed()

    def wait_key(self, number: int) -> str:
        """Return the name of a waiting request of this VM, unique in the fleet."""
        return self._own_work_key(number)

    def begin_wait(self, item: WaitBegan) -> None:
        """Tell the other VMs of the cell that a request waits."""
        self._open_waits.add(item.number)
        self._enqueue(self._own_cell_update().waiting, item)
        self._send_now.set()

    def end_wait(self, number: int) -> None:
        """Tell the other VMs of the cell that a request no longer waits.

        If it got room, this leaves with the work that begins; otherwise it may wait for the batch.
        """
        self._open_waits.discard(number)
        self._enqueue(self._own_cell_update().left, number)

    def reachability_changed(self) -> None:
        """Tell the other VMs now which failure domains cannot be reached from this VM."""
        self._has_updates.set()
        self._send_now.set()

    def unreachable_domains(self, host: str) -> frozenset[str]:
        """Return the failure domains that another VM cannot reach, as far as it was heard."""
        return self._unreachable.get(host, frozenset())

    def open_work(self, host: str) -> int:
        """Return how much work at engines another VM has open, as far as it was heard."""
        return self._open_work.get(host, 0)

    def send_unreachable_server(self, server: str) -> None:
        """Tell the other VMs that a server is unreachable from this VM."""
        self._enqueue(self._own_cell_update().lost, server)
        self._send_now.set()

    def send_crashes(self, crashes: CrashNews) -> None:
        """Send the crash information of this VM to the other VMs of its cell.

        They also receive it from control VMs, but a partition may separate them from those.
        """
        self._enqueue(self._pending_crashes, crashes)
        self._send_now.set()

    def rate_limit(self, start: tuple[str, int], rate: float | None, now: float) -> None:
        """Send a server's overall rate limit to this cell and to those that track the server."""
        self._pending_rate_limits[start] = rate, now
        self._has_updates.set()
        self._send_now.set()

    def send_open_calls(self) -> None:
        """Send the changed numbers of open calls now, unless some were sent a short time ago."""
        now = trio.current_time() * 1000
        if self._open_calls is None or now - self._open_calls_sent_ms < OPEN_CALLS_INTERVAL_MS:
            return
        self._own_cell_update()
        self._has_updates.set()
        self._send_now.set()

    def update_pace(self, server: str, pace: float) -> None:
        """Record the pace reported by an engine, and send it to the peers if it has changed."""
        changed = abs(self._work_table.engine(server).slowdown - pace) > MIN_PACE_CHANGE
        self._work_table.engine(server).slowdown = pace
        if changed:
            self._enqueue(self._own_cell_update().paces, EnginePace(server, pace))

    def _own_work_key(self, number: int) -> str:
        return _work_key(self._host, self._process_id, number)

    def _empty_update(self) -> WorkNews:
        return WorkNews(
            self._host,
            self._process_id,
            began=[],
            wrote=[],
            ended=[],
            paces=[],
            calls=[],
            domain=self._domain,
            cuts=[],
            lost=[],
            waiting=[],
            left=[],
            open_calls=[],
        )

    def _update_for(self, cell: Cell) -> WorkNews:
        update = self._pending_work.get(cell)
        if update is None:
            update = self._pending_work[cell] = self._empty_update()
        return update

    def _own_cell_update(self) -> WorkNews:
        return self._update_for(self._cells.own_cell)

    def _enqueue(self, items: list, item: Any) -> None:
        if len(items) >= MAX_PENDING_UPDATES:
            self._counters.count("peers.dropped")
            return
        items.append(item)
        self._has_updates.set()

    async def run(self, port: DatagramPort) -> None:
        """Send and receive forever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(port.receive_forever, self._handle)
            self._queries.set_port(port)
            while True:
                with trio.move_on_after(KEEPALIVE_INTERVAL_MS / 1000):
                    await self._has_updates.wait()
                with trio.move_on_after(BATCH_DELAY_SECONDS):
                    await self._send_now.wait()
                self._has_updates, self._send_now = trio.Event(), trio.Event()
                await self._send_updates(port)

    async def _send_updates(self, port: DatagramPort) -> None:
        now = trio.current_time() * 1000
        crashes, self._pending_crashes = self._pending_crashes, []
        for item in crashes:
            await port.send_to_all(item, self._cells.addresses(self._cells.own_cell))
        rate_limits, self._pending_rate_limits = self._pending_rate_limits, {}
        for (server, incarnation), (rate, at) in rate_limits.items():
            item = RateLimitNews(server, incarnation, rate, now - at)
            for cell in {self._cells.own_cell, *self._cells.cells_tracking([server])}:
                await port.send_to_all(item, self._cells.addresses(cell))
        updates, self._pending_work = self._pending_work, {}
        own_cell = self._cells.own_cell
        if own_cell in updates or self._budget.has_unsent_retries:
            updates.setdefault(own_cell, self._empty_update()).calls.extend(
                self._budget.take_unsent()
            )
        for cell in self._cells_due(now):
            updates.setdefault(cell, self._empty_update())
        self._add_unreachable_domains(updates, now)
        if own_cell in updates and self._open_calls is not None:
            changed = self._open_calls.places.take_unsent()
            open_calls = [OpenCalls(*item) for item in changed]
            updates[own_cell] = updates[own_cell]._replace(open_calls=open_calls)
            self._open_calls_sent_ms = now
        for cell, item in updates.items():
            self._last_sent_ms[cell] = now
            await port.send_to_all(item, self._cells.addresses(cell))

    def _add_unreachable_domains(self, updates: dict[Cell, WorkNews], now: float) -> None:
        """Add the domains that cannot be reached; they are repeated while there are any."""
        own_cell, unreachable = self._cells.own_cell, sorted(self._unreachable_now())
        is_due = now - self._last_sent_ms.get(own_cell, 0.0) > KEEPALIVE_INTERVAL_MS
        if unreachable != self._sent_unreachable or (unreachable and is_due):
            updates.setdefault(own_cell, self._empty_update())
        if own_cell not in updates:
            return
        new = [domain for domain in unreachable if domain not in self._sent_unreachable]
        item = updates[own_cell]
        updates[own_cell] = item._replace(cuts=new, unreachable=unreachable)
        self._sent_unreachable = unreachable

    def _cells_due(self, now: float) -> set[Cell]:
        """Return the cells that track open work of this VM and are due for a keep-alive."""
        open_at = {cell for cells in self._tracking_cells.values() for cell in cells}
        if self._open_waits:
            open_at.add(self._cells.own_cell)
        for cell in self._last_sent_ms.keys() - open_at:
            del self._last_sent_ms[cell]
        return {
            cell
            for cell in open_at
            if now - self._last_sent_ms.get(cell, 0.0) > KEEPALIVE_INTERVAL_MS
        }

    def count_heard(self, now: float) -> int:
        """Return how many VMs of the cell were heard from recently; ``now`` is in milliseconds."""
        return sum(
            now - at < BUDGET_TIMEOUT_MS and self._cells.is_neighbour(host)
            for host, (_, at) in self._last_heard.items()
        )

    def heard_within(self, host: str, ms: float, now: float) -> bool:
        """Return whether a VM was heard from within ``ms``; ``now`` is in milliseconds."""
        known = self._last_heard.get(host)
        return known is not None and now - known[1] < ms

    def expire_peers(self, now: float) -> None:
        """Drop the work of VMs no longer heard from; ``now`` is in milliseconds."""
        for host, (start, at) in list(self._last_heard.items()):
            if now - at > PEER_TIMEOUT_MS:
                self._drop_waiting(_work_key(host, start, ""))
                if self._work_table.remove_with_prefix(_work_key(host, start, "")):
                    self._counters.count("peers.silent")
            if now - at > BUDGET_TIMEOUT_MS:
                del self._last_heard[host]
                self._unreachable.pop(host, None)
                self._open_work.pop(host, None)
                self._drop_open_calls(host)

    def _record_sender(self, host: str, start: str, domain: str) -> None:
        """Record the sender; if its process has restarted, drop the work of the old one."""
        known = self._last_heard.get(host)
        if known is not None and known[0] != start:
            self._work_table.remove_with_prefix(_work_key(host, known[0], ""))
            self._drop_open_calls(host)
            self._drop_waiting(_work_key(host, known[0], ""))
            self._open_work.pop(host, None)
        self._last_heard[host] = (start, trio.current_time() * 1000)
        self._on_peer(host, domain)

    def _drop_waiting(self, prefix: str) -> None:
        if self._waiting is not None:
            self._waiting.remove_vm(prefix)

    def _drop_open_calls(self, host: str) -> None:
        if self._open_calls is not None:
            self._open_calls.places.drop_peer(host)

    def _handle_open_calls(self, admission: PlainAdmission, item: WorkNews, now: float) -> None:
        for calls in item.open_calls:
            admission.places.record_peer(item.host, calls.server, calls.count, now)
        if item.open_calls:
            admission.places_changed()

    async def _handle(self, item: Any) -> None:
        match item:
            case WorkNews():
                self._handle_work(item)
            case PlaceQuestion() | PermitRequest() | ColdPermitRequest() | LeaseRequest():
                await self._queries.handle_query(item)
            case PlaceOffer() | PermitReply() | LeaseReply():
                self._queries.handle_reply(item)
            case RateLimitNews():
                self._on_rate_limit(item)
            case CrashNews():
                self._on_crashes(item)
            case ControlUp(host=host):
                self._on_control(host)
            case _:
                self._counters.count("datagram.refused.kind")

    def _handle_work(self, item: WorkNews) -> None:
        host, start = item.host, item.start
        self._record_sender(host, start, item.domain)
        now = trio.current_time() * 1000
        for began in item.began:
            job = Job(began.tokens, began.max_tokens, began.target_ms, began.pause_ms)
            work = Work(job, tuple(began.servers), now, tuple(began.held), exclusive=began.alone)
            self._work_table.add(_work_key(host, start, began.number), work)
            self._on_work_began(work)
        for number in item.wrote:
            self._work_table.mark_first_token(_work_key(host, start, number))
        for number in item.ended:
            self._work_table.remove(_work_key(host, start, number))
        for calls in item.calls:
            self._budget.add_remote(calls, now)
        self._handle_reachability(item)
        for server in item.lost:
            self._on_unreachable_server(server)
        for pace in item.paces:
            self._work_table.engine(pace.server).slowdown = pace.pace
        if self._open_calls is not None:
            self._handle_open_calls(self._open_calls, item, now)
        if self._waiting is not None:
            self._handle_waiting(self._waiting, item)

    def _handle_reachability(self, item: WorkNews) -> None:
        """Record what another VM reaches; this VM looks for itself before it believes a cut."""
        self._unreachable[item.host] = frozenset(item.unreachable)
        changed = len(item.began) - len(item.ended)
        self._open_work[item.host] = max(0, self.open_work(item.host) + changed)
        if item.domain == self._domain:
            for domain in item.cuts:
                self._counters.count("domain.cut_told")
                self._on_unreachable_domain(domain)

    def _handle_waiting(self, waiting: WaitingView, item: WorkNews) -> None:
        prefix = _work_key(item.host, item.start, "")
        if item.waiting:
            waiting.add_remote(prefix, item.waiting)
        if item.left:
            waiting.remove_remote(prefix, item.left)
        if item.ended or item.left or item.wrote:
            waiting.room_changed()


def _work_key(host: str, start: str, number: int | str) -> str:
    """Return the key of work in the work table."""
    return f"{host}/{start}/{number}"
