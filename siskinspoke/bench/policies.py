"""Routing policies to compare: the product's router, baselines and alternatives."""

import itertools
import random
from dataclasses import dataclass

from expression import Error, Ok, Result

from siskinspoke.coordination.directory import Directory, ServerRecord
from siskinspoke.coordination.prefixes import PrefixIndex
from siskinspoke.coordination.routing import RANKS, Choice, Router, RoutingRequest
from siskinspoke.core.codes import Failure, ResultCode

LONG_PROMPT_SERVER_SHARE = 0.4


@dataclass(frozen=True)
class ProductPolicy:
    """The product's router: engines schedule prompts with priorities by length."""


@dataclass(frozen=True)
class RandomChoice:
    """Baseline: a random server."""


@dataclass(frozen=True)
class RoundRobin:
    """Baseline: the servers in rotation."""


@dataclass(frozen=True)
class LeastRequests:
    """Baseline: the server with the fewest requests, reported and sent since."""


@dataclass(frozen=True)
class LeastTokens:
    """Baseline: the server with the least prefill work, reported and sent since."""


@dataclass(frozen=True)
class SharedPool:
    """Alternative 1: the product's time estimate, without priorities."""


@dataclass(frozen=True)
class FixedIntervals:
    """Alternative 2: a fixed share of the servers is reserved for long prompts; no priorities."""


@dataclass(frozen=True)
class MovingIntervals:
    """Alternative 3: the reserved share follows the share of long work; no priorities."""


Policy = (
    ProductPolicy
    | RandomChoice
    | RoundRobin
    | LeastRequests
    | LeastTokens
    | SharedPool
    | FixedIntervals
    | MovingIntervals
)

POLICIES: dict[str, Policy] = {
    "product": ProductPolicy(),
    "random": RandomChoice(),
    "round-robin": RoundRobin(),
    "least-requests": LeastRequests(),
    "least-tokens": LeastTokens(),
    "shared-pool": SharedPool(),
    "fixed-intervals": FixedIntervals(),
    "moving-intervals": MovingIntervals(),
}


class PolicyRouter(Router):
    """A router that selects servers by a policy; bookkeeping is the product's for all policies."""

    def __init__(self, directory: Directory, policy: Policy, seed: int):
        super().__init__(directory, PrefixIndex(), "bench")
        self._policy = policy
        self._counter = itertools.count(seed)
        self._long_work = 1.0
        self._all_work = 2.0

    @property
    def uses_priorities(self) -> bool:
        """Return whether engines are given priorities."""
        return isinstance(self._policy, ProductPolicy)

    def rank(self, work: RoutingRequest) -> int:
        """Return the priority that is sent to the engine."""
        return work.rank if self.uses_priorities else 0

    def choose(
        self, work: RoutingRequest, now: float, rng: random.Random
    ) -> Result[Choice, Failure]:
        """Choose a server by the policy."""
        serving = self.directory.live_servers_of(work.service, now)
        if not serving:
            return Error(Failure(ResultCode.NO_SERVER, "none"))
        match self._policy:
            case ProductPolicy():
                return super().choose(work, now, rng)
            case RandomChoice():
                return self._choice_of(rng.choice(serving), work)
            case RoundRobin():
                ordered = sorted(serving, key=lambda record: record.announcement.server)
                return self._choice_of(ordered[next(self._counter) % len(ordered)], work)
            case LeastRequests():
                return self._cheapest(serving, work, rng, self._request_count)
            case LeastTokens():
                last = RANKS - 1
                return self._cheapest(
                    serving, work, rng, lambda r: self._tokens_ahead(r, last, now)
                )
            case SharedPool():
                return self._cheapest(
                    serving, work, rng, lambda r: self._estimate_without_priorities_ms(r, work, now)
                )
            case FixedIntervals():
                candidates = self._servers_for_length(serving, work, LONG_PROMPT_SERVER_SHARE)
                return self._cheapest(
                    candidates,
                    work,
                    rng,
                    lambda r: self._estimate_without_priorities_ms(r, work, now),
                )
            case MovingIntervals():
                candidates = self._servers_for_length(serving, work, self._recent_long_share(work))
                return self._cheapest(
                    candidates,
                    work,
                    rng,
                    lambda r: self._estimate_without_priorities_ms(r, work, now),
                )

    def _choice_of(self, record: ServerRecord, work: RoutingRequest) -> Result[Choice, Failure]:
        return Ok(Choice((record,), 0.0, self.uncached_tokens(record, work)))

    def _cheapest(self, records, work, rng, cost) -> Result[Choice, Failure]:
        costs = [(cost(record), rng.random(), record) for record in records]
        return self._choice_of(min(costs, key=lambda item: item[:2])[2], work)

    def _request_count(self, record: ServerRecord) -> float:
        return record.announcement.running + sum(1 for _ in self._unreported(record))

    def _estimate_without_priorities_ms(
        self, record: ServerRecord, work: RoutingRequest, now: float
    ) -> float:
        return self.estimate_ms(record, work._replace(priority=RANKS), now)

    def _recent_long_share(self, work: RoutingRequest) -> float:
        """Return the share of long prompts in recent work, exponentially weighted."""
        self._all_work = self._all_work * 0.995 + work.prompt_tokens
        long_work = work.prompt_tokens if work.length_class == 2 else 0
        self._long_work = self._long_work * 0.995 + long_work
        return min(0.9, max(0.1, self._long_work / self._all_work))

    def _servers_for_length(
        self, serving, work: RoutingRequest, share: float
    ) -> list[ServerRecord]:
        ordered = sorted(serving, key=lambda record: record.announcement.server)
        count = max(1, min(len(ordered) - 1, round(len(ordered) * share)))
        return ordered[:count] if work.length_class == 2 else ordered[count:]
