"""Writes a replica's records to disk in a task of its own, so that messages need not wait."""

import math
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import trio

from siskinspoke.control.replica_report import ReplicaReport
from siskinspoke.coordination.replica_types import SyncMark
from siskinspoke.core.channels import receive_queued
from siskinspoke.core.counters import Counters
from siskinspoke.protocol.replication import Identity, Snapshot
from siskinspoke.state.replica_store import Record, ReplicaStore


class Write(NamedTuple):
    """The persistent state in one output, and the messages to send after its sync.

    If ``snapshot`` is set, ``records`` replace the contents of the journal.
    """

    mark: SyncMark
    identity: Identity | None
    snapshot: Snapshot | None
    records: list[Record]
    sends_after_sync: list[tuple[str, Any]]


class Synced(NamedTuple):
    """Writes that one sync made durable, in queue order, and the duration of that sync."""

    writes: list[Write]
    duration_ms: float


def merge_writes(writes: list[Write]) -> Write:
    """Combine writes into one that has the same effect as all of them in order."""
    identity, snapshot, records = None, None, []
    for write in writes:
        identity = write.identity or identity
        if write.snapshot is not None:
            snapshot, records = write.snapshot, []
        records.extend(write.records)
    return Write(writes[-1].mark, identity, snapshot, records, [])


class ReplicaWriter:
    """Write to a store; writes that are queued during a sync share the next one."""

    def __init__(
        self,
        store: ReplicaStore,
        counters: Counters,
        report: ReplicaReport,
        clock: Callable[[], float],
        run_disk_write: Callable[..., Awaitable[None]],
        on_synced: Callable[[Synced], None],
    ):
        self._store = store
        self._counters = counters
        self._report = report
        self._clock = clock
        self._run_disk_write = run_disk_write
        self._on_synced = on_synced
        self._send, self._receive = trio.open_memory_channel[Write](math.inf)

    def put(self, write: Write) -> None:
        """Queue a write without blocking."""
        self._send.send_nowait(write)

    async def run(self) -> None:
        """Write until cancelled; raise FailureError if a write fails."""
        async for first in self._receive:
            writes = [first, *receive_queued(self._receive, math.inf)]
            began = self._clock()
            merged = merge_writes(writes)
            await self._run_disk_write(self._write, merged)
            ended = self._clock()
            self._report.record_duration("sync", ended - began, ended)
            self._counters.count("journal.syncs")
            self._counters.count("journal.records", len(merged.records))
            self._on_synced(Synced(writes, ended - began))

    def _write(self, write: Write) -> None:
        """Write identity, snapshot and records; blocks, so it runs in a thread."""
        if write.identity is not None:
            self._store.save_identity(write.identity)
        if write.snapshot is not None:
            self._store.save_snapshot(write.snapshot, write.records)
        elif write.records:
            self._store.append(write.records)
