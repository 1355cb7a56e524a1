"""How a replica gets its place in the group, and how the group changes its members."""

from siskinspoke.coordination.founding import FOUNDER, new_incarnation
from siskinspoke.coordination.membership import ADD, ADMIT, FOUND, REMOVE, may_drop
from siskinspoke.coordination.replica.core import ReplicaCore
from siskinspoke.coordination.replica_types import AskPeers, FoundNow, JoinGroup, Role
from siskinspoke.protocol.replication import Identity, IntroduceReply, Join

# Milliseconds between two questions of a replica that looks for a leader.
JOIN_MS = 200.0


class MembershipChanges(ReplicaCore):
    """Join, let in, and drop members: one change at a time."""

    def _introduce(self, now: float) -> None:
        match self._start:
            case FoundNow():
                self._become_known(FOUNDER, now, tuple(self.members))
            case JoinGroup():
                self._become_known(new_incarnation(self._rng), now)
            case AskPeers() if self._peers:
                self._out.sends.extend(self._founding.questions(now))
            case AskPeers():
                self._become_known(FOUNDER, now)

    def _ask_to_join(self, now: float) -> None:
        """Ask for a place while no leader speaks to this replica.

        It may be new, or have been removed while it was silent; a removed one does not know
        it, since the entry that removed it never reached it.
        """
        if self._contacts is None or self.role is Role.NEW or now < self._join_at:
            return
        self._join_at = now + JOIN_MS
        heard = now - self._leader_heard_at < self._times.election_ms and self.leader is not None
        if self.role is Role.LEADER or (heard and self.admitted):
            return
        request = Join(self.name, self.identity.incarnation)
        for name in {*self._contacts, *self._peers} - {self.name}:
            self._out.sends.append((name, request))

    def _on_join(self, request: Join, now: float) -> None:
        if self.role is not Role.LEADER:
            if self.leader not in (None, self.name, request.sender):
                self._out.sends.append((self.leader, request))
            return
        if self._contacts is None or request.sender in self.members:
            return
        self._learners.asked(request.sender, now)
        self._follow_all(now)
        item = self._followers.find(request.sender)
        if item.incarnation != request.incarnation:
            item.incarnation = request.incarnation
            item.match = 0
        if now >= item.in_flight_until:
            self._send_entries(request.sender, item, now)

    def _follow_all(self, now: float) -> None:
        """Keep the progress of members and learners alone."""
        names = [*self._peers, *self._learners.names]
        self._followers.follow(names, self.log.last_index + 1, now)

    def _may_change_members(self) -> bool:
        """Tell whether a change of members may be proposed.

        Two changes at once could give two groups that share no member a majority each.  A new
        leader must first commit an entry of its own term, since until then an earlier change
        may still be undone.
        """
        if self.log.term_at(self.commit) != self.term:
            return False
        pending = self.log.between(self.commit + 1, self.log.last_index)
        return not any(entry.kind in (ADD, ADMIT, FOUND, REMOVE) for entry in pending)

    def _change_members(self, now: float) -> None:
        """Let in a learner that has caught up, or drop a member that is silent."""
        if self._contacts is None or not self._may_change_members():
            return
        self._learners.forget(now)
        for name in self._learners.names:
            item = self._followers.find(name)
            if item is not None and item.match and item.match >= self.commit:
                self._learners.drop(name)
                body = {"name": name, "incarnation": item.incarnation}
                self.propose(ADD, body, now)
                return
        silent = {name: self._followers.silent_since(name) for name in self._peers}
        gone = may_drop(silent, len(self.members), now)
        if gone is not None:
            self.propose(REMOVE, {"name": gone}, now)

    def _on_introduce_reply(self, reply: IntroduceReply, now: float) -> None:
        if self.role is not Role.NEW:
            return
        incarnation = self._founding.hear(reply)
        if incarnation is not None:
            self._become_known(incarnation, now)

    def _become_known(self, incarnation: int, now: float, founders: tuple[str, ...] = ()) -> None:
        self.identity = Identity(self.name, incarnation, founders)
        self._out.identity = self.identity
        self.role = Role.FOLLOWER
        self._rearm(now)
