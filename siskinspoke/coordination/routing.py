"""Choose the backend server with the shortest time to first token, without delaying short prompts.

The estimate for a server is the prefill work queued ahead of the request at its rank, plus the
request's own uncached tokens, divided by the server's prefill rate.  The work ahead is what the
server last reported, minus what it has computed since, plus what this VM has dispatched that the
report does not yet include.  The recent dispatches of other VMs are unknown, so the choice is made
among a few sampled servers and is not always the best estimate: VMs that have the same report
would otherwise all send to the same server at once.
"""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from expression import Error, Ok, Result

from siskinspoke.coordination.back_off import BackOffs
from siskinspoke.coordination.directory import Directory, ServerRecord
from siskinspoke.coordination.prefixes import PrefixIndex
from siskinspoke.core.codes import Failure, ResultCode
from siskinspoke.protocol.prefix import BLOCK_TOKENS

REMOTE_PENALTY_MS = 20.0
ESTIMATE_TOLERANCE_MS = 3.0
SAMPLED_SERVERS = 2
MIN_LEARNED_ESTIMATE_MS = 30.0
MAX_SLOWNESS = 4.0
SLOWNESS_GAIN = 0.1
RANKS = 16
RANKS_PER_PRIORITY = 2
RANK_BASE_TOKENS = 1_000
RETRY_AFTER_JITTER = 0.5
MIN_RETRY_MS = 500.0
MAX_RETRY_MS = 10_000.0
MAX_GROUP_SERVERS = 8
MIN_PREFILL_RATE = 1.0
INITIAL_TOKEN_MS = 10.0
TOKEN_MS_GAIN = 0.05


