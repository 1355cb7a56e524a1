"""Replicated state machine for configuration, claims and orders."""

import hashlib
from collections import deque
from typing import Any, NamedTuple, TypedDict

import msgspec

from siskinspoke.conf import difference
from siskinspoke.coordination.claims import ClaimTable
from siskinspoke.coordination.evacuations import (
    EvacuationAnswer,
    EvacuationOrder,
    EvacuationTable,
)
from siskinspoke.coordination.orders import OrderAnswer, OrderEnd, OrderRequest, OrderTable
from siskinspoke.core.codes import ResultCode
from siskinspoke.protocol.claims import ClaimAnswer, ClaimRequest, LookupRequest, SettleRequest
from siskinspoke.protocol.replication import Entry

CLAIM, LOOKUP, SETTLE, CONFIGURE = "claim", "lookup", "settle", "configure"
ORDER, ORDER_END, PUBLISH = "order", "order-end", "publish"
EVACUATE = "evacuate"
MAX_REMEMBERED_CHANGES = 20_000
MAX_PATCHES = 64


class ConfigureRequest(NamedTuple):
    """An operator's request to replace configuration version ``expect`` with the next version.

    ``order`` is an idempotency key: a request that is resent is applied once and gets the same
    answer again.
    """

    order: str
    operator: str
    expect: int
    document: dict


class ConfigureBody(TypedDict):
    """Request body of a configuration change; the fields match ConfigureRequest."""

    order: str
    operator: str
    expect: int
    document: dict


class ConfigureAnswer(NamedTuple):
    """Result of a configuration change and the version that is now current."""

    code: int
    version: int


class PublishRequest(NamedTuple):
    """A complete configuration with a version assigned by the sender; the highest one applies."""

    version: int
    document: dict


class PublishAnswer(NamedTuple):
    """The current version and whether this request installed it."""

    version: int
    installed: bool


class StateMachine:
    """Apply committed commands in log order, with the same result at every replica."""

    def __init__(self) -> None:
        self.claims = ClaimTable()
        self.orders = OrderTable()
        self.evacuations = EvacuationTable()
        self.version = 0
        self.document: dict | None = None
        self.clock_ms = 0
        self._applied_changes: dict[str, tuple[str, int]] = {}
        self._patches: deque[dict] = deque(maxlen=MAX_PATCHES)

    def patches_since(self, version: int) -> list[dict] | None:
        """Return the patches from a version to the current one.

        None means that they are not available, so that the complete document is needed.
        """
        count = self.version - version
        if version < 1 or not 0 < count <= len(self._patches):
            return None
        return list(self._patches)[-count:]

    def apply(
        self, entry: Entry
    ) -> ClaimAnswer | ConfigureAnswer | EvacuationAnswer | OrderAnswer | PublishAnswer | None:
        """Apply one command and return its answer.

        The leader adds its wall-clock time to each command. The replicated clock is the highest of
        these timestamps, so it never goes backward even if the clock of a VM does.
        """
        match entry.kind:
            case "claim":
                request = msgspec.convert(entry.body["request"], ClaimRequest)
                return self.claims.claim(request, self._advance_clock(entry.body))
            case "lookup":
                request = msgspec.convert(entry.body["request"], LookupRequest)
                return self.claims.lookup(request, self._advance_clock(entry.body))
            case "settle":
                request = msgspec.convert(entry.body["request"], SettleRequest)
                return self.claims.settle(request, self._advance_clock(entry.body))
            case "configure":
                self._advance_clock(entry.body)
                return self._configure(msgspec.convert(entry.body["request"], ConfigureRequest))
            case "publish":
                self._advance_clock(entry.body)
                return self._publish(msgspec.convert(entry.body["request"], PublishRequest))
            case "evacuate":
                evacuation = msgspec.convert(entry.body["request"], EvacuationOrder)
                now_ms = self._advance_clock(entry.body)
                return self.evacuations.apply(evacuation, entry.index, now_ms)
            case "order":
                order = msgspec.convert(entry.body["request"], OrderRequest)
                return self.orders.submit(order, entry.index, self._advance_clock(entry.body))
            case "order-end":
                return self.orders.record_result(msgspec.convert(entry.body["request"], OrderEnd))
            case _:
                return None

    def _advance_clock(self, body: dict) -> int:
        self.clock_ms = max(self.clock_ms, body["now_ms"])
        return self.clock_ms

    def _configure(self, request: ConfigureRequest) -> ConfigureAnswer:
        digest = _digest(request)
        earlier = self._applied_changes.get(request.order)
        if earlier is not None:
            same = earlier[0] == digest
            code = ResultCode.OK if same else ResultCode.ORDER_REUSED
            return ConfigureAnswer(int(code), earlier[1] if same else self.version)
        if request.expect != self.version:
            return ConfigureAnswer(int(ResultCode.VERSION_CONFLICT), self.version)
        self.version += 1
        self._patches.append(difference(self.document or {}, request.document))
        self.document = request.document
        self._applied_changes[request.order] = (digest, self.version)
        if len(self._applied_changes) > MAX_REMEMBERED_CHANGES:
            del self._applied_changes[next(iter(self._applied_changes))]
        return ConfigureAnswer(int(ResultCode.OK), self.version)

    def _publish(self, request: PublishRequest) -> PublishAnswer:
        """Install a configuration unless its version is the current one or older.

        A request that was resent or superseded changes nothing but is still answered, so that its
        sender stops retrying.
        """
        if request.version <= self.version:
            return PublishAnswer(self.version, False)
        self.version = request.version
        self.document = request.document
        self._patches.clear()
        return PublishAnswer(self.version, True)

    def to_document(self) -> dict:
        """Return the complete state for a snapshot."""
        return {
            "claims": self.claims.to_document(),
            "engine_orders": self.orders.to_document(),
            "evacuations": self.evacuations.to_document(),
            "version": self.version,
            "document": self.document,
            "clock_ms": self.clock_ms,
            "orders": [[order, *known] for order, known in self._applied_changes.items()],
        }

    def load(self, state: dict) -> None:
        """Replace the state with that of a snapshot."""
        self.claims.load(state["claims"])
        self.orders.load(state["engine_orders"])
        self.evacuations.load(state.get("evacuations"))
        self.version = state["version"]
        self._patches.clear()
        self.document = state["document"]
        self.clock_ms = state["clock_ms"]
        self._applied_changes = {
            order: (digest, version) for order, digest, version in state["orders"]
        }


def _digest(request: ConfigureRequest) -> str:
    """Return a digest that detects the reuse of an order id for a different change."""
    content: Any = (request.expect, request.document)
    return hashlib.blake2b(msgspec.json.encode(content, order="sorted"), digest_size=16).hexdigest()
