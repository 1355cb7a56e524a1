"""The protocol between an entry VM and a backend server, over HTTP with JSON.

``docs/reference/backend-protocol.md`` describes each path.
"""

from typing import NamedTuple, NotRequired, TypedDict


class GenerateRequest(TypedDict):
    """Body of POST /v1/generate: start one attempt of a request.

    ``offset`` is the number of answer tokens that the prompt already contains. ``prefilled`` is the
    number of prompt tokens that the other members of a group hold.
    """

    request: str
    attempt: int
    model: str
    prompt: str
    max_tokens: int
    priority: int
    offset: int
    lease_ms: int
    reservation: NotRequired[str]
    prefilled: NotRequired[int]


class AttemptRequest(TypedDict):
    """Body of POST /v1/cancel and POST /v1/resume: name one attempt.

    With ``unless_began``, a cancel does not stop an attempt that has begun; it only prevents one
    that has not.
    """

    request: str
    attempt: int
    offset: NotRequired[int]
    unless_began: NotRequired[bool]


class ReserveRequest(TypedDict):
    """Body of POST /v1/reserve, /v1/release and /v1/prefill: memory reserved for a long prompt."""

    reservation: str
    owner: str
    tokens: int
    lease_ms: int


class CacheEvents(TypedDict):
    """Answer of GET /v1/cache-events: number, kind and block of each event.

    ``first`` is the number of the oldest event still available, which reveals a gap.
    """

    first: int
    events: list[tuple[int, str, int]]


class Chunk(NamedTuple):
    """A part of an answer; ``offset`` is the index of its first token.

    The last chunk has ``done`` set and no text. ``incarnation`` distinguishes an engine that was
    restarted at the same address from the one that received the request.
    """

    request: str
    attempt: int
    incarnation: int
    offset: int
    tokens: int
    text: str
    done: bool


class CancelState:
    """The states of an attempt that a backend server returns for a cancel request."""

    NEVER_BEGAN = "never_began"
    RUNNING = "running"
    CANCELLED = "cancelled"
    FINISHED = "finished"
