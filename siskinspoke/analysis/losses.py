"""Say from the decision logs of gateways which requests were late or failed, and why.

Each request's line holds what decided it, so one pass over the logs answers the same question in
the same way for any time: how many requests of a kind ended well, and what kept the others from it.
"""

from collections import Counter
from collections.abc import Iterable, Iterator
from enum import Enum
from typing import NamedTuple

import msgspec


class Cause(Enum):
    """What kept a request from a good end; the first that fits is taken."""

    CLIENT_LEFT = "its client left"
    NOBODY = "no server could take it"
    LOST_SERVER = "a server was lost or out of reach"
    SILENT_SERVER = "a server did not answer in time"
    BROKEN_SERVER = "a server broke off or spoilt its answer"
    BUSY_SERVER = "a server or its memory was full"
    SERVER_ERROR = "servers answered with errors"
    TIMEOUT = "its time ran out"
    PLACED_LATE = "no engine could have been in time"
    WAITED = "it waited at its engine for longer than foreseen"
    PAUSED = "its engine paused its stream"
    OTHER = "something else"


class RequestLine(msgspec.Struct):
    """The fields of a request's line that tell why it ended as it did; times in milliseconds."""

    request: str
    route: str
    end: str
    status: int
    took: float
    target: float
    first: float | None = None
    expected: float | None = None
    longest_pause: float = 0.0
    pause_target: float = 0.0
    tried: list[tuple[str, str, float]] = []

    @property
    def is_stream(self) -> bool:
        """Tell whether the answer comes in events."""
        return self.pause_target > 0

    @property
    def is_good(self) -> bool:
        """Tell whether the answer came whole and in time."""
        if self.end != "served" or self.status >= 500:
            return False
        if not self.is_stream:
            return self.took <= self.target
        in_time = self.first is not None and self.first <= self.target
        return in_time and self.longest_pause <= self.pause_target


class Loss(NamedTuple):
    """One request that did not end well, and why."""

    line: RequestLine
    cause: Cause


# What an attempt's outcome begins with, and the cause that it is.
_OUTCOMES = (
    ("the server cannot be reached", Cause.LOST_SERVER),
    ("the server has started anew", Cause.LOST_SERVER),
    ("no connection", Cause.LOST_SERVER),
    ("another server has the address", Cause.LOST_SERVER),
    ("no answer in time", Cause.SILENT_SERVER),
    ("the answer did not end in time", Cause.SILENT_SERVER),
    ("the stream fell silent", Cause.SILENT_SERVER),
    ("memory could not be reserved", Cause.BUSY_SERVER),
    ("refused with", Cause.BUSY_SERVER),
    ("500", Cause.SERVER_ERROR),
    ("complete", None),
    ("200", None),
)


def cause_of(line: RequestLine) -> Cause:
    """Return why a request did not end well."""
    if line.end == "client gone":
        return Cause.CLIENT_LEFT
    for _server, outcome, _at in line.tried:
        found = _cause_of_outcome(outcome)
        if found is not None:
            return found
    if line.end == "no_server":
        return Cause.NOBODY
    if line.end in ("timeout", "deadline_passed"):
        return Cause.TIMEOUT
    if line.expected is not None and line.expected > line.target:
        return Cause.PLACED_LATE
    if line.first is not None and line.first > line.target:
        return Cause.WAITED
    if line.is_stream and line.longest_pause > line.pause_target:
        return Cause.PAUSED
    return Cause.OTHER


def _cause_of_outcome(outcome: str) -> Cause | None:
    for begins, cause in _OUTCOMES:
        if outcome.startswith(begins):
            return cause
    return Cause.BROKEN_SERVER


def request_lines(text: Iterable[str]) -> Iterator[RequestLine]:
    """Return the requests' lines of a log; whatever stands before the JSON is passed over."""
    for line in text:
        start = line.find("{")
        if start < 0 or '"event":"request"' not in line:
            continue
        try:
            yield msgspec.json.decode(line[start:], type=RequestLine)
        except msgspec.MsgspecError:
            # A line that was cut when its process was killed says nothing.
            continue


class Losses:
    """Count requests by route, and those that did not end well by cause."""

    def __init__(self) -> None:
        self.asked: Counter[str] = Counter()
        self.lost: dict[str, Counter[Cause]] = {}
        self.examples: dict[Cause, str] = {}

    def add(self, line: RequestLine) -> Loss | None:
        """Count one request; return the loss if it is one."""
        self.asked[line.route] += 1
        if line.is_good:
            return None
        cause = cause_of(line)
        self.lost.setdefault(line.route, Counter())[cause] += 1
        self.examples.setdefault(cause, line.request)
        return Loss(line, cause)

    def table(self) -> str:
        """Return the counts as text, the most frequent cause of a route first."""
        rows = []
        for route, asked in sorted(self.asked.items()):
            lost = self.lost.get(route, Counter())
            rows.append(f"{route}: {asked} asked, {asked - lost.total()} well")
            rows += [f"  {count:5}  {cause.value}" for cause, count in lost.most_common()]
        rows += [f"example: {cause.value}: {name}" for cause, name in self.examples.items()]
        return "\n".join(rows)
