"""Failover of a request whose server is silent or gone, planned before the attempt is abandoned.

Silence proves nothing: an engine emits no tokens to its streams while it prefills a long prompt,
and an engine that waits for another one is silent for over a second.  So a silent attempt is
abandoned only if the request can continue elsewhere.  The place and the retry are taken when the
failover is planned, so that many requests waiting for one server do not all leave it for the last
free slot or the last retry.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.coordination.excluded_servers import ExcludedServers
from siskinspoke.coordination.server_health import FailureKind
from siskinspoke.gateway.assignment import Assignment
from siskinspoke.gateway.attempts import ANSWER_TIMED_OUT, RESTARTED
from siskinspoke.gateway.context import Gateway, Request, now_ms
from siskinspoke.gateway.upstream import NotRun, OutcomeUnknown

# Attempts that reached a server, and attempts that reached none.  The latter cost some milliseconds
# each where a server is gone, and after the loss of many servers they are what finds those that are
# left.
MAX_DELIVERED_ATTEMPTS = 6
MAX_UNDELIVERED_ATTEMPTS = 24
# Least time between two checks of an attempt that could not fail over: probing a failure domain
# that is partitioned asks all attempts there some ten times a second.  Milliseconds.
MIN_RECHECK_MS = 150.0
# Age at which a planned attempt is discarded.  It is used within a tick, unless a slow client
# blocks its stream just then; a server that is leaving must get nothing new after some seconds.
# Milliseconds.
PLAN_MAX_AGE_MS = 300.0


class RetryObstacle(Enum):
    """Why no other server is tried."""

    ATTEMPTS = "attempts_used"
    NOT_RETRYABLE = "may_not_be_repeated"
    BUDGET = "budget_spent"
    PLACE = "no_place"
    TRIES = "tries_used"
    QUARANTINE = "servers_crash_under_it"


class PlannedAttempt(NamedTuple):
    """A stream's next assignment, its number in the work table, and when it was planned."""

    assignment: Assignment
    work: int | None
    planned_at: float

    def is_stale(self, now: float) -> bool:
        """Tell whether the plan is too old: its server may be drained by now."""
        return now - self.planned_at > PLAN_MAX_AGE_MS


@dataclass
class RetryState:
    """What the attempts of one request have used up, and what is reserved for the next one.

    ``runs`` counts the servers that may have run the request, ``delivered`` the attempts that
    reached a server and ``undelivered`` those that did not.  ``lost_servers`` counts servers that
    were gone or timed out.  ``retry_reserved`` tells that the next attempt's retry is taken from
    the budget; ``planned`` is the next attempt of a stream.  ``open_attempts`` are in progress: one
    of a stream, several of a plain call, of which ``refusals`` were not run.
    """

    excluded: ExcludedServers = field(default_factory=ExcludedServers)
    runs: int = 0
    delivered: int = 0
    undelivered: int = 0
    lost_servers: int = 0
    local_only: bool = False
    open_attempts: int = 1
    refusals: int = 0
    retry_reserved: bool = False
    planned: PlannedAttempt | None = None
    # Whether the last attempt used a retry of the budget.
    retry_spent: bool = False

    def has_attempts_left(self, tried: int) -> bool:
        """Tell whether another attempt is allowed after ``tried``, undelivered ones included."""
        return (
            tried - self.undelivered < MAX_DELIVERED_ATTEMPTS
            and self.undelivered < MAX_UNDELIVERED_ATTEMPTS
        )

    def count_outcome(self, gateway: Gateway, server: ServerRecord, outcome: object) -> None:
        """Count an attempt's outcome: any but ``NotRun`` and ``OutcomeUnknown`` is an answer."""
        match outcome:
            case NotRun(failure_kind=FailureKind.HELD):
                self.keep_retry()
            case NotRun(arrived=arrived):
                self.delivered += arrived
            case OutcomeUnknown(server_lost=server_lost):
                self.delivered += 1
                self.runs += not has_stopped_work(gateway, server, outcome)
                self.lost_servers += server_lost or outcome.reason == ANSWER_TIMED_OUT
            case _:
                self.delivered += 1
                self.runs += 1

    def count_forward(self, outcome: object) -> None:
        """Count the outcome of a forward: a peer that broke off may have had the request run."""
        match outcome:
            case OutcomeUnknown():
                self.delivered += 1
                self.runs += 1
            case _:
                self.undelivered += 1

    def reserve_retry(self, gateway: Gateway, request: Request) -> bool:
        """Take a retry from the budget, unless the attempt is the first or has one reserved."""
        self.retry_spent = self.retry_reserved
        if not self.retry_reserved and self.delivered:
            self.retry_spent = gateway.budget.spend(request.service, now_ms())
            return self.retry_spent
        self.retry_reserved = False
        return True

    def keep_retry(self) -> None:
        """Keep the retry of an attempt that its server's hold prevented, for the next attempt."""
        self.retry_reserved = self.retry_reserved or self.retry_spent
        self.retry_spent = False

    def take_planned(self, gateway: Gateway) -> PlannedAttempt | None:
        """Return the planned attempt, if there is one and it is not stale.

        The retry reserved for it is valid for any other assignment as well.
        """
        planned = self.planned
        if planned is None or planned.is_stale(now_ms()):
            self._release_place(gateway)
            return None
        self.planned = None
        self.retry_spent, self.retry_reserved = self.retry_reserved, False
        return planned

    def _release_place(self, gateway: Gateway) -> None:
        planned, self.planned = self.planned, None
        if planned is not None and planned.work is not None:
            gateway.peers.end_work(planned.work)

    def release(self, gateway: Gateway, request: Request) -> None:
        """Release what was reserved for an attempt that is not needed."""
        self._release_place(gateway)
        if self.retry_reserved:
            gateway.budget.refund(request.service, now_ms())
        self.retry_reserved = False


