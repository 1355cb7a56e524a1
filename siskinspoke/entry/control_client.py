"""Client of the control replicas, for claims and the configuration."""

import functools
import random
from typing import NamedTuple

import httpx
import msgspec
import trio
from expression import Error, Ok, Result

from siskinspoke.conf import merge
from siskinspoke.conf.settings import ControlVM
from siskinspoke.core.codes import Failure, ResultCode
from siskinspoke.core.counters import Counters
from siskinspoke.protocol.claims import ClaimAnswer, ClaimRequest, LookupRequest, SettleRequest
from siskinspoke.protocol.sealed_http import SEAL_HEADER, compute_seal
from siskinspoke.transport.http import make_client

EXCHANGE_TIMEOUT_SECONDS = 0.8
RETRY_PAUSE_SECONDS = 0.05
NOT_LEADER_STATUS = 421
CLAIM_RETRY_MS = 1_000


class ConfigurationUpdate(NamedTuple):
    """The version of a control replica and, if it is newer, how to derive its configuration.

    ``document`` is the complete configuration; ``patches`` are overlays on that of the client.
    """

    version: int
    document: dict | None
    patches: list[dict] = []  # noqa: RUF012  (a NamedTuple's default, never changed)

    def applied_to(self, current: dict) -> dict | None:
        """Return the newer document, or None if there is none."""
        if self.document is not None or not self.patches:
            return self.document
        return functools.reduce(merge, self.patches, current)


class ControlClient:
    """An HTTP client for the control replicas that remembers the leader."""

    def __init__(
        self,
        replicas: list[ControlVM],
        key: bytes,
        name: str,
        counters: Counters,
        local_host: str | None = None,
    ):
        self._replicas = list(replicas)
        self._key = key
        self._name = name
        self._counters = counters
        self._client = make_client(local_host=local_host)
        self._leader: str | None = None
        self._last_queried = random.randrange(len(replicas))

    async def __aenter__(self) -> "ControlClient":
        await self._client.__aenter__()
        return self

    async def __aexit__(self, *details) -> None:
        await self._client.__aexit__(*details)

    async def claim(
        self, request: ClaimRequest, remaining_seconds: float
    ) -> Result[ClaimAnswer, Failure]:
        """Claim a key; an Error means that nothing may be dispatched."""
        return await self._query_leader("/v1/claim", request, remaining_seconds)

    async def lookup(
        self, request: LookupRequest, remaining_seconds: float
    ) -> Result[ClaimAnswer, Failure]:
        """Look up the claim on a key."""
        return await self._query_leader("/v1/lookup", request, remaining_seconds)

    async def settle(
        self, request: SettleRequest, remaining_seconds: float
    ) -> Result[ClaimAnswer, Failure]:
        """Report how a claimed attempt ended."""
        return await self._query_leader("/v1/settle", request, remaining_seconds)

    async def _query_leader(
        self, path: str, item: NamedTuple, remaining_seconds: float
    ) -> Result[ClaimAnswer, Failure]:
        """Query the replicas, the likely leader first, until the leader answers."""
        body = msgspec.json.encode(item)
        with trio.move_on_after(remaining_seconds):
            while True:
                for replica in self._leader_first():
                    answer = await self._exchange(replica, path, body)
                    if answer is not None:
                        self._leader = replica.name
                        return Ok(answer)
                    self._leader = None
                await trio.sleep(RETRY_PAUSE_SECONDS * random.uniform(0.5, 1.5))
        self._counters.count("claim.unavailable")
        message = (
            "no majority of control replicas answered in time; nothing was dispatched now, "
            "but an earlier attempt with this key may have run"
        )
        return Error(Failure(ResultCode.CLAIMS_UNAVAILABLE, message, CLAIM_RETRY_MS))

    def _leader_first(self) -> list[ControlVM]:
        order = random.sample(self._replicas, len(self._replicas))
        return sorted(order, key=lambda replica: replica.name != self._leader)

    async def _exchange(self, replica: ControlVM, path: str, body: bytes) -> ClaimAnswer | None:
        url = f"http://{replica.host}:{replica.port}{path}"
        headers = {SEAL_HEADER: compute_seal(self._key, path, body)}
        with trio.move_on_after(EXCHANGE_TIMEOUT_SECONDS):
            try:
                response = await self._client.post(url, content=body, headers=headers)
                if response.status_code == 200:
                    return msgspec.json.decode(response.content, type=ClaimAnswer)
            except (httpx.HTTPError, msgspec.MsgspecError):
                self._counters.count("control.exchange_failed")
        return None

    async def configuration_after(self, version: int, wait_ms: int) -> ConfigurationUpdate | None:
        """Return a newer configuration, waiting at most ``wait_ms`` for one.

        None means that the replica gave no valid answer.  Each call queries the next replica:
        querying one that lags or is cut off twice in a row would delay an accepted change beyond
        the time within which it must be in force.
        """
        self._last_queried += 1
        replica = self._replicas[self._last_queried % len(self._replicas)]
        path = f"/v1/configuration?after={version}&wait_ms={wait_ms}&entry={self._name}"
        url = f"http://{replica.host}:{replica.port}{path}"
        headers = {SEAL_HEADER: compute_seal(self._key, path, b"")}
        with trio.move_on_after(wait_ms / 1000 + EXCHANGE_TIMEOUT_SECONDS):
            try:
                response = await self._client.get(url, headers=headers)
                if response.status_code == 200:
                    return msgspec.json.decode(response.content, type=ConfigurationUpdate)
            except (httpx.HTTPError, msgspec.MsgspecError):
                self._counters.count("control.exchange_failed")
        return None
