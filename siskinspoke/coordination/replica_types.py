"""What a control replica's decisions are made of: roles, times, what is on disk, what to do."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import Any, NamedTuple

from siskinspoke.protocol.replication import (
    Admitted,
    Checkpoint,
    Committed,
    Entry,
    HardState,
    Identity,
    Snapshot,
)


class Role(Enum):
    """What a replica is at the moment."""

    NEW = "new"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Refusal(StrEnum):
    """Reason why a vote is refused or not counted."""

    TERM = "term"
    LOG = "log"
    LEADER = "leader"
    VOTED = "voted"
    DISK = "disk"


class LostElection(NamedTuple):
    """An election in which this replica was a candidate and got no majority.

    ``refused`` maps each refusing voter to its ``Refusal`` value; ``silent`` lists the voters
    that did not answer.
    """

    term: int
    trial: bool
    granted: list[str]
    refused: dict[str, str]
    silent: list[str]


class Times(NamedTuple):
    """Timing in milliseconds."""

    heartbeat_ms: float
    election_ms: float


@dataclass(frozen=True)
class AskPeers:
    """With an empty folder, ask all other members whether they are as new."""


@dataclass(frozen=True)
class FoundNow:
    """With an empty folder, be one of the founders: the settings say that all is new."""


@dataclass(frozen=True)
class JoinGroup:
    """With an empty folder, ask the members that exist to be let in."""


Start = AskPeers | FoundNow | JoinGroup


class Restored(NamedTuple):
    """What a replica finds on its disk; no identity means an empty folder."""

    identity: Identity | None = None
    hard: HardState = HardState(0, "")
    snapshot: Snapshot | None = None
    admitted: tuple[Admitted, ...] = ()
    entries: tuple[Entry, ...] = ()
    commit: int = 0


def restored_from(
    identity: Identity | None,
    snapshot: Snapshot | None,
    records: Iterable[HardState | Admitted | Committed | Entry | Checkpoint],
) -> Restored:
    """Return what a replica finds, from its journal's records in the order of writing.

    A snapshot in the journal takes precedence over the ``snapshot`` argument.
    """
    hard, admitted, entries, commit = HardState(0, ""), [], [], 0
    for record in records:
        match record:
            case Checkpoint():
                snapshot = record.snapshot
            case HardState():
                hard = record
            case Admitted():
                admitted.append(record)
            case Committed(index=index):
                commit = max(commit, index)
            case Entry():
                entries.append(record)
    return Restored(identity, hard, snapshot, tuple(admitted), tuple(entries), commit)


class SyncMark(NamedTuple):
    """Identifies an output by number and by the last log entry when it was taken."""

    number: int
    index: int
    term: int


class Output:
    """Actions for the owner of a replica.

    Send ``sends`` and apply ``committed`` entries immediately. Write identity, snapshot and
    records in the order of outputs. After the sync that covers an output, call
    ``Replica.synced`` with its mark and send ``sends_after_sync``.
    """

    def __init__(self, mark: SyncMark = SyncMark(0, 0, 0)) -> None:  # noqa: B008  (immutable)
        self.mark = mark
        self.identity: Identity | None = None
        self.records: list[HardState | Admitted | Committed | Entry] = []
        self.snapshot: Snapshot | None = None
        self.sends: list[tuple[str, Any]] = []
        self.sends_after_sync: list[tuple[str, Any]] = []
        self.committed: list[Entry] = []
        self.lost_elections: list[LostElection] = []

    @property
    def has_writes(self) -> bool:
        """Tell whether the output has anything to write to disk."""
        return bool(self.records) or self.identity is not None or self.snapshot is not None
