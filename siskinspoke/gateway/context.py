"""State shared by the tasks of a gateway, and the state of one request in progress."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cached_property
from typing import NamedTuple

import trio

from siskinspoke.conf.vm import VmSettings
from siskinspoke.coordination.back_off import BackOffs
from siskinspoke.coordination.byte_budget import ByteBudget, HeldBytes
from siskinspoke.coordination.cold_servers import ColdServers
from siskinspoke.coordination.connection_limit import ConnectionLimit
from siskinspoke.coordination.crash_watch import CrashWatch
from siskinspoke.coordination.directory import Directory
from siskinspoke.coordination.domains import DomainMonitor
from siskinspoke.coordination.evacuations import ObeyedEvacuations
from siskinspoke.coordination.fingerprints import RequestIdentity
from siskinspoke.coordination.first_token_margin import FirstTokenMargin
from siskinspoke.coordination.forwarding.connection_failures import ConnectionFailures
from siskinspoke.coordination.forwarding.peer_choice import ForwardingRecord
from siskinspoke.coordination.graceful_shutdown import (
    RouteDurations,
    ShutdownTimes,
    shutdown_times,
)
from siskinspoke.coordination.liveness import ConnectTimeout, ProbeTracker
from siskinspoke.coordination.no_room_cache import NoRoomCache
from siskinspoke.coordination.placement import Placement
from siskinspoke.coordination.rate_limits import RateLimits
from siskinspoke.coordination.read_budget import HeldData, ReadBudget
from siskinspoke.coordination.retries import SharedRetryBudget
from siskinspoke.coordination.room_forecast import RoomForecast
from siskinspoke.coordination.routes import ClientLimits, Customer, Route, RouteTable
from siskinspoke.coordination.server_health import ServerHealth
from siskinspoke.coordination.work_table import WorkTable
from siskinspoke.core.counters import Counters
from siskinspoke.core.decisions import DecisionLog
from siskinspoke.core.latencies import Latencies
from siskinspoke.gateway.attempts import OpenAttempts
from siskinspoke.gateway.cells import CellView
from siskinspoke.gateway.cold_permits import ColdPermits
from siskinspoke.gateway.forwarding.survey_requests import SurveyRequests
from siskinspoke.gateway.peers import Peers
from siskinspoke.gateway.permits import Permits
from siskinspoke.gateway.plain_admission import PlainAdmission
from siskinspoke.gateway.pool import Pool
from siskinspoke.gateway.queries import Queries
from siskinspoke.gateway.waiting import WaitingRequests
from siskinspoke.gateway.wire import Call, Wire
from siskinspoke.protocol.feed import EntryPeer
from siskinspoke.protocol.forwarding import ForwardedCall
from siskinspoke.transport.client_resources import ClientResources


def now_ms() -> float:
    """Return this VM's monotonic clock, in milliseconds."""
    return trio.current_time() * 1000


