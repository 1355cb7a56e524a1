"""The protocol between an entry VM and a backend server, over HTTP with JSON.

``docs/reference/backend-protocol.md`` describes each path.
"""

from typing import NamedTuple, NotRequired, TypedDict


class GenerateRequest(TypedDict):
    """Body of POST /v1/generate: start one attempt of a request.

    ``offset`` counts tokens of the answer that the prompt already holds.  ``prefilled`` counts
    prompt tokens that the other members of a group hold.
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

    ``unless_began`` makes a cancel leave an attempt alone that began, and only forbid one
    that did not.
    """

    request: str
    attempt: int
    offset: NotRequired[int]
    unless_began: NotRequired[bool]


class ReserveRequest(TypedDict):
    """Body of POST /v1/reserve, /v1/release and /v1/prefill: memory held for a long prompt."""

    reservation: str
    owner: str
    tokens: int
    lease_ms: int


class CacheEvents(TypedDict):
    """Answer of GET /v1/cache-events: number, kind and block of each event.

    ``first`` is the number of the first event still held, which shows a gap.
    """

    first: int
    events: list[tuple[int, str, int]]


class Chunk(NamedTuple):
    """One piece of an answer; ``offset`` is the index of its first token.

    The last chunk has ``done`` set and no text.  ``incarnation`` tells an engine that was
    restarted under the same address from the one that took the request.
    """

    request: str
    attempt: int
    incarnation: int
    offset: int
    tokens: int
    text: str
    done: bool


class CancelState:
    """What a backend server knows of an attempt when it is asked to cancel it."""

    NEVER_BEGAN = "never_began"
    RUNNING = "running"
    CANCELLED = "cancelled"
    FINISHED = "finished"
