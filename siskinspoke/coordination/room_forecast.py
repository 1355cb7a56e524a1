"""Forecast when engines have room for a request that waits, from the work table.  Pure."""

import math
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from siskinspoke.coordination.admission import Waiter
from siskinspoke.coordination.cost_model import DecodingStream, pass_ms, prefill_ms
from siskinspoke.coordination.placement import USABLE_FREE_MEMORY_SHARE
from siskinspoke.coordination.routes import EngineCosts
from siskinspoke.coordination.work_table import Job, Stage, Work, WorkTable

# A place is taken if its first token is expected within this share of the time to the target:
# estimates are off by a third, and requests that are placed later delay those that are under way.
MAX_FIRST_SHARE = 0.6
# The same while room is short for a more urgent rank, whose next request would find an engine busy
# with this one.
YIELDING_FIRST_SHARE = 0.25
# A request closer to its target than this is treated as one whose target has passed.
MIN_LEFT_MS = 40.0
# The limit of a prompt too large for that, relative to its time on so many idle engines.
MAX_LARGE_RATIO = 1.5
LARGE_GROUP = 6
# Fewer engines, so a later limit, for prompts that would otherwise be served less often than the
# smaller ones of their kind: up to a third of an engine's memory, and, in an overload, above one
# engine's memory.  In a short peak the latter would delay too many others.
MIDDLE_MEMORY_SHARE = 1 / 3
MIDDLE_GROUP = 2
SPREAD_GROUP = 3
# Room is short where the first token of a placed request is expected after this many times its
# limit, which is about its target.
SHORTAGE_RATIO = 1.7


class _Release(NamedTuple):
    """The expected end of one stream, and the tokens that it then frees at an engine."""

    in_ms: float
    tokens: int


class _EngineForecast(NamedTuple):
    free_slots: int
    free_tokens: int
    prefill_left_ms: float
    releases: list[_Release]

    def tokens_free_in_ms(self, tokens: int) -> float:
        """Return when so many tokens are free at the engine, or infinity."""
        free = self.free_tokens
        if free >= tokens:
            return 0.0
        for release in self.releases:
            free += release.tokens
            if free >= tokens:
                return release.in_ms
        return math.inf


def job_cost_ms(costs: EngineCosts, job: Job) -> float:
    """Return the engine time that a job takes: its prefill, and its share of an engine's slots."""
    full = pass_ms(costs, [DecodingStream(0)] * costs.slots)
    passes = job.max_tokens / costs.pass_steps
    return prefill_ms(costs, job.tokens) + passes * full / costs.slots


class RoomForecast:
    """The forecast for the engines of one service, made once from the work table.

    ``made_at`` is when, in milliseconds; ``room_in_ms`` counts from then.
    """

    def __init__(
        self, costs: EngineCosts, work_table: WorkTable, servers: Iterable[str], now: float
    ):
        self.made_at = now
        self._costs = costs
        self._engines = [_forecast(costs, work_table, server, now) for server in servers]
        self._releases = sorted(
            release.in_ms for engine in self._engines for release in engine.releases
        )
        self._prefill_left_ms = sum(engine.prefill_left_ms for engine in self._engines)

    def room_in_ms(self, job: Job, ahead: Sequence[Waiter]) -> float:
        """Return in how many milliseconds there is room for a job, or infinity.

        Each request ``ahead`` takes a slot, and its share of the engines' time, before.
        """
        if not self._engines:
            return math.inf
        ahead_ms = sum(item.cost_ms for item in ahead)
        backlog = (self._prefill_left_ms + ahead_ms) / len(self._engines) if ahead else 0.0
        return max(self._slot_in_ms(len(ahead)), self._memory_in_ms(job), backlog)

    def _slot_in_ms(self, ahead: int) -> float:
        """Return when a slot is free after as many others as there are requests ahead."""
        free = sum(max(0, engine.free_slots) for engine in self._engines)
        if free > ahead:
            return 0.0
        if not self._releases:
            return math.inf
        queued = sum(max(0, -engine.free_slots) for engine in self._engines)
        rounds, position = divmod(ahead - free + queued, len(self._releases))
        # Requests that take the first slots end about as long after that as the last known stream.
        return self._releases[position] + rounds * self._releases[-1]

    def _memory_in_ms(self, job: Job) -> float:
        """Return when one engine, or as few as can hold the job together, have memory for it."""
        needed = job.tokens + job.max_tokens
        memory = self._costs.memory_tokens
        if needed <= memory:
            return min(engine.tokens_free_in_ms(needed) for engine in self._engines)
        count = math.ceil(needed / (memory * USABLE_FREE_MEMORY_SHARE))
        if count > len(self._engines):
            return math.inf
        share = math.ceil(needed / count / USABLE_FREE_MEMORY_SHARE)
        return sorted(engine.tokens_free_in_ms(share) for engine in self._engines)[count - 1]


def _forecast(
    costs: EngineCosts, work_table: WorkTable, server: str, now: float
) -> _EngineForecast:
    engine = work_table.engine(server)
    works = list(engine.in_flight.values())
    decoding = [item for item in works if item.servers[0] == server]
    streams = [DecodingStream(item.tokens_at(server)) for item in decoding]
    one_pass = max(costs.pass_steps * costs.step_ms, pass_ms(costs, streams)) * engine.slowdown
    prefill_left, releases = 0.0, []
    for work in works:
        part = prefill_ms(costs, work.job.tokens, work.engine_count) * engine.slowdown
        if work.stage is Stage.PREFILL:
            prefill_left += max(0.0, part - max(0.0, now - work.began_at))
        ends = _end(costs, work, part, one_pass)
        releases.append(_Release(max(one_pass / 2, ends - now), work.tokens_at(server)))
    used = sum(item.tokens_at(server) for item in works)
    return _EngineForecast(
        costs.slots - len(decoding), costs.memory_tokens - used, prefill_left, sorted(releases)
    )


def _end(costs: EngineCosts, work: Work, part_ms: float, pass_length_ms: float) -> float:
    passes = work.job.max_tokens / costs.pass_steps
    return work.began_at + part_ms + pass_length_ms * (1 + passes)


def first_token_limit_ms(
    costs: EngineCosts,
    job: Job,
    left_ms: float,
    large_group: int = LARGE_GROUP,
    yields: bool = False,
    overloaded: bool = False,
    yielding_share: float = YIELDING_FIRST_SHARE,
) -> float:
    """Return the latest expected time to first token with which a place is taken under overload.

    ``left_ms`` is the time left to the target; a request whose target has passed gets the limit of
    a new one.  A prompt so large that it could not begin in this time on idle engines gets a limit
    that it can meet.  ``yields`` tells that room is short for a more urgent rank,
    ``overloaded`` that it has been short for long.
    """
    share = yielding_share if yields else MAX_FIRST_SHARE
    left = left_ms if left_ms >= MIN_LEFT_MS else job.target_ms
    parts = _limit_group(costs, job, large_group, overloaded)
    alone = prefill_ms(costs, job.tokens, parts) + costs.pass_steps * costs.step_ms
    return max(share * left, MAX_LARGE_RATIO * alone)


def _limit_group(costs: EngineCosts, job: Job, large_group: int, overloaded: bool) -> int:
    """Return on how many idle engines the least limit of a prompt is based."""
    if job.short:
        return 1
    if job.tokens <= costs.memory_tokens * MIDDLE_MEMORY_SHARE:
        return min(MIDDLE_GROUP, large_group)
    if overloaded and job.tokens + job.max_tokens > costs.memory_tokens:
        return min(SPREAD_GROUP, large_group)
    return large_group
