"""Messages between control replicas, and the records of their journal."""

from typing import Any, NamedTuple

from siskinspoke.protocol.codec import message


@message
class Entry(NamedTuple):
    """One command of the replicated log; ``kind`` names the command and ``body`` holds it."""

    index: int
    term: int
    kind: str
    body: Any


@message
class HardState(NamedTuple):
    """The current term of a replica and its vote in that term, which must be durable."""

    term: int
    voted_for: str


@message
class Snapshot(NamedTuple):
    """The state after an index, and the incarnation of each member at that point."""

    index: int
    term: int
    members: dict[str, int]
    document: dict


@message
class Checkpoint(NamedTuple):
    """The first record of a journal: the snapshot that the following records are based on.

    Versions that keep the snapshot in a separate file refuse a journal with this record.
    """

    snapshot: Snapshot


@message
class Admitted(NamedTuple):
    """A journal record: a replaced disk is admitted as a member's, as committed at ``index``."""

    name: str
    incarnation: int
    index: int


@message
class Committed(NamedTuple):
    """A journal record: all entries up to ``index`` are committed."""

    index: int


class Identity(NamedTuple):
    """The replica that a data folder belongs to; an emptied disk gets a new ``incarnation``.

    ``founders`` are the initial members of the group that this replica founded; the settings may
    name others by the time it restarts.
    """

    name: str
    incarnation: int
    founders: tuple[str, ...] = ()


@message
class Introduce(NamedTuple):
    """A replica with an empty folder asks whether the others are new too, in attempt ``run``."""

    sender: str
    run: int


@message
class IntroduceReply(NamedTuple):
    """The answer to Introduce; ``fresh`` means that the sender has neither a term nor a log."""

    sender: str
    run: int
    fresh: bool


@message
class VoteRequest(NamedTuple):
    """A request for a vote; ``trial`` marks a pre-vote, which starts no new term.

    ``commit`` and ``commit_term`` identify the last entry that the sender knows to be committed.
    ``handover`` is true if the leader asked the sender to succeed it.
    """

    sender: str
    incarnation: int
    term: int
    last_index: int
    last_term: int
    trial: bool
    commit: int
    commit_term: int
    handover: bool = False


@message
class VoteReply(NamedTuple):
    """The answer to a VoteRequest; ``own_term`` is the voter's term, ``refusal`` its reason."""

    sender: str
    incarnation: int
    term: int
    own_term: int
    granted: bool
    trial: bool
    commit: int
    commit_term: int
    refusal: str = ""


@message
class Append(NamedTuple):
    """Entries of the leader after ``prev_index``, and its commit index.

    ``sent_at`` is a time on the leader's clock. The reply returns it, so that the leader knows up
    to which time the follower has acknowledged it.
    """

    sender: str
    term: int
    prev_index: int
    prev_term: int
    entries: list[Entry]
    commit: int
    sent_at: float


@message
class AppendReply(NamedTuple):
    """The answer to Append or Install.

    ``match`` is the last matching index on disk or, after a refusal, the index to try next.
    ``received`` is the last matching index, whether or not it is on disk. ``sent_at`` is copied
    from the message answered.
    """

    sender: str
    incarnation: int
    term: int
    accepted: bool
    match: int
    sent_at: float
    received: int = 0


@message
class Handover(NamedTuple):
    """A leader that shuts down asks its most up-to-date follower to start an election at once."""

    sender: str
    term: int


@message
class Install(NamedTuple):
    """A snapshot for a replica that needs entries no longer in the leader's log."""

    sender: str
    term: int
    snapshot: Snapshot
    sent_at: float


@message
class Join(NamedTuple):
    """A replica without a leader asks to join; a follower forwards the message to its leader."""

    sender: str
    incarnation: int


@message
class Forward(NamedTuple):
    """A command or read that a follower forwards to the leader under a number of its own.

    ``term`` and ``incarnation`` are the follower's at the time of sending.
    """

    sender: str
    number: int
    kind: str
    request: Any
    term: int = 0
    incarnation: int = 0


@message
class Forwarded(NamedTuple):
    """The leader's answer to a Forward; ``known`` is False if the outcome is unknown."""

    number: int
    known: bool
    answer: Any
