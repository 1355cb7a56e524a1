"""What one VM knows of servers that take a limited rate because they have started recently.

A server is cold until a time that it states itself, or presumed cold where it may have started
without this VM having been told. All times are in milliseconds on the clock of this VM.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

Start = tuple[str, int]

# Two statements whose ends differ by less than this are the same: announcements are delayed.
STATEMENT_TOLERANCE_MS = 300.0
# The time over which the requests to a cold server are limited.
WINDOW_MS = 1_000.0
# An announcement received this soon after a loss may have been sent before it: control VMs pass
# renewals on in batches.
OLD_NEWS_MS = 700.0


class ColdSource(Enum):
    """Why a server is taken for cold."""

    ANNOUNCED = "announced"
    RESTARTED = "restarted"
    UNREACHABLE = "unreachable"
    JOINED = "joined"
    REMEMBERED = "remembered"
    HEALTH = "health"


@dataclass(slots=True)
class _ServerState:
    """What is known of the latest start of a server.

    ``stated_until`` is None as long as the server has stated nothing. A presumption begins at
    ``presumed_at``; ``counted_from`` is None while the server has not been reached since.
    """

    incarnation: int
    stated_until: float | None = None
    stated_seq: int = -1
    presumed_at: float | None = None
    counted_from: float | None = None
    source: ColdSource = ColdSource.ANNOUNCED
    # When this VM has sent the latest requests without a permit.
    shares_taken_at: list[float] = field(default_factory=list)


def remaining_cold_ms(cold_ms: int | None, heard_at: float, now: float) -> int | None:
    """Return how much longer a server is cold that stated ``cold_ms`` at ``heard_at``."""
    return None if cold_ms is None else max(0, round(cold_ms - (now - heard_at)))


def has_cold_changed(known_ms: int | None, stated_ms: int | None) -> bool:
    """Return whether a server's statement differs from what its earlier one has left by now."""
    return stated_ms is not None and abs(stated_ms - (known_ms or 0)) > STATEMENT_TOLERANCE_MS


