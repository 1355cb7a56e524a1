"""Simulate a group of replicas under a schedule of faults, in one process and virtual time.

A schedule is a sequence of integers, each of which encodes one step.  Equal schedules give equal
runs, so a failing schedule can be shrunk and kept as a regression test.
"""

import random
from collections.abc import Iterator
from typing import Any

from siskinspoke.coordination.replica import Replica
from siskinspoke.coordination.replica.leading import NOOP
from siskinspoke.coordination.replica_types import Output, RestoredState, Role, Times, restore_state
from siskinspoke.protocol.replication import (
    Admitted,
    Committed,
    Entry,
    HardState,
    Identity,
    Snapshot,
)

TIMES = Times(heartbeat_ms=50, election_ms=250)
MAX_IN_FLIGHT_MESSAGES = 400
COMPACTION_INTERVAL_ENTRIES = 12
COMMAND = "command"
# Probability that a commit index reaches the disk before the next record is written.
COMMIT_PERSIST_PROBABILITY = 0.3
# Probabilities that a replica syncs directly after an output, and after a tick.
SYNC_AFTER_OUTPUT_PROBABILITY, SYNC_AFTER_TICK_PROBABILITY = 0.5, 0.8


class InvariantError(AssertionError):
    """A safety property of the replica group was violated."""


class Disk:
    """The synced state of one replica."""

    def __init__(self) -> None:
        self.identity: Identity | None = None
        self.snapshot: Snapshot | None = None
        self.records: list[HardState | Admitted | Committed | Entry] = []

    def write(self, out: Output) -> None:
        """Persist the identity, snapshot and records of an output."""
        if out.identity is not None:
            self.identity = out.identity
        if out.snapshot is not None:
            self.snapshot, self.records = out.snapshot, list(out.records)
        else:
            self.records.extend(out.records)

    def restored_state(self) -> RestoredState:
        """Return the state that a restarted replica recovers."""
        return restore_state(self.identity, self.snapshot, self.records)


