"""Simulate routing by several VMs onto engine models, in virtual time.

The routers and the engine model are the product's.  There is no network: reports of engines arrive
after a fixed delay.
"""

import heapq
import random
from collections import defaultdict
from collections.abc import Callable
from typing import NamedTuple

import numpy as np
import xxhash

from siskinspoke.bench.policies import Policy, PolicyRouter, ProductPolicy, SharedPool
from siskinspoke.coordination.directory import Directory
from siskinspoke.coordination.fairness import FairShares, max_backlog_ms, work_tokens
from siskinspoke.coordination.routing import RANKS, DispatchId, RoutingRequest, length_class
from siskinspoke.loadgen.mixes import Arrival, Mix, arrivals
from siskinspoke.protocol.announcements import Announcement
from siskinspoke.protocol.prefix import BLOCK_TOKENS
from siskinspoke.standins.engine_model import Attempt, AttemptKey, EngineModel, EngineParameters

SHORT_TOKENS, LONG_TOKENS = 8_000, 100_000
REPORT_INTERVAL_MS = 500.0
LEASE_MS = 10_000.0
BASE_TIMEOUT_MS = 10_000.0
TIMEOUT_FACTOR = 8.0
MAX_PROMPT_TOKENS = 350_000
SATURATING_RATE = 130.0
SATURATING_COUNT = 8_000


class Scenario(NamedTuple):
    """The parameters of one simulation run."""

    mix: Mix
    policy: Policy = ProductPolicy()
    rate: float = 10.0
    count: int = 2_000
    seed: int = 1
    engines: int = 20
    entries: int = 8
    report_lag_ms: float = 150.0
    slow_share: float = 0.0
    without_longs: bool = False
    admission: bool = True
    backlog_ms: float = 6_000.0
    parameters: EngineParameters = EngineParameters()


class Result(NamedTuple):
    """The outcome of one request; times in milliseconds."""

    arrival: Arrival
    length_class: int
    ideal_ms: float
    first_ms: float | None
    total_ms: float | None
    timeout_ms: float
    refused: bool

    @property
    def on_time(self) -> bool:
        """Return whether the complete answer arrived before its deadline."""
        return self.total_ms is not None and self.total_ms <= self.timeout_ms


class _RunningAttempt(NamedTuple):
    arrival: Arrival
    entry: int
    ticket: DispatchId
    began_ms: float
    ideal_ms: float
    timeout_ms: float


