"""Messages about claims on non-idempotent requests, between entry VMs and control replicas."""

from typing import NamedTuple


class Target(NamedTuple):
    """The backend server and incarnation that an attempt is claimed for."""

    server: str
    incarnation: int
    host: str
    port: int


class ClaimRequest(NamedTuple):
    """A request for the exclusive right to run a key's request on a target.

    ``key`` consists of customer and idempotency key. ``expires_ms`` is the wall-clock time that the
    caller encoded in the key; ``lifetime_ms`` is the maximum lifetime.
    """

    key: str
    expires_ms: int
    lifetime_ms: int
    owner: str
    target: Target


class LookupRequest(NamedTuple):
    """A request for the state of a key, without claiming it."""

    key: str


class SettleRequest(NamedTuple):
    """The result of a claimed attempt; if ``ran`` is False, the key is free for another one."""

    key: str
    attempt: int
    ran: bool
    status: int
    body: str


class ClaimAnswer(NamedTuple):
    """The state of a key on the control replicas.

    ``code`` is OK if the sender now holds the claim, IN_PROGRESS if another attempt holds it, and
    ALREADY_RAN if the request has been run. For a lookup, OK means that there is no claim.
    """

    code: int
    attempt: int = 0
    owner: str = ""
    target: Target | None = None
    status: int = 0
    body: str = ""
