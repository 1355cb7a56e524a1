"""What the tasks of a gateway share, and the facts of one request on its way."""

import math
import random
from dataclasses import dataclass, field
from functools import cached_property
from typing import NamedTuple

import trio

from siskinspoke.conf.vm import VmSettings
from siskinspoke.coordination.back_off import BackOffs
from siskinspoke.coordination.books import Books
from siskinspoke.coordination.crash_watch import CrashWatch
from siskinspoke.coordination.directory import Directory
from siskinspoke.coordination.domains import Domains
from siskinspoke.coordination.fingerprints import Subject
from siskinspoke.coordination.foresight import Foresight
from siskinspoke.coordination.fullness import Fullness
from siskinspoke.coordination.liveness import ConnectTimer, Looks
from siskinspoke.coordination.placement import Placement
from siskinspoke.coordination.rate_limits import RateLimits
from siskinspoke.coordination.retries import CommonBudget
from siskinspoke.coordination.routes import CallKind, ClientLimits, Customer, Route, RouteTable
from siskinspoke.coordination.standing import Standing
from siskinspoke.core.counters import Counters
from siskinspoke.core.decisions import DecisionLog
from siskinspoke.core.latencies import Latencies
from siskinspoke.gateway.attempts import OpenAttempts
from siskinspoke.gateway.cells import CellView
from siskinspoke.gateway.peers import Peers
from siskinspoke.gateway.permits import Permits
from siskinspoke.gateway.pool import Pool
from siskinspoke.gateway.questions import Questions
from siskinspoke.gateway.wire import Call, Wire

# How long after it was told to stop a VM still takes requests.  The balancer sends no more after
# 3 s, and what has come by then may be cut; plain requests end within 1.5 s.  Milliseconds.
STREAMS_MS = 2_900.0
PLAIN_MS = 5_500.0


def now_ms() -> float:
    """Return the clock of this VM's decisions, in milliseconds."""
    return trio.current_time() * 1000


@dataclass
class Gateway:
    """The parts of a gateway; each owns its own state."""

    settings: VmSettings
    wire: Wire
    directory: Directory
    placement: Placement
    standing: Standing
    domains: Domains
    rate_limits: RateLimits
    back_offs: BackOffs
    budget: CommonBudget
    pool: Pool
    attempts: OpenAttempts
    looks: Looks
    connects: ConnectTimer
    cells: CellView
    questions: Questions
    permits: Permits
    peers: Peers
    crashes: CrashWatch
    counters: Counters
    latencies: Latencies
    log: DecisionLog
    rng: random.Random
    fullness: Fullness = field(default_factory=Fullness)
    foresight: Foresight = field(default_factory=Foresight)
    chores: trio.Nursery | None = None
    table: RouteTable | None = None
    draining_since: float | None = None
    open_requests: int = 0
    idle: set[trio.CancelScope] = field(default_factory=set)
    crash_looks: dict[tuple[str, int], trio.Event] = field(default_factory=dict)
    configured: trio.Event = field(default_factory=trio.Event)
    started_at: float = -math.inf

    @property
    def draining(self) -> bool:
        """Tell whether this VM is about to stop."""
        return self.draining_since is not None

    @property
    def refusing(self) -> bool:
        """Tell whether no stream is taken any more."""
        return not self.time_for(CallKind.STREAM)

    def time_for(self, kind: CallKind) -> bool:
        """Tell whether a request of a kind that comes now can end before this VM stops.

        One that was taken too late would be cut in the middle of its answer.
        """
        if self.draining_since is None:
            return True
        since = now_ms() - self.draining_since
        return since < (STREAMS_MS if kind is CallKind.STREAM else PLAIN_MS)

    def stop_waiting(self) -> None:
        """End connections that wait for a request: their clients go on at another VM."""
        for scope in list(self.idle):
            scope.cancel()

    @property
    def limits(self) -> ClientLimits:
        """Return the limits in force for clients."""
        return self.table.limits if self.table is not None else ClientLimits()

    @property
    def books(self) -> Books:
        """Return the books of the fleet's engines."""
        return self.placement.books


class Tried(NamedTuple):
    """One attempt of a request, for its log line."""

    server: str
    outcome: str
    at_ms: float


@dataclass
class Request:
    """One request on its way: what it wants, what it was given, and what became of it."""

    call: Call
    route: Route
    customer: Customer | None
    arrived_ms: float
    version: int
    service: str = ""
    tried: list[Tried] = field(default_factory=list)
    # Servers that were chosen, and asked not to get it before it was sent.
    held: list[str] = field(default_factory=list)
    first_ms: float | None = None
    expected_ms: float | None = None
    engines: int = 0
    considered: int = 0
    idle: int = 0
    offers: int | None = None
    widened: bool = False
    events: int = 0
    longest_pause_ms: float = 0.0
    # How many servers have crashed with this request open, and nothing has cleared it since.
    crashes: int = 0
    status: int = 0
    end: str = ""

    @property
    def deadline_ms(self) -> float:
        """Return how long after its arrival the answer must have ended."""
        asked = self.call.deadline_ms
        return self.route.timeout_ms if asked is None else min(asked, self.route.timeout_ms)

    def left_ms(self, now: float) -> float:
        """Return how long the answer may still take."""
        return self.deadline_ms - (now - self.arrived_ms)

    def note(self, server: str, outcome: str, now: float) -> None:
        """Remember how an attempt ended."""
        self.tried.append(Tried(server, outcome, round(now - self.arrived_ms, 1)))

    @cached_property
    def subject(self) -> Subject:
        """Return what tells whether another request is the same."""
        customer = self.customer.name if self.customer is not None else ""
        return Subject(customer, f"{self.call.host}{self.call.target}", self.call.body)

    @property
    def rank(self) -> int:
        """Return the rank of the request; 0 goes first."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority
