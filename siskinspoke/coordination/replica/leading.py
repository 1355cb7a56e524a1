"""Leader role: replication, commit, leases, and stepping down without a majority."""

import math
from typing import Any

from siskinspoke.coordination.followers import Followers, Progress
from siskinspoke.coordination.membership import ADD, ADMIT, FOUND, REMOVE, Learners
from siskinspoke.coordination.replica.core import ReplicaCore
from siskinspoke.coordination.replica_types import Role
from siskinspoke.protocol.replication import Append, AppendReply, Entry, Handover, Install

NOOP = "noop"
MAX_ENTRIES_PER_APPEND = 256
LEASE_FRACTION = 0.9


class LeaderMixin(ReplicaCore):
    """Replicate the log as the leader and track how long leadership is certain."""

    def _become_leader(self, now: float) -> None:
        self.role = Role.LEADER
        self.leader = self.name
        self._pending_vote_output = 0
        self.timer.reset_backoff()
        self._learners = Learners()
        self._followers = Followers(
            self._peers, self.log.last_index + 1, now, self._is_voting_member
        )
        if self.log.last_index:
            self.propose(NOOP, None, now)
        else:
            # Record the founders in the log for members that join later and do not know them.
            self.propose(FOUND, dict(self.members), now)

    def propose(self, kind: str, body: Any, now: float) -> int | None:
        """Append a command to the log and return its index, or None if this is not the leader."""
        if self.role is not Role.LEADER:
            return None
        entry = Entry(self.log.last_index + 1, self.term, kind, body)
        self._put_entry(entry)
        if kind in (ADD, REMOVE):
            self._membership.update(self.log)
            self._update_followers(now)
        self._replicate(now)
        self._advance_commit(now)
        return entry.index

    def transfer_leadership(self, now: float) -> None:
        """Transfer leadership to the most up-to-date follower.

        Without this, a planned restart would block claims and configuration changes for a whole
        election timeout.
        """
        if self.role is not Role.LEADER:
            return
        successor = self._followers.most_up_to_date()
        if successor is not None:
            self._out.sends.append((successor, Handover(self.name, self.term)))
        self._step_down(now)

    def _tick_leader(self, now: float) -> None:
        """Send due heartbeats, or step down if a majority no longer replies.

        Without the check, an isolated leader, or one whose VM was suspended and resumed, would
        continue to act as leader. A resumed leader fails the check in its first tick.
        """
        if not self._has_heard_majority(now):
            self._step_down(now)
            return
        self._change_members(now)
        if now >= self._heartbeat_at:
            self._heartbeat_at = now + self._times.heartbeat_ms
            for _, progress in self._followers:
                progress.in_flight_until = 0.0
            self._replicate(now, heartbeat=True)

    def _has_heard_majority(self, now: float) -> bool:
        """Return whether a majority, including this leader, replied within the leader timeout.

        Checks the configured election timeout first: the adaptive timeout is never shorter,
        and is more expensive to compute.
        """
        if self._is_majority(1 + self._followers.heard_since(now - self._times.election_ms)):
            return True
        since = now - self.timer.leader_timeout(now)
        return self._is_majority(1 + self._followers.heard_since(since))

    def _replicate(self, now: float, heartbeat: bool = False) -> None:
        for peer, progress in self._followers:
            behind = progress.next_index <= self.log.last_index
            if heartbeat or (behind and now >= progress.in_flight_until):
                self._send_entries(peer, progress, now)

    def _send_entries(self, peer: str, progress: Progress, now: float) -> None:
        previous = progress.next_index - 1
        previous_term = self.log.term_at(previous)
        if previous_term is None:
            self._out.sends.append((peer, Install(self.name, self.term, self.snapshot, now)))
            progress.in_flight_until = now + self._times.election_ms
            return
        last = min(self.log.last_index, previous + MAX_ENTRIES_PER_APPEND)
        entries = self.log.between(previous + 1, last)
        append = Append(self.name, self.term, previous, previous_term, entries, self.commit, now)
        self._out.sends.append((peer, append))
        if entries:
            progress.in_flight_until = now + self._times.heartbeat_ms

    def _on_append_reply(self, reply: AppendReply, now: float) -> None:
        if reply.term > self.term:
            self._set_term(reply.term)
            self._step_down(now)
            return
        if self.role is not Role.LEADER or reply.term != self.term:
            return
        progress = self._followers.find(reply.sender)
        if progress is None:
            return
        if progress.incarnation not in (0, reply.incarnation):
            progress.match = 0
        progress.incarnation = reply.incarnation
        progress.heard_at = now
        progress.in_flight_until = 0.0
        if reply.sent_at > progress.leased_from:
            self.timer.round_trips.add(now - reply.sent_at, now)
        # The follower received the message that it answers no earlier than it was sent. A later
        # message must not extend the lease, since it may not have arrived.
        progress.leased_from = max(progress.leased_from, reply.sent_at)
        if not reply.accepted:
            progress.next_index = max(1, min(reply.match + 1, progress.next_index - 1))
            self._send_entries(reply.sender, progress, now)
            return
        progress.match = max(progress.match, reply.match)
        # Skip entries that the follower has received but not yet synced.
        progress.next_index = max(progress.next_index, progress.match + 1, reply.received + 1)
        self._advance_commit(now)
        self._admit_if_caught_up(reply.sender, progress, now)
        if progress.next_index <= self.log.last_index:
            self._send_entries(reply.sender, progress, now)

    def _advance_commit(self, now: float) -> None:
        """Commit entries of this term that a majority of admitted disks holds."""
        own_index = self._durable_index if self.admitted else None
        majority_index = self._followers.replicated_index(len(self.members) // 2, own_index)
        if majority_index > self.commit and self.log.term_at(majority_index) == self.term:
            self._commit_to(majority_index)
            # Tell followers immediately, so that each of them can serve the committed entries.
            self._replicate(now, heartbeat=True)

    def _admit_if_caught_up(self, name: str, progress: Progress, now: float) -> None:
        """Propose to admit a replaced disk once it holds all committed entries."""
        if name not in self.members or self._is_voting_member(name, progress.incarnation):
            return
        if progress.match < self.commit or not self._may_change_members():
            return
        self.propose(ADMIT, {"name": name, "incarnation": progress.incarnation}, now)

    def lease_expires_at(self) -> float:
        """Return the time until which no other replica can be elected; -inf if not the leader.

        For an election timeout after hearing from the leader, a majority refuses both pre-votes
        and votes, except for a handover. The lease is counted from the time at which the
        acknowledged message was sent, since the follower may have received it at once. It is a
        tenth shorter than the election timeout to allow for clocks that run at different rates.
        """
        if self.role is not Role.LEADER:
            return -math.inf
        needed = len(self.members) // 2
        if not needed:
            return math.inf
        return self._followers.quorum_lease_start(needed) + self._times.election_ms * LEASE_FRACTION

    def can_serve_reads(self) -> bool:
        """Return whether the commit index covers all entries committed by earlier leaders."""
        return self.role is Role.LEADER and self.log.term_at(self.commit) == self.term

    def confirmed_since(self, since: float, confirmed_by: str | None = None) -> bool:
        """Return whether a majority has followed this leader since a time of its own clock.

        If so, no other leader had committed a newer entry by that time, and a read from this
        leader is linearizable. ``confirmed_by`` is a follower that counts as having followed this
        leader since then.
        """
        return self._followers.confirmed_since(since, len(self.members) // 2, confirmed_by)

    def is_followed_by(self, name: str, term: int, incarnation: int) -> bool:
        """Return whether a follower in this term with this incarnation is a voting member."""
        if self.role is not Role.LEADER or term != self.term:
            return False
        return self._is_voting_member(name, incarnation)

    def send_heartbeats(self, now: float) -> None:
        """Send heartbeats immediately, for a read that waits for confirmation by a majority."""
        if self.role is Role.LEADER:
            self._replicate(now, heartbeat=True)
