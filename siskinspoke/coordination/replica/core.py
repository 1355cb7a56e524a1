"""Replica state shared by all roles: identity, term, log, commit index and members."""

import math
import random

from siskinspoke.coordination.bootstrap import FOUNDER_INCARNATION, Bootstrap
from siskinspoke.coordination.election_timer import ElectionTimer
from siskinspoke.coordination.followers import Followers
from siskinspoke.coordination.membership import ADMIT, Learners, Membership
from siskinspoke.coordination.replica_types import (
    Output,
    QueryPeers,
    RestoredState,
    Role,
    StartMode,
    SyncMark,
    Times,
)
from siskinspoke.coordination.replicated_log import ReplicatedLog
from siskinspoke.protocol.replication import Admitted, Committed, Entry, HardState, Snapshot


class ReplicaCore:
    """State of a replica and the operations common to all roles; times are in milliseconds."""

    def __init__(
        self,
        name: str,
        members: list[str],
        times: Times,
        restored: RestoredState,
        rng: random.Random,
        now: float,
        start: StartMode = QueryPeers(),  # noqa: B008  (frozen dataclass)
    ):
        self.name = name
        self.identity = restored.identity
        self.role = Role.NEW if restored.identity is None else Role.FOLLOWER
        self.term = restored.hard.term
        self.leader: str | None = None
        if restored.identity is not None and restored.identity.founders:
            members = list(restored.identity.founders)
        self.commit = 0
        self.snapshot = restored.snapshot
        self.log = ReplicatedLog()
        self._start = start
        self._membership = Membership(dict.fromkeys(members, FOUNDER_INCARNATION))
        self._learners = Learners()
        self._join_targets: tuple[str, ...] | None = None
        self._next_join_at = now
        self._voted_for = restored.hard.voted_for
        self._times = times
        self._rng = rng
        self.timer = ElectionTimer(times, rng)
        self._followers: Followers | None = None
        self._votes: set[str] = set()
        self._pre_votes: set[str] = set()
        self._candidate_term = -1
        self._pending_vote_output = 0
        self._vote_durable_at = -math.inf
        self._refusals: dict[str, str] = {}
        self._pre_vote = False
        self._bootstrap = Bootstrap(name, [item for item in members if item != name], rng, now)
        self._heartbeat_at = now
        self._last_leader_contact_at = now
        self._out = Output()
        self._output_count = 0
        self._restore(restored)
        self._durable_index = self.log.last_index
        self._reset_election_timer(now)

    def _restore(self, restored: RestoredState) -> None:
        if restored.snapshot is not None:
            self.log.reset(restored.snapshot.index, restored.snapshot.term)
            self._membership.reset(restored.snapshot.members)
            self.commit = restored.snapshot.index
        for entry in restored.entries:
            self.log.put(entry)
        self._membership.update(self.log)
        for item in restored.admitted:
            self._membership.admit(item)
            self._commit_to(min(item.index, self.log.last_index))
        self._commit_to(min(restored.commit, self.log.last_index))

    @property
    def members(self) -> dict[str, int]:
        """Return the current members and the disk incarnation of each."""
        return self._membership.current

    @property
    def _peers(self) -> list[str]:
        return [member for member in self.members if member != self.name]

    def set_join_targets(self, names: tuple[str, ...]) -> None:
        """Set the replicas to send join requests to while no leader contacts this one.

        Membership changes are enabled only if this has been called.
        """
        self._join_targets = names

    @property
    def last_leader_contact_at(self) -> float:
        """Return the time of the last message from a leader; initially the start time."""
        return self._last_leader_contact_at

    @property
    def admitted(self) -> bool:
        """Return whether this replica's votes and acknowledgements count."""
        return self.identity is not None and self._is_voting_member(
            self.name, self.identity.incarnation
        )

    @property
    def fresh(self) -> bool:
        """Return whether this replica may be a founder and has neither a term nor a log."""
        founder = self.identity is None or self.identity.incarnation == FOUNDER_INCARNATION
        return founder and self.term == 0 and self.log.last_index == 0

    def _is_voting_member(self, name: str, incarnation: int) -> bool:
        return self.members.get(name) == incarnation

    def _is_majority(self, count: int) -> bool:
        return 2 * count > len(self.members)

    def _reset_election_timer(self, now: float) -> None:
        self._pending_vote_output = 0
        self._election_at = now + self.timer.follower_timeout(now)

    def _suspend_elections_until_vote_durable(self) -> None:
        """Disable the election timeout until the vote in the next output is durable."""
        self._pending_vote_output = self._output_count + 1
        self._election_at = math.inf

    def _resume_elections_if_vote_durable(self, mark: SyncMark, now: float) -> None:
        """Restart the election timeout if the sync up to ``mark`` covers the last vote."""
        if self._pending_vote_output and mark.number >= self._pending_vote_output:
            self._pending_vote_output = 0
            self._election_at = now + self.timer.vote_timeout(now)
            if self.role is Role.FOLLOWER:
                self._vote_durable_at = now

    def take_output(self) -> Output:
        """Return and clear the actions accumulated since the last call."""
        out, self._out = self._out, Output()
        self._output_count += 1
        out.mark = SyncMark(self._output_count, self.log.last_index, self.log.last_term)
        return out

    def _advance_durable(self, mark: SyncMark) -> None:
        """Mark entries up to ``mark`` as durable unless they have been replaced since."""
        if self.log.term_at(mark.index) == mark.term:
            self._durable_index = max(self._durable_index, mark.index)

    def _put_entry(self, entry: Entry) -> None:
        """Store an entry in the log and queue its record for writing."""
        self._durable_index = min(self._durable_index, entry.index - 1)
        self.log.put(entry)
        self._out.records.append(entry)

    def _set_term(self, term: int, voted_for: str = "") -> None:
        self.term = term
        self._voted_for = voted_for
        self._out.records.append(HardState(term, voted_for))

    def _step_down(self, now: float) -> None:
        self.role = Role.FOLLOWER
        self.leader = None
        self._votes.clear()
        self._pre_votes.clear()
        self._candidate_term = -1
        self._reset_election_timer(now)

    def _commit_to(self, index: int) -> None:
        for entry in self.log.between(self.commit + 1, index):
            if entry.kind == ADMIT:
                self._admit(Admitted(entry.body["name"], entry.body["incarnation"], entry.index))
            self._out.committed.append(entry)
        self.commit = max(self.commit, index)

    def _admit(self, admitted: Admitted) -> None:
        """Count the votes of a replaced disk from now on, including after a restart.

        Without the record, a restarted replica would not count the disk until it received a
        message from a leader, and two such replicas could not elect one.
        """
        if self._membership.admit(admitted):
            self._out.records.append(admitted)

    def persistent_records(self) -> list[HardState | Admitted | Committed | Entry]:
        """Return the records that the journal must contain in addition to the snapshot."""
        entries = self.log.between(self.log.base_index + 1, self.log.last_index)
        admitted = self._membership.admitted
        hard = HardState(self.term, self._voted_for)
        return [hard, *admitted, *entries, Committed(self.commit)]

    def compact(self, index: int, document: dict) -> Snapshot:
        """Replace the log up to an applied index with a snapshot of the state at that index."""
        members = self._membership.members_at(self.log, index)
        snapshot = Snapshot(index, self.log.term_at(index), members, document)
        self.snapshot = snapshot
        self.log.compact(index)
        self._membership.reset(members)
        self._membership.update(self.log)
        return snapshot
