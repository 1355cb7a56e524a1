"""Raft consensus for one control replica: elections, replication and recovery.

The implementation performs no I/O and reads no clock. The caller passes in messages and the
current time and processes the resulting ``Output``, whose docstring specifies what must be synced
before which messages are sent. The protocol is Raft with these additions:

* A pre-vote (``trial``) precedes each election, so that a replica that reconnects after a network
  partition does not depose a healthy leader.
* A leader that receives no replies from a majority within the leader timeout steps down, so that
  an isolated leader does not continue to act as one.
* Every vote and acknowledgement carries the incarnation of its sender's disk. A replica whose disk
  was erased gets a new incarnation, which is not counted until the other members have committed
  an ``admit`` entry for it without its help. Since it has lost its votes, counting it earlier could
  elect two leaders in one term; since it has lost the entries that it acknowledged, counting it
  could lose a committed change.

Membership changes one replica at a time; ``membership`` derives the members from the log. A replica
that joins first catches up as a learner without a vote.

``core`` holds the state. ``elections``, ``leading``, ``following`` and ``members`` are mixins that
operate on it.
"""

from typing import Any

from siskinspoke.coordination.replica.elections import ElectionMixin
from siskinspoke.coordination.replica.following import FollowerMixin
from siskinspoke.coordination.replica.leading import LeaderMixin
from siskinspoke.coordination.replica.members import MembershipMixin
from siskinspoke.coordination.replica_types import Role, SyncMark
from siskinspoke.protocol.replication import (
    Append,
    AppendReply,
    Handover,
    Install,
    Introduce,
    IntroduceReply,
    Join,
    VoteReply,
    VoteRequest,
)

__all__ = ["Replica"]


class Replica(MembershipMixin, ElectionMixin, LeaderMixin, FollowerMixin):
    """Raft state machine of one control replica; times are in monotonic milliseconds."""

    def next_tick_at(self) -> float:
        """Return the time by which ``tick`` must be called next."""
        due = self._next_timer()
        return due if self._join_targets is None else min(due, self._next_join_at)

    def _next_timer(self) -> float:
        match self.role:
            case Role.NEW:
                return self._bootstrap.next_query_at
            case Role.LEADER:
                return self._heartbeat_at
            case _:
                return self._election_at

    def tick(self, now: float) -> None:
        """Process expired timers."""
        self._request_join(now)
        match self.role:
            case Role.NEW:
                self._tick_bootstrap(now)
            case Role.LEADER:
                self._tick_leader(now)
            case _ if now >= self._election_at:
                self._report_lost_election()
                if self.role is Role.CANDIDATE and not self._pre_vote:
                    self.timer.increase_backoff()
                self._start_election(now, pre_vote=True)

    def synced(self, mark: SyncMark, now: float) -> None:
        """Handle the completed sync of all outputs up to ``mark``."""
        self._advance_durable(mark)
        self._resume_elections_if_vote_durable(mark, now)
        match self.role:
            case Role.LEADER:
                self._advance_commit(now)
            case Role.FOLLOWER:
                self._acknowledge_durable()

    def receive(self, message: Any, now: float) -> None:
        """Handle one message from another replica."""
        match message:
            case Introduce():
                reply = IntroduceReply(self.name, message.run, self.fresh)
                self._out.sends.append((message.sender, reply))
            case IntroduceReply():
                self._on_introduce_reply(message, now)
            case _ if self.role is Role.NEW:
                return
            case VoteRequest():
                self._on_vote_request(message, now)
            case VoteReply():
                self._on_vote_reply(message, now)
            case Append():
                self._on_append(message, now)
            case AppendReply():
                self._on_append_reply(message, now)
            case Install():
                self._on_install(message, now)
            case Join():
                self._on_join(message, now)
            case Handover(sender=sender, term=term):
                if term == self.term and sender == self.leader:
                    self._start_election(now, pre_vote=False, handover=True)
