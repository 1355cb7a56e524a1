"""Choose which entry VMs follow a backend server in detail.

No daemon can follow every server of a large fleet: each server has a bounded number of
watchers, chosen by rendezvous hashing, so that all VMs agree without a message and a VM that
comes or goes moves only its own share.
"""

from __future__ import annotations

import functools
from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from siskinspoke.conf.settings import EntryVM

SMALL_SITE = 12
LOCAL_WATCHERS = 12
REMOTE_WATCHERS = 4


def _weight(server: str, entry: str) -> int:
    return xxhash.xxh64_intdigest(f"{server}/{entry}".encode())


def rendezvous_order(key: str, hosts: Iterable[str]) -> list[str]:
    """Return hosts in an order of their own for each key, the same wherever it is worked out."""
    return sorted(hosts, key=lambda host: _weight(key, host), reverse=True)


def watchers(server: str, domain: str, entries: Sequence[EntryVM]) -> tuple[EntryVM, ...]:
    """Return the entry VMs that follow a server, most of them in its failure domain.

    At a small site all of them do.
    """
    return _watchers(server, domain, tuple(entries))


@functools.lru_cache(maxsize=4_096)
def _watchers(server: str, domain: str, entries: tuple[EntryVM, ...]) -> tuple[EntryVM, ...]:
    if len(entries) <= SMALL_SITE:
        return entries
    ranked = sorted(entries, key=lambda entry: _weight(server, entry.name), reverse=True)
    local = [entry for entry in ranked if entry.failure_domain == domain]
    remote = [entry for entry in ranked if entry.failure_domain != domain]
    return tuple(local[:LOCAL_WATCHERS] + remote[:REMOTE_WATCHERS])
