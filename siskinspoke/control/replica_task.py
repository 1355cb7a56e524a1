"""Runs a replica: processes events, queues disk writes, sends messages and applies entries."""

import math
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple

import msgspec
import trio

from siskinspoke.control.replica_events import (
    PendingAnswer,
    PendingEntry,
    PendingRead,
    Proposal,
    ReadRequest,
    TransferLeadership,
)
from siskinspoke.control.replica_report import ReplicaReport
from siskinspoke.control.replica_writer import ReplicaWriter, Synced, Write
from siskinspoke.coordination.evacuations import EvacuationAnswer, EvacuationOrder
from siskinspoke.coordination.replica import Replica
from siskinspoke.coordination.replica_types import Output, Role
from siskinspoke.coordination.state_machine import (
    EVACUATE,
    PUBLISH,
    PublishAnswer,
    PublishRequest,
    StateMachine,
)
from siskinspoke.core.channels import receive_queued
from siskinspoke.core.counters import Counters
from siskinspoke.protocol.replication import Committed, Entry, Forward, Forwarded, Snapshot
from siskinspoke.state.replica_store import ReplicaStore
from siskinspoke.transport.links import LinkSender, LinkSet

READ = "read"
MAX_EVENTS = 512
TRANSFER_TIMEOUT_SECONDS = 1.0
TURN_SAMPLE_SECONDS = 0.1


