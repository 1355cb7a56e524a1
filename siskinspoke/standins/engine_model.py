"""A simulation of one model engine, without I/O; callers pass in the time in milliseconds.

It models continuous batching with chunked prefill, KV memory, a prefix cache in the remaining
memory, strict priorities, and memory leases that are released on expiry.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from siskinspoke.protocol.engine import CancelState
from siskinspoke.protocol.prefix import BLOCK_TOKENS

ENDED_RETENTION_MS = 30_000
MAX_TOMBSTONES = 100_000


class EngineParameters(NamedTuple):
    """Sizes and speeds of an engine, in tokens and milliseconds."""

    memory_tokens: int = 400_000
    step_base_ms: float = 6.0
    prefill_ms_per_token: float = 0.02
    decode_ms_per_sequence: float = 0.1
    chunk_tokens: int = 1_024

    @property
    def prefill_rate(self) -> float:
        """Return prefill tokens per second with nothing else in the batch."""
        step_ms = self.step_base_ms + self.chunk_tokens * self.prefill_ms_per_token
        return self.chunk_tokens / step_ms * 1000


class AttemptKey(NamedTuple):
    """The identity of one attempt of a request."""

    request: str
    attempt: int


class AttemptState(Enum):
    """The state of an attempt."""

    WAITING = "waiting"
    PREFILL = "prefill"
    DECODE = "decode"
    FINISHED = "finished"
    CANCELLED = "cancelled"


@dataclass(slots=True)
class Attempt:
    """An attempt to serve a request at this engine."""

    key: AttemptKey
    prompt_tokens: int
    max_tokens: int
    priority: int
    blocks: list[int]
    offset: int = 0
    reservation: str = ""
    lease_ms: float = 5_000
    arrival: int = 0
    state: AttemptState = AttemptState.WAITING
    held_tokens: int = 0
    remaining_prefill: int = 0
    emitted: int = 0
    readers: int = 0
    unread_since: float = 0.0
    ended_at: float = 0.0

    @property
    def active(self) -> bool:
        """Whether the attempt may still emit tokens."""
        return self.state in (AttemptState.WAITING, AttemptState.PREFILL, AttemptState.DECODE)


@dataclass(slots=True)
class Reservation:
    """Memory held by an owner until its lease expires."""

    owner: str
    tokens: int
    expires_at: float


@dataclass
class StepPlan:
    """The work of one step."""

    duration_ms: float
    decodes: list[Attempt] = field(default_factory=list)
    prefills: list[tuple[Attempt, int]] = field(default_factory=list)


class EngineModel:
    """Schedule the steps of an engine and account for its memory."""

    def __init__(self, parameters: EngineParameters):
        self.parameters = parameters
        self.attempts: dict[AttemptKey, Attempt] = {}
        self.reservations: dict[str, Reservation] = {}
        self.accepted = 0
        self.events: list[tuple[int, str, int]] = []
        self._active: dict[AttemptKey, Attempt] = {}
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._tombstones: OrderedDict[AttemptKey, None] = OrderedDict()
        self._ended: OrderedDict[AttemptKey, Attempt] = OrderedDict()
        self._event_seq = 0

    @property
    def held_tokens(self) -> int:
        """Return the memory held by attempts and reservations, in tokens."""
        by_attempts = sum(item.held_tokens for item in self._active.values())
        return by_attempts + sum(item.tokens for item in self.reservations.values())

    @property
    def free_tokens(self) -> int:
        """Return the memory that is not held, in tokens; the prefix cache uses it."""
        return self.parameters.memory_tokens - self.held_tokens

    @property
    def running(self) -> int:
        """Return the number of attempts that have been admitted."""
        return sum(item.state is not AttemptState.WAITING for item in self._active.values())

    @property
    def busy(self) -> bool:
        """Whether a step would compute or free anything."""
        return bool(self._active)

    def queued_prefill_tokens(self, ranks: int) -> list[int]:
        """Return the outstanding prefill tokens by priority rank."""
        totals = [0] * ranks
        for item in self._active.values():
            totals[min(item.priority, ranks - 1)] += self._unfinished_prefill(item)
        return totals

    def _unfinished_prefill(self, item: Attempt) -> int:
        if item.state is AttemptState.WAITING:
            return max(1, item.prompt_tokens - self.cached_tokens(item.blocks))
        return item.remaining_prefill

    def cached_tokens(self, blocks: list[int]) -> int:
        """Return the number of leading prompt tokens in the prefix cache."""
        count = 0
        for block in blocks:
            if block not in self._cache:
                break
            count += 1
        return count * BLOCK_TOKENS

    def start(self, attempt: Attempt, now: float) -> bool:
        """Accept an attempt; False if it was cancelled, is too large or its reservation expired."""
        if attempt.key in self._tombstones:
            return False
        known = self.attempts.get(attempt.key)
        if known is not None:
            return True
        if attempt.reservation and attempt.reservation not in self.reservations:
            # The owner was suspended until its lease expired; the memory may be in use by another.
            return False
        need = attempt.prompt_tokens + attempt.max_tokens
        if not attempt.reservation and need > self.parameters.memory_tokens:
            return False
        self.accepted += 1
        attempt.arrival = self.accepted
        attempt.unread_since = now
        attempt.emitted = attempt.offset
        self.attempts[attempt.key] = attempt
        self._active[attempt.key] = attempt
        return True

    def cancel(self, key: AttemptKey, now: float, unless_began: bool = False) -> str:
        """Cancel an attempt; one that has not begun leaves a tombstone that prevents its start."""
        attempt = self.attempts.get(key)
        if attempt is None:
            self._tombstones[key] = None
            if len(self._tombstones) > MAX_TOMBSTONES:
                self._tombstones.popitem(last=False)
            return CancelState.NEVER_BEGAN
        if attempt.state is AttemptState.FINISHED:
            return CancelState.FINISHED
        if attempt.active and unless_began:
            return CancelState.RUNNING
        if attempt.active:
            self._end(attempt, AttemptState.CANCELLED, now)
        return CancelState.CANCELLED

    def reserve(self, name: str, owner: str, tokens: int, lease_ms: float, now: float) -> bool:
        """Reserve memory for an owner; a repeated request of the same owner renews the lease."""
        held = self.reservations.get(name)
        if held is not None:
            return held.owner == owner and self.renew(name, lease_ms, now)
        if tokens > self.free_tokens:
            return False
        self.reservations[name] = Reservation(owner, tokens, now + lease_ms)
        self._evict()
        return True

    def renew(self, name: str, lease_ms: float, now: float) -> bool:
        """Extend the lease of a reservation; False if it has expired."""
        held = self.reservations.get(name)
        if held is None:
            return False
        held.expires_at = now + lease_ms
        return True

    def release(self, name: str) -> None:
        """Release a reservation; this is idempotent."""
        self.reservations.pop(name, None)

    def expire(self, now: float) -> None:
        """Remove expired reservations, attempts without readers, and old records."""
        for name in [n for n, item in self.reservations.items() if item.expires_at <= now]:
            del self.reservations[name]
        for item in list(self._active.values()):
            if not item.readers and now - item.unread_since >= item.lease_ms:
                self._end(item, AttemptState.CANCELLED, now)
        while self._ended:
            key, item = next(iter(self._ended.items()))
            if now - item.ended_at < ENDED_RETENTION_MS:
                break
            del self._ended[key]
            del self.attempts[key]

    def begin_step(self, now: float) -> StepPlan | None:
        """Return the next step, or None if there is nothing to compute."""
        self.expire(now)
        self._admit()
        parameters = self.parameters
        decodes = [item for item in self._active.values() if item.state is AttemptState.DECODE]
        budget = max(0, parameters.chunk_tokens - len(decodes))
        prefills = []
        prefilling = (item for item in self._active.values() if item.state is AttemptState.PREFILL)
        for item in sorted(prefilling, key=_scheduling_key):
            if budget <= 0:
                break
            share = min(budget, item.remaining_prefill)
            prefills.append((item, share))
            budget -= share
        if not decodes and not prefills:
            return None
        prefill_tokens = sum(share for _, share in prefills)
        duration = (
            parameters.step_base_ms
            + prefill_tokens * parameters.prefill_ms_per_token
            + len(decodes) * parameters.decode_ms_per_sequence
        )
        return StepPlan(duration, decodes, prefills)

    def finish_step(self, plan: StepPlan, now: float) -> list[Attempt]:
        """Apply the results of a step and return the attempts that emitted a token."""
        emitted = [item for item in plan.decodes if item.state is AttemptState.DECODE]
        for item, share in plan.prefills:
            if item.state is not AttemptState.PREFILL:
                continue
            item.remaining_prefill -= share
            if item.remaining_prefill <= 0:
                item.state = AttemptState.DECODE
                self._cache_blocks(item.blocks)
                emitted.append(item)
        for item in emitted:
            if item.emitted < item.max_tokens:
                item.emitted += 1
            if item.emitted >= item.max_tokens:
                self._end(item, AttemptState.FINISHED, now)
        return emitted

    def _admit(self) -> None:
        """Admit waiting attempts in order; the first that does not fit blocks those after it."""
        waiting = (item for item in self._active.values() if item.state is AttemptState.WAITING)
        free = self.free_tokens
        for item in sorted(waiting, key=_scheduling_key):
            need = 0 if item.reservation else item.prompt_tokens + item.max_tokens
            if need > free:
                break
            free -= need
            item.held_tokens = need
            cached = min(self.cached_tokens(item.blocks), item.prompt_tokens - 1)
            item.remaining_prefill = item.prompt_tokens - cached
            item.state = AttemptState.PREFILL
            for block in item.blocks[: cached // BLOCK_TOKENS]:
                self._cache.move_to_end(block)
        self._evict()

    def _cache_blocks(self, blocks: list[int]) -> None:
        for block in blocks:
            if block not in self._cache:
                self._cache[block] = None
                self._record_cache_event("stored", block)
            self._cache.move_to_end(block)
        self._evict()

    def _evict(self) -> None:
        room = max(0, self.free_tokens) // BLOCK_TOKENS
        while len(self._cache) > room:
            block, _ = self._cache.popitem(last=False)
            self._record_cache_event("removed", block)

    def _record_cache_event(self, kind: str, block: int) -> None:
        self._event_seq += 1
        self.events.append((self._event_seq, kind, block))
        if len(self.events) > 20_000:
            del self.events[:10_000]

    def _end(self, item: Attempt, state: AttemptState, now: float) -> None:
        item.state = state
        item.held_tokens = 0
        item.ended_at = now
        self._active.pop(item.key, None)
        self._ended[item.key] = item
        if item.reservation:
            self.release(item.reservation)


def _scheduling_key(item: Attempt) -> tuple[int, int]:
    return item.priority, item.arrival
