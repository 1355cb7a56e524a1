"""Decide when a stream moves to another engine because its own is about to prefill a long prompt.

An engine prefills and decodes in the same pass, so the prefill of a part of a long prompt pauses
all streams of that engine until it is done.  Entry VMs share their work tables, so the VM that
relays such a stream knows of the prefill when it starts and can move the stream before it falls
silent.  The load pattern behind this is a prompt of several hundred thousand tokens prefilled by
eight engines, each of which decodes short streams.  Times are in milliseconds.
"""

from typing import NamedTuple


class PauseForecast(NamedTuple):
    """The expected pause of a stream at its own engine, and at the best other one.

    ``silent_ms`` is the time since its last event, ``reads_ms`` the remaining prefill time at its
    engine and ``pause_ms`` the longest acceptable pause.  ``best_ms`` is the expected time to the
    first event from the best other engine, None if there is none, and ``margin_ms`` the delay
    beyond it that most such events stay within.
    """

    silent_ms: float
    reads_ms: float
    pause_ms: float
    best_ms: float | None
    margin_ms: float


def should_move(forecast: PauseForecast) -> bool:
    """Return whether the pause stays acceptable only if the stream moves.

    The margin is applied against moving on both sides.
    """
    if forecast.best_ms is None:
        return False
    stay_pause_ms = forecast.silent_ms + forecast.reads_ms - forecast.margin_ms
    move_pause_ms = forecast.silent_ms + forecast.best_ms + forecast.margin_ms
    return move_pause_ms <= forecast.pause_ms < stay_pause_ms