def now_ms() -> float:
    """Return the time since boot in milliseconds, including time in suspension.

    The monotonic clock stops while a VM is suspended. With it, a resumed leader would consider an
    expired lease valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000


def wall_ms() -> int:
    """Return the wall-clock time in milliseconds, for timestamps in log entries."""
    return time.time_ns() // 1_000_000


def _discard_log_line(template: str, *args: object) -> None:
    """Discard a log line, for owners that log the same events themselves."""


class ReplicaTask:
    """Run a replica and its state machine."""

    def __init__(
        self,
        replica: Replica,
        store: ReplicaStore,
        links: Mapping[str, LinkSender] | LinkSet,
        counters: Counters,
        snapshot_entries: int,
        log: Callable[..., None] = _discard_log_line,
        report: ReplicaReport | None = None,
        clock: Callable[[], float] = now_ms,
        run_disk_write: Callable[..., Awaitable[None]] = trio.to_thread.run_sync,
    ):
        self.machine = StateMachine()
        self.replica = replica
        self._links = links
        self._counters = counters
        self._snapshot_entries = snapshot_entries
        self._log = log
        self._report = report or ReplicaReport(counters)
        self._clock = clock
        self._send, self._receive = trio.open_memory_channel[Any](math.inf)
        self._writer = ReplicaWriter(
            store, counters, self._report, clock, run_disk_write, self._send.send_nowait
        )
        self._unsynced_writes = 0
        self._pending: dict[int, PendingEntry] = {}
        self._version_changed = trio.Event()
        self._state_changed = trio.Event()
        self._applied_changed = trio.Event()
        self._pending_reads: list[PendingRead] = []
        self._pending_forwards: dict[int, PendingAnswer] = {}
        self._last_forward_number = 0
        self._applied = 0
        self._unsaved_commit = False
        self._last_role = replica.role
        self._role_since_ms = wall_ms()
        if replica.snapshot is not None:
            self.machine.load(replica.snapshot.document)
            self._applied = replica.snapshot.index

    @property
    def is_leader(self) -> bool:
        """Whether this replica considers itself the leader."""
        return self.replica.role is Role.LEADER

    @property
    def role_since_ms(self) -> int:
        """Return the wall-clock time of the last change of role."""
        return self._role_since_ms

    async def receive(self, item: Any) -> None:
        """Queue a message from another replica."""
        self._send.send_nowait(item)

    async def propose(self, kind: str, request: NamedTuple, seconds: float) -> PendingAnswer:
        """Propose a command if this replica leads; wait up to ``seconds`` for the answer."""
        pending = PendingAnswer()
        if not self.is_leader:
            pending.resolve(None, leader=False)
            return pending
        self._send.send_nowait(Proposal(kind, request, pending))
        with trio.move_on_after(seconds):
            await pending.done.wait()
        return pending

    async def execute(self, kind: str, request: Any, seconds: float) -> PendingAnswer:
        """Have the leader, local or remote, process a command or a READ; wait up to ``seconds``.

        A configuration that this replica knows to be committed is answered without the leader.
        """
        pending = PendingAnswer()
        if kind == PUBLISH and self._answer_accepted_publish(request, pending):
            return pending
        if self.is_leader:
            event = ReadRequest(pending) if kind == READ else Proposal(kind, request, pending)
            self._send.send_nowait(event)
        elif self.replica.leader is None:
            pending.resolve(None, leader=False)
        else:
            self._last_forward_number += 1
            self._pending_forwards[self._last_forward_number] = pending
            body = msgspec.to_builtins(request)
            replica = self.replica
            incarnation = replica.identity.incarnation
            forward = Forward(
                replica.name, self._last_forward_number, kind, body, replica.term, incarnation
            )
            self._links[self.replica.leader].send(forward)
        number = self._last_forward_number
        with trio.move_on_after(seconds):
            await pending.done.wait()
        if self._pending_forwards.get(number) is pending:
            del self._pending_forwards[number]
        return pending

    async def wait_until_readable(self, seconds: float) -> bool:
        """Wait until a local read is linearizable; return False if that cannot be confirmed.

        The leader confirms with a majority that it is still the leader. Otherwise a replica that is
        partitioned, or was suspended, would return outdated state.
        """
        with trio.move_on_after(seconds):
            pending = await self.execute(READ, None, seconds)
            if pending.value is None:
                return False
            # This replica may not have applied all committed entries yet.
            while self._applied < pending.value:
                await self._applied_changed.wait()
            return True
        return False

    async def transfer_leadership(self) -> None:
        """Transfer leadership before a shutdown and wait a bounded time for a successor."""
        if not self.is_leader:
            return
        self._send.send_nowait(TransferLeadership())
        with trio.move_on_after(TRANSFER_TIMEOUT_SECONDS):
            while self.is_leader or self.replica.leader is None:
                await trio.sleep(0.02)

    async def wait_for_version(self, after: int, seconds: float) -> None:
        """Wait up to ``seconds`` for a configuration newer than version ``after``."""
        with trio.move_on_after(seconds):
            while self.machine.version <= after:
                await self._version_changed.wait()

    async def wait_for_change(self, version: int, revision: int, seconds: float) -> None:
        """Wait up to ``seconds`` for a newer configuration or newer evacuations."""
        with trio.move_on_after(seconds):
            while self.machine.version <= version and self.machine.evacuations.revision <= revision:
                await self._state_changed.wait()

    async def run(self) -> None:
        """Process events until cancelled, while a separate task writes to the disk.

        A failed disk write raises from here: a replica must not acknowledge what it cannot make
        durable.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._writer.run)
            nursery.start_soon(self._sample_turn_delays)
            await self._process_events()

    async def _sample_turn_delays(self) -> None:
        """Sample the wake-up delay of timers, which shows how long a turn of the loop takes."""
        while True:
            began = self._clock()
            await self._sleep(TURN_SAMPLE_SECONDS)
            now = self._clock()
            delay = max(0.0, now - began - TURN_SAMPLE_SECONDS * 1000)
            self.replica.timer.turn_delays.add(delay, now)
            self._report.record_duration("turn", delay, now)

    async def _sleep(self, seconds: float) -> None:
        await trio.sleep(seconds)

    async def _process_events(self) -> None:
        while True:
            events = await self._next_events()
            now = self._clock()
            if self.is_leader:
                # A leader that was suspended must detect that its leadership has lapsed before
                # it processes queued messages.
                self.replica.tick(now)
            for event in events:
                match event:
                    case Proposal():
                        self._propose(event, now)
                    case TransferLeadership():
                        self.replica.transfer_leadership(now)
                    case ReadRequest():
                        self._queue_read(event.answer, now)
                    case Forward():
                        self._handle_forward(event, now)
                    case Forwarded():
                        self._handle_forwarded(event)
                    case Synced():
                        self._handle_synced(event, now)
                    case _:
                        self.replica.receive(event, now)
            # A delayed follower processes queued messages from its leader before it checks its
            # election timeout.
            self.replica.tick(now)
            self._process_output(self.replica.take_output())
            self._compact_if_due()
            self._answer_reads()

    def _handle_forward(self, forward: Forward, now: float) -> None:
        """Process a command or read that a follower has forwarded, and answer the follower."""

        def answer(pending: PendingAnswer) -> None:
            has_answer = pending.value is not None
            self._links[forward.sender].send(Forwarded(forward.number, has_answer, pending.value))

        pending = PendingAnswer(on_resolved=answer)
        if forward.kind == READ:
            sender = forward.sender
            confirms = self.replica.is_followed_by(sender, forward.term, forward.incarnation)
            self._queue_read(pending, now, sender if confirms else None)
        else:
            self._propose(Proposal(forward.kind, forward.request, pending), now)

    def _handle_forwarded(self, answer: Forwarded) -> None:
        pending = self._pending_forwards.pop(answer.number, None)
        if pending is not None:
            pending.resolve(answer.answer if answer.known else None)

    def _queue_read(
        self, pending: PendingAnswer, now: float, confirmed_by: str | None = None
    ) -> None:
        self._pending_reads.append(PendingRead(now, pending, confirmed_by))
        if self.is_leader and not self.replica.confirmed_since(now, confirmed_by):
            self.replica.send_heartbeats(now)

    def _answer_reads(self) -> None:
        """Answer the reads since whose start a majority has confirmed this leader."""
        unanswered = []
        for read in self._pending_reads:
            if not self.replica.can_serve_reads():
                read.pending.resolve(None, leader=self.is_leader)
            elif self.replica.confirmed_since(read.asked_at, read.confirmed_by):
                read.pending.resolve(self.replica.commit)
            elif not read.pending.done.is_set():
                unanswered.append(read)
        self._pending_reads = unanswered

    async def _next_events(self) -> list[Any]:
        """Return all queued events; wait for one until the replica's next tick at most."""
        events: list[Any] = []
        with trio.move_on_after(max(0.0, self.replica.next_tick_at() - self._clock()) / 1000):
            events.append(await self._receive.receive())
        return events + receive_queued(self._receive, MAX_EVENTS - len(events))

    def _propose(self, proposal: Proposal, now: float) -> None:
        if proposal.kind == PUBLISH and self.is_leader:
            request = msgspec.convert(proposal.request, PublishRequest)
            proposal = proposal._replace(request=request)
            if self._answer_repeated_publish(proposal):
                return
        if proposal.kind == EVACUATE and self.is_leader:
            request = msgspec.convert(proposal.request, EvacuationOrder)
            proposal = proposal._replace(request=request)
            if self._answer_repeated_evacuation(proposal, now):
                return
        body = {"now_ms": wall_ms(), "request": msgspec.to_builtins(proposal.request)}
        index = self.replica.propose(proposal.kind, body, now)
        if index is None:
            proposal.answer.resolve(None, leader=False)
            return
        self._pending[index] = PendingEntry(self.replica.term, proposal, [proposal.answer])

    def _answer_repeated_publish(self, repeat: Proposal) -> bool:
        """Answer a repeated configuration without appending it; return False if it is new.

        Clients repeat a configuration until it is accepted. Appending each repeat would queue
        more syncs on a disk that is already slow.
        """
        if self._answer_accepted_publish(repeat.request, repeat.answer):
            return True
        for entry in self._pending.values():
            proposal = entry.proposal
            if proposal.kind == PUBLISH and proposal.request == repeat.request:
                entry.answers.append(repeat.answer)
                return True
        return False

    def _answer_accepted_publish(self, request: PublishRequest, pending: PendingAnswer) -> bool:
        """Answer a configuration not newer than the committed one; return False if it is newer.

        This needs neither a leader nor a majority, because committed versions never decrease.
        """
        if self.machine.version < request.version:
            return False
        pending.resolve(PublishAnswer(self.machine.version, False))
        return True

    def _answer_repeated_evacuation(self, repeat: Proposal, now: float) -> bool:
        """Answer an order that is in force or the last one pending without appending it.

        Return False if it must be appended.  An order is known to be in force only once a majority
        has confirmed this leader and it has applied all committed entries.  A repeat joins a
        pending order only if no other order for the failure domain follows that one.
        """
        pending = self._last_pending_evacuation(repeat.request.domain)
        if pending is not None:
            if pending.proposal.request.begin != repeat.request.begin:
                return False
            pending.answers.append(repeat.answer)
            return True
        table = self.machine.evacuations
        is_current = self.replica.can_serve_reads() and self._applied == self.replica.commit
        if not is_current or not table.is_in_force(repeat.request):
            return False
        answer = EvacuationAnswer(False, table.revision)

        def resolve(read: PendingAnswer) -> None:
            repeat.answer.resolve(None if read.value is None else answer, leader=read.leader)

        self._queue_read(PendingAnswer(on_resolved=resolve), now)
        return True

    def _last_pending_evacuation(self, domain: str) -> PendingEntry | None:
        for _, entry in sorted(self._pending.items(), reverse=True):
            proposal = entry.proposal
            if proposal.kind == EVACUATE and proposal.request.domain == domain:
                return entry
        return None

    def _handle_synced(self, synced: Synced, now: float) -> None:
        """Report a completed sync to the replica and send the messages that depended on it."""
        self.replica.timer.sync_durations.add(synced.duration_ms, now)
        self._unsynced_writes -= len(synced.writes)
        self.replica.synced(synced.writes[-1].mark, now)
        for write in synced.writes:
            self._send_all(write.sends_after_sync)

    def _send_all(self, sends: list[tuple[str, Any]]) -> None:
        for peer, item in sends:
            self._links[peer].send(item)

    def _process_output(self, out: Output) -> None:
        for election in out.lost_elections:
            self._report.record_lost_election(election)
        if out.identity is not None:
            self._log("identity: incarnation {}", out.identity.incarnation)
        self._send_all(out.sends)
        if out.snapshot is not None:
            self._install_snapshot(out.snapshot)
            out.records = self.replica.persistent_records()
        for entry in out.committed:
            self._apply(entry)
        self._write(out)
        if out.committed or out.snapshot is not None:
            event, self._applied_changed = self._applied_changed, trio.Event()
            event.set()
        self._handle_role_change()

    def _install_snapshot(self, snapshot: Snapshot) -> None:
        self.machine.load(snapshot.document)
        self._applied = snapshot.index
        self._counters.count("snapshot.installed")
        self._notify_version_changed()
        self._unsaved_commit = False

    def _write(self, out: Output) -> None:
        """Queue the writes of an output, with the messages to send after their sync."""
        if self._unsaved_commit:
            # Without this record, a group whose replicas were all killed would have neither a
            # configuration nor evacuations to serve until it has elected a leader.
            out.records.append(Committed(self._applied))
            self._unsaved_commit = False
        if out.has_writes or (out.sends_after_sync and self._unsynced_writes):
            self._unsynced_writes += 1
            self._writer.put(
                Write(out.mark, out.identity, out.snapshot, out.records, out.sends_after_sync)
            )
        else:
            self._send_all(out.sends_after_sync)

    def _apply(self, entry: Entry) -> None:
        version, revision = self.machine.version, self.machine.evacuations.revision
        answer = self.machine.apply(entry)
        self._applied = entry.index
        self._counters.count(f"applied.{entry.kind}")
        pending_entry = self._pending.pop(entry.index, None)
        if pending_entry is not None:
            for pending in pending_entry.answers:
                pending.resolve(answer if pending_entry.term == entry.term else None)
        if self.machine.version != version:
            self._log("configuration accepted: version {}", self.machine.version)
            self._unsaved_commit = True
            self._notify_version_changed()
        if self.machine.evacuations.revision != revision:
            self._log("evacuations changed: revision {}", self.machine.evacuations.revision)
            self._unsaved_commit = True
            self._notify_state_changed()

    def _notify_version_changed(self) -> None:
        event, self._version_changed = self._version_changed, trio.Event()
        event.set()
        self._notify_state_changed()

    def _notify_state_changed(self) -> None:
        event, self._state_changed = self._state_changed, trio.Event()
        event.set()

    def _handle_role_change(self) -> None:
        """Log a change of role; on loss of leadership, resolve pending entries as unknown."""
        role = self.replica.role
        if role is self._last_role:
            return
        became_leader = role is Role.LEADER
        if became_leader or self._last_role is Role.LEADER:
            self._log("{} in term {}", role.value, self.replica.term)
            self._counters.count(f"role.{role.value}")
        self._last_role = role
        self._role_since_ms = wall_ms()
        if not became_leader:
            for entry in self._pending.values():
                for pending in entry.answers:
                    pending.resolve(None)
            self._pending.clear()

    def _compact_if_due(self) -> None:
        replica = self.replica
        if replica.commit - replica.log.base_index < self._snapshot_entries:
            return
        snapshot = replica.compact(replica.commit, self.machine.to_document())
        out = replica.take_output()
        out.snapshot, out.records = snapshot, replica.persistent_records()
        self._write(out)
        self._counters.count("snapshot.written")
