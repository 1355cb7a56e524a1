"""Tests for routing, fair sharing, the retry budget and the choice of watchers."""

import random

import pytest

from siskinspoke.bench.policies import LeastTokens, ProductPolicy
from siskinspoke.bench.policy_bench import (
    PolicyBench,
    Scenario,
    fairness_index,
    first_token_times,
    max_min_shares,
    percentile,
)
from siskinspoke.bench.slopes import announcement
from siskinspoke.conf.settings import EntryVM
from siskinspoke.coordination.directory import Directory
from siskinspoke.coordination.fairness import FairShares, max_backlog_ms
from siskinspoke.coordination.prefixes import PrefixIndex
from siskinspoke.coordination.retries import INITIAL_CREDIT, RetryBudget
from siskinspoke.coordination.routing import Router, RoutingRequest
from siskinspoke.coordination.watchers import watchers
from siskinspoke.core.codes import ResultCode
from siskinspoke.loadgen.mixes import MIXES

RNG_SEED = 3


def router(*announcements):
    """Return a router that knows the servers of these announcements."""
    directory = Directory(3_000)
    for item in announcements:
        directory.apply(item, 0)
    return Router(directory, PrefixIndex(), "sala-a")


def engine(number, queued=0, free=400_000, total=400_000, rate=40_000.0):
    """Return an engine's announcement."""
    return announcement(number, 1, "sala-a")._replace(
        queued=[queued], free_tokens=free, total_tokens=total, prefill_rate=rate
    )


def work(tokens=2_000, remaining=10_000.0, output=10, blocks=()):
    """Return a request."""
    return RoutingRequest("redactor", tokens, output, 0, 0, list(blocks), remaining)


def choose(selector, item):
    """Return the router's choice at time 1."""
    return selector.choose(item, 1, random.Random(RNG_SEED))


class TestChoice:
    """The choice of servers."""

    def test_shorter_wait_wins(self):
        chosen = choose(router(engine(1, queued=90_000), engine(2)), work()).ok
        assert chosen.servers[0].announcement.server == "engine-0002"

    def test_cached_prefix_wins(self):
        selector = router(engine(1), engine(2))
        blocks = list(range(30))
        selector.prefixes.stored("engine-0002", blocks)
        chosen = choose(selector, work(tokens=8_000, blocks=blocks)).ok
        assert chosen.servers[0].announcement.server == "engine-0002"

    def test_own_dispatches_count_before_they_are_reported(self):
        selector = router(engine(1), engine(2))
        records = {r.announcement.server: r for r in selector.directory.live(1)}
        for _ in range(5):
            selector.dispatched(records["engine-0001"], work(20_000), 20_000, 1)
        assert choose(selector, work()).ok.servers[0].announcement.server == "engine-0002"

    def test_group_for_a_prompt_larger_than_one_engine(self):
        chosen = choose(router(engine(1), engine(2), engine(3)), work(900_000, 60_000)).ok
        assert len(chosen.servers) == 3
        assert sum(chosen.shares) == 900_010


class TestRefusal:
    """A request that cannot be served is refused at once, with the right code."""

    @pytest.mark.parametrize(
        ("servers", "item", "code", "retryable"),
        [
            ((), work(), ResultCode.NO_SERVER, True),
            ((engine(1, queued=900_000),), work(), ResultCode.OVERLOADED, True),
            ((engine(1),), work(300_000, 100.0), ResultCode.OVERLOADED, False),
            ((engine(1),), work(900_000), ResultCode.PROMPT_TOO_LONG, False),
        ],
    )
    def test_code_and_retry_after(self, servers, item, code, retryable):
        refused = choose(router(*servers), item).error
        assert refused.code is code
        assert (refused.retry_after_ms is not None) is retryable

    def test_retry_after_has_jitter(self):
        selector, rng = router(), random.Random(RNG_SEED)
        assert len({selector.choose(work(), 1, rng).error.retry_after_ms for _ in range(50)}) > 40


class TestFairness:
    """Fair shares by tokens of work."""

    def test_ratio_of_a_heavy_customer(self):
        shares = FairShares(10_000)
        shares.record("heavy", 900, 0)
        shares.record("light", 100, 0)
        weights = {"heavy": 1.0, "light": 1.0}
        assert shares.ratio("heavy", weights, 0) == pytest.approx(1.8)
        assert max_backlog_ms(1.8, 6_000) < max_backlog_ms(0.2, 6_000) == 6_000

    def test_max_min_shares(self):
        assert max_min_shares({"a": 10, "b": 100, "c": 100}, 110) == {"a": 10, "b": 50, "c": 50}


class TestRetryBudget:
    """Retries are limited to a share of first attempts."""

    def test_share(self):
        budget = RetryBudget(0.25)
        for _ in range(100):
            budget.first_attempt()
        assert sum(budget.spend() for _ in range(100)) == 25 + INITIAL_CREDIT


class TestWatchers:
    """Each server has few watchers, and all VMs agree on them."""

    def test_watchers_are_bounded_and_even_at_target_size(self):
        entries = [EntryVM(f"e{n}", f"d{n % 4}", "127.0.0.1", 1, 2, "") for n in range(420)]
        counts = dict.fromkeys((entry.name for entry in entries), 0)
        for server in range(870):
            for entry in watchers(f"s{server}", f"d{server % 4}", entries):
                counts[entry.name] += 1
        assert sum(counts.values()) == 870 * 16
        assert max(counts.values()) < 2 * 870 * 16 / 420


class TestPolicyBounds:
    """Regression bounds of the routing policy, as ratios, in simulated time."""

    def run(self, policy, rate, count, **changes):
        scenario = Scenario(MIXES["litoral"], policy, rate, count, **changes)
        return PolicyBench(scenario).run()

    def test_long_prompts_hardly_delay_short_ones(self):
        product = self.run(ProductPolicy(), 45, 2_000)
        alone = self.run(ProductPolicy(), 45, 2_000, without_longs=True)
        baseline = self.run(LeastTokens(), 45, 2_000, admission=False)
        slowdown = percentile(first_token_times(product, 0), 0.95) / percentile(
            first_token_times(alone, 0), 0.95
        )
        assert slowdown < 1.35
        assert percentile(first_token_times(product, 0), 0.95) * 3 < percentile(
            first_token_times(baseline, 0), 0.95
        )

    def test_overload_starves_no_customer_or_length_class(self):
        results = self.run(ProductPolicy(), 120, 6_000)
        late = sum(not item.on_time and not item.refused for item in results)
        assert late <= 0.005 * len(results)
        assert fairness_index(results) > 0.95
        for kind in range(3):
            found = [item.on_time for item in results if item.length_class == kind]
            assert sum(found) / len(found) > 0.4
