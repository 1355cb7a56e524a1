"""Messages about claims on non-idempotent requests, between entry VMs and control replicas."""

from typing import NamedTuple


class Target(NamedTuple):
    """The backend server, in one incarnation, that an attempt is claimed for."""

    server: str
    incarnation: int
    host: str
    port: int


class ClaimRequest(NamedTuple):
    """Ask to be the one that runs a key's request at a target.

    ``key`` names customer and idempotency key; ``expires_ms`` is the wall-clock time that the
    caller put into the key itself; ``lifetime_ms`` is the longest life allowed.
    """

    key: str
    expires_ms: int
    lifetime_ms: int
    owner: str
    target: Target


class LookupRequest(NamedTuple):
    """Ask what is held on a key, without claiming it."""

    key: str


class SettleRequest(NamedTuple):
    """Say how a claimed attempt ended; ``ran`` False frees the key for another attempt."""

    key: str
    attempt: int
    ran: bool
    status: int
    body: str


class ClaimAnswer(NamedTuple):
    """What the control replicas hold on a key.

    ``code`` is OK where the asker now holds the claim, IN_PROGRESS where another attempt
    holds it, ALREADY_RAN where it ended.  A look-up answers OK where nothing holds the key.
    """

    code: int
    attempt: int = 0
    owner: str = ""
    target: Target | None = None
    status: int = 0
    body: str = ""
