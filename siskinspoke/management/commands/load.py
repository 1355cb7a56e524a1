"""Send seeded open-loop traffic to a site and report time to first token by prompt length.

Responses are compared with the text of the stand-in engines; with other engines none is counted
as whole.
"""

import sys
from pathlib import Path

import msgspec
import trio
from absl import flags

from siskinspoke.bench.plots import bar_chart
from siskinspoke.conf import settings_from
from siskinspoke.loadgen.mixes import MIXES
from siskinspoke.loadgen.run import LoadPlan, run_load
from siskinspoke.management.base import emit

FLAGS = flags.FLAGS

flags.DEFINE_enum("mix", "litoral", sorted(MIXES), "Traffic mix to send.")
flags.DEFINE_float("rate", 10.0, "Requests per second.", 0.01, 10_000)
flags.DEFINE_integer("count", 300, "Total number of requests.", 1, 1_000_000)
flags.DEFINE_integer("seed", 1, "Random seed of the schedule.")
flags.DEFINE_integer("timeout_ms", 30_000, "Deadline of each request.")
flags.DEFINE_string(
    "key_of", "demo-key-{}", "Pattern of customers' keys; {} is replaced by the customer's name."
)
flags.DEFINE_string("report", "", "Output directory for the report (JSON) and a plot (SVG).")


def handle(_arguments: list[str]) -> int:
    """Send the load and print the report; the exit code is 1 if a response was broken."""
    settings = settings_from(FLAGS.base, FLAGS.overlay)
    services = settings.configuration.services
    model = next(name for name, item in services.items() if item.kind == "model")
    service = next((name for name, item in services.items() if item.kind == "plain"), "")
    plan = LoadPlan(
        MIXES[FLAGS.mix],
        model,
        service,
        FLAGS.rate,
        FLAGS.count,
        FLAGS.seed,
        FLAGS.timeout_ms,
        FLAGS.key_of,
    )
    entries = [(entry.host, entry.port) for entry in settings.entries]
    report = trio.run(run_load, plan, entries, _progress)
    if FLAGS.report:
        _write_report(report, Path(FLAGS.report))
    emit(report.to_document(), report.to_text())
    return 1 if report.broken else 0


def _progress(sent: int, count: int) -> None:
    print(f"{sent} of {count} sent", file=sys.stderr)


def _write_report(report, folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "load.json").write_bytes(msgspec.json.encode(report.to_document()))
    bars = {f"up to {row['up_to_tokens']:,}": row["p95_ms"] for row in report.rows()}
    chart = bar_chart("time to first token by prompt tokens, 95th percentile, ms", bars)
    (folder / "first-token.svg").write_text(chart)
