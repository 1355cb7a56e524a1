"""Bootstrap of a replica, joining a group, and membership changes by the leader."""

from siskinspoke.coordination.bootstrap import FOUNDER_INCARNATION, new_incarnation
from siskinspoke.coordination.membership import ADD, ADMIT, FOUND, REMOVE, member_to_remove
from siskinspoke.coordination.replica.core import ReplicaCore
from siskinspoke.coordination.replica_types import FoundGroup, JoinGroup, QueryPeers, Role
from siskinspoke.protocol.replication import Identity, IntroduceReply, Join

JOIN_INTERVAL_MS = 200.0


class MembershipMixin(ReplicaCore):
    """Join a group, and add or remove one member at a time."""

    def _tick_bootstrap(self, now: float) -> None:
        match self._start:
            case FoundGroup():
                self._set_identity(FOUNDER_INCARNATION, now, tuple(self.members))
            case JoinGroup():
                self._set_identity(new_incarnation(self._rng), now)
            case QueryPeers() if self._peers:
                self._out.sends.extend(self._bootstrap.due_queries(now))
            case QueryPeers():
                self._set_identity(FOUNDER_INCARNATION, now)

    def _request_join(self, now: float) -> None:
        """Send join requests while no leader contacts this replica.

        The replica may be new or may have been removed while it was unreachable. A removed
        replica cannot know this, since it never received the entry that removed it.
        """
        if self._join_targets is None or self.role is Role.NEW or now < self._next_join_at:
            return
        self._next_join_at = now + JOIN_INTERVAL_MS
        has_leader = (
            now - self._last_leader_contact_at < self._times.election_ms and self.leader is not None
        )
        if self.role is Role.LEADER or (has_leader and self.admitted):
            return
        request = Join(self.name, self.identity.incarnation)
        for name in {*self._join_targets, *self._peers} - {self.name}:
            self._out.sends.append((name, request))

    def _on_join(self, request: Join, now: float) -> None:
        if self.role is not Role.LEADER:
            if self.leader not in (None, self.name, request.sender):
                self._out.sends.append((self.leader, request))
            return
        if self._join_targets is None or request.sender in self.members:
            return
        self._learners.record_request(request.sender, now)
        self._update_followers(now)
        progress = self._followers.find(request.sender)
        if progress.incarnation != request.incarnation:
            progress.incarnation = request.incarnation
            progress.match = 0
        if now >= progress.in_flight_until:
            self._send_entries(request.sender, progress, now)

    def _update_followers(self, now: float) -> None:
        """Track the progress of exactly the current members and learners."""
        names = [*self._peers, *self._learners.names]
        self._followers.follow(names, self.log.last_index + 1, now)

    def _may_change_members(self) -> bool:
        """Return whether a membership change may be proposed.

        Two concurrent changes could create two disjoint majorities. A new leader must first commit
        an entry of its own term, since until then an earlier change may still be reverted.
        """
        if self.log.term_at(self.commit) != self.term:
            return False
        pending = self.log.between(self.commit + 1, self.log.last_index)
        return not any(entry.kind in (ADD, ADMIT, FOUND, REMOVE) for entry in pending)

    def _change_members(self, now: float) -> None:
        """Add a learner that has caught up, or remove an unresponsive member."""
        if self._join_targets is None or not self._may_change_members():
            return
        self._learners.remove_expired(now)
        for name in self._learners.names:
            progress = self._followers.find(name)
            if progress is not None and progress.match and progress.match >= self.commit:
                self._learners.remove(name)
                body = {"name": name, "incarnation": progress.incarnation}
                self.propose(ADD, body, now)
                return
        last_heard = {name: self._followers.last_heard_at(name) for name in self._peers}
        unresponsive = member_to_remove(last_heard, len(self.members), now)
        if unresponsive is not None:
            self.propose(REMOVE, {"name": unresponsive}, now)

    def _on_introduce_reply(self, reply: IntroduceReply, now: float) -> None:
        if self.role is not Role.NEW:
            return
        incarnation = self._bootstrap.handle_reply(reply)
        if incarnation is not None:
            self._set_identity(incarnation, now)

    def _set_identity(self, incarnation: int, now: float, founders: tuple[str, ...] = ()) -> None:
        self.identity = Identity(self.name, incarnation, founders)
        self._out.identity = self.identity
        self.role = Role.FOLLOWER
        self._reset_election_timer(now)
