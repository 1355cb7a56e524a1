"""Tests of control replicas under randomized fault schedules."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from siskinspoke.coordination.replica import Replica
from siskinspoke.coordination.replica_types import Refusal, RestoredState, Role
from siskinspoke.protocol.replication import (
    Admitted,
    Append,
    AppendReply,
    Entry,
    HardState,
    Identity,
    VoteReply,
    VoteRequest,
)
from siskinspoke.testing.replica_group import (
    TIMES,
    InvariantError,
    ReplicaGroup,
    random_schedule,
    run_schedule,
)

SCHEDULES = 300
STEPS = 400
MUTANT_SCHEDULES = 2_000


class TestSchedules:
    """Crashes, erased disks, suspensions, partitions, and lost or duplicated messages.

    Guards against two leaders in one term and against the loss of a committed command, either of
    which could revert an accepted configuration or execute a non-idempotent request twice.
    """

    @pytest.mark.parametrize("count", [3, 5])
    def test_nothing_accepted_is_lost(self, count):
        for seed in range(SCHEDULES):
            group = run_schedule(count, seed, random_schedule(seed, STEPS))
            assert group.has_converged(), f"seed {seed} does not settle"

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.lists(st.integers(0, 2**16 - 1), max_size=250))
    def test_shrinkable_schedules(self, steps):
        assert run_schedule(3, 0, iter(steps)).has_converged()


class CountsErasedDisks(Replica):
    """Mutant: an erased disk is counted immediately."""

    def _is_voting_member(self, name, incarnation):
        return True


class DoesNotPersistVote(Replica):
    """Mutant: term and vote are not written to disk."""

    def _set_term(self, term, voted_for=""):
        self.term, self._voted_for = term, voted_for


class IgnoresCandidateLog(Replica):
    """Mutant: a vote is granted even if the candidate's log is less up to date."""

    def _refusal_reason(self, request, now):
        granted = request.trial or (
            request.term == self.term and self._voted_for in ("", request.sender)
        )
        return None if granted else Refusal.VOTED


class BootstrapsAgain(Replica):
    """Mutant: a replica with an erased disk becomes a founder again."""

    def _on_introduce_reply(self, reply, now):
        if self.role is Role.NEW:
            self._set_identity(1, now)


class TestMutants:
    """Disabling any safety check must make some schedule fail."""

    @pytest.mark.parametrize(
        "mutant", [CountsErasedDisks, DoesNotPersistVote, IgnoresCandidateLog, BootstrapsAgain]
    )
    def test_schedules_catch(self, mutant):
        with pytest.raises(InvariantError):
            for seed in range(MUTANT_SCHEDULES):
                run_schedule(3, seed, random_schedule(seed, STEPS), mutant)


FIRST_TERM = HardState(1, "")


def make_follower(name="r0", hard=FIRST_TERM, entries=(), admitted=()):
    """Return a replica of a group of three that was restored from disk."""
    identity = Identity(name, 1)
    restored = RestoredState(identity, hard, None, admitted, entries)
    return Replica(name, ["r0", "r1", "r2"], TIMES, restored, random.Random(1), 0.0)


class TestElections:
    """Votes and leadership."""

    def test_isolated_leader_steps_down(self):
        """Guards against two replicas that act as leader for as long as a partition lasts.

        The isolated leader gets no error, while the others elect a new leader.
        """
        group = ReplicaGroup(3, 1)
        group.heal(3_000)
        name = next(n for n, r in group.replicas.items() if r.role is Role.LEADER)
        group.cuts = {(name, other) for other in group.names}
        group.cuts |= {(other, name) for other in group.names}
        group.advance_clock(TIMES.election_ms + 1)
        assert group.replicas[name].role is not Role.LEADER

    def test_replica_with_longer_log_adopts_higher_term(self):
        """Guards against two replicas that refuse each other's votes forever.

        After the leader's disk is lost, one has the longer log and the other the higher term.
        Pre-votes do not increase terms, so the candidate must adopt the term in the reply.
        """
        replica = make_follower(hard=HardState(1, ""), entries=(Entry(1, 1, "noop", None),))
        replica.tick(10_000)
        replica.receive(VoteReply("r1", 1, 2, 2, False, True, 0, 0), 10_001)
        assert replica.term == 2

    def test_restart_keeps_the_admission_of_a_replaced_disk(self):
        """Guards against a group of two that cannot elect a leader.

        Only the restarted VM knew that the replaced disk of another VM is admitted, and the third
        VM is lost. If it did not restore this, and pass it on with its votes, the two remaining
        replicas would refuse each other's votes.
        """
        admit = Entry(1, 1, "admit", {"name": "r1", "incarnation": 77})
        replica = make_follower(entries=(admit,), admitted=(Admitted("r1", 77, 1),))
        assert replica.members["r1"] == 77
        assert replica.commit == 1

    def test_one_vote_per_term(self):
        """Guards against a second vote in the same term after a restart of the voter."""
        replica = make_follower(hard=HardState(5, "r1"))
        fields = {"incarnation": 1, "term": 5, "last_index": 9, "last_term": 5}
        replica.receive(VoteRequest("r2", **fields, trial=False, commit=0, commit_term=0), 10_000)
        ((_, reply),) = replica.take_output().sends
        assert not reply.granted


