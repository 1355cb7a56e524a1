"""Decode the platform's configuration into a route table."""

from typing import NamedTuple

import msgspec
from expression import Error, Ok, Result

from siskinspoke.coordination.routes import (
    CallKind,
    ClientLimits,
    Customer,
    EngineCosts,
    Route,
    RouteTable,
    Service,
    Share,
    table_faults,
)
from siskinspoke.core.codes import Failure, ResultCode

KINDS = {
    "idempotent": CallKind.IDEMPOTENT,
    "non_idempotent": CallKind.NON_IDEMPOTENT,
    "streaming": CallKind.STREAM,
}


class WireShare(msgspec.Struct):
    """One service of a route with a traffic split."""

    service: str
    weight: float


class WireRoute(msgspec.Struct):
    """A route, which goes either to ``service`` or to the services of ``traffic_split``."""

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 1_000
    priority: int = 1
    service: str = ""
    traffic_split: list[WireShare] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    target_gap_ms: float = 0
    allowed_regions: list[str] = []


class WireEngine(msgspec.Struct):
    """The cost model of a service's servers; ``chunk`` and other fields are ignored."""

    slots: int
    # Tokens that fit into one server's memory.
    kv_capacity: int
    # Decoding steps per pass, and thus tokens per event.
    stride: int
    step_ms: float
    per_seq_ms: float
    context_per_k: float
    read_per_s: float
    # Attention cost: milliseconds per million pairs of a token and an earlier token.
    pairs_per_m: float


class WireService(msgspec.Struct):
    """A group of identical servers."""

    name: str
    health_path: str = "/"
    max_conns: int = 100
    engine: WireEngine | None = None
    # Seconds after its start in which a server is cold, and the requests a second that it then
    # takes.
    cold_s: float = 0
    cold_per_s: float = 0


class WireLimits(msgspec.Struct):
    """Limits on the size and the duration of client requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


class WireCustomer(msgspec.Struct):
    """A customer; the platform calls it a tenant."""

    name: str
    api_keys: list[str]
    priority: int | None = None
    allowed_regions: list[str] = []


class WireConfiguration(msgspec.Struct):
    """A complete configuration document."""

    version: int
    routes: list[WireRoute]
    services: list[WireService]
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    tenants: list[WireCustomer] = []


class DecodedConfiguration(NamedTuple):
    """A configuration document as received, and the route table decoded from it."""

    document: dict
    table: RouteTable


def _engine(wire: WireEngine | None) -> EngineCosts | None:
    if wire is None:
        return None
    return EngineCosts(
        slots=wire.slots,
        memory_tokens=wire.kv_capacity,
        pass_steps=wire.stride,
        step_ms=wire.step_ms,
        stream_step_ms=wire.per_seq_ms,
        context_step_ms_per_k=wire.context_per_k,
        read_tokens_per_ms=wire.read_per_s / 1000,
        pair_ms_per_million=wire.pairs_per_m,
    )


def _route(wire: WireRoute) -> Route:
    if wire.traffic_split:
        shares = tuple(Share(item.service, item.weight) for item in wire.traffic_split)
    else:
        shares = (Share(wire.service, 1.0),)
    return Route(
        name=wire.name,
        host=wire.host,
        prefix=wire.path_prefix,
        kind=KINDS[wire.kind],
        timeout_ms=wire.timeout_ms,
        target_ms=wire.target_latency_ms,
        pause_ms=wire.target_gap_ms,
        priority=wire.priority,
        shares=shares,
        max_attempts=max(1, wire.max_attempts),
        public=wire.public,
        resumable=wire.resumable,
        regions=frozenset(wire.allowed_regions),
    )


def _service(wire: WireService) -> Service:
    return Service(
        name=wire.name,
        health_path=wire.health_path,
        max_connections=wire.max_conns,
        engine=_engine(wire.engine),
        cold_ms=wire.cold_s * 1000,
        cold_rate=wire.cold_per_s,
    )


def _customer(wire: WireCustomer) -> Customer:
    return Customer(wire.name, tuple(wire.api_keys), wire.priority, frozenset(wire.allowed_regions))


def _table(wire: WireConfiguration) -> RouteTable:
    limits = wire.limits
    return RouteTable(
        version=wire.version,
        routes=[_route(item) for item in wire.routes],
        services=[_service(item) for item in wire.services],
        limits=ClientLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms,
            limits.idle_timeout_ms,
        ),
        customers=[_customer(item) for item in wire.tenants],
    )


def table_from(document: dict) -> Result[RouteTable, Failure]:
    """Decode a configuration document into a route table, or return all its errors."""
    try:
        table = _table(msgspec.convert(document, WireConfiguration))
    except (msgspec.MsgspecError, KeyError) as error:
        return Error(Failure(ResultCode.INVALID_SETTINGS, str(error)))
    faults = table_faults(table)
    if faults:
        message = "; ".join(str(fault) for fault in faults)
        return Error(Failure(ResultCode.INVALID_SETTINGS, message))
    return Ok(table)


def service_names(document: dict) -> frozenset[str]:
    """Return the names of the services of a valid configuration."""
    return frozenset(item["name"] for item in document["services"])


def decode_configuration(body: bytes) -> Result[DecodedConfiguration, Failure]:
    """Decode a configuration sent by an operator, or return why it is invalid."""
    try:
        document = msgspec.json.decode(body, type=dict)
    except msgspec.MsgspecError as error:
        return Error(Failure(ResultCode.NOT_JSON, str(error)))
    return table_from(document).map(lambda table: DecodedConfiguration(document, table))
