"""Tests of linearizable reads at a replica."""

import random

import trio

from siskinspoke.control.replica_events import PendingAnswer
from siskinspoke.control.replica_task import ReplicaTask
from siskinspoke.coordination.replica import Replica
from siskinspoke.coordination.replica_types import JoinGroup, RestoredState, Times
from siskinspoke.core.counters import Counters
from siskinspoke.protocol.replication import Entry

TIMES = Times(heartbeat_ms=50, election_ms=250)


def make_task() -> ReplicaTask:
    """Return the task of a replica without peers."""
    replica = Replica("r0", [], TIMES, RestoredState(), random.Random(1), 0.0, JoinGroup())
    return ReplicaTask(replica, None, {}, Counters(), 100)


class TestReads:
    """A read includes all configurations accepted before it."""

    def test_read_waits_for_a_stalled_disk(self):
        """Guards against reading an outdated version from a follower with a stalled disk.

        The follower knows that configurations are committed, but applies them only after its sync.
        An operator saw the version from before a stall of three seconds.
        """

        async def run():
            task = make_task()

            async def execute(kind, request, seconds):
                pending = PendingAnswer()
                pending.resolve(5)
                return pending

            task.execute = execute
            task.replica.commit = 5
            assert not await task.wait_until_readable(0.05)
            for index in range(1, 6):
                task._apply(Entry(index, 1, "noop", None))
            assert await task.wait_until_readable(0.05)

        trio.run(run)
