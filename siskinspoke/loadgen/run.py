"""Run an open-loop schedule and summarize the outcomes.

Requests are sent when they are due, independently of earlier responses, and latencies are measured
from the due time.  This avoids coordinated omission: a slow system does not slow down the load.
"""

from collections import Counter
from typing import NamedTuple

import trio
from hdrh.histogram import HdrHistogram

from siskinspoke.loadgen.client import ApiClient, Outcome, idempotency_key, prompt_text
from siskinspoke.loadgen.mixes import Arrival, Mix, arrivals

HISTOGRAM_MIN_US, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS = 100, 3_600_000_000, 3
LENGTH_BOUNDS_TOKENS = (2_000, 8_000, 32_000, 100_000, 400_000, 1_000_001)


class LoadPlan(NamedTuple):
    """The traffic to send; ``key_of`` is the pattern of customers' keys."""

    mix: Mix
    model: str
    service: str
    rate: float
    count: int
    seed: int
    timeout_ms: int
    key_of: str


class LoadReport:
    """Histograms of time to first token by prompt length, and counts by result code."""

    def __init__(self) -> None:
        self.codes: Counter[str] = Counter()
        self.whole = 0
        self.broken = 0
        self.calls = 0
        self._by_length = {
            bound: HdrHistogram(HISTOGRAM_MIN_US, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS)
            for bound in LENGTH_BOUNDS_TOKENS
        }

    def add(self, outcome: Outcome) -> None:
        """Record an outcome."""
        self.codes[str(outcome.code)] += 1
        self.whole += outcome.is_complete
        self.broken += outcome.code == 0 and not outcome.is_complete
        if outcome.prompt_tokens == 0:
            self.calls += 1
        elif outcome.first_token is not None:
            bound = next(b for b in LENGTH_BOUNDS_TOKENS if outcome.prompt_tokens <= b)
            self._by_length[bound].record_value(int(outcome.first_token * 1e6))

    def rows(self) -> list[dict]:
        """Return counts and percentiles of time to first token (ms) by prompt length."""
        return [
            {
                "up_to_tokens": bound,
                "count": histogram.get_total_count(),
                "p50_ms": histogram.get_value_at_percentile(50) / 1000,
                "p95_ms": histogram.get_value_at_percentile(95) / 1000,
                "p99_ms": histogram.get_value_at_percentile(99) / 1000,
            }
            for bound, histogram in self._by_length.items()
            if histogram.get_total_count()
        ]

    def to_document(self) -> dict:
        """Return the report as a JSON-serializable document."""
        return {
            "whole": self.whole,
            "broken": self.broken,
            "calls": self.calls,
            "codes": dict(self.codes),
            "first_token_by_length": self.rows(),
        }

    def to_text(self) -> str:
        """Return the report as text."""
        lines = [f"{'prompts up to':>14} {'count':>7} {'p50 ms':>9} {'p95 ms':>9} {'p99 ms':>9}"]
        lines += [
            f"{row['up_to_tokens']:>14,} {row['count']:>7} {row['p50_ms']:>9.0f} "
            f"{row['p95_ms']:>9.0f} {row['p99_ms']:>9.0f}"
            for row in self.rows()
        ]
        codes = ", ".join(f"{code}: {count}" for code, count in sorted(self.codes.items()))
        lines += ["", f"{self.whole} whole, {self.broken} broken; result codes {codes}"]
        return "\n".join(lines)


async def run_load(plan: LoadPlan, entries: list[tuple[str, int]], progress) -> LoadReport:
    """Send every request of a plan at its due time and return the report."""
    report = LoadReport()
    async with ApiClient(entries, plan.seed) as client, trio.open_nursery() as nursery:
        began = trio.current_time()

        async def send_one(arrival: Arrival) -> None:
            report.add(await _send(client, plan, arrival, began + arrival.due_seconds))

        for arrival in arrivals(plan.mix, plan.rate, plan.count, plan.seed):
            await trio.sleep_until(began + arrival.due_seconds)
            nursery.start_soon(send_one, arrival)
            if arrival.number % 100 == 99:
                progress(arrival.number + 1, plan.count)
    return report


async def _send(client: ApiClient, plan: LoadPlan, arrival: Arrival, due: float) -> Outcome:
    key = plan.key_of.format(arrival.customer)
    if arrival.is_call:
        idempotency = idempotency_key(f"load-{plan.seed}-{arrival.number}")
        return await client.call(plan.service, key, "send", idempotency, plan.timeout_ms)
    prompt = prompt_text(
        arrival.customer,
        arrival.template,
        arrival.number,
        arrival.prompt_tokens,
        plan.mix.shared_prefix_share,
    )
    return await client.complete(
        plan.model, key, prompt, arrival.max_tokens, plan.timeout_ms, due=due
    )
