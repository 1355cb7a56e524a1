"""Datagrams between entry VMs: work at engines, placement queries and rate limit permits."""

from collections.abc import Sequence
from typing import NamedTuple

from siskinspoke.coordination.limiters import Outcome
from siskinspoke.coordination.retries import CallCounts
from siskinspoke.protocol.codec import message


class WorkBegan(NamedTuple):
    """A dispatched request; the first server decodes, the others prefill parts of the prompt.

    ``held`` are the tokens that each of the others keeps in memory, empty if the first keeps all.
    No other request should be placed beside work that is ``alone``.
    """

    number: int
    servers: list[str]
    tokens: int
    max_tokens: int
    target_ms: float
    pause_ms: float
    held: list[int]
    alone: bool = False


class EnginePace(NamedTuple):
    """An engine's reported slowdown relative to its configured costs; 1 means none."""

    server: str
    pace: float


@message
class PlaceQuestion(NamedTuple):
    """A query from a VM whose cell lacks capacity: where would another cell place a prompt?

    ``excluded`` are the servers that the request has already tried. ``domains`` are the only
    failure domains in which it may be served; empty allows all. Times are in milliseconds.
    """

    host: str
    number: int
    service: str
    tokens: int
    max_tokens: int
    target_ms: float
    pause_ms: float
    excluded: list[str]
    domains: Sequence[str] = ()


@message
class PlaceOffer(NamedTuple):
    """The placement offered by the queried VM, decoding server first; empty if there is none."""

    number: int
    servers: list[str]
    first_token_ms: float
    held: list[int]


class WaitBegan(NamedTuple):
    """A request that waits for room, with the fields of ``admission.Waiter`` that order it.

    Times are in milliseconds before or after the message was sent.
    """

    number: int
    service: str
    rank: int
    customer: str
    waited_ms: float
    target_in_ms: float
    leaves_in_ms: float
    cost_ms: float
    value: float
    returned: bool = False


class OpenCalls(NamedTuple):
    """The number of plain calls that a VM has open at a server."""

    server: str
    count: int


@message
class WorkNews(NamedTuple):
    """The work that an entry VM has begun, brought to its first token and ended, by number.

    ``start`` distinguishes this run of the process from earlier ones on the same host. ``calls``
    counts requests and retries since the last message. ``cuts`` are the failure domains that a VM
    in ``domain`` now considers unreachable, ``lost`` the servers that it could not reach.
    ``waiting`` are requests that began to wait for room, ``left`` the numbers of those that no
    longer do, and ``open_calls`` the changed numbers of open plain calls. ``unreachable`` are all
    failure domains whose servers the sender cannot reach at present.
    """

    host: str
    start: str
    began: list[WorkBegan]
    wrote: list[int]
    ended: list[int]
    paces: list[EnginePace]
    calls: list[CallCounts]
    domain: str
    cuts: list[str]
    lost: list[str]
    waiting: Sequence[WaitBegan] = ()
    left: Sequence[int] = ()
    open_calls: Sequence[OpenCalls] = ()
    unreachable: Sequence[str] = ()


@message
class PermitRequest(NamedTuple):
    """A request to a server's limiter for permission to send the server one request.

    ``domain`` is the server's failure domain. ``rate`` is the limit that the server has announced,
    in requests per second, ``age_ms`` milliseconds ago. The other fields are those of
    ``limiters.PermitQuery``.
    """

    host: str
    number: int
    server: str
    incarnation: int
    domain: str
    rate: float
    age_ms: float
    patience_ms: float
    silent_ms: float


@message
class ColdPermitRequest(NamedTuple):
    """A request to a limiter for permission to send a cold server one request.

    ``domain`` is the server's failure domain. The other fields are those of
    ``cold_limiters.ColdQuery``, with its budget as ``rate`` and ``burst``.
    """

    host: str
    number: int
    server: str
    domain: str
    rate: float
    burst: float
    patience_ms: float
    urgent: bool


@message
class LeaseRequest(NamedTuple):
    """A limiter's request for, or renewal of, the sole right to grant a cold server's permits."""

    host: str
    number: int
    server: str
    domain: str


@message
class LeaseReply(NamedTuple):
    """Whether the lease was granted."""

    number: int
    granted: bool


@message
class PermitReply(NamedTuple):
    """The limiter's decision, with the fields of ``limiters.PermitDecision``."""

    number: int
    outcome: Outcome
    wait_ms: float


@message
class RateLimitNews(NamedTuple):
    """A rate limit that a server has announced, or lifted (None), ``age_ms`` milliseconds ago."""

    server: str
    incarnation: int
    rate: float | None
    age_ms: float