class TestSlowElections:
    """Elections that take longer than the election timeout."""

    def make_candidate(self) -> Replica:
        """Return a candidate of term 2 whose own vote is durable."""
        replica = make_follower()
        replica.tick(10_000)
        replica.receive(VoteReply("r1", 1, 2, 1, True, True, 0, 0), 10_001)
        replica.synced(replica.take_output().mark, 10_002)
        assert replica.term == 2
        return replica

    def test_vote_counts_after_the_next_pre_vote_has_started(self):
        """Guards against repeated elections that discard votes arriving after the timeout."""
        replica = self.make_candidate()
        replica.tick(20_000)
        replica.receive(VoteReply("r1", 1, 2, 2, True, False, 0, 0), 20_001)
        assert replica.role is Role.LEADER

    def test_vote_of_an_earlier_term_does_not_count(self):
        replica = self.make_candidate()
        replica.receive(VoteReply("r2", 1, 3, 3, False, True, 0, 0), 10_003)
        replica.tick(20_000)
        replica.receive(VoteReply("r1", 1, 2, 2, True, False, 0, 0), 20_001)
        assert replica.role is not Role.LEADER

    def test_candidate_waits_for_its_own_sync(self):
        """Guards against a candidate that starts a new election while its own vote is syncing."""
        replica = make_follower()
        replica.tick(10_000)
        replica.receive(VoteReply("r1", 1, 2, 1, True, True, 0, 0), 10_001)
        mark = replica.take_output().mark
        replica.tick(60_000)
        assert replica.term == 2
        assert replica.take_output().sends == []
        replica.synced(mark, 60_001)
        replica.tick(70_000)
        assert replica.take_output().sends

    def test_voter_refuses_pre_votes_for_an_election_timeout_after_its_vote(self):
        """Guards against a pre-vote that deposes a new leader before its first message arrives."""
        replica = make_follower()
        replica.receive(VoteRequest("r1", 1, 5, 0, 0, False, 0, 0), 10_000)
        replica.synced(replica.take_output().mark, 11_000)
        pre_vote = VoteRequest("r2", 1, 6, 0, 0, True, 0, 0)
        replica.receive(pre_vote, 11_000 + TIMES.election_ms / 2)
        replica.receive(pre_vote, 11_000 + TIMES.election_ms * 1.1)
        first_reply, second_reply = [item for _, item in replica.take_output().sends]
        assert (first_reply.granted, first_reply.refusal) == (False, "leader")
        assert second_reply.granted


class TestConfirmation:
    """Confirmation of a leader by a majority before it answers a read."""

    def make_leader(self, count: int) -> tuple[Replica, str, float]:
        """Return a leader, a follower's name, and a time after the leader's last message."""
        group = ReplicaGroup(count, 1)
        group.heal(3_000)
        leader = next(r for r in group.replicas.values() if r.role is Role.LEADER)
        return leader, next(name for name in group.names if name != leader.name), group.now + 1

    def test_read_forwarded_by_a_follower_confirms_a_leader_of_three(self):
        leader, name, now = self.make_leader(3)
        assert leader.is_followed_by(name, leader.term, 1)
        assert leader.confirmed_since(now, name)
        assert not leader.confirmed_since(now)

    def test_read_forwarded_by_one_follower_does_not_confirm_a_leader_of_five(self):
        """Guards against stale reads from a leader that has lost its majority."""
        leader, name, now = self.make_leader(5)
        assert not leader.confirmed_since(now, name)

    def test_read_forwarded_from_another_term_or_disk_confirms_nothing(self):
        """Guards against counting a follower that has elected another leader or lost its disk."""
        leader, name, _ = self.make_leader(3)
        assert not leader.is_followed_by(name, leader.term + 1, 1)
        assert not leader.is_followed_by(name, leader.term, 77)
        assert not leader.is_followed_by("r9", leader.term, 1)


