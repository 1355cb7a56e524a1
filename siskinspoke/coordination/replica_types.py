"""Data types of a control replica: roles, timing, restored state and output."""

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
    """Raft role of a replica; NEW means that it has no identity yet."""

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
class QueryPeers:
    """On an empty disk, ask all other members whether their disks are empty too."""


@dataclass(frozen=True)
class FoundGroup:
    """On an empty disk, become a founder, since the settings declare a new group."""


@dataclass(frozen=True)
class JoinGroup:
    """On an empty disk, ask to join the existing members."""


StartMode = QueryPeers | FoundGroup | JoinGroup


class RestoredState(NamedTuple):
    """State restored from disk; without an identity, the data folder is empty."""

    identity: Identity | None = None
    hard: HardState = HardState(0, "")
    snapshot: Snapshot | None = None
    admitted: tuple[Admitted, ...] = ()
    entries: tuple[Entry, ...] = ()
    commit: int = 0


def restore_state(
    identity: Identity | None,
    snapshot: Snapshot | None,
    records: Iterable[HardState | Admitted | Committed | Entry | Checkpoint],
) -> RestoredState:
    """Return the state of a replica from its journal records in the order of writing.

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
    return RestoredState(identity, hard, snapshot, tuple(admitted), tuple(entries), commit)


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
        """Return whether the output contains anything to write to disk."""
        return bool(self.records) or self.identity is not None or self.snapshot is not None
