"""When a stream goes on at another engine because its own is about to read a long prompt.

An engine reads and writes in one pass, so a part of a long prompt stops the streams beside it for
as long as its reading takes.  All entry VMs share their books, so whoever passes such a stream on
knows that when the reading begins, and need not wait for the silence to show it.  Answers load
pattern: a prompt of several hundred thousand tokens read by eight engines, with short streams on
each of them.  Times are in milliseconds.
"""

from typing import NamedTuple


class Prospect(NamedTuple):
    """What lies ahead of a stream: at its engine, and at the best other one.

    ``silent_ms`` is how long ago its last event came, ``reads_ms`` how long its engine still reads
    what others have sent it, ``pause_ms`` the longest pause that is of use.  ``best_ms`` is when
    the first event of another engine is expected, None where there is none, and ``margin_ms`` by
    how much such events are late most of the time.
    """

    silent_ms: float
    reads_ms: float
    pause_ms: float
    best_ms: float | None
    margin_ms: float


def leaves(prospect: Prospect) -> bool:
    """Tell whether a stream keeps its pause elsewhere, and surely would not where it is."""
    if prospect.best_ms is None:
        return False
    stays = prospect.silent_ms + prospect.reads_ms - prospect.margin_ms
    goes = prospect.silent_ms + prospect.best_ms + prospect.margin_ms
    return goes <= prospect.pause_ms < stays
