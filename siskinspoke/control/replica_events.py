"""Events processed by a replica's task, and the pending answers its callers wait for."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import trio


@dataclass
class PendingAnswer:
    """A future answer; a ``value`` of None means that the outcome is unknown."""

    done: trio.Event = field(default_factory=trio.Event)
    value: Any = None
    leader: bool = True
    on_resolved: Callable[["PendingAnswer"], None] | None = None

    def resolve(self, value: Any, leader: bool = True) -> None:
        """Set the answer and notify the waiters; later calls have no effect."""
        if not self.done.is_set():
            self.value, self.leader = value, leader
            self.done.set()
            if self.on_resolved is not None:
                self.on_resolved(self)


class Proposal(NamedTuple):
    """A command for the log, and the pending answer to it."""

    kind: str
    request: NamedTuple
    answer: PendingAnswer


class ReadRequest(NamedTuple):
    """A request for the index of the last committed entry."""

    answer: PendingAnswer


class PendingRead(NamedTuple):
    """A read that is answered once a majority has confirmed the leader.

    ``confirmed_by`` is the follower that forwarded the read, if that confirms the leader.
    """

    asked_at: float
    pending: PendingAnswer
    confirmed_by: str | None = None


class PendingEntry(NamedTuple):
    """An entry appended by this leader, its proposal, and the answers that await its commit."""

    term: int
    proposal: Proposal
    answers: list[PendingAnswer]


class TransferLeadership(NamedTuple):
    """A request to transfer leadership before a shutdown."""
