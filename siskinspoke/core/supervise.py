"""Restarts a daemon's tasks: an exception in one must not end the process or go unnoticed."""

import traceback
from collections.abc import Awaitable, Callable

import trio

from siskinspoke.core.counters import Counters
from siskinspoke.core.decisions import DecisionLog

RESTART_DELAY_SECONDS = 0.2
TRACE_LINES = 6


def log_fault(log: DecisionLog, counters: Counters, where: str, error: Exception) -> None:
    """Log an internal error."""
    counters.count("fault")
    trace = traceback.format_exception(error)
    log.note("fault", where=where, error=repr(error), trace="".join(trace[-TRACE_LINES:]))


async def keep_running(
    log: DecisionLog, counters: Counters, task: Callable[..., Awaitable[None]], *args
) -> None:
    """Run a task that should never end, and restart it when it raises or returns."""
    while True:
        try:
            await task(*args)
        except Exception as error:
            name = getattr(task, "__qualname__", repr(task))
            log_fault(log, counters, name, error)
        await trio.sleep(RESTART_DELAY_SECONDS)