@dataclass
class Gateway:
    """The components of a gateway, each of which owns its own state."""

    settings: VmSettings
    wire: Wire
    directory: Directory
    placement: Placement
    server_health: ServerHealth
    domains: DomainMonitor
    rate_limits: RateLimits
    back_offs: BackOffs
    budget: SharedRetryBudget
    pool: Pool
    attempts: OpenAttempts
    probes: ProbeTracker
    connect_timeout: ConnectTimeout
    cells: CellView
    queries: Queries
    permits: Permits
    peers: Peers
    crashes: CrashWatch
    counters: Counters
    latencies: Latencies
    log: DecisionLog
    rng: random.Random
    # Answers that are read as a whole.
    responses: ReadBudget
    # Limits of clients and peers on all addresses of this VM.
    clients: ClientResources
    no_room_cache: NoRoomCache = field(default_factory=NoRoomCache)
    first_token_margin: FirstTokenMargin = field(default_factory=FirstTokenMargin)
    evacuations: ObeyedEvacuations = field(default_factory=ObeyedEvacuations)
    # Services all of whose servers are evacuated, as last logged.
    unserved_services: frozenset[str] = frozenset()
    cold_servers: ColdServers = field(default_factory=ColdServers)
    cold_permits: ColdPermits | None = None
    # None where requests do not wait at this VM.
    plain_admission: PlainAdmission | None = None
    waiting: WaitingRequests | None = None
    forecasts: dict[str, RoomForecast] = field(default_factory=dict)
    nursery: trio.Nursery | None = None
    table: RouteTable | None = None
    draining_since_ms: float | None = None
    open_requests: int = 0
    # Requests of which a part has been received and that are not answered yet.
    unanswered_requests: int = 0
    # Scopes that end at the deadlines of open requests.
    response_scopes: set[trio.CancelScope] = field(default_factory=set)
    durations: RouteDurations = field(default_factory=RouteDurations)
    idle_connections: set[trio.CancelScope] = field(default_factory=set)
    # Set when no further connections are accepted.
    listening_ended: trio.Event = field(default_factory=trio.Event)
    crash_probes: dict[tuple[str, int], trio.Event] = field(default_factory=dict)
    configured: trio.Event = field(default_factory=trio.Event)
    started_at: float = -math.inf
    buffers: ByteBudget = field(default_factory=lambda: ByteBudget(0))
    known_peers: Callable[[], list[EntryPeer]] = list
    forwarding: ForwardingRecord = field(default_factory=ForwardingRecord)
    connection_failures: ConnectionFailures = field(default_factory=ConnectionFailures)
    surveys: SurveyRequests = field(default_factory=SurveyRequests)
    connection_limit: ConnectionLimit = field(default_factory=ConnectionLimit)
    # Whether no server could be reached when that was last logged.
    partitioned: bool = False

    @property
    def draining(self) -> bool:
        """Return whether this VM is shutting down."""
        return self.draining_since_ms is not None

    @property
    def shutdown(self) -> ShutdownTimes | None:
        """Return the times of the shutdown, or None before it begins."""
        if self.draining_since_ms is None:
            return None
        return shutdown_times(self.draining_since_ms, self.settings.shutdown_seconds * 1000)

    @property
    def closes_idle_connections(self) -> bool:
        """Return whether idle connections are closed, so that clients connect to another VM."""
        shutdown = self.shutdown
        return shutdown is not None and now_ms() >= shutdown.closes_idle_at_ms

    def close_idle_connections(self) -> None:
        """Close idle client connections so that their clients reconnect to another VM."""
        for scope in list(self.idle_connections):
            scope.cancel()

    @property
    def limits(self) -> ClientLimits:
        """Return the client limits currently in effect."""
        return self.table.limits if self.table is not None else ClientLimits()

    @property
    def work_table(self) -> WorkTable:
        """Return the work table of the engines."""
        return self.placement.work_table


class AttemptResult(NamedTuple):
    """One attempt of a request, as it appears in the request's log line."""

    server: str
    outcome: str
    at_ms: float


@dataclass
class Request:
    """One request in progress: its parameters, its placement and its outcome."""

    call: Call
    route: Route
    customer: Customer | None
    arrived_ms: float
    version: int
    service: str = ""
    attempts: list[AttemptResult] = field(default_factory=list)
    # Chosen servers that became unavailable before the send: back-off, rate limit, leaving or
    # evacuated.
    held: list[str] = field(default_factory=list)
    first_token_ms: float | None = None
    expected_first_token_ms: float | None = None
    engines: int = 0
    considered: int = 0
    idle: int = 0
    offers: int | None = None
    # How long the request waited for room, and how many requests were ahead of it.
    waited_ms: float = 0.0
    ahead: int = 0
    widened: bool = False
    events: int = 0
    longest_pause_ms: float = 0.0
    # Servers that crashed with this request open, as long as it has not been cleared since.
    crashes: int = 0
    # Whether it is let through to find out whether a quarantine still holds.
    trial: bool = False
    status: int = 0
    end: str = ""
    # The only failure domains whose servers may serve this request; None allows all.
    domains: frozenset[str] | None = None
    # Bytes of this request that count towards this VM's bound.
    held_bytes: HeldBytes | None = None
    # The answers that were read for this request.
    responses: list[HeldData] = field(default_factory=list)
    # Set if a peer has forwarded the request; it is not forwarded again.
    origin: ForwardedCall | None = None
    # How many times this VM has forwarded the request.
    forwards: int = 0
    # Attempts of which it is not proved that the request has not run and never will.
    unsettled_attempts: int = 0

    @property
    def deadline_ms(self) -> float:
        """Return the time after arrival by which the response must be complete."""
        requested_ms = self.call.deadline_ms
        return (
            self.route.timeout_ms
            if requested_ms is None
            else min(requested_ms, self.route.timeout_ms)
        )

    def remaining_ms(self, now: float) -> float:
        """Return the time left until the deadline."""
        return self.deadline_ms - (now - self.arrived_ms)

    def record_attempt(self, server: str, outcome: str, now: float) -> None:
        """Record the outcome of an attempt."""
        self.attempts.append(AttemptResult(server, outcome, round(now - self.arrived_ms, 1)))

    @cached_property
    def subject(self) -> RequestIdentity:
        """Return the identity by which repeats of this request are recognized."""
        customer = self.customer.name if self.customer is not None else ""
        target = f"{self.call.host}{self.call.target}"
        parts = self.call.prompt.parts if self.call.prompt is not None else ()
        return RequestIdentity(customer, target, self.call.body, parts)

    @property
    def rank(self) -> int:
        """Return the priority of the request; 0 is the highest."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority
