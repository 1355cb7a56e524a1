"""Determine from gateways' decision logs which requests were late or failed, and why.

The log line of a request contains everything that determined its outcome, so a single pass over the
logs of any period counts successful requests and classifies the others by cause.
"""

from collections import Counter
from collections.abc import Iterable, Iterator
from enum import Enum
from typing import NamedTuple

import msgspec


class Cause(Enum):
    """Why a request was late or failed; the first match applies."""

    CLIENT_DISCONNECTED = "client disconnected"
    NO_CANDIDATE = "no server available"
    SERVER_UNREACHABLE = "server lost or unreachable"
    SERVER_TIMEOUT = "server did not respond in time"
    INVALID_RESPONSE = "server aborted or corrupted its response"
    SERVER_OVERLOADED = "server overloaded or out of memory"
    SERVER_ERROR = "server returned an error"
    REQUEST_TIMEOUT = "request deadline passed"
    NO_TIMELY_ENGINE = "no engine could meet the latency target"
    QUEUED_TOO_LONG = "waited at the engine for longer than predicted"
    STREAM_STALLED = "engine paused the stream"
    OTHER = "other"


class RequestLine(msgspec.Struct):
    """The fields of a request's log line that determine its outcome; times in milliseconds."""

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
        """Whether the response is an event stream."""
        return self.pause_target > 0

    @property
    def is_successful(self) -> bool:
        """Whether the response was complete and met its latency targets."""
        if self.end != "served" or self.status >= 500:
            return False
        if not self.is_stream:
            return self.took <= self.target
        in_time = self.first is not None and self.first <= self.target
        return in_time and self.longest_pause <= self.pause_target


class FailedRequest(NamedTuple):
    """A late or failed request and its cause."""

    line: RequestLine
    cause: Cause


# Prefixes of attempts' outcomes in the log, and the causes that they indicate.
_CAUSES_BY_OUTCOME = (
    ("the server cannot be reached", Cause.SERVER_UNREACHABLE),
    ("the server has started anew", Cause.SERVER_UNREACHABLE),
    ("no connection", Cause.SERVER_UNREACHABLE),
    ("another server has the address", Cause.SERVER_UNREACHABLE),
    ("no answer in time", Cause.SERVER_TIMEOUT),
    ("the answer did not end in time", Cause.SERVER_TIMEOUT),
    ("the stream fell silent", Cause.SERVER_TIMEOUT),
    ("memory could not be reserved", Cause.SERVER_OVERLOADED),
    ("refused with", Cause.SERVER_OVERLOADED),
    ("500", Cause.SERVER_ERROR),
    ("complete", None),
    ("200", None),
)


def classify_cause(line: RequestLine) -> Cause:
    """Return why a request was late or failed."""
    if line.end == "client gone":
        return Cause.CLIENT_DISCONNECTED
    for _server, outcome, _at in line.tried:
        cause = _classify_outcome(outcome)
        if cause is not None:
            return cause
    if line.end == "no_server":
        return Cause.NO_CANDIDATE
    if line.end in ("timeout", "deadline_passed"):
        return Cause.REQUEST_TIMEOUT
    if line.expected is not None and line.expected > line.target:
        return Cause.NO_TIMELY_ENGINE
    if line.first is not None and line.first > line.target:
        return Cause.QUEUED_TOO_LONG
    if line.is_stream and line.longest_pause > line.pause_target:
        return Cause.STREAM_STALLED
    return Cause.OTHER


def _classify_outcome(outcome: str) -> Cause | None:
    for prefix, cause in _CAUSES_BY_OUTCOME:
        if outcome.startswith(prefix):
            return cause
    return Cause.INVALID_RESPONSE


def parse_request_lines(text: Iterable[str]) -> Iterator[RequestLine]:
    """Yield the request lines of a log; any text before the JSON is skipped."""
    for line in text:
        start = line.find("{")
        if start < 0 or '"event":"request"' not in line:
            continue
        try:
            yield msgspec.json.decode(line[start:], type=RequestLine)
        except msgspec.MsgspecError:
            # Skips a line that was truncated when its process was killed.
            continue


class FailureReport:
    """Count requests by route, and late or failed ones by cause."""

    def __init__(self) -> None:
        self.request_counts: Counter[str] = Counter()
        self.failure_counts: dict[str, Counter[Cause]] = {}
        self.examples: dict[Cause, str] = {}

    def add(self, line: RequestLine) -> FailedRequest | None:
        """Count a request; return it with its cause if it was late or failed."""
        self.request_counts[line.route] += 1
        if line.is_successful:
            return None
        cause = classify_cause(line)
        self.failure_counts.setdefault(line.route, Counter())[cause] += 1
        self.examples.setdefault(cause, line.request)
        return FailedRequest(line, cause)

    def to_text(self) -> str:
        """Return the counts as text, the most frequent cause of each route first."""
        rows = []
        for route, total in sorted(self.request_counts.items()):
            failures = self.failure_counts.get(route, Counter())
            rows.append(f"{route}: {total} requests, {total - failures.total()} ok")
            rows += [f"  {count:5}  {cause.value}" for cause, count in failures.most_common()]
        rows += [f"example: {cause.value}: {name}" for cause, name in self.examples.items()]
        return "\n".join(rows)
