"""Choose the backend server that gives the first token soonest, without harm to short prompts.

The estimate for a server is the prefill work ahead of the request at its rank, plus the
request's own uncached part, over the server's prefill rate.  Work ahead is what the server
last reported, less what it has computed since, plus what this VM has sent that the report
does not yet hold.  Other VMs' recent work is unknown, so the choice is made among a few
sampled servers and not always the very best: VMs that know the same report would otherwise
all send to the same server at once.
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
NEAR_BEST_MS = 3.0
SAMPLED = 2
LEARNED_FROM_MS = 30.0
MAX_SLOWNESS = 4.0
SLOWNESS_GAIN = 0.1
RANKS = 16
RANKS_PER_PRIORITY = 2
SHORTEST_PROMPT = 1_000
REFUSAL_SPREAD = 0.5
MIN_RETRY_MS = 500.0
MAX_RETRY_MS = 10_000.0
MAX_GROUP = 8
MIN_RATE = 1.0
FIRST_TOKEN_MS = 10.0
TOKEN_MS_GAIN = 0.05


class Work(NamedTuple):
    """What routing needs to know of a request."""

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
        """Return the engine priority; 0 goes first.

        Each doubling of the length is a rank of its own, so that a prompt waits for few that
        are much longer.  A step of customers' priority outweighs a fourfold length.
        """
        doublings = max(0, (self.prompt_tokens // SHORTEST_PROMPT).bit_length() - 1)
        return min(RANKS - 1, doublings + RANKS_PER_PRIORITY * self.priority)

    @property
    def memory_tokens(self) -> int:
        """Return the KV memory that the request needs to its end."""
        return self.prompt_tokens + self.max_tokens


class Choice(NamedTuple):
    """Where to send a request and what to expect; several servers make a group.

    ``estimate_ms`` is the time to first token.  ``backlog_ms`` is the work of every rank that
    waits where least waits; it grows with an overload even while short prompts hardly wait.
    """

    servers: tuple[ServerRecord, ...]
    estimate_ms: float
    uncached_tokens: int
    backlog_ms: float = 0.0
    shares: tuple[int, ...] = ()


class Ticket(NamedTuple):
    """Names one dispatch in the books of the router."""

    server: str
    number: int


@dataclass(slots=True)
class Outstanding:
    """Own work at a server that its report may not yet hold."""

    uncached_tokens: int
    memory_tokens: int
    rank: int
    sent_at: float
    estimate_ms: float
    accepted: int | None = None
    began: bool = False


@dataclass(slots=True)
class _Books:
    incarnation: int
    slowness: float = 1.0
    dispatches: dict[int, Outstanding] = field(default_factory=dict)


def length_class(prompt_tokens: int, short_tokens: int, long_tokens: int) -> int:
    """Return 0 for a short prompt, 1 for a medium one and 2 for a long one."""
    return (prompt_tokens > short_tokens) + (prompt_tokens >= long_tokens)


class Router:
    """Estimate and choose; owns the books of this VM's own dispatches."""

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
        self._books: dict[str, _Books] = {}
        self._next_ticket = 0
        self._token_ms: dict[str, float] = {}

    def token_ms(self, service: str) -> float:
        """Return the learned time between tokens of a service."""
        return self._token_ms.get(service, FIRST_TOKEN_MS)

    def learn_token_ms(self, service: str, measured: float) -> None:
        """Take in the mean time between tokens of one finished answer."""
        known = self.token_ms(service)
        self._token_ms[service] = known + TOKEN_MS_GAIN * (measured - known)

    def _decode_ms(self, work: Work) -> float:
        return work.max_tokens * self.token_ms(work.service)

    def estimate_ms(self, record: ServerRecord, work: Work, now: float) -> float:
        """Return the expected time to first token at one server."""
        ahead = self._tokens_ahead(record, work.rank, now)
        own = self.uncached_tokens(record, work)
        rate = max(MIN_RATE, record.announcement.prefill_rate)
        wait = (ahead + own) / rate * 1000
        wait = (wait + self._memory_wait_ms(record, work, rate)) * self._slowness(record)
        if record.announcement.failure_domain != self._domain:
            wait += REMOTE_PENALTY_MS
        return wait

    def _slowness(self, record: ServerRecord) -> float:
        """Return how much slower than estimated a server has been, as learned here."""
        books = self._books.get(record.announcement.server)
        if books is None or books.incarnation != record.announcement.incarnation:
            return 1.0
        return books.slowness

    def uncached_tokens(self, record: ServerRecord, work: Work) -> int:
        """Return the prompt tokens that the server must compute, as far as is known."""
        cached = self.prefixes.leading(record.announcement.server, work.blocks) * BLOCK_TOKENS
        return max(1, work.prompt_tokens - cached)

    def _tokens_ahead(self, record: ServerRecord, rank: int, now: float) -> float:
        said = record.announcement
        reported = sum(said.queued[: rank + 1])
        computed = (now - record.heard_at) / 1000 * said.prefill_rate
        unreported = sum(
            item.uncached_tokens for item in self._unreported(record) if item.rank <= rank
        )
        return max(0.0, reported - computed) + unreported

    def _tokens_behind(self, record: ServerRecord, rank: int, now: float) -> float:
        """Return the work of lower ranks that a request would delay."""
        return self._tokens_ahead(record, RANKS - 1, now) - self._tokens_ahead(record, rank, now)

    def _unreported(self, record: ServerRecord):
        books = self._books.get(record.announcement.server)
        if books is None or books.incarnation != record.announcement.incarnation:
            return
        accepted_seq = record.announcement.accepted_seq
        for item in books.dispatches.values():
            covered = item.accepted is not None and item.accepted <= accepted_seq
            if not covered and not item.began:
                yield item

    def _memory_wait_ms(self, record: ServerRecord, work: Work, rate: float) -> float:
        """Return a penalty for memory that must first come free."""
        pending = sum(item.memory_tokens for item in self._unreported(record))
        missing = work.memory_tokens + pending - record.announcement.free_tokens
        return max(0.0, missing) / rate * 1000

    def choose(self, work: Work, now: float, rng: random.Random) -> Result[Choice, Failure]:
        """Return where to send a request, or the final refusal."""
        serving = self.open_now(self.directory.believed(work.service, now), now)
        if not serving:
            return Error(self.nobody(work.service, now, rng))
        fitting = [r for r in serving if r.announcement.total_tokens >= work.memory_tokens]
        if not fitting:
            return self._choose_group(work, serving, now, rng)
        usable = [r for r in fitting if r.announcement.server not in work.excluded]
        if not usable:
            return Error(self.nobody(work.service, now, rng))
        return self._choose_single(work, usable, now, rng)

    def _choose_single(
        self, work: Work, usable: list[ServerRecord], now: float, rng: random.Random
    ) -> Result[Choice, Failure]:
        estimates = [(self.estimate_ms(record, work, now), record) for record in usable]
        best = min(estimate for estimate, _ in estimates)
        excess = best + self._decode_ms(work) - work.remaining_ms
        if excess > 0:
            alone = min(self._idle_ms(record, work) for record in usable)
            return Error(self._too_late(excess, alone + self._decode_ms(work), work, rng))
        near = [pair for pair in estimates if pair[0] <= best * 1.1 + NEAR_BEST_MS]
        sampled = rng.sample(near, min(SAMPLED, len(near)))
        estimate, record = min(
            sampled, key=lambda pair: self._tokens_behind(pair[1], work.rank, now)
        )
        backlog = self._backlog_ms(usable, now)
        return Ok(Choice((record,), estimate, self.uncached_tokens(record, work), backlog))

    def _choose_group(
        self, work: Work, serving: list[ServerRecord], now: float, rng: random.Random
    ) -> Result[Choice, Failure]:
        """Return the fewest servers that hold the prompt together, least loaded first."""
        largest = sorted((r.announcement.total_tokens for r in serving), reverse=True)
        if sum(largest[:MAX_GROUP]) < work.memory_tokens:
            remembered = self.directory.remembered_capacity(work.service)
            if remembered >= work.memory_tokens:
                message = "the servers that could hold the prompt are cut off"
                retry = self.retry_after(MAX_RETRY_MS, rng)
                return Error(Failure(ResultCode.NOT_REACHABLE_NOW, message, retry))
            message = f"no announced engine or group holds {work.memory_tokens} tokens"
            return Error(Failure(ResultCode.PROMPT_TOO_LONG, message))
        usable = [r for r in serving if r.announcement.server not in work.excluded]
        group, shares = _share_out(work.memory_tokens, usable or serving)
        rate = sum(max(MIN_RATE, r.announcement.prefill_rate) for r in group)
        ahead = max(self._tokens_ahead(record, work.rank, now) for record in group)
        estimate = (ahead * len(group) + work.prompt_tokens) / rate * 1000
        excess = estimate + self._decode_ms(work) - work.remaining_ms
        if excess > 0:
            alone = work.prompt_tokens / rate * 1000 + self._decode_ms(work)
            return Error(self._too_late(excess, alone, work, rng))
        backlog = self._backlog_ms(group, now)
        return Ok(Choice(group, estimate, work.prompt_tokens, backlog, shares))

    def _backlog_ms(self, records: Iterable[ServerRecord], now: float) -> float:
        """Return the work of every rank that waits at the server where least waits."""
        return min(
            self._tokens_ahead(record, RANKS - 1, now)
            / max(MIN_RATE, record.announcement.prefill_rate)
            * 1000
            for record in records
        )

    def open_now(self, records: list[ServerRecord], now: float) -> list[ServerRecord]:
        """Return the servers that have not asked this VM to back off."""
        return [record for record in records if self.back_offs.until(record.start) <= now]

    def nobody(self, service: str, now: float, rng: random.Random) -> Failure:
        """Return the refusal where no server can take work; it says when the first one can."""
        message = f"no backend server of {service!r} can take work now"
        known = self.directory.believed(service, now)
        wait_ms = min((self.back_offs.until(record.start) - now for record in known), default=0.0)
        return Failure(ResultCode.NO_SERVER, message, self.retry_after(wait_ms, rng))

    def _idle_ms(self, record: ServerRecord, work: Work) -> float:
        """Return the time to first token if the server had nothing else to do."""
        rate = max(MIN_RATE, record.announcement.prefill_rate)
        return self.uncached_tokens(record, work) / rate * 1000

    def _too_late(
        self, excess_ms: float, alone_ms: float, work: Work, rng: random.Random
    ) -> Failure:
        """Return a refusal that says when to come back, if coming back can help."""
        message = f"the answer would end {excess_ms:.0f} ms after the deadline"
        if alone_ms > work.remaining_ms:
            message += f"; an idle server needs {alone_ms:.0f} ms"
            return Failure(ResultCode.OVERLOADED, message)
        return Failure(ResultCode.OVERLOADED, message, self.retry_after(excess_ms, rng))

    def retry_after(self, wait_ms: float, rng: random.Random) -> int:
        """Return when to come back, spread so that refused callers don't come back together."""
        bounded = min(MAX_RETRY_MS, max(MIN_RETRY_MS, wait_ms))
        return math.ceil(bounded * (1 + rng.uniform(0, REFUSAL_SPREAD)))

    def dispatched(self, record: ServerRecord, work: Work, uncached: int, now: float) -> Ticket:
        """Enter a dispatch into the books before its first byte leaves."""
        said = record.announcement
        books = self._books.get(said.server)
        if books is None or books.incarnation != said.incarnation:
            books = self._books[said.server] = _Books(said.incarnation)
        self._next_ticket += 1
        books.dispatches[self._next_ticket] = Outstanding(
            uncached,
            work.memory_tokens,
            work.rank,
            now,
            self.estimate_ms(record, work, now) / books.slowness,
        )
        return Ticket(said.server, self._next_ticket)

    def accepted(self, ticket: Ticket, number: int) -> None:
        """Note the server's count of accepted work when it took this dispatch."""
        item = self._find(ticket)
        if item is not None:
            item.accepted = number

    def first_token(self, ticket: Ticket, now: float) -> None:
        """Note that a dispatch's prefill is done, and learn from how long it took."""
        item = self._find(ticket)
        if item is None:
            return
        item.began = True
        if item.estimate_ms >= LEARNED_FROM_MS:
            books = self._books[ticket.server]
            measured = min(MAX_SLOWNESS, max(1.0, (now - item.sent_at) / item.estimate_ms))
            books.slowness += SLOWNESS_GAIN * (measured - books.slowness)

    def ended(self, ticket: Ticket) -> None:
        """Strike a dispatch from the books."""
        books = self._books.get(ticket.server)
        if books is not None:
            books.dispatches.pop(ticket.number, None)

    def _find(self, ticket: Ticket) -> Outstanding | None:
        books = self._books.get(ticket.server)
        return None if books is None else books.dispatches.get(ticket.number)


def _share_out(
    need: int, serving: list[ServerRecord]
) -> tuple[tuple[ServerRecord, ...], tuple[int, ...]]:
    """Split ``need`` tokens over the fewest servers by free memory, else by whole memory.

    The head, which also decodes, comes first and has the largest share.
    """
    for field_name in ("free_tokens", "total_tokens"):
        ranked = sorted(serving, key=lambda r: getattr(r.announcement, field_name), reverse=True)
        rooms = [getattr(record.announcement, field_name) for record in ranked[:MAX_GROUP]]
        if sum(rooms) >= need:
            break
    group, shares = [], []
    for record, room in zip(ranked, rooms, strict=False):
        share = min(room, need - sum(shares))
        if share <= 0:
            break
        group.append(record)
        shares.append(share)
    return tuple(group), tuple(shares)
