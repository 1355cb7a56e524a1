"""Datagrams by which entry VMs tell each other what they begin and end at engines."""

from typing import NamedTuple

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
