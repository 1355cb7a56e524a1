"""Replica tasks that run in virtual time with simulated slow disks and processors."""

import random
from collections.abc import Awaitable, Callable
from typing import Any

import trio
import trio._core._run as trio_scheduler
import trio.testing

from siskinspoke.control.replica_report import ReplicaReport
from siskinspoke.control.replica_task import ReplicaTask
from siskinspoke.coordination.replica import Replica
from siskinspoke.coordination.replica_types import JoinGroup, Times
from siskinspoke.coordination.state_machine import PUBLISH, PublishRequest
from siskinspoke.core.counters import Counters
from siskinspoke.protocol.replication import (
    Admitted,
    Committed,
    Entry,
    HardState,
    Identity,
    Snapshot,
)
from siskinspoke.testing.replica_group import Disk

TIMES = Times(heartbeat_ms=100, election_ms=600)
DELIVERY_SECONDS = 0.001
EXECUTE_TIMEOUT_SECONDS = 0.9


def virtual_now_ms() -> float:
    """Return the virtual time in milliseconds."""
    return trio.current_time() * 1000


class MemoryStore:
    """A replica store that writes to an in-memory disk."""

    def __init__(self, disk: Disk):
        self._disk = disk

    def save_identity(self, identity: Identity) -> None:
        """Store the identity."""
        self._disk.identity = identity

    def append(self, records: list[HardState | Admitted | Committed | Entry]) -> None:
        """Append records to the journal."""
        self._disk.records.extend(records)

    def save_snapshot(self, snapshot: Snapshot, records: list) -> None:
        """Replace the snapshot and the journal."""
        self._disk.snapshot, self._disk.records = snapshot, list(records)


class SlowTask(ReplicaTask):
    """A replica task that delays each turn of its loop."""

    turn_delay: Callable[[], float]

    async def _sleep(self, seconds: float) -> None:
        await trio.sleep(seconds + self.turn_delay())

    async def _next_events(self) -> list[Any]:
        events = await super()._next_events()
        await trio.sleep(self.turn_delay())
        return events


class DelayedLink:
    """Deliver messages from one VM to another after a delay."""

    def __init__(self, group: "SlowGroup", sender: str, name: str):
        self._group, self._sender, self._name = group, sender, name

    def send(self, item: Any) -> None:
        """Send a message; it is dropped if the VM is isolated now or down when it arrives."""
        if self._group.isolated.isdisjoint((self._sender, self._name)):
            self._group.nursery.start_soon(self._deliver, item)

    async def _deliver(self, item: Any) -> None:
        await trio.sleep(DELIVERY_SECONDS)
        task = self._group.tasks.get(self._name)
        if task is not None:
            await task.receive(item)


class SlowGroup:
    """A group of three replicas with their disks and the mean delays of a sync and a turn."""

    def __init__(
        self, seed: int, nursery: trio.Nursery, sync_seconds: float = 0.0, turn_seconds: float = 0.0
    ):
        self.names = ["r0", "r1", "r2"]
        self.sync_seconds, self.turn_seconds = sync_seconds, turn_seconds
        self.nursery = nursery
        self.disks = {name: Disk() for name in self.names}
        for name, disk in self.disks.items():
            disk.identity = Identity(name, 1, tuple(self.names))
        self.tasks: dict[str, ReplicaTask] = {}
        self.counters = Counters()
        self._scopes: dict[str, trio.CancelScope] = {}
        self._rng = random.Random(seed)
        self.isolated: set[str] = set()

    def start(self, *names: str) -> None:
        """Start the given VMs, by default all, from their disks."""
        for name in names or self.names:
            self._start(name)

    def _start(self, name: str) -> None:
        disk = self.disks[name]
        rng = random.Random(self._rng.random())
        replica = Replica(
            name, [], TIMES, disk.restored_state(), rng, virtual_now_ms(), JoinGroup()
        )
        replica.set_join_targets(tuple(self.names))
        task = SlowTask(
            replica,
            MemoryStore(disk),
            {peer: DelayedLink(self, name, peer) for peer in self.names},
            self.counters,
            24,
            report=ReplicaReport(self.counters),
            clock=virtual_now_ms,
            run_disk_write=self._delayed_write,
        )
        task.turn_delay = lambda: self._jittered(self.turn_seconds)
        self.tasks[name] = task
        self._scopes[name] = trio.CancelScope()
        self.nursery.start_soon(self._run, task, self._scopes[name])

    async def _run(self, task: ReplicaTask, scope: trio.CancelScope) -> None:
        with scope:
            await task.run()

    async def _delayed_write(self, write: Callable[..., None], *args: Any) -> None:
        """Write after the sync delay; a write interrupted by a crash is lost."""
        await trio.sleep(self._jittered(self.sync_seconds))
        write(*args)

    def _jittered(self, seconds: float) -> float:
        return seconds * self._rng.uniform(0.8, 1.2)

    def kill(self, *names: str) -> None:
        """Kill the given VMs, by default all; writes that are not synced are lost."""
        for name in names or self.names:
            self._scopes.pop(name).cancel()
            del self.tasks[name]

    def empty_disk(self, name: str) -> None:
        """Replace the disk of a stopped VM with an empty one."""
        self.disks[name] = Disk()

    def leader(self) -> ReplicaTask | None:
        """Return the task of the leader with an unexpired lease, if any."""
        now = virtual_now_ms()
        for task in self.tasks.values():
            if task.replica.can_serve_reads() and task.replica.lease_expires_at() > now:
                return task
        return None

    async def publish(self, version: int, seconds: float) -> float:
        """Publish to the VMs in turn until one accepts; return the seconds taken or inf."""
        request = PublishRequest(version, {"version": version})

        async def accepts(task: ReplicaTask) -> bool:
            return (await task.execute(PUBLISH, request, EXECUTE_TIMEOUT_SECONDS)).value is not None

        return await self._until_any(accepts, seconds)

    async def read(self, seconds: float) -> float:
        """Read from the VMs in turn until one answers; return the seconds taken or inf."""
        return await self._until_any(lambda task: task.wait_until_readable(0.7), seconds)

    async def _until_any(
        self, attempt: Callable[[ReplicaTask], Awaitable[bool]], seconds: float
    ) -> float:
        """Ask the VMs in turn until one succeeds; return the elapsed time, inf at the timeout."""
        began = trio.current_time()
        while trio.current_time() - began < seconds:
            for task in list(self.tasks.values()):
                if await attempt(task):
                    return trio.current_time() - began
                await trio.sleep(0.1)
        return float("inf")


def run_slow_group(seed: int, scenario: Callable, **delays: float) -> Any:
    """Run ``scenario`` with a new group in virtual time and return its result.

    The result depends on the seed alone: trio's scheduler, which runs the ready tasks in a random
    order, is seeded too.  Trio has no public function for that.
    """

    async def main() -> Any:
        async with trio.open_nursery() as nursery:
            result = await scenario(SlowGroup(seed, nursery, **delays))
            nursery.cancel_scope.cancel()
        return result

    state, is_sorted = trio_scheduler._r.getstate(), trio_scheduler._ALLOW_DETERMINISTIC_SCHEDULING
    trio_scheduler._r.seed(seed)
    trio_scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    try:
        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    finally:
        trio_scheduler._r.setstate(state)
        trio_scheduler._ALLOW_DETERMINISTIC_SCHEDULING = is_sorted