def retry_state_of(request: Request, open_attempts: int = 1) -> RetryState:
    """Return the state of a request's attempts, with those of the VM that has forwarded it."""
    if request.origin is None:
        return RetryState(open_attempts=open_attempts)
    origin = request.origin
    return RetryState(runs=origin.runs, delivered=origin.delivered, open_attempts=open_attempts)


class Failover:
    """Plan the next attempt of a request; log each reason why there is none, once.

    ``plan_next`` looks for another server, enters a stream's work into the work table, and tells
    whether it found one.
    """

    def __init__(
        self,
        gateway: Gateway,
        request: Request,
        server: str,
        retry_state: RetryState,
        plan_next: Callable[[], bool],
    ):
        self._gateway = gateway
        self._request = request
        self._server = server
        self._retry_state = retry_state
        self._plan_next = plan_next
        self._logged: set[RetryObstacle] = set()
        self._next_check_at = 0.0

    def fail_over(self) -> bool:
        """Plan the next attempt and return True, or return False to keep waiting for the server.

        After True the caller abandons the server at once, or releases the plan.
        """
        if self._retry_state.retry_reserved:
            return True
        now = now_ms()
        if now < self._next_check_at:
            return False
        obstacle = self.obstacle
        if obstacle is None and not self._plan_next():
            obstacle = RetryObstacle.PLACE
        if obstacle is not None:
            self._next_check_at = now + MIN_RECHECK_MS
            self._log_obstacle(obstacle)
            return False
        self._gateway.budget.spend(self._request.service, now)
        self._retry_state.retry_reserved = True
        return True

    @property
    def obstacle(self) -> RetryObstacle | None:
        """Return what forbids another attempt, whichever servers there are."""
        gateway, request, retry_state = self._gateway, self._request, self._retry_state
        if not request.route.repeatable:
            return RetryObstacle.NOT_RETRYABLE
        if retry_state.runs + retry_state.open_attempts >= request.route.max_attempts:
            return RetryObstacle.ATTEMPTS
        if not retry_state.has_attempts_left(len(request.attempts) + 1):
            return RetryObstacle.TRIES
        if not gateway.budget.can_spend(request.service, now_ms()):
            return RetryObstacle.BUDGET
        return None

    def _log_obstacle(self, obstacle: RetryObstacle) -> None:
        if obstacle in self._logged:
            return
        self._logged.add(obstacle)
        gateway, request, now = self._gateway, self._request, now_ms()
        gateway.counters.count(f"attempt.waits.{obstacle.value}")
        gateway.log.note(
            "attempt.waits",
            request=request.call.id,
            server=self._server,
            why=obstacle.value,
            events=request.events,
            left=round(request.remaining_ms(now)),
            leaving=gateway.directory.has_left(self._server),
            unreachable=gateway.server_health.is_unreachable(self._server),
        )


def has_stopped_work(gateway: Gateway, server: ServerRecord, broke: OutcomeUnknown) -> bool:
    """Tell whether a server that broke off has certainly stopped working on the request.

    A server that cannot be reached may still be working.  One that announced that it is leaving and
    then closed the connection has stopped: counted as runs, two such servers in a row used up the
    attempts of most routes, and the stream was truncated although other engines were healthy.  The
    same holds for a request whose servers are crashed in turn by another request, and for servers
    behind a partition of a whole failure domain, which resets both ends of their connections.
    """
    if broke.reason == RESTARTED or gateway.crashes.has_crashed(server.start):
        return True
    announcement = server.announcement
    is_cut = gateway.domains.is_cut_off(announcement.failure_domain, now_ms())
    return broke.closed and (is_cut or gateway.directory.has_left(announcement.server))
