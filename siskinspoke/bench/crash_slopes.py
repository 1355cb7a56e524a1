"""Measure the cost of tracking server crashes: processor time, message sizes and memory.

Usage: python -m siskinspoke.bench.crash_slopes

Prints one line for each figure.
"""

import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from siskinspoke.coordination.crash_watch import CrashWatch
from siskinspoke.coordination.crashes import MAX_CRASHES
from siskinspoke.coordination.fingerprints import RequestIdentity
from siskinspoke.core.counters import Counters
from siskinspoke.protocol import encode_message
from siskinspoke.protocol.crashes import CrashNews

SUSPECTS_PER_CRASH = 8
SERVER_COUNT = 870
CRASH_INTERVAL_MS = 200.0
BODY_BYTES = (20_000, 4_000_000)
REPETITIONS = 1_000


class NullLog:
    """A decision log that discards all entries."""

    def note(self, event: str, **fields: Any) -> None:
        """Discard a log entry."""


def subject(number: int, size: int = 200) -> RequestIdentity:
    """Return a distinct request for each number, with a body of about ``size`` bytes."""
    return RequestIdentity("acme", "shop.example/stream/x", b"%d" % number + b"x" * size)


def cpu_microseconds(operation: Callable[[], Any], repetitions: int = REPETITIONS) -> float:
    """Return the mean processor time of one call, in microseconds."""
    began = time.process_time()
    for _ in range(repetitions):
        operation()
    return (time.process_time() - began) / repetitions * 1e6


def watch_after_crashes(published: list[CrashNews], count: int) -> CrashWatch:
    """Return a watch that has seen ``count`` crashes.

    Of the eight requests open at each crash, one is the same at all crashes.
    """
    watch = CrashWatch(published.append, Counters(), NullLog())
    for number in range(count):
        start, at = (f"i-{number:010x}", 0), number * CRASH_INTERVAL_MS
        bodies = [0, *range(number * SUSPECTS_PER_CRASH + 1, (number + 1) * SUSPECTS_PER_CRASH)]
        for body in bodies:
            watch.start_run(subject(body), [start], at - 100.0)
        watch.record_crash(start, "m", SERVER_COUNT, at, at)
        watch._open_runs.clear()
    return watch


def main() -> None:
    """Measure and print all figures."""
    idle = CrashWatch(lambda news: None, Counters(), NullLog())
    recurring = subject(0)
    print(
        "check a request, no crashes: "
        f"{cpu_microseconds(lambda: idle.judge(subject(0), 0.0)):.1f} us"
    )
    for size in BODY_BYTES:
        cost = cpu_microseconds(lambda size=size: subject(0, size).fingerprint, 20)
        print(f"fingerprint of {size:,} bytes: {cost:.0f} us")
    published: list[CrashNews] = []
    began = time.process_time()
    watch = watch_after_crashes(published, MAX_CRASHES)
    cpu_seconds = time.process_time() - began
    now = MAX_CRASHES * CRASH_INTERVAL_MS + 1_000.0
    print(
        f"detect and publish a crash, {SUSPECTS_PER_CRASH} suspects: "
        f"{cpu_seconds / MAX_CRASHES * 1e6:.0f} us"
    )
    print(f"message about one crash: {len(encode_message(published[-1]))} bytes")
    report = published[-1].crashes[0]
    single = published[-1]._replace(crashes=[report._replace(suspects=report.suspects[:1])])
    print(f"message about a crash with one suspect: {len(encode_message(single))} bytes")
    other = CrashWatch(lambda news: None, Counters(), NullLog())
    tracemalloc.start()
    for news in published:
        other.apply(news, now)
    print(f"memory of {MAX_CRASHES} crashes: {tracemalloc.get_traced_memory()[0] / 1e6:.1f} MB")
    tracemalloc.stop()
    other = CrashWatch(lambda news: None, Counters(), NullLog())
    began = time.process_time()
    for news in published:
        other.apply(news, now)
    cpu_seconds = time.process_time() - began
    print(f"apply a received crash: {cpu_seconds / MAX_CRASHES * 1e6:.0f} us")
    unrelated = subject(-1, 201)
    print(
        f"check an unrelated request, {MAX_CRASHES} crashes known: "
        f"{cpu_microseconds(lambda: watch.judge(unrelated, now)):.1f} us"
    )

    def judge_uncached() -> None:
        watch.ledger._evidence.clear()
        watch.judge(recurring, now)

    print(
        "check a request open at every crash, uncached: "
        f"{cpu_microseconds(judge_uncached, 5):.0f} us"
    )
    snapshot = sum(len(encode_message(item)) for item in watch.all_reports(now))
    print(f"messages sent to a new member: {snapshot:,} bytes")


if __name__ == "__main__":
    main()
