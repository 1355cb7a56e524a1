"""Replicated claims on non-idempotent requests: each idempotency key is executed at most once.

A claim is never taken over because of a timeout, so a VM that resumes after a suspension still owns
its claim and can safely use it. A claim whose attempt did not start is released only after the
target server has confirmed that it will never execute the attempt. Keys expire according to the
replicated clock, which never goes backward. Expired keys are rejected, so their claims can be
deleted.
"""

import heapq
from typing import NamedTuple

from siskinspoke.core.codes import ResultCode
from siskinspoke.protocol.claims import (
    ClaimAnswer,
    ClaimRequest,
    LookupRequest,
    SettleRequest,
    Target,
)

MAX_STORED_BODY_CHARS = 1_024
CLOCK_SKEW_TOLERANCE_MS = 1_000


class Claim(NamedTuple):
    """State of one idempotency key; ``state`` is CLAIMED, FREE or RAN."""

    expires_ms: int
    state: str
    attempt: int
    owner: str
    target: Target
    status: int = 0
    body: str = ""


CLAIMED, FREE, RAN = "claimed", "free", "ran"


class ClaimTable:
    """Apply claim commands in log order, with the same result at every replica."""

    def __init__(self) -> None:
        self._claims: dict[str, Claim] = {}
        self._expiries: list[tuple[int, str]] = []

    def __len__(self) -> int:
        return len(self._claims)

    def claim(self, request: ClaimRequest, clock_ms: int) -> ClaimAnswer:
        """Grant a claim, or return its current owner or the result of the execution."""
        self.remove_expired(clock_ms)
        if request.expires_ms <= clock_ms:
            return ClaimAnswer(int(ResultCode.KEY_EXPIRED))
        if request.expires_ms > clock_ms + request.lifetime_ms + CLOCK_SKEW_TOLERANCE_MS:
            return ClaimAnswer(int(ResultCode.INVALID_KEY))
        existing = self._claims.get(request.key)
        if existing is None or existing.state == FREE:
            return self._grant(request, 1 if existing is None else existing.attempt + 1)
        if (
            existing.state == CLAIMED
            and existing.owner == request.owner
            and existing.target == request.target
        ):
            # This is a retry of the same attempt after its answer was lost: the owner string
            # identifies one request of one incarnation of one VM.
            return self._answer(ResultCode.OK, existing)
        code = ResultCode.IN_PROGRESS if existing.state == CLAIMED else ResultCode.ALREADY_RAN
        return self._answer(code, existing)

    def _grant(self, request: ClaimRequest, attempt: int) -> ClaimAnswer:
        claim = Claim(request.expires_ms, CLAIMED, attempt, request.owner, request.target)
        if request.key not in self._claims:
            heapq.heappush(self._expiries, (request.expires_ms, request.key))
        self._claims[request.key] = claim
        return self._answer(ResultCode.OK, claim)

    def _answer(self, code: ResultCode, claim: Claim) -> ClaimAnswer:
        return ClaimAnswer(
            int(code), claim.attempt, claim.owner, claim.target, claim.status, claim.body
        )

    def lookup(self, request: LookupRequest, clock_ms: int) -> ClaimAnswer:
        """Return the claim on a key; OK means that no attempt holds the key or was executed."""
        self.remove_expired(clock_ms)
        existing = self._claims.get(request.key)
        if existing is None or existing.state == FREE:
            return ClaimAnswer(int(ResultCode.OK))
        code = ResultCode.IN_PROGRESS if existing.state == CLAIMED else ResultCode.ALREADY_RAN
        return self._answer(code, existing)

    def settle(self, request: SettleRequest, clock_ms: int) -> ClaimAnswer:
        """Record the result of an attempt; results of earlier attempts are rejected."""
        self.remove_expired(clock_ms)
        existing = self._claims.get(request.key)
        if existing is None:
            return ClaimAnswer(int(ResultCode.KEY_EXPIRED))
        if existing.attempt != request.attempt or existing.state != CLAIMED:
            return self._answer(ResultCode.CLAIM_CONFLICT, existing)
        state = RAN if request.ran else FREE
        body = request.body if len(request.body) <= MAX_STORED_BODY_CHARS else ""
        settled = existing._replace(state=state, status=request.status, body=body)
        self._claims[request.key] = settled
        return self._answer(ResultCode.OK, settled)

    def remove_expired(self, clock_ms: int) -> None:
        """Delete the claims of expired keys."""
        while self._expiries and self._expiries[0][0] <= clock_ms:
            _, key = heapq.heappop(self._expiries)
            self._claims.pop(key, None)

    def to_document(self) -> dict:
        """Return all claims for a snapshot."""
        return {key: list(claim) for key, claim in self._claims.items()}

    def load(self, document: dict) -> None:
        """Replace all claims with those of a snapshot."""
        self._claims = {}
        for key, fields in document.items():
            expires, state, attempt, owner, target, status, body = fields
            self._claims[key] = Claim(expires, state, attempt, owner, Target(*target), status, body)
        self._expiries = [(claim.expires_ms, key) for key, claim in self._claims.items()]
        heapq.heapify(self._expiries)