class TestSyncs:
    """Messages and acknowledgements that depend on a sync."""

    def test_vote_waits_for_its_sync(self):
        """A vote lost in a crash could let two candidates lead in the same term."""
        replica = make_follower()
        replica.receive(VoteRequest("r1", 1, 5, 0, 0, False, 0, 0), 10_000)
        out = replica.take_output()
        assert out.sends == []
        ((to, reply),) = out.sends_after_sync
        assert to == "r1"
        assert reply.granted

    def test_request_for_votes_waits_for_its_sync(self):
        """A candidate that loses its own vote in a crash could vote again in the same term."""
        replica = make_follower()
        replica.tick(10_000)
        replica.receive(VoteReply("r1", 1, 2, 1, True, True, 0, 0), 10_001)
        out = replica.take_output()
        assert {item.trial for _, item in out.sends} == {True}
        assert {item.trial for _, item in out.sends_after_sync} == {False}

    def test_entry_is_acknowledged_after_its_sync(self):
        """An acknowledged entry lost in a crash could revert an accepted change."""
        replica = make_follower()
        replica.receive(Append("r1", 1, 0, 0, [Entry(1, 1, "noop", None)], 0, 5.0), 6.0)
        out = replica.take_output()
        ((_, first_reply),) = out.sends
        assert (first_reply.accepted, first_reply.match, first_reply.received) == (True, 0, 1)
        replica.synced(out.mark, 7.0)
        ((_, second_reply),) = replica.take_output().sends
        assert (second_reply.accepted, second_reply.match, second_reply.sent_at) == (True, 1, 5.0)

    def test_replaced_entry_is_not_acknowledged(self):
        """A sync that completes after a new leader replaced the entry must not acknowledge it."""
        replica = make_follower()
        replica.receive(Append("r1", 1, 0, 0, [Entry(1, 1, "noop", None)], 0, 5.0), 6.0)
        out = replica.take_output()
        replica.receive(Append("r2", 2, 0, 0, [Entry(1, 2, "noop", None)], 0, 7.0), 8.0)
        replica.take_output()
        replica.synced(out.mark, 9.0)
        ((_, reply),) = replica.take_output().sends
        assert reply.match == 0

    def test_leader_counts_its_own_entry_after_its_sync(self):
        """An entry that only one of three replicas has on disk must not be committed."""
        group = ReplicaGroup(3, 1)
        group.heal(3_000)
        leader = next(r for r in group.replicas.values() if r.role is Role.LEADER)
        committed, last = leader.commit, leader.propose("command", 1, group.now)
        reply = AppendReply("r1" if leader.name != "r1" else "r2", 1, leader.term, True, last, 0.0)
        out = leader.take_output()
        leader.receive(reply, group.now)
        assert leader.commit == committed
        leader.synced(out.mark, group.now)
        assert leader.commit == last


class TestLease:
    """The period during which no other replica can be elected."""

    def test_vote_is_refused_after_leader_is_heard_again(self):
        """A vote granted here could elect a new leader while the old one holds a lease."""
        replica = make_follower()
        replica.receive(Append("r1", 1, 0, 0, [], 0, 10_000.0), 10_000)
        request = VoteRequest("r2", 1, 2, 0, 0, False, 0, 0)
        replica.receive(request, 10_000 + TIMES.election_ms / 2)
        assert replica.term == 1
        _, (_, reply) = replica.take_output().sends
        assert (reply.granted, reply.refusal) == (False, "leader")
        replica.receive(request, 10_000 + TIMES.election_ms)
        ((_, reply),) = replica.take_output().sends_after_sync
        assert reply.granted

    def test_handover_vote_is_granted_while_leader_is_heard(self):
        replica = make_follower()
        replica.receive(Append("r1", 1, 0, 0, [], 0, 10_000.0), 10_000)
        replica.receive(VoteRequest("r2", 1, 2, 0, 0, False, 0, 0, True), 10_001)
        ((_, reply),) = replica.take_output().sends_after_sync
        assert reply.granted

    def test_lease_ends_before_a_successor_can_lead(self):
        """Guards against two replicas that hold a lease at the same time."""
        for seed in range(150):
            group = ReplicaGroup(3, seed)
            group.heal(3_000)
            for number in random_schedule(seed, STEPS):
                group.step(number)
                holders = [
                    name
                    for name, replica in group.replicas.items()
                    if replica is not None and replica.lease_expires_at() > group.now
                ]
                assert len(holders) <= 1, f"seed {seed}: {holders}"
