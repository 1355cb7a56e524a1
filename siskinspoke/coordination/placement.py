"""Choose the engines that prefill and decode a request, from a work table that all entry VMs share.

An engine computes in passes, and any prefill lengthens the pass for every stream that the engine
decodes.  So a long prompt is split into small parts that several engines prefill, preferably
engines without streams that would pause too long.  Short prompts are packed onto engines that
already decode short streams, which leaves the others free for long prompts.
"""

import random
from collections.abc import Sequence
from typing import NamedTuple

from siskinspoke.coordination.cost_model import DecodingStream, pass_ms, prefill_ms
from siskinspoke.coordination.routes import EngineCosts
from siskinspoke.coordination.work_table import Job, Stage, Work, WorkTable

# Numbers of engines that may prefill one prompt together: the decoding one and at most 16 helpers,
# which is the protocol's limit.
GROUP_SIZES = (1, 2, 3, 4, 6, 8, 12, 17)
# Passes should stay within this share of the longest pause that a stream allows, since their
# length is only an estimate.
PAUSE_BUDGET_SHARE = 0.8
# Cost of placing a short prompt on an engine without short streams: its first token may be this
# much later on an engine that already decodes some.
NO_SHORT_STREAM_PENALTY_MS = 45.0
# Waits below ACCEPTABLE_WAIT_MS count as equal for a short prompt.  Among such engines the one with
# the most streams is chosen, each stream being worth PACKING_BONUS_MS, unless fewer than
# MIN_FREE_SLOTS of its slots are free.  Engines left idle can prefill long prompts without pausing
# any stream.
ACCEPTABLE_WAIT_MS = 160.0
PACKING_BONUS_MS = 8.0
MIN_FREE_SLOTS = 2
# In a large fleet each short prompt considers a random sample of this many engines: VMs with the
# same information would otherwise all choose the engine that is best in the whole fleet.
SAMPLED_ENGINES = 12
# Cost of taking the last slot of an engine, rising linearly from CROWDING_THRESHOLD of its slots
# on, and the range of a random cost added to every engine.  VMs learn of each other's work some
# milliseconds late and would otherwise fill the same engine at the same time.
LAST_SLOT_PENALTY_MS = 80.0
CROWDING_THRESHOLD = 0.8
MAX_JITTER_MS = 10.0
# Cost of each pending prefill at an engine beyond the first FREE_PENDING_PREFILLS: a prompt queued
# behind many prefills is late.
FREE_PENDING_PREFILLS = 2
PENDING_PREFILL_PENALTY_MS = 30.0
# The thundering herd grows with the fleet, since all its VMs choose within the delay of one
# datagram.  With few engines, avoiding it matters less than keeping some engines free for long
# prompts: avoidance is off up to HERD_AVOIDANCE_MIN_ENGINES and at full strength from
# HERD_AVOIDANCE_FULL_ENGINES.
HERD_AVOIDANCE_MIN_ENGINES = 24
HERD_AVOIDANCE_FULL_ENGINES = 64
# Cost of each engine in a group after the first, relative to the weight of the request: any of them
# may fail.
HELPER_COST = 0.004
# Share of an engine's free memory that a part of a prompt may take: the work table lags behind, and
# streams grow while they are decoded.
USABLE_FREE_MEMORY_SHARE = 0.8
# Share of the target from which a first token counts as partly late, and the share of the request's
# weight that is lost at the target itself.
LATENESS_THRESHOLD = 0.35
LOSS_AT_TARGET = 0.75
# Maximum number of streams at an engine, including queued ones, per slot.  A full engine ends a
# stream about every 0.2 s, so queueing there can be faster than sharing an engine with a prompt
# whose prefill takes seconds.
MAX_STREAMS_PER_SLOT = 1.5


class Candidate(NamedTuple):
    """An engine that may take work; ``penalty`` is added to its first-token time, in ms."""

    server: str
    penalty: float = 0.0


class Place(NamedTuple):
    """The chosen engines, the decoding one first, and the expected time to first token.

    ``held`` is the number of tokens whose KV cache each engine after the first must keep; empty
    if the first keeps all.  ``considered`` counts the engines that could have taken the request,
    ``idle`` those among them without streams.
    """

    servers: tuple[str, ...]
    first_token_ms: float
    held: tuple[int, ...] = ()
    considered: int = 0
    idle: int = 0


class _EngineState(NamedTuple):
    """The state of one engine as seen by a new job; times in milliseconds."""

    server: str
    pass_ms: float
    pending_prefill_ms: float
    min_pause_ms: float
    weight: float
    streams: int
    short_streams: int
    pending_prefills: int
    free_tokens: int
    penalty: float
    slowdown: float


