"""Messages between control replicas, and the records that they keep on disk."""

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
    """What a replica must not forget: its term and its vote in that term."""

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
    """The first record of a journal: the snapshot on which the records after it build.

    Versions that keep the snapshot in a file of its own refuse a journal with this record.
    """

    snapshot: Snapshot


@message
class Admitted(NamedTuple):
    """A record on disk: a replaced disk counts as a member's, as committed at an index."""

    name: str
    incarnation: int
    index: int


@message
class Committed(NamedTuple):
    """A record on disk: entries up to an index are committed, which nothing can undo."""

    index: int


class Identity(NamedTuple):
    """Whose folder this is; ``incarnation`` is new for each emptied disk.

    ``founders`` are the members that a founder began with, where the settings may name others
    by the time it restarts.
    """

    name: str
    incarnation: int
    founders: tuple[str, ...] = ()


@message
class Introduce(NamedTuple):
    """A replica with an empty folder asks whether the others are as new; ``run`` names the try."""

    sender: str
    run: int


@message
class IntroduceReply(NamedTuple):
    """``fresh`` means that the sender has neither a term nor a log."""

    sender: str
    run: int
    fresh: bool


@message
class VoteRequest(NamedTuple):
    """Ask for a vote; ``trial`` asks only whether it would be given, without a new term.

    ``commit`` and ``commit_term`` name the last entry that the sender knows to be committed.
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
    """Answer a vote request; ``own_term`` is the voter's, ``refusal`` the reason if refused."""

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
    """Entries of the leader after ``prev_index``, and how far the log is committed.

    ``sent_at`` is the leader's own clock; the answer returns it, so that the leader knows
    since when it has been heard.
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
    """``match`` is the last matching index that is on disk, or where to try next on a refusal.

    ``received`` is the last matching index, whether or not it is on disk. ``sent_at`` is that of
    the message answered.
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
    """A leader that shuts down asks its best follower to stand at once."""

    sender: str
    term: int


@message
class Install(NamedTuple):
    """A whole snapshot for a replica too far behind for the leader's log."""

    sender: str
    term: int
    snapshot: Snapshot
    sent_at: float


@message
class Join(NamedTuple):
    """A replica that no leader speaks to asks to take part; whoever follows one passes it on."""

    sender: str
    incarnation: int


@message
class Forward(NamedTuple):
    """A follower forwards a command or a read to the leader; ``number`` is its own.

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
    """The leader's answer to a forwarded command; not ``known`` where its fate is open."""

    number: int
    known: bool
    answer: Any