class PolicyBench:
    """One simulation run, with its virtual clock, engines and routers."""

    def __init__(self, scenario: Scenario):
        self.scenario = scenario
        self.now = 0.0
        self.results: list[Result] = []
        self._rng = random.Random(scenario.seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        slow = round(scenario.engines * scenario.slow_share)
        self._engines = [EngineModel(scenario.parameters) for _ in range(scenario.engines)]
        self._step_time_factors = [
            2.0 if index < slow else 1.0 for index in range(scenario.engines)
        ]
        self._idle = [True] * scenario.engines
        self._seq = [0] * scenario.engines
        self._routers = [
            PolicyRouter(Directory(LEASE_MS), scenario.policy, index)
            for index in range(scenario.entries)
        ]
        self._shares = [FairShares(10_000) for _ in range(scenario.entries)]
        self._running: dict[AttemptKey, _RunningAttempt] = {}
        self._first_token_at: dict[AttemptKey, float] = {}
        self._weights = dict.fromkeys(scenario.mix.customers, 1.0)

    def run(self) -> list[Result]:
        """Run until all requests have ended and return their results."""
        scenario = self.scenario
        for index in range(scenario.engines):
            self._schedule(
                index * REPORT_INTERVAL_MS / scenario.engines,
                lambda index=index: self._send_report(index),
            )
        for arrival in arrivals(scenario.mix, scenario.rate, scenario.count, scenario.seed):
            tokens = min(arrival.prompt_tokens, MAX_PROMPT_TOKENS)
            if scenario.without_longs and tokens >= LONG_TOKENS:
                continue
            item = arrival._replace(prompt_tokens=tokens)
            self._schedule(1_000 + arrival.due_seconds * 1000, lambda item=item: self._arrive(item))
        last = 1_000 + arrival.due_seconds * 1000
        while self._events and (self.now < last or self._running):
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        return self.results

    def _schedule(self, when: float, callback: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (when, self._count, callback))

    def _send_report(self, index: int) -> None:
        """Send the state of an engine to every router, with the reporting delay."""
        engine = self._engines[index]
        self._seq[index] += 1
        announcement = Announcement(
            f"engine-{index:03}",
            1,
            self._seq[index],
            "bench",
            "",
            0,
            "model",
            "model",
            False,
            True,
            engine.parameters.memory_tokens,
            engine.free_tokens,
            engine.running,
            engine.queued_prefill_tokens(RANKS),
            engine.parameters.prefill_rate,
            engine.accepted,
        )
        self._schedule(
            self.now + self.scenario.report_lag_ms, lambda: self._deliver_report(announcement)
        )
        self._schedule(self.now + REPORT_INTERVAL_MS, lambda: self._send_report(index))

    def _deliver_report(self, announcement: Announcement) -> None:
        for router in self._routers:
            router.directory.apply(announcement, self.now)

    def _arrive(self, arrival: Arrival) -> None:
        entry = arrival.number % self.scenario.entries
        router = self._routers[entry]
        kind = length_class(arrival.prompt_tokens, SHORT_TOKENS, LONG_TOKENS)
        ideal = self._ideal_ms(arrival)
        timeout = BASE_TIMEOUT_MS + TIMEOUT_FACTOR * ideal
        work = RoutingRequest(
            "model",
            arrival.prompt_tokens,
            arrival.max_tokens,
            kind,
            0,
            self._blocks(arrival),
            timeout if self.scenario.admission else 1e12,
        )
        chosen = router.choose(work, self.now, self._rng)
        if chosen.is_error() or not self._admits(entry, arrival, chosen.ok, timeout):
            self.results.append(Result(arrival, kind, ideal, None, None, timeout, True))
            return
        record = chosen.ok.servers[0]
        index = int(record.announcement.server[-3:])
        ticket = router.dispatched(record, work, chosen.ok.uncached_tokens, self.now)
        key = AttemptKey(str(arrival.number), 1)
        self._running[key] = _RunningAttempt(arrival, entry, ticket, self.now, ideal, timeout)
        attempt = Attempt(
            key,
            arrival.prompt_tokens,
            arrival.max_tokens,
            router.rank(work),
            work.blocks,
            readers=1,
        )
        engine = self._engines[index]
        engine.start(attempt, self.now)
        router.accepted(ticket, engine.accepted)
        if self._idle[index]:
            self._begin_step(index)

    def _admits(self, entry: int, arrival: Arrival, choice, timeout: float) -> bool:
        """Return whether the product's fair-share admission accepts a request."""
        if not (self.scenario.admission and isinstance(self.scenario.policy, ProductPolicy)):
            return True
        shares = self._shares[entry]
        ratio = shares.ratio(arrival.customer, self._weights, self.now)
        if choice.backlog_ms > max_backlog_ms(ratio, self.scenario.backlog_ms):
            return False
        amount = work_tokens(choice.uncached_tokens, arrival.max_tokens)
        shares.record(arrival.customer, amount, self.now)
        return True

    def _blocks(self, arrival: Arrival) -> list[int]:
        """Return the block hashes of a prompt.

        The first blocks are shared by prompts with equal customer and template.
        """
        total = arrival.prompt_tokens // BLOCK_TOKENS
        shared_count = int(total * self.scenario.mix.shared_prefix_share)
        prefix_hash = xxhash.xxh32_intdigest(f"{arrival.customer}/{arrival.template}".encode())
        suffix_base = (arrival.number + 1) << 40
        return [(prefix_hash << 16) + n for n in range(shared_count)] + [
            suffix_base + n for n in range(total - shared_count)
        ]

    def _ideal_ms(self, arrival: Arrival) -> float:
        """Return the time to first token on an idle engine with an empty cache."""
        parameters = self.scenario.parameters
        steps = -(-arrival.prompt_tokens // parameters.chunk_tokens)
        return (
            steps * parameters.step_base_ms
            + arrival.prompt_tokens * parameters.prefill_ms_per_token
        )

    def _begin_step(self, index: int) -> None:
        engine = self._engines[index]
        plan = engine.begin_step(self.now)
        self._idle[index] = plan is None
        if plan is not None:
            duration = plan.duration_ms * self._step_time_factors[index]
            self._schedule(self.now + duration, lambda: self._finish_step(index, plan))

    def _finish_step(self, index: int, plan) -> None:
        for attempt in self._engines[index].finish_step(plan, self.now):
            running = self._running.get(attempt.key)
            if running is None:
                continue
            router = self._routers[running.entry]
            if attempt.key not in self._first_token_at:
                self._first_token_at[attempt.key] = self.now
                router.first_token(running.ticket, self.now)
            if not attempt.active:
                self._finish_attempt(attempt, running, router)
        self._begin_step(index)

    def _finish_attempt(
        self, attempt: Attempt, running: _RunningAttempt, router: PolicyRouter
    ) -> None:
        del self._running[attempt.key]
        router.ended(running.ticket)
        router.prefixes.stored(running.ticket.server, attempt.blocks)
        first = self._first_token_at.pop(attempt.key)
        if running.arrival.max_tokens > 1:
            router.learn_token_ms("model", (self.now - first) / (running.arrival.max_tokens - 1))
        self.results.append(
            Result(
                running.arrival,
                length_class(running.arrival.prompt_tokens, SHORT_TOKENS, LONG_TOKENS),
                running.ideal_ms,
                first - running.began_ms,
                self.now - running.began_ms,
                running.timeout_ms,
                False,
            )
        )


def percentile(values: list[float], share: float) -> float:
    """Return a percentile, or NaN if there are no values."""
    return float(np.percentile(values, share * 100)) if values else float("nan")


def first_token_times(results: list[Result], kind: int) -> list[float]:
    """Return the times to first token of one length class."""
    return [r.first_ms for r in results if r.length_class == kind and r.first_ms is not None]


def stretches(results: list[Result], kind: int) -> list[float]:
    """Return the times to first token of one length class, relative to an uncached prefill."""
    return [
        r.first_ms / r.ideal_ms
        for r in results
        if r.length_class == kind and r.first_ms is not None
    ]


def work_of(result: Result) -> int:
    """Return the work that a request asks for, in tokens."""
    return work_tokens(result.arrival.prompt_tokens, result.arrival.max_tokens)


def offered_work_rate(results: list[Result], seconds: float) -> float:
    """Return the requested work in tokens per second."""
    return sum(work_of(item) for item in results) / seconds


def useful_work_rate(results: list[Result], seconds: float) -> float:
    """Return the work completed on time, in tokens per second.

    The first third of the run, in which queues fill, and the time after the last arrival are
    excluded.
    """
    began, ended = seconds * 1000 / 3, seconds * 1000
    done = [
        work_of(item)
        for item in results
        if item.on_time and began <= item.arrival.due_seconds * 1000 + item.total_ms < ended
    ]
    return sum(done) / (ended - began) * 1000


def on_time_share(results: list[Result], kind: int) -> float:
    """Return the fraction of the requests of a length class that were completed on time."""
    found = [item.on_time for item in results if item.length_class == kind]
    return sum(found) / len(found) if found else float("nan")


def max_min_shares(demands: dict[str, float], capacity: float) -> dict[str, float]:
    """Return the max-min fair allocation of a capacity among customers with given demands."""
    shares: dict[str, float] = {}
    remaining = dict(demands)
    while remaining:
        level = capacity / len(remaining)
        satisfied = {name: demand for name, demand in remaining.items() if demand <= level}
        if not satisfied:
            return shares | dict.fromkeys(remaining, level)
        shares |= satisfied
        capacity -= sum(satisfied.values())
        remaining = {name: demand for name, demand in remaining.items() if name not in satisfied}
    return shares


def fairness_index(results: list[Result]) -> float:
    """Return Jain's fairness index of the customers' useful work.

    Each customer's work is normalized by its max-min fair share, since customers have unequal
    demands.
    """
    demands: dict[str, float] = defaultdict(float)
    received: dict[str, float] = defaultdict(float)
    for r in results:
        amount = work_of(r)
        demands[r.arrival.customer] += amount
        received[r.arrival.customer] += amount if r.on_time else 0
    shares = max_min_shares(demands, sum(received.values()))
    ratios = [received[name] / share for name, share in shares.items()]
    return sum(ratios) ** 2 / (len(ratios) * sum(ratio * ratio for ratio in ratios))


def capacity_rate(scenario: Scenario) -> float:
    """Return the requests per second that saturated engines complete, first come first served.

    The arrival rate exceeds the capacity by far.  Completions are counted only between 30% and 95%
    of the arrivals, when all engines are busy, so that the start and the tail of the run have no
    influence.
    """
    saturated = scenario._replace(
        policy=SharedPool(), rate=SATURATING_RATE, count=SATURATING_COUNT, admission=False, seed=99
    )
    results = PolicyBench(saturated).run()
    end = SATURATING_COUNT / SATURATING_RATE * 1000
    began, ended = end * 0.3, end * 0.95
    done = sum(
        work_of(r) for r in results if began <= r.arrival.due_seconds * 1000 + r.total_ms < ended
    )
    mean = sum(work_of(r) for r in results) / len(results)
    return done / (ended - began) * 1000 / mean
