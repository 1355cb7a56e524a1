"""Run the policy benchmark and write its report.

Usage: python -m siskinspoke.bench.report [FOLDER]
"""

import concurrent.futures
import sys
from pathlib import Path
from typing import NamedTuple

import msgspec

from siskinspoke.bench import policy_bench as bench
from siskinspoke.bench.plots import bar_chart
from siskinspoke.bench.policies import POLICIES
from siskinspoke.loadgen.mixes import MIXES

LOADS = (0.5, 0.8, 0.95, 1.5, 2.0)
BASELINES = ("random", "round-robin", "least-requests", "least-tokens")
ALTERNATIVES = ("shared-pool", "fixed-intervals", "moving-intervals")
SECONDS = 100
CLASSES = ("short", "medium", "long")
WORKERS = 6


class Job(NamedTuple):
    """The parameters of one row of the report."""

    mix: str
    policy: str
    load: float
    slow_share: float = 0.0
    step_base_ms: float = 6.0
    engines: int = 20


class Row(NamedTuple):
    """The results of one run; times in milliseconds, shares between 0 and 1."""

    job: Job
    capacity: float
    short_p95: float
    short_p95_alone: float
    stretch_median: tuple[float, float, float]
    stretch_p95: tuple[float, float, float]
    on_time: tuple[float, float, float]
    useful: float
    late: int
    fairness: float

    @property
    def slowdown(self) -> float:
        """Return the slowdown of short prompts caused by long prompts on the same engines."""
        return self.short_p95 / self.short_p95_alone


def scenario_of(job: Job) -> bench.Scenario:
    """Return the scenario of a job, without policy, rate and count."""
    parameters = bench.EngineParameters(step_base_ms=job.step_base_ms)
    return bench.Scenario(
        MIXES[job.mix], slow_share=job.slow_share, engines=job.engines, parameters=parameters
    )


def capacity(job: Job) -> float:
    """Return the capacity in requests per second, which a job's load is relative to."""
    return bench.capacity_rate(scenario_of(job)._replace(slow_share=0.0))


def measure(job: Job, rate_at_capacity: float) -> Row:
    """Run a job twice, with and without long prompts."""
    rate = rate_at_capacity * job.load
    scenario = scenario_of(job)._replace(
        policy=POLICIES[job.policy],
        rate=rate,
        count=int(rate * SECONDS),
        admission=job.policy == "product",
    )
    results = bench.PolicyBench(scenario).run()
    alone = bench.PolicyBench(scenario._replace(without_longs=True)).run()
    kinds = range(len(CLASSES))
    offered = bench.offered_work_rate(results, SECONDS)
    return Row(
        job,
        rate_at_capacity,
        bench.percentile(bench.first_token_times(results, 0), 0.95),
        bench.percentile(bench.first_token_times(alone, 0), 0.95),
        tuple(bench.percentile(bench.stretches(results, kind), 0.5) for kind in kinds),
        tuple(bench.percentile(bench.stretches(results, kind), 0.95) for kind in kinds),
        tuple(bench.on_time_share(results, kind) for kind in kinds),
        bench.useful_work_rate(results, SECONDS) / (offered / job.load),
        sum(not item.on_time and not item.refused for item in results),
        bench.fairness_index(results),
    )


def jobs() -> list[Job]:
    """Return the jobs for all rows of the report."""
    rows = [Job(mix, "product", load) for mix in MIXES for load in LOADS]
    rows += [Job(mix, policy, load) for mix in MIXES for policy in BASELINES for load in (0.8, 2.0)]
    rows += [Job(mix, policy, 0.8) for mix in MIXES for policy in ALTERNATIVES]
    rows += [Job(mix, policy, 0.8, 0.1) for mix in MIXES for policy in ("product", "least-tokens")]
    rows += [Job("litoral", p, 0.8, 0.0, 12.0, 10) for p in ("product", "least-tokens")]
    return rows


def run_all() -> list[Row]:
    """Run all jobs in parallel."""
    pending = jobs()
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        keys = sorted({job._replace(policy="", load=0.0, slow_share=0.0) for job in pending})
        capacities = dict(zip(keys, pool.map(capacity, keys), strict=True))
        rates = [capacities[job._replace(policy="", load=0.0, slow_share=0.0)] for job in pending]
        return list(pool.map(measure, pending, rates))


def _format_triple(values: tuple[float, ...]) -> str:
    return " / ".join(f"{value:.2f}" for value in values)


def table(rows: list[Row]) -> str:
    """Return the rows as a Markdown table."""
    lines = [
        "| mix | policy | load | slow engines | short p95, ms | without longs | harm "
        "| stretch median S / M / L | stretch p95 S / M / L | on time S / M / L "
        "| useful work / capacity | late | fairness |",
        "|" + "---|" * 13,
    ]
    for row in rows:
        job = row.job
        name = job.policy if job.engines == 20 else f"{job.policy}, 10 engines, 12 ms steps"
        lines.append(
            f"| {job.mix} | {name} | {job.load:.0%} | {job.slow_share:.0%} "
            f"| {row.short_p95:.0f} | {row.short_p95_alone:.0f} | {row.slowdown:.2f} "
            f"| {_format_triple(row.stretch_median)} | {_format_triple(row.stretch_p95)} "
            f"| {_format_triple(row.on_time)} "
            f"| {row.useful:.2f} | {row.late} | {row.fairness:.3f} |"
        )
    return "\n".join(lines)


def main(folder: Path) -> None:
    """Write the table, the raw rows and a chart for each mix."""
    folder.mkdir(parents=True, exist_ok=True)
    rows = run_all()
    (folder / "policy.md").write_text(table(rows) + "\n")
    raw = msgspec.json.encode([row._asdict() | {"job": row.job._asdict()} for row in rows])
    (folder / "policy.json").write_bytes(msgspec.json.format(raw, indent=1))
    for mix in MIXES:
        at_80 = [r for r in rows if r.job.mix == mix and r.job.load == 0.8 and r.job.engines == 20]
        bars = {r.job.policy: r.slowdown for r in at_80 if not r.job.slow_share}
        title = f"{mix}: slowdown of short prompts when longs share the fleet, 80% load"
        (folder / f"harm-{mix}.svg").write_text(bar_chart(title, bars))
    print(table(rows))


if __name__ == "__main__":
    main(Path(sys.argv[1]) if len(sys.argv) > 1 else Path("docs/bench"))