class ColdServers:
    """The servers that are cold or presumed cold, and when their next permits are expected."""

    def __init__(self) -> None:
        self._states: dict[str, _ServerState] = {}
        self._blocked_until: dict[str, float] = {}
        self._noted_cold: set[str] = set()

    def announced(
        self, start: Start, seq: int, cold_ms: int | None, now: float, joined: bool
    ) -> None:
        """Record an announcement; ``joined`` tells that an unknown server may just have started."""
        name, incarnation = start
        state = self._states.get(name)
        if state is not None and incarnation < state.incarnation:
            return
        if state is None or incarnation > state.incarnation:
            restarted = state is not None
            state = self._states[name] = _ServerState(incarnation)
            if cold_ms is None and (joined or restarted):
                source = ColdSource.RESTARTED if restarted else ColdSource.JOINED
                state.presumed_at, state.counted_from, state.source = now, now, source
        elif state.source is ColdSource.REMEMBERED:
            # The same start announces itself, so it has not started while no VM could know.
            state.presumed_at, state.source = None, ColdSource.ANNOUNCED
        if cold_ms is not None and seq > state.stated_seq:
            state.stated_seq = seq
            self._state(state, cold_ms, now, ColdSource.ANNOUNCED)

    def _state(self, state: _ServerState, cold_ms: float, now: float, source: ColdSource) -> None:
        until = now + cold_ms
        known = state.stated_until
        is_known = known is not None and abs(until - known) <= STATEMENT_TOLERANCE_MS
        # A repeated statement must not prolong the cold state by its delay.
        state.stated_until = min(known, until) if is_known else until
        if cold_ms > 0:
            state.source = source
            state.presumed_at = None
        else:
            self._end_presumption(state, now)

    def _end_presumption(self, state: _ServerState, now: float) -> None:
        if state.presumed_at is None:
            return
        was_lost = state.source is ColdSource.UNREACHABLE
        if not was_lost or now - state.presumed_at >= OLD_NEWS_MS:
            state.presumed_at = None

    def renewed(self, start: Start, now: float) -> None:
        """Record that a server has announced itself again with the same statement."""
        state = self._find(start)
        if state is not None and state.stated_until is not None:
            self._end_presumption(state, now)

    def answered(self, start: Start, cold_ms: float, now: float) -> None:
        """Record a statement in a server's own answer."""
        state = self._states.setdefault(start[0], _ServerState(start[1]))
        if state.incarnation == start[1]:
            self._state(state, cold_ms, now, ColdSource.HEALTH)

    def remembered(self, start: Start, cold_ms: int | None, now: float) -> None:
        """Presume a server cold that is known only from before a restart of control VMs.

        ``cold_ms`` is what it stated then.
        """
        if start[0] in self._states:
            return
        self._states[start[0]] = _ServerState(
            start[1], presumed_at=now, counted_from=now, source=ColdSource.REMEMBERED
        )
        if cold_ms:
            self._state(self._states[start[0]], cold_ms, now, ColdSource.ANNOUNCED)

    def take_share(self, start: Start, share: int, now: float) -> bool:
        """Take one of the ``share`` requests a second that this VM may send without a permit.

        This applies only to a server that was warm before a restart of control VMs.  No VM grants
        permits for some time after that, and all of their servers would get nothing meanwhile.
        ``share`` must be so small that all VMs together stay within the server's limit.
        """
        state = self._find(start)
        if state is None or state.source is not ColdSource.REMEMBERED or state.presumed_at is None:
            return False
        state.shares_taken_at = [at for at in state.shares_taken_at if now - at < WINDOW_MS]
        if len(state.shares_taken_at) >= share:
            return False
        state.shares_taken_at.append(now)
        return True

    def lost(self, start: Start, now: float) -> None:
        """Presume a server cold that could not be reached, until it is reached again and longer."""
        state = self._states.setdefault(start[0], _ServerState(start[1]))
        if state.incarnation != start[1]:
            return
        state.presumed_at, state.counted_from = now, None
        state.source = ColdSource.UNREACHABLE

    def reached(self, start: Start, now: float) -> None:
        """Record a connection to a server; the time of a presumption counts from here."""
        state = self._find(start)
        if state is not None and state.presumed_at is not None and state.counted_from is None:
            state.counted_from = now

    def _find(self, start: Start) -> _ServerState | None:
        state = self._states.get(start[0])
        return state if state is not None and state.incarnation == start[1] else None

    def cold_until(self, start: Start, cold_ms: float) -> float:
        """Return until when a server is cold, minus infinity if it has never been.

        ``cold_ms`` is how long the servers of its service are cold, 0 if they never are. A start
        that has been superseded is as cold as its successor, which has its address.
        """
        state = self._states.get(start[0])
        if state is None or cold_ms <= 0:
            return -math.inf
        until = -math.inf if state.stated_until is None else state.stated_until
        if state.presumed_at is not None:
            counted_from = math.inf if state.counted_from is None else state.counted_from
            until = max(until, counted_from + cold_ms)
        return until

    def source(self, start: Start) -> ColdSource | None:
        """Return why a server was last taken for cold."""
        state = self._states.get(start[0])
        return None if state is None else state.source

    def note_state(self, start: Start, cold: bool) -> bool:
        """Return whether a server is cold now that was not before, or the reverse."""
        changed = cold != (start[0] in self._noted_cold)
        if changed:
            (self._noted_cold.add if cold else self._noted_cold.discard)(start[0])
        return changed

    @property
    def has_blocks(self) -> bool:
        """Return whether a permit has been refused for any server."""
        return bool(self._blocked_until)

    def block_until(self, start: Start, until: float) -> None:
        """Record when a server's next permit is expected."""
        self._blocked_until[start[0]] = until

    def blocked_until(self, start: Start) -> float:
        """Return when a server's next permit is expected, minus infinity if it may be now."""
        return self._blocked_until.get(start[0], -math.inf)

    def prune(self, servers: Iterable[str], now: float) -> None:
        """Drop the records of servers not in ``servers``, and expired refusals of permits."""
        kept = set(servers)
        for records in (self._states, self._blocked_until):
            for name in [name for name in records if name not in kept]:
                del records[name]
        for name in [name for name, until in self._blocked_until.items() if until < now]:
            del self._blocked_until[name]
        self._noted_cold &= kept


@dataclass(frozen=True)
class UseNow:
    """Ask for a permit now; go on without the server if there is none."""


@dataclass(frozen=True)
class WaitForPermit:
    """Wait for a permit for at most ``patience_ms``, of which the first comes in ``first_ms``."""

    patience_ms: float
    first_ms: float


@dataclass(frozen=True)
class GoElsewhere:
    """Another server takes the request sooner or more safely."""


@dataclass(frozen=True)
class RefuseNow:
    """No permit is expected in time; the next one comes in ``next_permit_ms``."""

    next_permit_ms: float


ColdDecision = UseNow | WaitForPermit | GoElsewhere | RefuseNow


class ColdRequest(NamedTuple):
    """What decides about a request at a cold server.

    ``patience_ms`` is half of the target minus the time since arrival. ``next_permit_ms`` is the
    time until the server's next permit, 0 if it is not known to be later. ``has_warm`` tells that
    a warm server can take the request. ``runs_once`` is set if it must not be sent twice.
    """

    patience_ms: float
    next_permit_ms: float
    has_warm: bool
    runs_once: bool


def decide_cold(request: ColdRequest) -> ColdDecision:
    """Return what becomes of a request for which a cold server has been found.

    A request that may run only once is not sent where it is likely to be refused or broken off, so
    it goes to a cold server only if there is no warm one.
    """
    if request.has_warm:
        if request.runs_once or request.next_permit_ms > 0:
            return GoElsewhere()
        return UseNow()
    patience_ms = max(0.0, request.patience_ms)
    if request.next_permit_ms > patience_ms:
        return RefuseNow(request.next_permit_ms)
    return WaitForPermit(patience_ms, request.next_permit_ms)
