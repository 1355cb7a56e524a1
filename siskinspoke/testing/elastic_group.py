"""Simulate a replica group with membership changes under a schedule of faults."""

import random
from collections.abc import Iterator

from siskinspoke.coordination.replica import Replica
from siskinspoke.coordination.replica_types import FoundGroup, JoinGroup, Role
from siskinspoke.testing.replica_group import TIMES, Disk, InvariantError, ReplicaGroup

FOUNDER_COUNT = 3


class ElasticGroup(ReplicaGroup):
    """A group of three founders and replicas that join later, with permanent replacements."""

    def __init__(self, count: int, seed: int, replica_class: type[Replica] = Replica):
        self.join_targets = tuple(f"r{number}" for number in range(FOUNDER_COUNT))
        self.removed_name: str | None = None
        self.replacement_name: str | None = None
        self.unused_names = iter(range(count, 1_000))
        super().__init__(count, seed, replica_class)

    def start(self, name: str) -> None:
        """Start a replica from its disk.

        Founders may create the group only at time 0: one that lost its disk later has to join.
        """
        disk = self.disks[name]
        self.unsynced[name] = []
        is_founder = name in self.join_targets and self.now == 0.0
        self.replicas[name] = self._replica_class(
            name,
            list(self.join_targets) if is_founder else [],
            TIMES,
            disk.restored_state(),
            random.Random(self.rng.random()),
            self.now,
            FoundGroup() if is_founder else JoinGroup(),
        )
        self.replicas[name].set_join_targets(self.join_targets)
        self.applied[name] = list(disk.snapshot.document["applied"]) if disk.snapshot else []

    def has_converged(self) -> bool:
        """Return whether the group has converged and no replacement is pending."""
        return super().has_converged() and self.removed_name is None

    def wipe_disk(self, name: str) -> None:
        """Wipe a replica's disk, unless a replacement is still in progress."""
        if self.removed_name is None:
            super().wipe_disk(name)

    def replace(self, name: str) -> None:
        """Remove a machine permanently and start an empty one under a new name."""
        if (
            self.removed_name is not None
            or self.wiped_name is not None
            or not self._all_initialized()
        ):
            return
        self.removed_name = name
        self.replacement_name = f"r{next(self.unused_names)}"
        self.crash(name)
        self.names.remove(name)
        self.names.append(self.replacement_name)
        for table in (self.replicas, self.disks, self.applied, self.unsynced):
            del table[name]
        self.in_flight = [item for item in self.in_flight if name not in item[:2]]
        if name in self.join_targets:
            kept = [item for item in self.join_targets if item != name]
            self.join_targets = (*kept, self.replacement_name)
        self.disks[self.replacement_name] = Disk()
        self.start(self.replacement_name)
        for replica in self.replicas.values():
            if replica is not None:
                replica.set_join_targets(self.join_targets)

    def deliver(self, choice: int) -> None:
        """Deliver one message, after discarding those addressed to removed machines."""
        self.in_flight = [item for item in self.in_flight if item[1] in self.replicas]
        super().deliver(choice)

    def step(self, number: int) -> None:
        """Execute the step encoded by a number; one in 64 replaces a machine."""
        if number % 64 == 63:
            self.replace(self.names[(number // 64) % len(self.names)])
            self.check_invariants()
            return
        super().step(number)

    def check_invariants(self) -> None:
        """Check the invariants, and clear the pending replacement once it is complete.

        A group of odd size may keep the removed machine as a member: it tolerates the loss of as
        many of the others as the next smaller group, whose size is even.
        """
        super().check_invariants()
        for replica in self.replicas.values():
            if replica is not None and replica.role is Role.LEADER and replica.can_serve_reads():
                members = replica.members
                dropped = self.removed_name not in members or len(members) % 2
                if dropped and self.replacement_name in members:
                    self.removed_name = self.replacement_name = None

    def check_members(self) -> None:
        """Raise InvariantError if a running machine is not a member after the group has healed."""
        for name, replica in self.replicas.items():
            members, running = set(replica.members), set(self.names)
            if not running <= members or len(members - running) > len(members) % 2:
                raise InvariantError(
                    f"{name} has members {sorted(members)}, expected {sorted(running)}"
                )


def run_elastic_schedule(
    count: int, seed: int, steps: Iterator[int], replica_class: type[Replica] = Replica
) -> ElasticGroup:
    """Run a schedule of faults and replacements, heal, and check that no command was lost."""
    group = ElasticGroup(count, seed, replica_class)
    group.heal(6_000)
    for number in steps:
        group.step(number)
    group.heal(40_000)
    group.check_nothing_lost()
    return group