class ReplicaGroup:
    """Replicas, their simulated disks and the messages in flight between them."""

    def __init__(self, count: int, seed: int, replica_class: type[Replica] = Replica):
        self.names = [f"r{number}" for number in range(count)]
        self.now = 0.0
        self.rng = random.Random(seed)
        self.disks = {name: Disk() for name in self.names}
        self.replicas: dict[str, Replica | None] = {}
        self.in_flight: list[tuple[str, str, Any]] = []
        self.unsynced: dict[str, list[Output]] = {name: [] for name in self.names}
        self.suspended: set[str] = set()
        self.cuts: set[tuple[str, str]] = set()
        self.applied: dict[str, list[Any]] = {name: [] for name in self.names}
        self.committed_entries: dict[int, Any] = {}
        self.leader_by_term: dict[int, str] = {}
        self.wiped_name: str | None = None
        self.proposal_count = 0
        self._replica_class = replica_class
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        """Start a replica from its disk."""
        self.unsynced[name] = []
        self.replicas[name] = self._replica_class(
            name,
            self.names,
            TIMES,
            self.disks[name].restored_state(),
            random.Random(self.rng.random()),
            self.now,
        )
        snapshot = self.disks[name].snapshot
        self.applied[name] = list(snapshot.document["applied"]) if snapshot else []

    def crash(self, name: str) -> None:
        """Stop a replica; unsynced outputs are lost."""
        self.replicas[name] = None
        self.unsynced[name] = []
        self.suspended.discard(name)

    def wipe_disk(self, name: str) -> None:
        """Stop a replica and wipe its disk, unless another wiped one is not yet readmitted."""
        if self.wiped_name is not None or not self._all_initialized():
            return
        self.wiped_name = name
        self.crash(name)
        self.disks[name] = Disk()
        self.applied[name] = []

    def _all_initialized(self) -> bool:
        return all(disk.identity is not None for disk in self.disks.values())

    def step(self, number: int) -> None:
        """Execute the step encoded by a number, then check the invariants."""
        kind, choice = number % 32, number // 32
        name = self.names[choice % len(self.names)]
        other = self.names[(choice // len(self.names)) % len(self.names)]
        match kind:
            case 0:
                self.crash(name)
            case 1:
                self.wipe_disk(name)
            case 2:
                self.suspended.add(name)
            case 3:
                self.suspended.discard(name)
            case 4:
                self.cuts.add((name, other))
            case 5 | 17:
                self.cuts.clear()
            case 6:
                self.drop(choice)
            case 7:
                self.duplicate(choice)
            case 8 | 9 | 10 | 16:
                self.propose()
            case 11 | 12 | 13 | 14:
                self.advance_clock(choice % 120)
            case 15 | 18:
                self.restart_stopped()
            case _:
                self.deliver(choice)
        self.check_invariants()

    def restart_stopped(self) -> None:
        """Start every stopped replica."""
        for name, replica in self.replicas.items():
            if replica is None:
                self.start(name)

    def drop(self, choice: int) -> None:
        """Drop one message."""
        if self.in_flight:
            del self.in_flight[choice % len(self.in_flight)]

    def duplicate(self, choice: int) -> None:
        """Duplicate one message."""
        if self.in_flight:
            self.in_flight.append(self.in_flight[choice % len(self.in_flight)])

    def deliver(self, choice: int) -> None:
        """Deliver one of the four oldest messages."""
        if not self.in_flight:
            return
        sender, to, item = self.in_flight.pop(choice % min(len(self.in_flight), 4))
        replica = self.replicas[to]
        if replica is None or (sender, to) in self.cuts:
            return
        if to in self.suspended:
            self.in_flight.append((sender, to, item))
            return
        replica.receive(item, self.now)
        self._process_output(to, replica.take_output())

    def advance_clock(self, milliseconds: float) -> None:
        """Advance the clock and tick each running replica that is not suspended."""
        self.now += milliseconds
        for name, replica in self.replicas.items():
            if replica is not None and name not in self.suspended:
                replica.tick(self.now)
                self._process_output(name, replica.take_output())
                if self.rng.random() < SYNC_AFTER_TICK_PROBABILITY:
                    self.sync(name)

    def propose(self) -> None:
        """Propose a command at every replica that considers itself leader."""
        for name, replica in self.replicas.items():
            if replica is None or name in self.suspended or replica.role is not Role.LEADER:
                continue
            self.proposal_count += 1
            replica.propose(COMMAND, self.proposal_count, self.now)
            self._process_output(name, replica.take_output())

    def _process_output(self, name: str, out: Output) -> None:
        """Send messages, apply entries and queue writes, as the host of a replica does."""
        replica, unsynced = self.replicas[name], self.unsynced[name]
        if out.snapshot is not None:
            self.applied[name] = list(out.snapshot.document["applied"])
            out.records = replica.persistent_records()
        self._send_all(name, out.sends)
        for entry in out.committed:
            self._apply(name, entry)
        if out.committed and self.rng.random() < COMMIT_PERSIST_PROBABILITY:
            out.records.append(Committed(out.committed[-1].index))
        unsynced.append(out)
        if replica.commit - replica.log.base_index >= COMPACTION_INTERVAL_ENTRIES:
            compacted = Output(out.mark)
            document = {"applied": list(self.applied[name])}
            compacted.snapshot = replica.compact(replica.commit, document)
            compacted.records = replica.persistent_records()
            unsynced.append(compacted)
        if self.rng.random() < SYNC_AFTER_OUTPUT_PROBABILITY:
            self.sync(name)

    def sync(self, name: str) -> None:
        """Write all unsynced outputs to disk, then send the messages that had to wait for them."""
        replica, disk = self.replicas[name], self.disks[name]
        while replica is not None and self.unsynced[name]:
            pending = self.unsynced[name]
            self.unsynced[name] = []
            for out in pending:
                disk.write(out)
            replica.synced(pending[-1].mark, self.now)
            for out in pending:
                self._send_all(name, out.sends_after_sync)
            after = replica.take_output()
            self._send_all(name, after.sends)
            for entry in after.committed:
                self._apply(name, entry)
            if after.has_writes or after.sends_after_sync:
                self.unsynced[name].append(after)

    def _send_all(self, name: str, sends: list[tuple[str, Any]]) -> None:
        for to, item in sends:
            if len(self.in_flight) < MAX_IN_FLIGHT_MESSAGES:
                self.in_flight.append((name, to, item))

    def _apply(self, name: str, entry: Entry) -> None:
        self.applied[name].append((entry.index, entry.kind, entry.body))
        known = self.committed_entries.setdefault(entry.index, (entry.kind, entry.body))
        if known != (entry.kind, entry.body):
            raise InvariantError(f"index {entry.index} was committed as {known} and as {entry}")

    def check_invariants(self) -> None:
        """Raise InvariantError if two replicas led one term.

        Also clears ``wiped_name`` once the replica with the wiped disk is admitted.
        """
        wiped = self.replicas.get(self.wiped_name)
        if wiped is not None and wiped.admitted:
            self.wiped_name = None
        for name, replica in self.replicas.items():
            if replica is not None and replica.role is Role.LEADER:
                leader = self.leader_by_term.setdefault(replica.term, name)
                if leader != name:
                    raise InvariantError(f"{leader} and {name} both led term {replica.term}")

    def heal(self, milliseconds: float = 20_000) -> None:
        """Remove all faults and run until the group has converged, or for ``milliseconds``."""
        self.cuts.clear()
        self.suspended.clear()
        self.restart_stopped()
        end = self.now + milliseconds
        while self.now < end and not self.has_converged():
            for _ in range(len(self.in_flight)):
                self.deliver(0)
            self.advance_clock(10)
            self.check_invariants()

    def has_converged(self) -> bool:
        """Return whether the group has one leader and all replicas have the same log committed."""
        leaders = [r for r in self.replicas.values() if r is not None and r.role is Role.LEADER]
        running = [replica for replica in self.replicas.values() if replica is not None]
        return (
            len(leaders) == 1
            and self.wiped_name is None
            and len({replica.commit for replica in running}) == 1
            and leaders[0].commit == leaders[0].log.last_index
            and all(replica.admitted for replica in running)
        )

    def check_nothing_lost(self) -> None:
        """Raise InvariantError if a replica lacks a committed command after healing."""
        for name in self.names:
            applied = {index: (kind, body) for index, kind, body in self.applied[name]}
            for index, (kind, body) in self.committed_entries.items():
                if kind != NOOP and applied.get(index) != (kind, body):
                    raise InvariantError(f"{name} lacks committed entry {index}: {kind} {body}")


def random_schedule(seed: int, count: int) -> Iterator[int]:
    """Yield the steps of one random schedule."""
    rng = random.Random(seed)
    for _ in range(count):
        yield rng.randrange(2**16)


def run_schedule(
    count: int, seed: int, steps: Iterator[int], replica_class: type[Replica] = Replica
) -> ReplicaGroup:
    """Run a schedule of faults on a new group, heal, and check that no command was lost."""
    group = ReplicaGroup(count, seed, replica_class)
    group.heal(3_000)
    for number in steps:
        group.step(number)
    group.heal()
    group.check_nothing_lost()
    return group
