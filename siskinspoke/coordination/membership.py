"""Membership of a replica group, derived from the replicated log.

An addition or removal takes effect when its entry is appended to the log, before it is committed,
and is reverted if the entry is overwritten. Since only one change may be pending at a time, any two
majorities overlap. A replaced disk (ADMIT) differs: it is counted only after its entry has been
committed without its help.
"""

from collections.abc import Mapping

from siskinspoke.coordination.replicated_log import ReplicatedLog
from siskinspoke.protocol.replication import Admitted, Entry

FOUND, ADD, REMOVE, ADMIT = "found", "add-member", "remove-member", "admit"
MEMBERSHIP_KINDS = frozenset({FOUND, ADD, REMOVE, ADMIT})
# Time without contact after which a group of even size removes a member.  It outlasts one ordinary
# election, whose timeout is at most 1.2 s.  A member removed too early joins again, at the cost of
# two log entries; one removed late leaves a group whose majority cannot bear the next loss.
MEMBER_TIMEOUT_MS = 2_500.0
# With only two members, the loss of a single disk could not be tolerated.
MIN_MEMBERS = 3
# Time without a join request after which a learner is discarded: five times JOIN_INTERVAL_MS.
LEARNER_TIMEOUT_MS = 1_000.0


class Membership:
    """Members according to a base (founders or snapshot) and the log entries that follow it."""

    def __init__(self, founders: Mapping[str, int]):
        self._base = dict(founders)
        self._admitted: dict[str, Admitted] = {}
        self._current = dict(founders)
        self._entries: list[Entry] = []

    @property
    def current(self) -> dict[str, int]:
        """Return the current members and the disk incarnation of each."""
        return self._current

    @property
    def admitted(self) -> list[Admitted]:
        """Return the replaced disks that have been admitted since the base."""
        return list(self._admitted.values())

    def reset(self, members: Mapping[str, int]) -> None:
        """Restart from the members in a snapshot."""
        self._base = dict(members)
        self._admitted = {
            name: item
            for name, item in self._admitted.items()
            if members.get(name) == item.incarnation
        }
        self._entries = []
        self._current = self._derive(self._entries)

    def update(self, log: ReplicatedLog) -> None:
        """Update the members after the log has changed."""
        entries = _membership_entries(log, log.last_index)
        if entries != self._entries:
            self._entries = entries
            self._current = self._derive(entries)

    def admit(self, item: Admitted) -> bool:
        """Admit a replaced disk; return False if it is admitted already or not a member's."""
        if self._current.get(item.name) in (None, item.incarnation):
            return False
        self._admitted[item.name] = item
        self._current = self._derive(self._entries)
        return True

    def members_at(self, log: ReplicatedLog, index: int) -> dict[str, int]:
        """Return the members as of a committed index."""
        return self._derive(_membership_entries(log, index))

    def _derive(self, entries: list[Entry]) -> dict[str, int]:
        members = dict(self._base)
        for item in self._admitted.values():
            if item.name in members:
                members[item.name] = item.incarnation
        for entry in entries:
            match entry.kind:
                case "found":
                    members = dict(entry.body)
                case "add-member":
                    members[entry.body["name"]] = entry.body["incarnation"]
                case "remove-member":
                    members.pop(entry.body["name"], None)
                case "admit":
                    self._apply_admission(members, entry)
        return members

    def _apply_admission(self, members: dict[str, int], entry: Entry) -> None:
        """Update a member's incarnation if the ``admit`` entry is known to be committed."""
        name = entry.body["name"]
        known = self._admitted.get(name)
        if name in members and known is not None and known.index >= entry.index:
            members[name] = entry.body["incarnation"]


def _membership_entries(log: ReplicatedLog, last: int) -> list[Entry]:
    """Return the membership entries up to an index."""
    return [
        entry for entry in log.between(log.base_index + 1, last) if entry.kind in MEMBERSHIP_KINDS
    ]


class Learners:
    """Replicas that requested to join and are catching up with this leader."""

    def __init__(self) -> None:
        self._requested_at: dict[str, float] = {}

    @property
    def names(self) -> list[str]:
        """Return the names of all learners."""
        return list(self._requested_at)

    def record_request(self, name: str, now: float) -> None:
        """Record the time of a join request, adding the learner if it is new."""
        self._requested_at[name] = now

    def remove(self, name: str) -> None:
        """Remove a learner."""
        self._requested_at.pop(name, None)

    def remove_expired(self, now: float) -> None:
        """Remove learners that no longer send join requests."""
        for name, at in list(self._requested_at.items()):
            if now - at > LEARNER_TIMEOUT_MS:
                del self._requested_at[name]


def member_to_remove(last_heard: Mapping[str, float], size: int, now: float) -> str | None:
    """Return the member to remove, if any.

    ``last_heard`` maps each other member to the time of its last message. Only a group of even size
    removes a member: its majority shrinks by one too, so it tolerates as many failures among the
    remaining members as before, and a committed entry needs one copy less. A group of odd size
    would gain nothing. A removed member that becomes reachable again sends a join request.
    """
    if size % 2 or size <= MIN_MEMBERS or not last_heard:
        return None
    name = min(last_heard, key=last_heard.__getitem__)
    return name if now - last_heard[name] > MEMBER_TIMEOUT_MS else None