class RoutingRequest(NamedTuple):
    """The properties of a request that routing uses."""

    service: str
    prompt_tokens: int
    max_tokens: int
    length_class: int
    priority: int
    blocks: list[int]
    remaining_ms: float
    excluded: frozenset[str] = frozenset()

    @property
    def rank(self) -> int:
        """Return the engine priority; rank 0 is served first.

        Each doubling of the prompt length is a separate rank, so that a prompt rarely waits for
        much longer ones.  One step of customer priority outweighs a fourfold length.
        """
        doublings = max(0, (self.prompt_tokens // RANK_BASE_TOKENS).bit_length() - 1)
        return min(RANKS - 1, doublings + RANKS_PER_PRIORITY * self.priority)

    @property
    def memory_tokens(self) -> int:
        """Return the KV memory, in tokens, that the request needs until it ends."""
        return self.prompt_tokens + self.max_tokens


class Choice(NamedTuple):
    """The servers to send a request to, and the estimates; several servers form a group.

    ``estimate_ms`` is the time to first token.  ``backlog_ms`` is the queued work of all ranks at
    the least loaded server; it grows in an overload even while short prompts hardly wait.
    """

    servers: tuple[ServerRecord, ...]
    estimate_ms: float
    uncached_tokens: int
    backlog_ms: float = 0.0
    shares: tuple[int, ...] = ()


class DispatchId(NamedTuple):
    """Identifies one dispatch within the router."""

    server: str
    number: int


@dataclass(slots=True)
class Outstanding:
    """A dispatch of this VM that the server's report may not yet include."""

    uncached_tokens: int
    memory_tokens: int
    rank: int
    sent_at: float
    estimate_ms: float
    accepted_seq: int | None = None
    prefill_done: bool = False


@dataclass(slots=True)
class _ServerDispatches:
    incarnation: int
    slowness: float = 1.0
    dispatches: dict[int, Outstanding] = field(default_factory=dict)


def length_class(prompt_tokens: int, short_tokens: int, long_tokens: int) -> int:
    """Return 0 for a short prompt, 1 for a medium one and 2 for a long one."""
    return (prompt_tokens > short_tokens) + (prompt_tokens >= long_tokens)


class Router:
    """Estimate times to first token and choose servers; tracks this VM's own dispatches."""

    def __init__(
        self,
        directory: Directory,
        prefixes: PrefixIndex,
        failure_domain: str,
        back_offs: BackOffs | None = None,
    ):
        self.directory = directory
        self.back_offs = BackOffs() if back_offs is None else back_offs
        self.prefixes = prefixes
        self._domain = failure_domain
        self._servers: dict[str, _ServerDispatches] = {}
        self._next_ticket = 0
        self._token_ms: dict[str, float] = {}

    def token_ms(self, service: str) -> float:
        """Return the moving average of a service's time between tokens."""
        return self._token_ms.get(service, INITIAL_TOKEN_MS)

    def learn_token_ms(self, service: str, measured: float) -> None:
        """Update the average with the mean time between tokens of one finished answer."""
        known = self.token_ms(service)
        self._token_ms[service] = known + TOKEN_MS_GAIN * (measured - known)

    def _decode_ms(self, work: RoutingRequest) -> float:
        return work.max_tokens * self.token_ms(work.service)

    def estimate_ms(self, record: ServerRecord, work: RoutingRequest, now: float) -> float:
        """Return the estimated time to first token at one server."""
        ahead = self._tokens_ahead(record, work.rank, now)
        uncached = self.uncached_tokens(record, work)
        rate = max(MIN_PREFILL_RATE, record.announcement.prefill_rate)
        wait = (ahead + uncached) / rate * 1000
        wait = (wait + self._memory_wait_ms(record, work, rate)) * self._slowness(record)
        if record.announcement.failure_domain != self._domain:
            wait += REMOTE_PENALTY_MS
        return wait

    def _slowness(self, record: ServerRecord) -> float:
        """Return the learned ratio of a server's actual to its estimated times."""
        state = self._servers.get(record.announcement.server)
        if state is None or state.incarnation != record.announcement.incarnation:
            return 1.0
        return state.slowness

    def uncached_tokens(self, record: ServerRecord, work: RoutingRequest) -> int:
        """Return the number of prompt tokens not known to be cached at the server."""
        cached = (
            self.prefixes.cached_prefix_blocks(record.announcement.server, work.blocks)
            * BLOCK_TOKENS
        )
        return max(1, work.prompt_tokens - cached)

    def _tokens_ahead(self, record: ServerRecord, rank: int, now: float) -> float:
        announcement = record.announcement
        reported = sum(announcement.queued[: rank + 1])
        computed = (now - record.heard_at) / 1000 * announcement.prefill_rate
        unreported = sum(
            item.uncached_tokens for item in self._unreported(record) if item.rank <= rank
        )
        return max(0.0, reported - computed) + unreported

    def _tokens_behind(self, record: ServerRecord, rank: int, now: float) -> float:
        """Return the work of later ranks that a request would delay."""
        return self._tokens_ahead(record, RANKS - 1, now) - self._tokens_ahead(record, rank, now)

    def _unreported(self, record: ServerRecord):
        state = self._servers.get(record.announcement.server)
        if state is None or state.incarnation != record.announcement.incarnation:
            return
        accepted_seq = record.announcement.accepted_seq
        for item in state.dispatches.values():
            covered = item.accepted_seq is not None and item.accepted_seq <= accepted_seq
            if not covered and not item.prefill_done:
                yield item

    def _memory_wait_ms(self, record: ServerRecord, work: RoutingRequest, rate: float) -> float:
        """Return a penalty for memory that must be freed first."""
        pending = sum(item.memory_tokens for item in self._unreported(record))
        missing = work.memory_tokens + pending - record.announcement.free_tokens
        return max(0.0, missing) / rate * 1000

    def choose(
        self, work: RoutingRequest, now: float, rng: random.Random
    ) -> Result[Choice, Failure]:
        """Return where to send a request, or why it is refused."""
        serving = self.not_backing_off(self.directory.routable(work.service, now), now)
        if not serving:
            return Error(self.no_server_failure(work.service, now, rng))
        fitting = [r for r in serving if r.announcement.total_tokens >= work.memory_tokens]
        if not fitting:
            return self._choose_group(work, serving, now, rng)
        usable = [r for r in fitting if r.announcement.server not in work.excluded]
        if not usable:
            return Error(self.no_server_failure(work.service, now, rng))
        return self._choose_single(work, usable, now, rng)

    def _choose_single(
        self, work: RoutingRequest, usable: list[ServerRecord], now: float, rng: random.Random
    ) -> Result[Choice, Failure]:
        estimates = [(self.estimate_ms(record, work, now), record) for record in usable]
        best = min(estimate for estimate, _ in estimates)
        excess = best + self._decode_ms(work) - work.remaining_ms
        if excess > 0:
            idle_ms = min(self._idle_first_token_ms(record, work) for record in usable)
            return Error(self._deadline_failure(excess, idle_ms + self._decode_ms(work), work, rng))
        near = [pair for pair in estimates if pair[0] <= best * 1.1 + ESTIMATE_TOLERANCE_MS]
        sampled = rng.sample(near, min(SAMPLED_SERVERS, len(near)))
        estimate, record = min(
            sampled, key=lambda pair: self._tokens_behind(pair[1], work.rank, now)
        )
        backlog = self._backlog_ms(usable, now)
        return Ok(Choice((record,), estimate, self.uncached_tokens(record, work), backlog))

    def _choose_group(
        self, work: RoutingRequest, serving: list[ServerRecord], now: float, rng: random.Random
    ) -> Result[Choice, Failure]:
        """Return the smallest group of servers with memory for the prompt, most memory first."""
        largest = sorted((r.announcement.total_tokens for r in serving), reverse=True)
        if sum(largest[:MAX_GROUP_SERVERS]) < work.memory_tokens:
            remembered = self.directory.registered_capacity(work.service)
            if remembered >= work.memory_tokens:
                message = "the servers that could hold the prompt are cut off"
                retry = self.retry_after(MAX_RETRY_MS, rng)
                return Error(Failure(ResultCode.NOT_REACHABLE_NOW, message, retry))
            message = f"no announced engine or group holds {work.memory_tokens} tokens"
            return Error(Failure(ResultCode.PROMPT_TOO_LONG, message))
        usable = [r for r in serving if r.announcement.server not in work.excluded]
        group, shares = _split_tokens(work.memory_tokens, usable or serving)
        rate = sum(max(MIN_PREFILL_RATE, r.announcement.prefill_rate) for r in group)
        ahead = max(self._tokens_ahead(record, work.rank, now) for record in group)
        estimate = (ahead * len(group) + work.prompt_tokens) / rate * 1000
        excess = estimate + self._decode_ms(work) - work.remaining_ms
        if excess > 0:
            idle_ms = work.prompt_tokens / rate * 1000 + self._decode_ms(work)
            return Error(self._deadline_failure(excess, idle_ms, work, rng))
        backlog = self._backlog_ms(group, now)
        return Ok(Choice(group, estimate, work.prompt_tokens, backlog, shares))

    def _backlog_ms(self, records: Iterable[ServerRecord], now: float) -> float:
        """Return the queued work of all ranks at the least loaded server."""
        return min(
            self._tokens_ahead(record, RANKS - 1, now)
            / max(MIN_PREFILL_RATE, record.announcement.prefill_rate)
            * 1000
            for record in records
        )

    def not_backing_off(self, records: list[ServerRecord], now: float) -> list[ServerRecord]:
        """Return the servers without a back-off period in effect for this VM."""
        return [record for record in records if self.back_offs.until(record.start) <= now]

    def no_server_failure(self, service: str, now: float, rng: random.Random) -> Failure:
        """Return the refusal if no server can take work, with the earliest time to retry."""
        message = f"no backend server of {service!r} can take work now"
        known = self.directory.routable(service, now)
        wait_ms = min((self.back_offs.until(record.start) - now for record in known), default=0.0)
        return Failure(ResultCode.NO_SERVER, message, self.retry_after(wait_ms, rng))

    def _idle_first_token_ms(self, record: ServerRecord, work: RoutingRequest) -> float:
        """Return the time to first token at an idle server."""
        rate = max(MIN_PREFILL_RATE, record.announcement.prefill_rate)
        return self.uncached_tokens(record, work) / rate * 1000

    def _deadline_failure(
        self, excess_ms: float, idle_ms: float, work: RoutingRequest, rng: random.Random
    ) -> Failure:
        """Return a refusal, with a time to retry only if a retry can meet the deadline."""
        message = f"the answer would end {excess_ms:.0f} ms after the deadline"
        if idle_ms > work.remaining_ms:
            message += f"; an idle server needs {idle_ms:.0f} ms"
            return Failure(ResultCode.OVERLOADED, message)
        return Failure(ResultCode.OVERLOADED, message, self.retry_after(excess_ms, rng))

    def retry_after(self, wait_ms: float, rng: random.Random) -> int:
        """Return the retry delay, with jitter so that refused callers don't retry together."""
        bounded = min(MAX_RETRY_MS, max(MIN_RETRY_MS, wait_ms))
        return math.ceil(bounded * (1 + rng.uniform(0, RETRY_AFTER_JITTER)))

    def dispatched(
        self, record: ServerRecord, work: RoutingRequest, uncached: int, now: float
    ) -> DispatchId:
        """Record a dispatch; call this before its first byte is sent."""
        announcement = record.announcement
        state = self._servers.get(announcement.server)
        if state is None or state.incarnation != announcement.incarnation:
            state = self._servers[announcement.server] = _ServerDispatches(announcement.incarnation)
        self._next_ticket += 1
        state.dispatches[self._next_ticket] = Outstanding(
            uncached,
            work.memory_tokens,
            work.rank,
            now,
            self.estimate_ms(record, work, now) / state.slowness,
        )
        return DispatchId(announcement.server, self._next_ticket)

    def accepted(self, ticket: DispatchId, number: int) -> None:
        """Record the server's sequence number for accepting this dispatch."""
        item = self._find(ticket)
        if item is not None:
            item.accepted_seq = number

    def first_token(self, ticket: DispatchId, now: float) -> None:
        """Record the end of a dispatch's prefill, and update the slowness from its duration."""
        item = self._find(ticket)
        if item is None:
            return
        item.prefill_done = True
        if item.estimate_ms >= MIN_LEARNED_ESTIMATE_MS:
            state = self._servers[ticket.server]
            measured = min(MAX_SLOWNESS, max(1.0, (now - item.sent_at) / item.estimate_ms))
            state.slowness += SLOWNESS_GAIN * (measured - state.slowness)

    def ended(self, ticket: DispatchId) -> None:
        """Remove a dispatch that has ended."""
        state = self._servers.get(ticket.server)
        if state is not None:
            state.dispatches.pop(ticket.number, None)

    def _find(self, ticket: DispatchId) -> Outstanding | None:
        state = self._servers.get(ticket.server)
        return None if state is None else state.dispatches.get(ticket.number)


def _split_tokens(
    need: int, serving: list[ServerRecord]
) -> tuple[tuple[ServerRecord, ...], tuple[int, ...]]:
    """Split ``need`` tokens over the fewest servers by free memory, else by total memory.

    The head, which also decodes, comes first and has the largest share.
    """
    for field_name in ("free_tokens", "total_tokens"):
        ranked = sorted(serving, key=lambda r: getattr(r.announcement, field_name), reverse=True)
        capacities = [
            getattr(record.announcement, field_name) for record in ranked[:MAX_GROUP_SERVERS]
        ]
        if sum(capacities) >= need:
            break
    group, shares = [], []
    for record, capacity in zip(ranked, capacities, strict=False):
        share = min(capacity, need - sum(shares))
        if share <= 0:
            break
        group.append(record)
        shares.append(share)
    return tuple(group), tuple(shares)
