"""A small, honest model of one engine, without I/O: time is passed in, in milliseconds.

It batches continuously with chunked prefill, keeps KV memory, caches prefixes in what memory
is left, honours priorities strictly, and gives memory back when a lease runs out.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from siskinspoke.protocol.engine import CancelState
from siskinspoke.protocol.prefix import BLOCK_TOKENS

RETENTION_MS = 30_000
MAX_TOMBSTONES = 100_000


class EngineParameters(NamedTuple):
    """Sizes and speeds of an engine; milliseconds and tokens."""

    memory_tokens: int = 400_000
    step_base_ms: float = 6.0
    prefill_ms_per_token: float = 0.02
    decode_ms_per_sequence: float = 0.1
    chunk_tokens: int = 1_024

    @property
    def prefill_rate(self) -> float:
        """Return prefill tokens a second with nothing else in the batch."""
        step_ms = self.step_base_ms + self.chunk_tokens * self.prefill_ms_per_token
        return self.chunk_tokens / step_ms * 1000


class AttemptKey(NamedTuple):
    """Name one attempt of one request."""

    request: str
    attempt: int


class State(Enum):
    """Where an attempt stands."""

    WAITING = "waiting"
    PREFILL = "prefill"
    DECODE = "decode"
    FINISHED = "finished"
    CANCELLED = "cancelled"


@dataclass(slots=True)
class Attempt:
    """One attempt at one engine."""

    key: AttemptKey
    prompt_tokens: int
    max_tokens: int
    priority: int
    blocks: list[int]
    offset: int = 0
    reservation: str = ""
    lease_ms: float = 5_000
    arrival: int = 0
    state: State = State.WAITING
    held_tokens: int = 0
    remaining_prefill: int = 0
    emitted: int = 0
    readers: int = 0
    silent_since: float = 0.0
    ended_at: float = 0.0

    @property
    def active(self) -> bool:
        """Tell whether the attempt may still emit tokens."""
        return self.state in (State.WAITING, State.PREFILL, State.DECODE)


@dataclass(slots=True)
class Reservation:
    """Memory that an owner holds until its lease runs out."""

    owner: str
    tokens: int
    expires_at: float


@dataclass
class Plan:
    """What one step computes."""

    duration_ms: float
    decodes: list[Attempt] = field(default_factory=list)
    prefills: list[tuple[Attempt, int]] = field(default_factory=list)


class EngineModel:
    """Decide what an engine computes next and who holds its memory."""

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
        """Return the memory held by attempts and reservations."""
        by_attempts = sum(item.held_tokens for item in self._active.values())
        return by_attempts + sum(item.tokens for item in self.reservations.values())

    @property
    def free_tokens(self) -> int:
        """Return the memory that nothing holds; the prefix cache lives in it."""
        return self.parameters.memory_tokens - self.held_tokens

    @property
    def running(self) -> int:
        """Return the number of attempts that hold memory."""
        return sum(item.state is not State.WAITING for item in self._active.values())

    @property
    def busy(self) -> bool:
        """Tell whether a step would compute anything or free anything."""
        return bool(self._active)

    def queued(self, ranks: int) -> list[int]:
        """Return the prefill tokens that wait, by priority rank."""
        totals = [0] * ranks
        for item in self._active.values():
            totals[min(item.priority, ranks - 1)] += self._unfinished_prefill(item)
        return totals

    def _unfinished_prefill(self, item: Attempt) -> int:
        if item.state is State.WAITING:
            return max(1, item.prompt_tokens - self.cached_tokens(item.blocks))
        return item.remaining_prefill

    def cached_tokens(self, blocks: list[int]) -> int:
        """Return how many leading tokens of a prompt the cache holds."""
        count = 0
        for block in blocks:
            if block not in self._cache:
                break
            count += 1
        return count * BLOCK_TOKENS

    def start(self, attempt: Attempt, now: float) -> bool:
        """Take an attempt; False if a tombstone, its size or a lapsed lease forbids it."""
        if attempt.key in self._tombstones:
            return False
        known = self.attempts.get(attempt.key)
        if known is not None:
            return True
        if attempt.reservation and attempt.reservation not in self.reservations:
            # The owner froze, its lease ran out, and it thaws: the memory is another's now.
            return False
        need = attempt.prompt_tokens + attempt.max_tokens
        if not attempt.reservation and need > self.parameters.memory_tokens:
            return False
        self.accepted += 1
        attempt.arrival = self.accepted
        attempt.silent_since = now
        attempt.emitted = attempt.offset
        self.attempts[attempt.key] = attempt
        self._active[attempt.key] = attempt
        return True

    def cancel(self, key: AttemptKey, now: float, unless_began: bool = False) -> str:
        """End an attempt; one that never began leaves a tombstone and never will."""
        attempt = self.attempts.get(key)
        if attempt is None:
            self._tombstones[key] = None
            if len(self._tombstones) > MAX_TOMBSTONES:
                self._tombstones.popitem(last=False)
            return CancelState.NEVER_BEGAN
        if attempt.state is State.FINISHED:
            return CancelState.FINISHED
        if attempt.active and unless_began:
            return CancelState.RUNNING
        if attempt.active:
            self._end(attempt, State.CANCELLED, now)
        return CancelState.CANCELLED

    def reserve(self, name: str, owner: str, tokens: int, lease_ms: float, now: float) -> bool:
        """Hold memory for an owner; asking again for the same is granted once."""
        held = self.reservations.get(name)
        if held is not None:
            return held.owner == owner and self.renew(name, lease_ms, now)
        if tokens > self.free_tokens:
            return False
        self.reservations[name] = Reservation(owner, tokens, now + lease_ms)
        self._evict()
        return True

    def renew(self, name: str, lease_ms: float, now: float) -> bool:
        """Extend the lease of reserved memory; False if it has run out."""
        held = self.reservations.get(name)
        if held is None:
            return False
        held.expires_at = now + lease_ms
        return True

    def release(self, name: str) -> None:
        """Give reserved memory back; releasing twice does nothing."""
        self.reservations.pop(name, None)

    def expire(self, now: float) -> None:
        """Take back what has no living owner: unread attempts, reservations, old records."""
        for name in [n for n, item in self.reservations.items() if item.expires_at <= now]:
            del self.reservations[name]
        for item in list(self._active.values()):
            if not item.readers and now - item.silent_since >= item.lease_ms:
                self._end(item, State.CANCELLED, now)
        while self._ended:
            key, item = next(iter(self._ended.items()))
            if now - item.ended_at < RETENTION_MS:
                break
            del self._ended[key]
            del self.attempts[key]

    def begin_step(self, now: float) -> Plan | None:
        """Return what the next step computes, or None where there is nothing to do."""
        self.expire(now)
        self._admit()
        parameters = self.parameters
        decodes = [item for item in self._active.values() if item.state is State.DECODE]
        budget = max(0, parameters.chunk_tokens - len(decodes))
        prefills = []
        waiting = (item for item in self._active.values() if item.state is State.PREFILL)
        for item in sorted(waiting, key=_order):
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
        return Plan(duration, decodes, prefills)

    def finish_step(self, plan: Plan, now: float) -> list[Attempt]:
        """Account for a computed step and return the attempts that emitted a token."""
        emitted = [item for item in plan.decodes if item.state is State.DECODE]
        for item, share in plan.prefills:
            if item.state is not State.PREFILL:
                continue
            item.remaining_prefill -= share
            if item.remaining_prefill <= 0:
                item.state = State.DECODE
                self._store(item.blocks)
                emitted.append(item)
        for item in emitted:
            if item.emitted < item.max_tokens:
                item.emitted += 1
            if item.emitted >= item.max_tokens:
                self._end(item, State.FINISHED, now)
        return emitted

    def _admit(self) -> None:
        """Give memory to waiting attempts in order; the first that does not fit waits."""
        waiting = (item for item in self._active.values() if item.state is State.WAITING)
        free = self.free_tokens
        for item in sorted(waiting, key=_order):
            need = 0 if item.reservation else item.prompt_tokens + item.max_tokens
            if need > free:
                break
            free -= need
            item.held_tokens = need
            cached = min(self.cached_tokens(item.blocks), item.prompt_tokens - 1)
            item.remaining_prefill = item.prompt_tokens - cached
            item.state = State.PREFILL
            for block in item.blocks[: cached // BLOCK_TOKENS]:
                self._cache.move_to_end(block)
        self._evict()

    def _store(self, blocks: list[int]) -> None:
        for block in blocks:
            if block not in self._cache:
                self._cache[block] = None
                self._event("stored", block)
            self._cache.move_to_end(block)
        self._evict()

    def _evict(self) -> None:
        room = max(0, self.free_tokens) // BLOCK_TOKENS
        while len(self._cache) > room:
            block, _ = self._cache.popitem(last=False)
            self._event("removed", block)

    def _event(self, kind: str, block: int) -> None:
        self._event_seq += 1
        self.events.append((self._event_seq, kind, block))
        if len(self.events) > 20_000:
            del self.events[:10_000]

    def _end(self, item: Attempt, state: State, now: float) -> None:
        item.state = state
        item.held_tokens = 0
        item.ended_at = now
        self._active.pop(item.key, None)
        self._ended[item.key] = item
        if item.reservation:
            self.release(item.reservation)


def _order(item: Attempt) -> tuple[int, int]:
    return item.priority, item.arrival
