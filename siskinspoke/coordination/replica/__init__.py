"""One control replica's decisions: elections, replication, recovery.  No I/O, no clock.

The owner feeds it messages and the time, then takes its output: it must sync the records
before it sends the messages or applies the commits.  The protocol follows Raft, with these
guards beside it:

* a trial vote goes before a real one, so that a replica that was cut off does not depose a
  healthy leader when it returns;
* a leader that hears no majority for an election timeout steps down, so that an isolated one
  stops believing in itself;
* every vote and acknowledgement carries the incarnation of its sender's disk.  A replica whose
  disk was emptied has a new incarnation, which counts for nothing until the others, without
  it, have committed an entry that admits it.  It has forgotten its votes, so counting them
  earlier could elect two leaders in one term, and has forgotten what it acknowledged, so
  counting those could lose an accepted change.

Members may change, one at a time (``membership`` tells how the log gives them): a replica that
asks to join is first brought up to date without a vote.

A module a concern: ``core`` holds the state; ``elections``, ``leading``, ``following`` and
``members`` act on it.
"""

from typing import Any

from siskinspoke.coordination.replica.elections import Electing
from siskinspoke.coordination.replica.following import Following
from siskinspoke.coordination.replica.leading import Leading
from siskinspoke.coordination.replica.members import MembershipChanges
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


class Replica(MembershipChanges, Electing, Leading, Following):
    """Decide what one control replica does next; times are monotonic milliseconds."""

    def next_wake(self) -> float:
        """Return when ``tick`` has something to do at the latest."""
        due = self._next_due()
        return due if self._contacts is None else min(due, self._join_at)

    def _next_due(self) -> float:
        match self.role:
            case Role.NEW:
                return self._founding.next_question_at
            case Role.LEADER:
                return self._heartbeat_at
            case _:
                return self._election_at

    def tick(self, now: float) -> None:
        """Act on the passing of time."""
        self._ask_to_join(now)
        match self.role:
            case Role.NEW:
                self._introduce(now)
            case Role.LEADER:
                self._lead(now)
            case _ if now >= self._election_at:
                self._report_lost_election()
                if self.role is Role.CANDIDATE and not self._trial:
                    self.timer.increase_backoff()
                self._stand(now, trial=True)

    def synced(self, mark: SyncMark, now: float) -> None:
        """Act on the completed sync of all outputs up to ``mark``."""
        self._advance_durable(mark)
        self._resume_elections_if_vote_durable(mark, now)
        match self.role:
            case Role.LEADER:
                self._advance_commit(now)
            case Role.FOLLOWER:
                self._acknowledge_durable()

    def receive(self, item: Any, now: float) -> None:
        """Act on one message."""
        match item:
            case Introduce():
                reply = IntroduceReply(self.name, item.run, self.fresh)
                self._out.sends.append((item.sender, reply))
            case IntroduceReply():
                self._on_introduce_reply(item, now)
            case _ if self.role is Role.NEW:
                return
            case VoteRequest():
                self._on_vote_request(item, now)
            case VoteReply():
                self._on_vote_reply(item, now)
            case Append():
                self._on_append(item, now)
            case AppendReply():
                self._on_append_reply(item, now)
            case Install():
                self._on_install(item, now)
            case Join():
                self._on_join(item, now)
            case Handover(sender=sender, term=term):
                if term == self.term and sender == self.leader:
                    self._stand(now, trial=False, handover=True)
