"""Tests of replica groups whose members come and go."""

import random

import pytest

from siskinspoke.coordination.membership import SILENT_MS, may_drop
from siskinspoke.coordination.replica import Replica
from siskinspoke.coordination.replica_types import FoundNow, JoinGroup, Restored, Role
from siskinspoke.protocol.replication import AppendReply, Join
from siskinspoke.testing.elastic_group import ElasticGroup, run_elastic_schedule
from siskinspoke.testing.replica_group import TIMES, numbers

SCHEDULES = 60
STEPS = 500


class TestElasticSchedules:
    """Machines are replaced for good between kills, cuts, freezes and emptied disks.

    A user would see an accepted configuration revert if a group counted a machine that is
    gone, or let one in that has forgotten what it promised, at the wrong moment.
    """

    @pytest.mark.parametrize("count", [3, 4, 6, 8])
    def test_nothing_accepted_is_lost(self, count):
        for seed in range(SCHEDULES):
            group = run_elastic_schedule(count, seed, numbers(seed, STEPS))
            assert group.settled(), f"seed {seed} does not settle"
            group.check_members()


class TestFounding:
    """How a group begins, and who may not begin one."""

    def test_eight_found_and_join(self):
        """Eight empty machines start; three are named as seeds, and five ask to be let in."""
        group = ElasticGroup(8, 1)
        group.heal(8_000)
        group.check_members()

    def test_a_machine_with_a_lost_disk_does_not_found(self):
        """A seed's disk is lost while the two others are cut off from it.

        It restarts alone with an empty folder.  If it founded a group, it would accept changes
        that the others never hear of.
        """
        replica = Replica("r0", [], TIMES, Restored(), random.Random(1), 0.0, JoinGroup())
        replica.set_contacts(("r0", "r1", "r2"))
        for now in range(0, 5_000, 50):
            replica.tick(float(now))
        assert replica.role is not Role.LEADER
        assert {type(item) for _, item in replica.take_output().sends} == {Join}

    def test_founders_are_kept_on_disk(self):
        """A founder restarts with settings that name other seeds by then."""
        replica = Replica("r0", ["r0", "r1"], TIMES, Restored(), random.Random(1), 0.0, FoundNow())
        replica.tick(0.0)
        identity = replica.take_output().identity
        again = Replica("r0", ["r7"], TIMES, Restored(identity), random.Random(1), 0.0, JoinGroup())
        assert set(again.members) == {"r0", "r1"}


class TwoChangesAtOnce(Replica):
    """Mutant: members change while an earlier change is still open."""

    def _may_change_members(self):
        return True


class LearnersCount(Replica):
    """Mutant: whoever has asked to join counts at once."""

    def _counts(self, name, incarnation):
        return name in self.members or name in self._learners.names


class TestOneChangeAtATime:
    """Two changes at once could give two groups that share no member a majority each."""

    def test_a_second_learner_waits_for_the_first(self):
        """Two machines ask to join a leader that is cut off from its followers.

        Neither entry can be committed.  If both were proposed, the leader and the two newcomers
        would be three of five, while its two followers elect another leader as two of three.
        """
        assert self.newcomers_counted(Replica) == 1
        assert self.newcomers_counted(TwoChangesAtOnce) == 2

    def newcomers_counted(self, kind: type[Replica]) -> int:
        """Return how many of two newcomers the leader counts before anything is committed."""
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
    """A replica that was let in to catch up counts for nothing until it is a member."""

    def test_its_acknowledgement_commits_nothing(self):
        """A leader is cut off from both followers; a newcomer reaches it and takes its entries.

        If the newcomer counted, an operator would be told that a change is accepted which the
        two others, electing a leader of their own, never see.
        """
        assert not self.commits_alone(Replica)
        assert self.commits_alone(LearnersCount)

    def commits_alone(self, kind: type[Replica]) -> bool:
        """Tell whether a leader commits with a learner's word and its own."""
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


class TestDropping:
    """When a silent member loses its place."""

    @pytest.mark.parametrize(("size", "dropped"), [(2, None), (3, None), (4, "b"), (5, None)])
    def test_only_even_groups_drop(self, size, dropped):
        now = SILENT_MS * 2
        assert may_drop({"a": now, "b": 0.0}, size, now) == dropped

    def test_a_short_silence_is_borne(self):
        assert may_drop({"a": 0.0, "b": 10.0}, 4, SILENT_MS - 1) is None
