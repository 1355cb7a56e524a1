"""What a replica does with a leader's word: append, commit, take a snapshot."""

from siskinspoke.coordination.replica.core import ReplicaCore
from siskinspoke.coordination.replica_types import Role
from siskinspoke.protocol.replication import Append, AppendReply, Install, Snapshot


class Following(ReplicaCore):
    """Follow the leader of the current term."""

    def _hear_leader(self, sender: str, term: int, now: float) -> bool:
        """Follow the sender if its term is current; False if it is an old leader's word."""
        if term < self.term:
            return False
        if term > self.term:
            self._set_term(term)
        if self.role is not Role.FOLLOWER or self.leader != sender:
            self._step_down(now)
        self.leader = sender
        self._leader_heard_at = now
        self._rearm(now)
        return True

    def _reply(self, to: Append | Install, accepted: bool, match: int) -> None:
        incarnation = self.identity.incarnation
        reply = AppendReply(self.name, incarnation, self.term, accepted, match, to.sent_at)
        self._out.sends.append((to.sender, reply))

    def _on_append(self, append: Append, now: float) -> None:
        if not self._hear_leader(append.sender, append.term, now):
            self._reply(append, False, self.log.last_index)
            return
        if append.prev_index < self.log.base_index:
            self._reply(append, True, self.commit)
            return
        if self.log.term_at(append.prev_index) != append.prev_term:
            self._reply(append, False, min(append.prev_index - 1, self.log.last_index))
            return
        for entry in append.entries:
            if self.log.term_at(entry.index) != entry.term:
                self.log.put(entry)
                self._out.records.append(entry)
        self._membership.follow(self.log)
        match = append.prev_index + len(append.entries)
        self._commit_to(min(append.commit, match))
        self._reply(append, True, match)

    def _on_install(self, install: Install, now: float) -> None:
        if not self._hear_leader(install.sender, install.term, now):
            self._reply(install, False, self.log.last_index)
            return
        snapshot = install.snapshot
        if snapshot.index > self.commit:
            self._take_snapshot(snapshot)
        self._reply(install, True, self.commit)

    def _take_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the log up to the snapshot's end; keep what follows it, if it agrees.

        The entries after it may have been acknowledged; dropping them would break the word
        that a majority holds them.
        """
        if self.log.term_at(snapshot.index) == snapshot.term:
            self.log.compact(snapshot.index)
        else:
            self.log.reset(snapshot.index, snapshot.term)
        self.commit = snapshot.index
        self._membership.reset(snapshot.members)
        self._membership.follow(self.log)
        self.snapshot = snapshot
        self._out.snapshot = snapshot
        self._out.records.clear()
        self._out.committed.clear()
