"""Datagrams by which entry VMs tell each other what they begin and end at engines."""

from typing import NamedTuple

from siskinspoke.coordination.limiters import Outcome
from siskinspoke.coordination.retries import Calls
from siskinspoke.protocol.codec import message


class WorkBegan(NamedTuple):
    """A request has been sent; the first server writes, the others read parts.

    ``held`` are the tokens that each of the others keeps; empty where the first keeps all.  Nobody
    else should join work that is ``alone``.
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
    """How much slower than its costs say an engine is, by its own word; 1 is as they say."""

    server: str
    pace: float


@message
class PlaceQuestion(NamedTuple):
    """A VM whose own cell is short asks one of another cell where it would place a prompt.

    ``excluded`` are the servers that the request has tried.  Times in milliseconds.
    """

    host: str
    number: int
    service: str
    tokens: int
    max_tokens: int
    target_ms: float
    pause_ms: float
    excluded: list[str]


@message
class PlaceOffer(NamedTuple):
    """Where the asked VM would place it, the writing server first; no servers mean nowhere."""

    number: int
    servers: list[str]
    first_token_ms: float
    held: list[int]


@message
class WorkNews(NamedTuple):
    """What an entry VM has begun, brought to its first token and ended, by its own numbers.

    ``start`` tells this start of the process from earlier ones at the same host.  ``calls`` are
    the requests and repeats since the last news.  ``cuts`` are the failure domains that a VM in
    ``domain`` has come to believe to be out of reach, ``lost`` the servers that it could not reach.
    """

    host: str
    start: str
    began: list[WorkBegan]
    wrote: list[int]
    ended: list[int]
    paces: list[EnginePace]
    calls: list[Calls]
    domain: str
    cuts: list[str]
    lost: list[str]


@message
class PermitRequest(NamedTuple):
    """A VM asks a server's limiter for leave to send it one request.

    ``domain`` is the server's.  ``rate`` is the limit that the server has named, in requests a
    second, last heard of so many milliseconds ago; the other fields are those of ``limiters.Ask``.
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
class PermitReply(NamedTuple):
    """What the limiter says, with a ``limiters.Verdict``'s fields."""

    number: int
    outcome: Outcome
    wait_ms: float


@message
class RateLimitNews(NamedTuple):
    """A server has named a limit, or ended it (None), to a VM, so many milliseconds ago."""

    server: str
    incarnation: int
    rate: float | None
    age_ms: float
