"""What a control replica's decisions are made of: roles, times, what is on disk, what to do."""

from enum import Enum
from typing import Any, NamedTuple

from siskinspoke.protocol.replication import Admitted, Entry, HardState, Identity, Snapshot


class Role(Enum):
    """What a replica is at the moment."""

    NEW = "new"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Times(NamedTuple):
    """Timing in milliseconds."""

    heartbeat_ms: float
    election_ms: float


class Restored(NamedTuple):
    """What a replica finds on its disk; no identity means an empty folder."""

    identity: Identity | None = None
    hard: HardState = HardState(0, "")
    snapshot: Snapshot | None = None
    admitted: tuple[Admitted, ...] = ()
    entries: tuple[Entry, ...] = ()


class Output:
    """What the owner must do, in this order: sync, then send and apply."""

    def __init__(self) -> None:
        self.identity: Identity | None = None
        self.records: list[HardState | Admitted | Entry] = []
        self.snapshot: Snapshot | None = None
        self.sends: list[tuple[str, Any]] = []
        self.committed: list[Entry] = []
