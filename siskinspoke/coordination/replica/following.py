"""Follower role: append entries, advance the commit index and install snapshots."""

from typing import NamedTuple

from siskinspoke.coordination.replica.core import ReplicaCore
from siskinspoke.coordination.replica_types import Role
from siskinspoke.protocol.replication import Append, AppendReply, Install, Snapshot


class MatchedPrefix(NamedTuple):
    """Last index known to match the leader's log, and send time of the message that showed it."""

    leader: str
    term: int
    index: int
    sent_at: float


class FollowerMixin(ReplicaCore):
    """Handle messages from the leader of the current term."""

    _matched: MatchedPrefix | None = None

    def _accept_leader(self, sender: str, term: int, now: float) -> bool:
        """Follow the sender; return False if its term is outdated."""
        if term < self.term:
            return False
        if term > self.term:
            self._set_term(term)
        if self.role is not Role.FOLLOWER or self.leader != sender:
            self._step_down(now)
        self.leader = sender
        self._last_leader_contact_at = now
        self.timer.reset_backoff()
        self._reset_election_timer(now)
        return True

    def _reject(self, request: Append | Install, next_match: int) -> None:
        self._reply(request.sender, False, next_match, request.sent_at, 0)

    def _accept(self, request: Append | Install, index: int) -> None:
        """Acknowledge that the log matches up to ``index``, and how much of it is durable.

        The reply does not wait for a sync, so that a slow disk does not depose the leader.
        """
        self._matched = MatchedPrefix(request.sender, request.term, index, request.sent_at)
        self._reply(request.sender, True, min(index, self._durable_index), request.sent_at, index)

    def _acknowledge_durable(self) -> None:
        """Acknowledge entries that a sync has made durable to the current leader."""
        matched = self._matched
        if matched is not None and (matched.leader, matched.term) == (self.leader, self.term):
            match = min(matched.index, self._durable_index)
            self._reply(matched.leader, True, match, matched.sent_at, matched.index)

    def _reply(self, to: str, accepted: bool, match: int, sent_at: float, received: int) -> None:
        incarnation = self.identity.incarnation
        reply = AppendReply(self.name, incarnation, self.term, accepted, match, sent_at, received)
        self._out.sends.append((to, reply))

    def _on_append(self, append: Append, now: float) -> None:
        if not self._accept_leader(append.sender, append.term, now):
            self._reject(append, self.log.last_index)
            return
        if append.prev_index < self.log.base_index:
            self._accept(append, self.commit)
            return
        if self.log.term_at(append.prev_index) != append.prev_term:
            self._reject(append, min(append.prev_index - 1, self.log.last_index))
            return
        for entry in append.entries:
            if self.log.term_at(entry.index) != entry.term:
                self._put_entry(entry)
        self._membership.update(self.log)
        match = append.prev_index + len(append.entries)
        self._commit_to(min(append.commit, match))
        self._accept(append, match)

    def _on_install(self, install: Install, now: float) -> None:
        if not self._accept_leader(install.sender, install.term, now):
            self._reject(install, self.log.last_index)
            return
        snapshot = install.snapshot
        if snapshot.index > self.commit:
            self._install_snapshot(snapshot)
        self._accept(install, self.commit)

    def _install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the log up to the snapshot's index; keep later entries if the terms match.

        The later entries may have been acknowledged. If they were discarded, a majority might no
        longer hold an entry that the leader counts as replicated.
        """
        if self.log.term_at(snapshot.index) == snapshot.term:
            self.log.compact(snapshot.index)
        else:
            self._durable_index = min(self._durable_index, self.commit)
            self.log.reset(snapshot.index, snapshot.term)
        self.commit = snapshot.index
        self._membership.reset(snapshot.members)
        self._membership.update(self.log)
        self.snapshot = snapshot
        self._out.snapshot = snapshot
        self._out.records.clear()
        self._out.committed.clear()
