"""Estimate the free places of plain servers, and when the next one becomes free.

A place is a request that a server runs at once; a server with none left refuses.  Four inputs are
combined: the slots that a server announces, the load that it states in its answers, the calls that
this VM has open, and those that the other VMs of the cell report.  The state is pure: the clock, in
milliseconds, is passed in.
"""

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

# A server that stated or showed that it is full is taken to be full for this many mean durations of
# its calls.  After that most of those calls have ended, and the next call finds out.
FULL_DURATIONS = 2.0
# A call that would be refused otherwise is sent there after this many: earlier it would mostly be
# refused by the server and use up a retry.
LIKELY_FREE_DURATIONS = 1.0
MIN_FULL_MS = 10.0
# Reports of other VMs count for this many mean durations.  Older ones made VMs choose the same
# server, since most of the calls that they counted have ended.
PEER_DURATIONS = 0.5
# Own calls that ended so recently may still be in a load that is heard now.  Milliseconds.
RECENT_END_MS = 5.0
MAX_RECENT_ENDS = 16
# Weights of the latest value in the moving averages of the load of others and of durations.
OTHERS_EWMA_WEIGHT = 0.1
DURATION_EWMA_WEIGHT = 0.2
# Assumed mean duration of a call before one was measured.  Milliseconds.
DEFAULT_DURATION_MS = 50.0


class ServerLoad(NamedTuple):
    """The load that a server states: requests that run and that wait there, and its slots."""

    running: int
    waiting: int
    slots: int


class PlaceEstimate(NamedTuple):
    """The places of one server, and the ages of the inputs in milliseconds.

    ``slots`` is 0 if the server has not stated it; then every number of calls is assumed to fit.
    ``own`` are the calls of this VM, ``others`` the expected number of those of all other VMs.
    ``is_full`` tells that recent inputs leave no place.  An age is infinite if there is no such
    input.
    """

    slots: int
    own: int
    others: float
    is_full: bool
    duration_ms: float
    slots_age_ms: float = math.inf
    load_age_ms: float = math.inf
    peers_age_ms: float = math.inf

    @property
    def is_known(self) -> bool:
        """Return whether the number of places is known."""
        return self.slots > 0

    @property
    def may_have_place(self) -> bool:
        """Return whether a place has likely become free, though the server was full before."""
        is_old = (
            min(self.load_age_ms, self.peers_age_ms) >= LIKELY_FREE_DURATIONS * self.duration_ms
        )
        return not self.is_full or (is_old and self.own < self.slots)

    @property
    def free(self) -> int:
        """Return the expected number of free places, at least one unless the server is full."""
        return 0 if self.is_full else max(1, math.floor(self.slots - self.own - self.others))


class _StatedLoad(NamedTuple):
    """The calls of other VMs that followed from a server's load when it was heard."""

    start: tuple[str, int]
    slots: int
    others: int
    at: float


class _PeerCount(NamedTuple):
    """The number of calls that another VM reported, and when."""

    calls: int
    at: float


@dataclass(slots=True)
class _Server:
    own: int = 0
    # When the last calls of this VM ended that have run.
    ended_at: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_RECENT_ENDS))
    load: _StatedLoad | None = None
    mean_others: float = 0.0
    peers: dict[str, _PeerCount] = field(default_factory=dict)
    duration_ms: float | None = None
    # Whether a stated load includes the call whose answer states it.
    counts_answered: bool = True
    was_full: bool = False

    def set_load(self, load: _StatedLoad) -> None:
        if self.load is None:
            self.mean_others = load.others
        self.load = load
        self.mean_others += OTHERS_EWMA_WEIGHT * (load.others - self.mean_others)

    def expected_others(self, load: _StatedLoad, duration_ms: float, now: float) -> float:
        """Return the load of other VMs, which returns to its mean as the stated calls end."""
        share = math.exp((load.at - now) / duration_ms)
        return self.mean_others + share * (load.others - self.mean_others)


