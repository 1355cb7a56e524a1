"""What one control replica holds, whatever its role: identity, term, log, commit, members."""

import math
import random

from siskinspoke.coordination.election_timer import ElectionTimer
from siskinspoke.coordination.followers import Followers
from siskinspoke.coordination.founding import FOUNDER, Founding
from siskinspoke.coordination.membership import ADMIT, Learners, Membership
from siskinspoke.coordination.replica_types import (
    AskPeers,
    Output,
    Restored,
    Role,
    Start,
    SyncMark,
    Times,
)
from siskinspoke.coordination.replicated_log import ReplicatedLog
from siskinspoke.protocol.replication import Admitted, Committed, Entry, HardState, Snapshot


class ReplicaCore:
    """The state of a replica, and what every role does with it; times are in milliseconds."""

    def __init__(
        self,
        name: str,
        members: list[str],
        times: Times,
        restored: Restored,
        rng: random.Random,
        now: float,
        start: Start = AskPeers(),  # noqa: B008  (it is frozen)
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
        self._membership = Membership(dict.fromkeys(members, FOUNDER))
        self._learners = Learners()
        self._contacts: tuple[str, ...] | None = None
        self._join_at = now
        self._voted_for = restored.hard.voted_for
        self._times = times
        self._rng = rng
        self.timer = ElectionTimer(times, rng)
        self._followers: Followers | None = None
        self._votes: set[str] = set()
        self._trial_votes: set[str] = set()
        self._candidate_term = -1
        self._pending_vote_output = 0
        self._vote_durable_at = -math.inf
        self._refusals: dict[str, str] = {}
        self._trial = False
        self._founding = Founding(name, [item for item in members if item != name], rng, now)
        self._heartbeat_at = now
        self._leader_heard_at = now
        self._out = Output()
        self._output_count = 0
        self._restore(restored)
        self._durable_index = self.log.last_index
        self._rearm(now)

    def _restore(self, restored: Restored) -> None:
        if restored.snapshot is not None:
            self.log.reset(restored.snapshot.index, restored.snapshot.term)
            self._membership.reset(restored.snapshot.members)
            self.commit = restored.snapshot.index
        for entry in restored.entries:
            self.log.put(entry)
        self._membership.follow(self.log)
        for item in restored.admitted:
            self._membership.admit(item)
            self._commit_to(min(item.index, self.log.last_index))
        self._commit_to(min(restored.commit, self.log.last_index))

    @property
    def members(self) -> dict[str, int]:
        """Return the incarnation of each member's disk."""
        return self._membership.current

    @property
    def _peers(self) -> list[str]:
        return [member for member in self.members if member != self.name]

    def set_contacts(self, names: tuple[str, ...]) -> None:
        """Name replicas to ask for a place where no leader speaks to this one.

        Only with contacts does the group change its members.
        """
        self._contacts = names

    @property
    def leader_heard_at(self) -> float:
        """Return when a leader was last heard from; initially the start time of this replica."""
        return self._leader_heard_at

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
        self._pending_vote_output = 0
        self._election_at = now + self.timer.follower_timeout(now)

    def _suspend_elections_until_vote_durable(self) -> None:
        """Start no election until the vote in the next output is durable."""
        self._pending_vote_output = self._output_count + 1
        self._election_at = math.inf

    def _resume_elections_if_vote_durable(self, mark: SyncMark, now: float) -> None:
        """Start the election timeout if the sync up to ``mark`` covers the last vote."""
        if self._pending_vote_output and mark.number >= self._pending_vote_output:
            self._pending_vote_output = 0
            self._election_at = now + self.timer.vote_timeout(now)
            if self.role is Role.FOLLOWER:
                self._vote_durable_at = now

    def take_output(self) -> Output:
        """Return what has to be done since the last call."""
        out, self._out = self._out, Output()
        self._output_count += 1
        out.mark = SyncMark(self._output_count, self.log.last_index, self.log.last_term)
        return out

    def _advance_durable(self, mark: SyncMark) -> None:
        """Treat entries up to ``mark`` as durable unless they have been replaced since."""
        if self.log.term_at(mark.index) == mark.term:
            self._durable_index = max(self._durable_index, mark.index)

    def _put_entry(self, entry: Entry) -> None:
        """Put an entry into the log and queue its record for writing."""
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
        self._trial_votes.clear()
        self._candidate_term = -1
        self._rearm(now)

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
        if self._membership.admit(admitted):
            self._out.records.append(admitted)

    def persistent_records(self) -> list[HardState | Admitted | Committed | Entry]:
        """Return all that the journal must hold beside the snapshot."""
        entries = self.log.between(self.log.base_index + 1, self.log.last_index)
        admitted = self._membership.admitted
        hard = HardState(self.term, self._voted_for)
        return [hard, *admitted, *entries, Committed(self.commit)]

    def compact(self, index: int, document: dict) -> Snapshot:
        """Replace the log up to an applied index by a snapshot of the state there."""
        members = self._membership.at(self.log, index)
        snapshot = Snapshot(index, self.log.term_at(index), members, document)
        self.snapshot = snapshot
        self.log.compact(index)
        self._membership.reset(members)
        self._membership.follow(self.log)
        return snapshot