class Placement:
    """Choose engines for jobs, based on the in-flight work in ``work_table``."""

    def __init__(self, work_table: WorkTable, streams_per_slot: float = MAX_STREAMS_PER_SLOT):
        self.work_table = work_table
        self._streams_per_slot = streams_per_slot

    def _state(self, costs: EngineCosts, candidate: Candidate, now: float) -> _EngineState:
        engine = self.work_table.engine(candidate.server)
        decoding, pending, min_pause, weight, used, shorts, streams = [], 0.0, 1e9, 0.0, 0, 0, 0
        tokens_left = pending_prefills = 0
        for work in engine.in_flight.values():
            decodes = work.servers[0] == candidate.server
            used += work.tokens_at(candidate.server)
            if decodes:
                streams += 1
                shorts += work.job.short
                # A stream whose prefill is pending will decode in later passes, so it counts too.
                min_pause = min(min_pause, work.job.pause_ms)
                weight += work.job.weight
                tokens_left += work.job.max_tokens
                pending_prefills += work.stage is Stage.PREFILL
            if work.stage is Stage.DECODE:
                decoding.append(DecodingStream(work.tokens_at(candidate.server)))
            else:
                part = prefill_ms(costs, work.job.tokens, work.engine_count)
                pending += max(part - max(0.0, now - work.began_at - part), part * 0.2)
        decode_pass_ms = pass_ms(costs, decoding) * engine.slowdown
        queue_ms = 0.0
        if streams >= costs.slots:
            passes = tokens_left / streams / costs.pass_steps
            # Streams that are all still in prefill will decode before a slot is free, so a pass
            # takes at least the time of its steps.
            decode_pass = max(decode_pass_ms, costs.pass_steps * costs.step_ms * engine.slowdown)
            queue_ms = (streams - costs.slots + 1) * passes * decode_pass / costs.slots
        return _EngineState(
            candidate.server,
            decode_pass_ms,
            pending * engine.slowdown,
            min_pause,
            weight,
            streams,
            shorts,
            pending_prefills,
            costs.memory_tokens - used,
            candidate.penalty + queue_ms,
            engine.slowdown,
        )

    def _available_states(
        self, costs: EngineCosts, candidates: Sequence[Candidate], now: float
    ) -> list[_EngineState]:
        """Return the states of the engines that are not full, queued streams included."""
        states = [self._state(costs, item, now) for item in candidates]
        return [state for state in states if state.streams < costs.slots * self._streams_per_slot]

    def pass_ms(self, costs: EngineCosts, server: str) -> float:
        """Return the time of an engine's next pass if it does no prefill."""
        works = self.work_table.engine(server).in_flight.values()
        decoding = [DecodingStream(work.tokens_at(server)) for work in works]
        least = costs.pass_steps * costs.step_ms
        return max(least, pass_ms(costs, decoding)) * self.work_table.engine(server).slowdown

    def has_memory(self, costs: EngineCosts, job: Job, place: Place) -> bool:
        """Return whether the engines of a place still have the memory that the job needs there."""
        needed = Work(job, place.servers, 0.0, place.held)
        return all(
            self._used_tokens(server) + needed.tokens_at(server) <= costs.memory_tokens
            for server in place.servers
        )

    def _used_tokens(self, server: str) -> int:
        works = self.work_table.engine(server).in_flight.values()
        return sum(work.tokens_at(server) for work in works)

    def remaining_prefill_ms(self, costs: EngineCosts, server: str, now: float) -> float:
        """Return the prefill time that remains for the prompts known to be at an engine."""
        engine = self.work_table.engine(server)
        in_prefill = [work for work in engine.in_flight.values() if work.stage is Stage.PREFILL]
        parts = [
            prefill_ms(costs, work.job.tokens, work.engine_count) * engine.slowdown
            for work in in_prefill
        ]
        elapsed_ms = [now - work.began_at for work in in_prefill]
        return sum(
            max(0.0, part - elapsed) for part, elapsed in zip(parts, elapsed_ms, strict=True)
        )

    def choose(
        self,
        costs: EngineCosts,
        job: Job,
        candidates: Sequence[Candidate],
        now: float,
        rng: random.Random,
    ) -> Place | None:
        """Return the engines for a job, or None if no engine can take it."""
        place, states = self._find_place(costs, job, candidates, now, rng)
        if place is None:
            return None
        idle = sum(not state.streams for state in states)
        return place._replace(considered=len(states), idle=idle)

    def _find_place(
        self,
        costs: EngineCosts,
        job: Job,
        candidates: Sequence[Candidate],
        now: float,
        rng: random.Random,
    ) -> tuple[Place | None, list[_EngineState]]:
        """Return the place, and the states of the engines that were considered."""
        required_tokens = job.tokens + job.max_tokens
        shuffled = rng.sample(candidates, len(candidates))
        herd_avoidance = _herd_avoidance(len(candidates))
        if job.short:
            sampled = self._available_states(costs, shuffled[: _sample_size(len(shuffled))], now)
            with_memory = [state for state in sampled if state.free_tokens >= required_tokens]
            if any(state.streams < costs.slots for state in with_memory):
                place = self._choose_engine(costs, job, with_memory, herd_avoidance, rng)
                # If even the best engine of the sample would be late, consider the whole fleet.
                if place.first_token_ms <= job.target_ms:
                    return place, sampled
        states = self._available_states(costs, shuffled, now)
        with_memory = [state for state in states if state.free_tokens >= required_tokens]
        if not with_memory:
            return self._choose_memory_group(costs, job, states), states
        if job.short:
            return self._choose_engine(costs, job, with_memory, herd_avoidance, rng), states
        return self._choose_group(costs, job, states, with_memory), states

    def _choose_memory_group(
        self, costs: EngineCosts, job: Job, states: list[_EngineState]
    ) -> Place | None:
        """Return the lowest-cost group whose engines together have memory for the prompt."""
        found = [
            place
            for size in GROUP_SIZES
            if 1 < size <= len(states)
            and (place := self._memory_group_of_size(costs, job, states, size)) is not None
        ]
        return min(found, key=lambda item: item[0])[1] if found else None

    def _memory_group_of_size(
        self, costs: EngineCosts, job: Job, states: list[_EngineState], size: int
    ) -> tuple[float, Place] | None:
        """Return the cost and the place of a group of one size, or None if none has the memory.

        As few engines as possible keep parts of the KV cache.  The largest part kept determines the
        time of a decoding step, so these engines keep equal parts.  The others only prefill.
        """
        part = prefill_ms(costs, job.tokens, size)
        ranked = sorted(states, key=lambda state: self._engine_cost(costs, state, part))
        for count in range(2, size + 1):
            share = -(-job.tokens // count)
            eligible = [
                state for state in ranked if state.free_tokens * USABLE_FREE_MEMORY_SHARE >= share
            ]
            head_share = job.tokens + job.max_tokens - share * (count - 1)
            head_candidates = [
                state
                for state in eligible
                if state.free_tokens * USABLE_FREE_MEMORY_SHARE >= head_share
            ]
            if head_candidates and len(eligible) >= count:
                break
        else:
            return None
        head = head_candidates[0]
        keepers = [state for state in eligible if state is not head][: count - 1]
        chosen = [head, *keepers]
        others = [state for state in ranked if state not in chosen][: size - count]
        held = (share,) * (count - 1) + (0,) * len(others)
        return self._scored_place(costs, job, [*chosen, *others], held)

    def _first_token_ms(self, costs: EngineCosts, state: _EngineState, part_ms: float) -> float:
        """Return the expected time to first token at one engine.

        The current pass must end first, which takes half of it on average.  The next pass does the
        prefill, together with all pending prefills, and emits the first event.
        """
        own = costs.pass_steps * costs.step_ms * state.slowdown
        under_way = (
            (state.pass_ms + state.pending_prefill_ms) / 2
            if state.pass_ms
            else state.pending_prefill_ms
        )
        return (
            under_way
            + max(state.pass_ms, own)
            + state.pending_prefill_ms / 2
            + part_ms * state.slowdown
        )

    def _disruption_cost(self, state: _EngineState, part_ms: float) -> float:
        """Return the weight of the streams that a prefill at this engine would pause too long."""
        longest = state.pass_ms + state.pending_prefill_ms + part_ms * state.slowdown
        allowed = state.min_pause_ms * PAUSE_BUDGET_SHARE
        if longest <= allowed:
            return 0.0
        return state.weight * min(1.0, longest / allowed - 0.9)

    def _choose_engine(
        self,
        costs: EngineCosts,
        job: Job,
        states: list[_EngineState],
        herd_avoidance: float,
        rng: random.Random,
    ) -> Place:
        part = prefill_ms(costs, job.tokens)

        def cost(state: _EngineState) -> float:
            first = self._first_token_ms(costs, state, part) + state.penalty
            late = max(0.0, first - job.target_ms * PAUSE_BUDGET_SHARE)
            no_short_stream = 0.0 if state.short_streams else NO_SHORT_STREAM_PENALTY_MS
            taken = (state.streams + 1) / costs.slots
            crowding = (
                herd_avoidance
                * LAST_SLOT_PENALTY_MS
                * max(0.0, taken - CROWDING_THRESHOLD)
                / (1 - CROWDING_THRESHOLD)
            )
            disruption = self._disruption_cost(state, part)
            own_pause = self._own_pause_cost(costs, job, state)
            jitter = herd_avoidance * rng.uniform(0, MAX_JITTER_MS)
            crowding += PENDING_PREFILL_PENALTY_MS * max(
                0, state.pending_prefills - FREE_PENDING_PREFILLS
            )
            packing_bonus = (
                PACKING_BONUS_MS * state.streams
                if state.streams <= costs.slots - MIN_FREE_SLOTS
                else 0.0
            )
            wait = max(first - part, ACCEPTABLE_WAIT_MS)
            return (
                wait
                + no_short_stream
                + crowding
                + jitter
                - packing_bonus
                + 3 * late
                + 300 * (disruption + own_pause)
            )

        best = min(states, key=cost)
        first_ms = self._first_token_ms(costs, best, part) + best.penalty
        return Place((best.server,), first_ms)

    def _own_pause_cost(self, costs: EngineCosts, job: Job, state: _EngineState) -> float:
        """Return the weight lost if the engine's passes exceed the pauses that the job allows."""
        longest = state.pass_ms + costs.pass_steps * costs.stream_step_ms
        return job.weight * (longest > job.pause_ms * PAUSE_BUDGET_SHARE)

    def _choose_group(
        self,
        costs: EngineCosts,
        job: Job,
        states: list[_EngineState],
        with_memory: list[_EngineState],
    ) -> Place:
        best: tuple[float, Place] | None = None
        for size in GROUP_SIZES:
            if size > len(states):
                break
            found = self._group_of_size(costs, job, states, with_memory, size)
            if best is None or found[0] < best[0]:
                best = found
        return best[1]

    def _group_of_size(
        self,
        costs: EngineCosts,
        job: Job,
        states: list[_EngineState],
        with_memory: list[_EngineState],
        size: int,
    ) -> tuple[float, Place]:
        """Return the cost and the place of the lowest-cost group of one size."""
        part = prefill_ms(costs, job.tokens, size)

        def cost(state: _EngineState) -> float:
            return self._engine_cost(costs, state, part)

        def head_cost(state: _EngineState) -> float:
            # The decoding engine keeps the whole prompt, so short streams there would pause.
            return cost(state) + 0.5 * state.short_streams + 0.2 * state.streams

        head = min(with_memory, key=head_cost)
        others = sorted((state for state in states if state is not head), key=cost)[: size - 1]
        return self._scored_place(costs, job, [head, *others], ())

    def _engine_cost(self, costs: EngineCosts, state: _EngineState, part_ms: float) -> float:
        """Return the cost of using an engine in a group: streams disturbed there, then the wait."""
        first = self._first_token_ms(costs, state, part_ms) + state.penalty
        return self._disruption_cost(state, part_ms) + first / 1000

    def _scored_place(
        self, costs: EngineCosts, job: Job, group: list[_EngineState], held: tuple[int, ...]
    ) -> tuple[float, Place]:
        """Return the total cost of a group, and the group as a place."""
        part = prefill_ms(costs, job.tokens, len(group))
        disruption = sum(self._disruption_cost(state, part) for state in group)
        first_ms = max(self._first_token_ms(costs, state, part) + state.penalty for state in group)
        late = job.weight * _lateness_loss(first_ms, job.target_ms)
        group_cost = HELPER_COST * job.weight * (len(group) - 1)
        total = disruption + late + group_cost + first_ms / 10_000
        return total, Place(tuple(state.server for state in group), first_ms, held)


def _herd_avoidance(engines: int) -> float:
    """Return the strength of herd avoidance in a fleet of this size, from 0 to 1."""
    share = (engines - HERD_AVOIDANCE_MIN_ENGINES) / (
        HERD_AVOIDANCE_FULL_ENGINES - HERD_AVOIDANCE_MIN_ENGINES
    )
    return min(1.0, max(0.0, share))


def _sample_size(engines: int) -> int:
    """Return how many engines of a fleet are considered for a short prompt."""
    more = max(0, engines - SAMPLED_ENGINES)
    return engines - round(more * _herd_avoidance(engines))


def _lateness_loss(first_ms: float, target_ms: float) -> float:
    """Return the share of a job's weight lost by the expected time of its first token.

    Nothing is lost well before the target, three quarters at the target, since estimates are off
    by a third, and everything at four times the target, when most callers have given up.
    """
    ratio = first_ms / target_ms
    if ratio <= LATENESS_THRESHOLD:
        return 0.0
    if ratio <= 1:
        return LOSS_AT_TARGET * (ratio - LATENESS_THRESHOLD) / (1 - LATENESS_THRESHOLD)
    return LOSS_AT_TARGET + (1 - LOSS_AT_TARGET) * min(1.0, (ratio - 1) / 3)
