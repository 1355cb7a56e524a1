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
"""

import math
import random
from typing import Any

from siskinspoke.coordination.followers import Followers, Progress
from siskinspoke.coordination.founding import FOUNDER, Founding
from siskinspoke.coordination.replica_types import Output, Restored, Role, Times
from siskinspoke.coordination.replicated_log import ReplicatedLog
from siskinspoke.protocol.replication import (
    Admitted,
    Append,
    AppendReply,
    Entry,
    Handover,
    HardState,
    Identity,
    Install,
    Introduce,
    IntroduceReply,
    Snapshot,
    VoteReply,
    VoteRequest,
)

NOOP, ADMIT = "noop", "admit"
MAX_BATCH = 256
LEASE_SHARE = 0.9


class Replica:
    """Decide what one control replica does next; times are monotonic milliseconds."""

    def __init__(
        self,
        name: str,
        members: list[str],
        times: Times,
        restored: Restored,
        rng: random.Random,
        now: float,
    ):
        self.name = name
        self.identity = restored.identity
        self.role = Role.NEW if restored.identity is None else Role.FOLLOWER
        self.term = restored.hard.term
        self.leader: str | None = None
        self.members = dict.fromkeys(members, FOUNDER)
        self.commit = 0
        self.snapshot = restored.snapshot
        self.log = ReplicatedLog()
        self._voted_for = restored.hard.voted_for
        self._peers = [member for member in members if member != name]
        self._times = times
        self._rng = rng
        self._followers: Followers | None = None
        self._votes: set[str] = set()
        self._trial = False
        self._founding = Founding(name, self._peers, rng, now)
        self._heartbeat_at = now
        self._leader_heard_at = now
        self._admitted_at: dict[str, int] = {}
        self._out = Output()
        self._restore(restored)
        self._rearm(now)

    def _restore(self, restored: Restored) -> None:
        if restored.snapshot is not None:
            self.log.reset(restored.snapshot.index, restored.snapshot.term)
            self.members |= restored.snapshot.members
            self.commit = restored.snapshot.index
        for entry in restored.entries:
            self.log.put(entry)
        for item in restored.admitted:
            self.members[item.name] = item.incarnation
            self._admitted_at[item.name] = item.index
            self._commit_to(min(item.index, self.log.last_index))

    @property
    def admitted(self) -> bool:
        """Tell whether this replica's votes and acknowledgements count."""
        return self.identity is not None and self._counts(self.name, self.identity.incarnation)

    @property
    def fresh(self) -> bool:
        """Tell whether this replica can be a founder that has neither a term nor a log."""
        founder = self.identity is None or self.identity.incarnation == FOUNDER
        return founder and self.term == 0 and self.log.last_index == 0

    def _counts(self, name: str, incarnation: int) -> bool:
        return self.members.get(name) == incarnation

    def _is_majority(self, count: int) -> bool:
        return 2 * count > len(self.members)

    def _rearm(self, now: float) -> None:
        self._election_at = now + self._times.election_ms * self._rng.uniform(1, 2)

    def take_output(self) -> Output:
        """Return what has to be done since the last call."""
        out, self._out = self._out, Output()
        return out

    def next_wake(self) -> float:
        """Return when ``tick`` has something to do at the latest."""
        match self.role:
            case Role.NEW:
                return self._founding.next_question_at
            case Role.LEADER:
                return self._heartbeat_at
            case _:
                return self._election_at

    def tick(self, now: float) -> None:
        """Act on the passing of time."""
        match self.role:
            case Role.NEW:
                self._introduce(now)
            case Role.LEADER:
                self._lead(now)
            case _ if now >= self._election_at:
                self._stand(now, trial=True)

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
            case Handover(sender=sender, term=term):
                if term == self.term and sender == self.leader:
                    self._stand(now, trial=False)

    # An empty folder: new system, or lost disk?

    def _introduce(self, now: float) -> None:
        if not self._peers:
            self._become_known(FOUNDER, now)
            return
        self._out.sends.extend(self._founding.questions(now))

    def _on_introduce_reply(self, reply: IntroduceReply, now: float) -> None:
        if self.role is not Role.NEW:
            return
        incarnation = self._founding.hear(reply)
        if incarnation is not None:
            self._become_known(incarnation, now)

    def _become_known(self, incarnation: int, now: float) -> None:
        self.identity = Identity(self.name, incarnation)
        self._out.identity = self.identity
        self.role = Role.FOLLOWER
        self._rearm(now)

    # Elections

    def _set_term(self, term: int, voted_for: str = "") -> None:
        self.term = term
        self._voted_for = voted_for
        self._out.records.append(HardState(term, voted_for))

    def _step_down(self, now: float) -> None:
        self.role = Role.FOLLOWER
        self.leader = None
        self._votes.clear()
        self._rearm(now)

    def _stand(self, now: float, trial: bool) -> None:
        """Ask for votes, first on trial."""
        self._rearm(now)
        if not self.admitted:
            return
        self.role = Role.CANDIDATE
        self.leader = None
        self._trial = trial
        if not trial:
            self._set_term(self.term + 1, self.name)
        self._votes = {self.name}
        request = VoteRequest(
            self.name,
            self.identity.incarnation,
            self.term + trial,
            self.log.last_index,
            self.log.last_term,
            trial,
            self.commit,
            self.log.term_at(self.commit),
        )
        for peer in self._peers:
            self._out.sends.append((peer, request))
        self._count_votes(now)

    def _count_votes(self, now: float) -> None:
        if not self._is_majority(len(self._votes)):
            return
        if self._trial:
            self._stand(now, trial=False)
        else:
            self._become_leader(now)

    def _learn_commit(self, index: int, term: int) -> None:
        """Take over what another replica knows to be committed, where the logs agree there.

        After a repair, perhaps one replica alone has heard that the replaced disk counts.  If
        it could not pass that on with its votes, the others would refuse each other forever.
        """
        if index > self.commit and self.log.term_at(index) == term:
            self._commit_to(index)

    def _on_vote_request(self, request: VoteRequest, now: float) -> None:
        self._learn_commit(request.commit, request.commit_term)
        if request.term > self.term and not request.trial:
            self._set_term(request.term)
            self._step_down(now)
        granted = self._would_grant(request, now)
        if granted and not request.trial:
            self._set_term(request.term, request.sender)
            self._rearm(now)
        reply = VoteReply(
            self.name,
            self.identity.incarnation,
            request.term,
            self.term,
            granted,
            request.trial,
            self.commit,
            self.log.term_at(self.commit),
        )
        self._out.sends.append((request.sender, reply))

    def _would_grant(self, request: VoteRequest, now: float) -> bool:
        """Tell whether a vote is due; whether it counts is for the candidate to know.

        A candidate stands only if its own disk counts, and counts only votes of disks whose
        admission it knows to be committed.
        """
        mine = (self.log.last_term, self.log.last_index)
        if (request.last_term, request.last_index) < mine:
            return False
        if request.trial:
            quiet = now - self._leader_heard_at >= self._times.election_ms
            return request.term > self.term and quiet and self.role is not Role.LEADER
        return request.term == self.term and self._voted_for in ("", request.sender)

    def _on_vote_reply(self, reply: VoteReply, now: float) -> None:
        self._learn_commit(reply.commit, reply.commit_term)
        if reply.own_term > self.term:
            # Otherwise a replica with the longer log and the lower term would be refused for
            # its term, the other one for its log, and neither would ever lead.
            self._set_term(reply.own_term)
            self._step_down(now)
            return
        if self.role is not Role.CANDIDATE or reply.trial != self._trial:
            return
        if reply.term != self.term + self._trial or not reply.granted:
            return
        if self._counts(reply.sender, reply.incarnation):
            self._votes.add(reply.sender)
            self._count_votes(now)

    # Leading

    def _become_leader(self, now: float) -> None:
        self.role = Role.LEADER
        self.leader = self.name
        self._followers = Followers(self._peers, self.log.last_index + 1, now, self._counts)
        self.propose(NOOP, None, now)

    def propose(self, kind: str, body: Any, now: float) -> int | None:
        """Append a command as the leader and return its index; None at any other replica."""
        if self.role is not Role.LEADER:
            return None
        entry = Entry(self.log.last_index + 1, self.term, kind, body)
        self.log.put(entry)
        self._out.records.append(entry)
        self._replicate(now)
        self._advance_commit(now)
        return entry.index

    def lease_until(self) -> float:
        """Return until when no other replica can have been elected; -inf where none leads.

        A majority grants no trial vote for an election timeout after it has heard the leader.
        The time counts from the sending of what it has answered, since it may have been heard
        at once.  A tenth is left for clocks that run at different rates.
        """
        if self.role is not Role.LEADER:
            return -math.inf
        needed = len(self.members) // 2
        if not needed:
            return math.inf
        return self._followers.leased_from(needed) + self._times.election_ms * LEASE_SHARE

    def hand_over(self, now: float) -> None:
        """Stop leading in favour of the follower that holds most.

        Otherwise a planned restart costs claims and changes a whole election timeout.
        """
        if self.role is not Role.LEADER:
            return
        successor = self._followers.best()
        if successor is not None:
            self._out.sends.append((successor, Handover(self.name, self.term)))
        self._step_down(now)

    def _lead(self, now: float) -> None:
        """Send heartbeats, and step down without a majority.

        An isolated leader would otherwise go on believing; so would one that was frozen and
        thaws: its first tick finds that it has heard nobody for too long.
        """
        heard = self._followers.heard_since(now - self._times.election_ms)
        if not self._is_majority(heard + 1):
            self._step_down(now)
            return
        if now >= self._heartbeat_at:
            self._heartbeat_at = now + self._times.heartbeat_ms
            for _, item in self._followers:
                item.in_flight_until = 0.0
            self._replicate(now, heartbeat=True)

    def _replicate(self, now: float, heartbeat: bool = False) -> None:
        for peer, item in self._followers:
            behind = item.next_index <= self.log.last_index
            if heartbeat or (behind and now >= item.in_flight_until):
                self._send_entries(peer, item, now)

    def _send_entries(self, peer: str, item: Progress, now: float) -> None:
        previous = item.next_index - 1
        previous_term = self.log.term_at(previous)
        if previous_term is None:
            self._out.sends.append((peer, Install(self.name, self.term, self.snapshot)))
            item.in_flight_until = now + self._times.election_ms
            return
        last = min(self.log.last_index, previous + MAX_BATCH)
        entries = self.log.between(previous + 1, last)
        append = Append(self.name, self.term, previous, previous_term, entries, self.commit)
        self._out.sends.append((peer, append))
        if item.unanswered_since is None:
            item.unanswered_since = now
        if entries:
            item.in_flight_until = now + self._times.heartbeat_ms

    def _on_append_reply(self, reply: AppendReply, now: float) -> None:
        if reply.term > self.term:
            self._set_term(reply.term)
            self._step_down(now)
            return
        if self.role is not Role.LEADER or reply.term != self.term:
            return
        item = self._followers.find(reply.sender)
        if item is None:
            return
        if item.incarnation not in (0, reply.incarnation):
            item.match = 0
        item.incarnation = reply.incarnation
        item.heard_at = now
        item.in_flight_until = 0.0
        if item.unanswered_since is not None:
            # The answer is to this message or a later one, so the follower heard then or later.
            item.leased_from = item.unanswered_since
            item.unanswered_since = None
        if not reply.accepted:
            item.next_index = max(1, min(reply.match + 1, item.next_index - 1))
            self._send_entries(reply.sender, item, now)
            return
        item.match = max(item.match, reply.match)
        item.next_index = max(item.next_index, item.match + 1)
        self._advance_commit(now)
        self._admit_if_caught_up(reply.sender, item, now)
        if item.next_index <= self.log.last_index:
            self._send_entries(reply.sender, item, now)

    def _advance_commit(self, now: float) -> None:
        """Commit what a majority holds, counting only this term's entries and known disks."""
        own = self.log.last_index if self.admitted else None
        reached = self._followers.held_by(len(self.members) // 2, own)
        if reached > self.commit and self.log.term_at(reached) == self.term:
            self._commit_to(reached)
            # Followers learn of the commit at once, so that each may answer for it.
            self._replicate(now, heartbeat=True)

    def _admit_if_caught_up(self, name: str, item: Progress, now: float) -> None:
        """Propose to count a replaced disk, once it holds all that is committed."""
        if self._counts(name, item.incarnation) or item.match < self.commit:
            return
        pending = self.log.between(self.commit + 1, self.log.last_index)
        if any(entry.kind == ADMIT for entry in pending):
            return
        self.propose(ADMIT, {"name": name, "incarnation": item.incarnation}, now)

    def _commit_to(self, index: int) -> None:
        for entry in self.log.between(self.commit + 1, index):
            if entry.kind == ADMIT:
                self._admit(Admitted(entry.body["name"], entry.body["incarnation"], entry.index))
            self._out.committed.append(entry)
        self.commit = max(self.commit, index)

    def _admit(self, admitted: Admitted) -> None:
        """Count a replaced disk from now on, also after a restart.

        Without the record a restarted replica would not count the disk until it hears a
        leader, and two such replicas could elect none.
        """
        if self.members[admitted.name] == admitted.incarnation:
            return
        self.members[admitted.name] = admitted.incarnation
        self._admitted_at[admitted.name] = admitted.index
        self._out.records.append(admitted)

    # Following

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

    def _reply(self, to: str, accepted: bool, match: int) -> None:
        reply = AppendReply(self.name, self.identity.incarnation, self.term, accepted, match)
        self._out.sends.append((to, reply))

    def _on_append(self, append: Append, now: float) -> None:
        if not self._hear_leader(append.sender, append.term, now):
            self._reply(append.sender, False, self.log.last_index)
            return
        if append.prev_index < self.log.base_index:
            self._reply(append.sender, True, self.commit)
            return
        if self.log.term_at(append.prev_index) != append.prev_term:
            self._reply(append.sender, False, min(append.prev_index - 1, self.log.last_index))
            return
        for entry in append.entries:
            if self.log.term_at(entry.index) != entry.term:
                self.log.put(entry)
                self._out.records.append(entry)
        match = append.prev_index + len(append.entries)
        self._commit_to(min(append.commit, match))
        self._reply(append.sender, True, match)

    def _on_install(self, install: Install, now: float) -> None:
        if not self._hear_leader(install.sender, install.term, now):
            self._reply(install.sender, False, self.log.last_index)
            return
        snapshot = install.snapshot
        if snapshot.index > self.commit:
            self._take_snapshot(snapshot)
        self._reply(install.sender, True, self.commit)

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
        self.members |= snapshot.members
        self.snapshot = snapshot
        self._out.snapshot = snapshot
        self._out.records.clear()
        self._out.committed.clear()

    def persistent_records(self) -> list[HardState | Admitted | Entry]:
        """Return all that the journal must hold beside the snapshot."""
        admitted = [
            Admitted(name, self.members[name], index) for name, index in self._admitted_at.items()
        ]
        entries = self.log.between(self.log.base_index + 1, self.log.last_index)
        return [HardState(self.term, self._voted_for), *admitted, *entries]

    def compact(self, index: int, document: dict) -> Snapshot:
        """Replace the log up to an applied index by a snapshot of the state there."""
        snapshot = Snapshot(index, self.log.term_at(index), dict(self.members), document)
        self.snapshot = snapshot
        self.log.compact(index)
        return snapshot
