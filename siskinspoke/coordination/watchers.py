"""Choose which entry VMs watch a backend server in detail.

No daemon can watch every server of a large fleet, so each server has a bounded number of
watchers.  They are chosen by rendezvous hashing: all VMs agree without exchanging messages, and a
VM that joins or leaves changes only its own share of the watchers.
"""

from __future__ import annotations

import functools
from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from siskinspoke.conf.settings import EntryVM

SMALL_SITE_ENTRY_VMS = 12
LOCAL_WATCHERS = 12
REMOTE_WATCHERS = 4


def _rendezvous_weight(server: str, entry: str) -> int:
    return xxhash.xxh64_intdigest(f"{server}/{entry}".encode())


def rendezvous_order(key: str, hosts: Iterable[str]) -> list[str]:
    """Return hosts in their rendezvous order for a key, which is the same on every VM."""
    return sorted(hosts, key=lambda host: _rendezvous_weight(key, host), reverse=True)


def watchers(server: str, domain: str, entries: Sequence[EntryVM]) -> tuple[EntryVM, ...]:
    """Return the entry VMs that watch a server, most of them in its failure domain.

    At a small site all entry VMs watch it.
    """
    return _choose_watchers(server, domain, tuple(entries))


@functools.lru_cache(maxsize=4_096)
def _choose_watchers(server: str, domain: str, entries: tuple[EntryVM, ...]) -> tuple[EntryVM, ...]:
    if len(entries) <= SMALL_SITE_ENTRY_VMS:
        return entries
    ranked = sorted(entries, key=lambda entry: _rendezvous_weight(server, entry.name), reverse=True)
    local = [entry for entry in ranked if entry.failure_domain == domain]
    remote = [entry for entry in ranked if entry.failure_domain != domain]
    return tuple(local[:LOCAL_WATCHERS] + remote[:REMOTE_WATCHERS])
