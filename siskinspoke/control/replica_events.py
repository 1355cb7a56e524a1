"""Events processed by a replica's task, and the pending answers its callers wait for."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import trio


@dataclass
class Pending:
    """An answer to come; None means that its fate is not known here."""

    done: trio.Event = field(default_factory=trio.Event)
    value: Any = None
    leader: bool = True
    then: Callable[["Pending"], None] | None = None

    def resolve(self, value: Any, leader: bool = True) -> None:
        """Give the answer once."""
        if not self.done.is_set():
            self.value, self.leader = value, leader
            self.done.set()
            if self.then is not None:
                self.then(self)


class Proposal(NamedTuple):
    """A command for the log, and where its answer goes."""

    kind: str
    request: NamedTuple
    answer: Pending


class Read(NamedTuple):
    """The wish to know the newest that is committed; the answer is its index."""

    answer: Pending


class PendingRead(NamedTuple):
    """A read that is answered once a majority has confirmed the leader.

    ``confirmed_by`` is the follower that forwarded the read, if that confirms the leader.
    """

    asked_at: float
    pending: Pending
    confirmed_by: str | None = None


class PendingEntry(NamedTuple):
    """An entry that this leader has appended, its proposal, and all who wait for its commit."""

    term: int
    proposal: Proposal
    waiting: list[Pending]


class HandOver(NamedTuple):
    """The owner is about to stop."""
