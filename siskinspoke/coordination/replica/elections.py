"""Leader election: pre-vote, voting and vote counting."""

from siskinspoke.coordination.replica.core import ReplicaCore
from siskinspoke.coordination.replica_types import LostElection, Refusal, Role
from siskinspoke.protocol.replication import VoteReply, VoteRequest


class ElectionMixin(ReplicaCore):
    """Start elections, answer vote requests and count votes."""

    def _start_election(self, now: float, pre_vote: bool, handover: bool = False) -> None:
        """Start a pre-vote if ``pre_vote`` is set, otherwise an election in the next term."""
        self._reset_election_timer(now)
        if not self.admitted:
            return
        self.role = Role.CANDIDATE
        self.leader = None
        self._pre_vote = pre_vote
        self._refusals.clear()
        if pre_vote:
            self._pre_votes = {self.name}
        else:
            self._set_term(self.term + 1, self.name)
            self._candidate_term = self.term
            self._votes = {self.name}
            self._suspend_elections_until_vote_durable()
        request = VoteRequest(
            self.name,
            self.identity.incarnation,
            self.term + pre_vote,
            self.log.last_index,
            self.log.last_term,
            pre_vote,
            self.commit,
            self.log.term_at(self.commit),
            handover,
        )
        # The candidate's vote for itself must be durable before it requests others. Otherwise
        # it could vote for another candidate in the same term after a crash.
        sends = self._out.sends if pre_vote else self._out.sends_after_sync
        sends.extend((peer, request) for peer in self._peers)
        self._count_votes(now)

    def _report_lost_election(self) -> None:
        """Report the current election as lost if this replica is a candidate."""
        if self.role is not Role.CANDIDATE:
            return
        votes = self._pre_votes if self._pre_vote else self._votes
        answered = votes | self._refusals.keys()
        election = LostElection(
            self.term + self._pre_vote,
            self._pre_vote,
            sorted(votes),
            dict(self._refusals),
            [peer for peer in self._peers if peer not in answered],
        )
        self._out.lost_elections.append(election)

    def _count_votes(self, now: float) -> None:
        if self._candidate_term == self.term and self._is_majority(len(self._votes)):
            self._become_leader(now)
        elif self._pre_vote and self._is_majority(len(self._pre_votes)):
            self._start_election(now, pre_vote=False)

    def _adopt_commit(self, index: int, term: int) -> None:
        """Advance the commit index to that of another replica if the logs match there.

        After a disk is replaced, a single replica may know that its ``admit`` entry is committed.
        Unless vote messages propagate this, the others would refuse each other's votes forever.
        """
        if index > self.commit and self.log.term_at(index) == term:
            self._commit_to(index)

    def _on_vote_request(self, request: VoteRequest, now: float) -> None:
        self._adopt_commit(request.commit, request.commit_term)
        may_violate_lease = self._may_violate_lease(request, now)
        if request.term > self.term and not request.trial and not may_violate_lease:
            self._set_term(request.term)
            self._step_down(now)
        refusal = self._refusal_reason(request, now)
        granted = refusal is None
        if granted and not request.trial:
            self._set_term(request.term, request.sender)
            self._suspend_elections_until_vote_durable()
        reply = VoteReply(
            self.name,
            self.identity.incarnation,
            request.term,
            self.term,
            granted,
            request.trial,
            self.commit,
            self.log.term_at(self.commit),
            refusal or "",
        )
        needs_sync = granted and not request.trial
        sends = self._out.sends_after_sync if needs_sync else self._out.sends
        sends.append((request.sender, reply))

    def _refusal_reason(self, request: VoteRequest, now: float) -> Refusal | None:
        """Return why a vote is refused, or None if it is granted.

        The voter does not check disk incarnations. A candidate starts an election only if its own
        disk is admitted, and counts only votes from disks whose admission it knows to be committed.
        """
        own_position = (self.log.last_term, self.log.last_index)
        if (request.last_term, request.last_index) < own_position:
            return Refusal.LOG
        if request.trial:
            if request.term <= self.term:
                return Refusal.TERM
            return None if self._has_no_recent_leader_or_vote(now) else Refusal.LEADER
        if self._may_violate_lease(request, now):
            return Refusal.LEADER
        if request.term != self.term:
            return Refusal.TERM
        return None if self._voted_for in ("", request.sender) else Refusal.VOTED

    def _may_violate_lease(self, request: VoteRequest, now: float) -> bool:
        """Return whether a vote could elect a new leader while the current one holds a lease.

        The pre-vote does not rule this out: this replica may receive another message from the
        leader while the candidate syncs its own vote.
        """
        if request.trial or request.handover or self.role is Role.LEADER:
            return False
        return now - self._last_leader_contact_at < self._times.election_ms

    def _has_no_recent_leader_or_vote(self, now: float) -> bool:
        """Return whether the replica neither had contact with a leader nor voted recently.

        Uses the configured timeout instead of the adaptive one because leases depend on it.
        """
        if self.role is Role.LEADER or (self.role is Role.FOLLOWER and self._pending_vote_output):
            return False
        return (
            now - max(self._last_leader_contact_at, self._vote_durable_at)
            >= self._times.election_ms
        )

    def _on_vote_reply(self, reply: VoteReply, now: float) -> None:
        self._adopt_commit(reply.commit, reply.commit_term)
        if reply.own_term > self.term:
            # Adopt the voter's term. Otherwise, of two replicas, the one with the longer log could
            # be refused for its lower term and the other for its log, so neither would ever lead.
            self._refusals[reply.sender] = Refusal.TERM
            self._report_lost_election()
            self._set_term(reply.own_term)
            self._step_down(now)
            return
        if self.role is not Role.CANDIDATE or reply.term != self.term + reply.trial:
            return
        counts = self._is_voting_member(reply.sender, reply.incarnation)
        if reply.granted and counts:
            # A vote stays valid throughout its term, even after the next pre-vote has started.
            (self._pre_votes if reply.trial else self._votes).add(reply.sender)
            self._count_votes(now)
        elif reply.trial == self._pre_vote:
            self._refusals[reply.sender] = Refusal.DISK if reply.granted else reply.refusal