class ServerPlaces:
    """The places of plain servers as known to one VM."""

    def __init__(self) -> None:
        self._servers: dict[str, _Server] = {}
        self._unsent: set[str] = set()

    def _server(self, name: str) -> _Server:
        return self._servers.setdefault(name, _Server())

    def begin(self, server: str) -> None:
        """Count a call of this VM, from the moment when its place is chosen."""
        self._server(server).own += 1
        self._unsent.add(server)

    def end(self, server: str, has_run: bool, now: float) -> None:
        """Count the end of a call of this VM, whatever its outcome."""
        known = self._server(server)
        known.own = max(0, known.own - 1)
        if has_run:
            known.ended_at.append(now)
        self._unsent.add(server)

    def has_open_call(self, server: str) -> bool:
        """Return whether this VM has a call open at a server."""
        known = self._servers.get(server)
        return known is not None and known.own > 0

    def record_duration(self, server: str, duration_ms: float) -> None:
        """Record how long a call took that the server has run."""
        known = self._server(server)
        if known.duration_ms is None:
            known.duration_ms = duration_ms
        else:
            known.duration_ms += DURATION_EWMA_WEIGHT * (duration_ms - known.duration_ms)

    def record_load(
        self, start: tuple[str, int], load: ServerLoad, refused: bool, now: float
    ) -> None:
        """Record the load that a server states in an answer to a call that is still open here.

        A refused call has no place.  Whether a server counts the call that it answers is learned
        from its answers: if it does, no answer states zero running requests.  Own calls that ended
        a moment ago are taken to be among those stated: answers are read in another order than they
        were sent.
        """
        known = self._server(start[0])
        occupied = load.running + load.waiting
        if not refused and occupied == 0:
            known.counts_answered = False
        counted = known.own - (refused or not known.counts_answered)
        if not refused:
            counted += sum(now - at <= RECENT_END_MS for at in known.ended_at)
        others = max(0, occupied - max(0, counted))
        known.set_load(_StatedLoad(start, load.slots, others, now))

    def record_refusal(self, start: tuple[str, int], slots: int, now: float) -> None:
        """Record that a server with known slots refused a call and did not state its load."""
        known = self._server(start[0])
        known.set_load(_StatedLoad(start, slots, max(0, slots - max(0, known.own - 1)), now))

    def record_peer(self, host: str, server: str, count: int, now: float) -> None:
        """Record how many calls another VM of the cell has open at a server."""
        self._server(server).peers[host] = _PeerCount(count, now)

    def drop_peer(self, host: str) -> None:
        """Forget the reports of a VM that is silent or has started anew."""
        for known in self._servers.values():
            known.peers.pop(host, None)

    def estimate(
        self, start: tuple[str, int], slots: int, slots_at: float, now: float
    ) -> PlaceEstimate:
        """Return the places of a server whose announcement, heard at ``slots_at``, states slots.

        A stated load counts the calls of all VMs.  With its age the estimate returns to the mean of
        what the server stated before, and the server is no longer taken to be full.
        """
        known = self._servers.get(start[0]) or _Server()
        duration_ms = known.duration_ms or DEFAULT_DURATION_MS
        reports = [
            item for item in known.peers.values() if now - item.at <= PEER_DURATIONS * duration_ms
        ]
        reported = sum(item.calls for item in reports)
        others = float(reported)
        load_age_ms, was_full = math.inf, False
        load = known.load
        if load is not None and load.start == start:
            load_age_ms = now - load.at
            slots = load.slots or slots
            others = max(others, known.expected_others(load, duration_ms, now))
            is_recent = load_age_ms <= max(MIN_FULL_MS, FULL_DURATIONS * duration_ms)
            was_full = is_recent and known.own + load.others >= slots
        return PlaceEstimate(
            slots=slots,
            own=known.own,
            others=others,
            is_full=slots > 0 and (was_full or known.own + reported >= slots),
            duration_ms=duration_ms,
            slots_age_ms=now - slots_at if slots else math.inf,
            load_age_ms=load_age_ms,
            peers_age_ms=min((now - item.at for item in known.peers.values()), default=math.inf),
        )

    def has_turned(self, server: str, estimate: PlaceEstimate) -> bool:
        """Return whether a server has become full or free since the last call of this method."""
        known = self._server(server)
        was_full, known.was_full = known.was_full, estimate.is_full
        return was_full is not known.was_full

    @property
    def has_unsent(self) -> bool:
        """Return whether counts of this VM have changed since they were last taken."""
        return bool(self._unsent)

    def take_unsent(self) -> list[tuple[str, int]]:
        """Return and clear the changed counts of this VM, by server."""
        changed = sorted(self._unsent)
        self._unsent.clear()
        return [(name, self._server(name).own) for name in changed]

    def prune(self, servers: Iterable[str]) -> None:
        """Drop the state of servers not in ``servers``, unless this VM has calls open there."""
        kept = set(servers)
        for name in list(self._servers):
            if name not in kept and not self._servers[name].own:
                del self._servers[name]
                self._unsent.discard(name)


def expected_wait_ms(estimates: Iterable[PlaceEstimate], ahead: int) -> float:
    """Return when a place is expected for a call behind ``ahead`` others, infinite if never.

    Calls end independently of each other, so a full server frees a place every duration divided by
    its slots; calls beyond its slots take their places first.
    """
    rate = 0.0
    before = ahead + 1
    for estimate in estimates:
        if not estimate.is_known:
            return 0.0
        rate += estimate.slots / estimate.duration_ms
        before -= min(estimate.free, estimate.slots)
    if rate == 0.0:
        return math.inf
    return max(0.0, before / rate)
