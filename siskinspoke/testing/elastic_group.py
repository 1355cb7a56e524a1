"""Simulate a replica group with membership changes under a schedule of faults."""

import random
from collections.abc import Iterator

from siskinspoke.coordination.replica import Replica
from siskinspoke.coordination.replica_types import FoundNow, JoinGroup, Role
from siskinspoke.testing.replica_group import TIMES, Disk, InvariantError, ReplicaGroup

FOUNDERS = 3


class ElasticGroup(ReplicaGroup):
    """A group of three founders and replicas that join later, with permanent replacements."""

    def __init__(self, count: int, seed: int, kind: type[Replica] = Replica):
        self.contacts = tuple(f"r{number}" for number in range(FOUNDERS))
        self.gone: str | None = None
        self.successor: str | None = None
        self.new_names = iter(range(count, 1_000))
        super().__init__(count, seed, kind)

    def start(self, name: str) -> None:
        """Start a replica from its disk.

        Founders may create the group only at time 0: one that lost its disk later has to join.
        """
        disk = self.disks[name]
        self.unsynced[name] = []
        found = name in self.contacts and self.now == 0.0
        self.replicas[name] = self._kind(
            name,
            list(self.contacts) if found else [],
            TIMES,
            disk.restored(),
            random.Random(self.rng.random()),
            self.now,
            FoundNow() if found else JoinGroup(),
        )
        self.replicas[name].set_contacts(self.contacts)
        self.applied[name] = list(disk.snapshot.document["applied"]) if disk.snapshot else []

    def settled(self) -> bool:
        """Return whether the group has converged and no replacement is pending."""
        return super().settled() and self.gone is None

    def empty_disk(self, name: str) -> None:
        """Wipe a replica's disk, unless a replacement is still in progress."""
        if self.gone is None:
            super().empty_disk(name)

    def replace(self, name: str) -> None:
        """Remove a machine permanently and start an empty one under a new name."""
        if self.gone is not None or self.unhealed is not None or not self._all_founded():
            return
        self.gone = name
        self.successor = f"r{next(self.new_names)}"
        self.crash(name)
        self.names.remove(name)
        self.names.append(self.successor)
        for table in (self.replicas, self.disks, self.applied, self.unsynced):
            del table[name]
        self.in_flight = [item for item in self.in_flight if name not in item[:2]]
        if name in self.contacts:
            kept = [item for item in self.contacts if item != name]
            self.contacts = (*kept, self.successor)
        self.disks[self.successor] = Disk()
        self.start(self.successor)
        for replica in self.replicas.values():
            if replica is not None:
                replica.set_contacts(self.contacts)

    def deliver(self, choice: int) -> None:
        """Deliver one message, after discarding those addressed to removed machines."""
        self.in_flight = [item for item in self.in_flight if item[1] in self.replicas]
        super().deliver(choice)

    def step(self, number: int) -> None:
        """Execute the step encoded by a number; one in 64 replaces a machine."""
        if number % 64 == 63:
            self.replace(self.names[(number // 64) % len(self.names)])
            self.check()
            return
        super().step(number)

    def check(self) -> None:
        """Check the invariants, and clear the pending replacement once it is complete.

        A group of odd size may keep the removed machine as a member: it tolerates the loss of as
        many of the others as the next smaller group, whose size is even.
        """
        super().check()
        for replica in self.replicas.values():
            if replica is not None and replica.role is Role.LEADER and replica.may_read():
                members = replica.members
                dropped = self.gone not in members or len(members) % 2
                if dropped and self.successor in members:
                    self.gone = self.successor = None

    def check_members(self) -> None:
        """Raise InvariantError if a running machine is not a member after the group has healed."""
        for name, replica in self.replicas.items():
            counted, present = set(replica.members), set(self.names)
            if not present <= counted or len(counted - present) > len(counted) % 2:
                raise InvariantError(
                    f"{name} has members {sorted(counted)}, expected {sorted(present)}"
                )


def run_elastic_schedule(
    count: int, seed: int, steps: Iterator[int], kind: type[Replica] = Replica
) -> ElasticGroup:
    """Run a schedule of faults and replacements, heal, and check that no command was lost."""
    group = ElasticGroup(count, seed, kind)
    group.heal(6_000)
    for number in steps:
        group.step(number)
    group.heal(40_000)
    group.check_nothing_lost()
    return group
