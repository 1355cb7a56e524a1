"""Tests of replica groups with changing membership."""

import random

import pytest

from siskinspoke.coordination.membership import MEMBER_TIMEOUT_MS, member_to_remove
from siskinspoke.coordination.replica import Replica
from siskinspoke.coordination.replica_types import FoundGroup, JoinGroup, RestoredState, Role
from siskinspoke.protocol.replication import AppendReply, Join
from siskinspoke.testing.elastic_group import ElasticGroup, run_elastic_schedule
from siskinspoke.testing.replica_group import TIMES, random_schedule

SCHEDULES = 60
STEPS = 500


class TestElasticSchedules:
    """Permanent replacement of VMs, mixed with crashes, partitions, suspensions and erased disks.

    Guards against the loss of an accepted configuration, which occurs if the group counts a VM that
    is gone, or adds one that has lost its votes and acknowledged entries, at the wrong time.
    """

    @pytest.mark.parametrize("count", [3, 4, 6, 8])
    def test_nothing_accepted_is_lost(self, count):
        for seed in range(SCHEDULES):
            group = run_elastic_schedule(count, seed, random_schedule(seed, STEPS))
            assert group.has_converged(), f"seed {seed} does not settle"
            group.check_members()


class TestBootstrap:
    """Bootstrap of a group."""

    def test_seeds_found_a_group_and_others_join(self):
        """Eight VMs start with empty disks: three are configured as seeds and five join."""
        group = ElasticGroup(8, 1)
        group.heal(8_000)
        group.check_members()

    def test_seed_with_a_lost_disk_does_not_found_a_group(self):
        """Guards against a second group with its own leader.

        A seed loses its disk while it is partitioned from the two others and restarts with an empty
        data folder. As a founder, it would accept changes that the others never receive.
        """
        replica = Replica("r0", [], TIMES, RestoredState(), random.Random(1), 0.0, JoinGroup())
        replica.set_join_targets(("r0", "r1", "r2"))
        for now in range(0, 5_000, 50):
            replica.tick(float(now))
        assert replica.role is not Role.LEADER
        assert {type(item) for _, item in replica.take_output().sends} == {Join}

    def test_founders_are_restored_from_disk(self):
        """Guards against a founder that restarts with changed seeds and loses its group."""
        replica = Replica(
            "r0", ["r0", "r1"], TIMES, RestoredState(), random.Random(1), 0.0, FoundGroup()
        )
        replica.tick(0.0)
        identity = replica.take_output().identity
        restarted = Replica(
            "r0", ["r7"], TIMES, RestoredState(identity), random.Random(1), 0.0, JoinGroup()
        )
        assert set(restarted.members) == {"r0", "r1"}


class AllowsConcurrentChanges(Replica):
    """Mutant: a membership change is proposed while an earlier one is uncommitted."""

    def _may_change_members(self):
        return True


class CountsLearners(Replica):
    """Mutant: a learner is counted as soon as it has requested to join."""

    def _is_voting_member(self, name, incarnation):
        return name in self.members or name in self._learners.names


class TestOneChangeAtATime:
    """Two concurrent changes could create two disjoint majorities."""

    def test_a_second_learner_waits_for_the_first(self):
        """Guards against two majorities after two VMs join a leader without its followers.

        Neither entry can be committed. If both were proposed, the leader and the two learners would
        be three of five, while the two followers elect another leader as two of three.
        """
        assert self.learners_counted(Replica) == 1
        assert self.learners_counted(AllowsConcurrentChanges) == 2

    def learners_counted(self, kind: type[Replica]) -> int:
        """Return how many of two learners become members before anything is committed."""
        group = ElasticGroup(3, 3, kind)
        group.heal(3_000)
        leader = next(r for r in group.replicas.values() if r.role is Role.LEADER)
        for name in ("r8", "r9"):
            leader.receive(Join(name, 77), group.now)
        for _ in range(3):
            for name in ("r8", "r9"):
                reply = AppendReply(name, 77, leader.term, True, leader.log.last_index, group.now)
                leader.receive(reply, group.now)
            group.now += 1
            leader.tick(group.now)
        return len(set(leader.members) & {"r8", "r9"})


class TestLearners:
    """A learner that is catching up is not counted until it is a member."""

    def test_acknowledgement_of_a_learner_does_not_commit(self):
        """Guards against a change that is reported as accepted and then lost.

        A leader is partitioned from both followers and replicates to a learner. If the learner
        counted, the leader would commit a change that the two others, which elect their own
        leader, never receive.
        """
        assert not self.commits_with_learner(Replica)
        assert self.commits_with_learner(CountsLearners)

    def commits_with_learner(self, kind: type[Replica]) -> bool:
        """Return whether a leader commits with acknowledgements from itself and a learner only."""
        group = ElasticGroup(3, 3, kind)
        group.heal(3_000)
        leader = next(r for r in group.replicas.values() if r.role is Role.LEADER)
        committed = leader.commit
        leader.receive(Join("r8", 77), group.now)
        leader.propose("command", 1, group.now)
        leader.synced(leader.take_output().mark, group.now)
        last = leader.log.last_index
        leader.receive(AppendReply("r8", 77, leader.term, True, last, group.now), group.now)
        return leader.commit > committed


class TestRemoval:
    """Removal of unresponsive members."""

    @pytest.mark.parametrize(("size", "removed"), [(2, None), (3, None), (4, "b"), (5, None)])
    def test_only_even_groups_remove_a_member(self, size, removed):
        now = MEMBER_TIMEOUT_MS * 2
        assert member_to_remove({"a": now, "b": 0.0}, size, now) == removed

    def test_member_is_kept_until_its_timeout(self):
        assert member_to_remove({"a": 0.0, "b": 10.0}, 4, MEMBER_TIMEOUT_MS - 1) is None
