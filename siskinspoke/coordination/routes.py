"""The route table: which service handles a request, for which customers and with which timeouts.

A table is immutable; a configuration change replaces it as a whole.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from enum import Enum
from typing import NamedTuple

from siskinspoke.core.checks import Fault


class CallKind(Enum):
    """Whether and how a request may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class Share(NamedTuple):
    """One service of a route, and its weight in the distribution of the route's requests."""

    service: str
    weight: float


class EngineCosts(NamedTuple):
    """The cost model of a model engine; names with ``_ms`` are in milliseconds.

    An engine computes in passes.  A pass with decoding streams runs ``pass_steps`` steps and emits
    one event for each of them.  Prompts are prefilled within the passes.
    """

    slots: int
    memory_tokens: int
    pass_steps: int
    step_ms: float
    stream_step_ms: float
    context_step_ms_per_k: float
    read_tokens_per_ms: float
    pair_ms_per_million: float


class Service(NamedTuple):
    """A group of interchangeable backend servers; ``engine`` is None for a plain service.

    A server is cold for ``cold_ms`` milliseconds after its start, in which it takes ``cold_rate``
    requests a second; both are 0 for a service whose servers take any rate at once.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineCosts | None = None
    cold_ms: float = 0.0
    cold_rate: float = 0.0

    @property
    def has_cold_servers(self) -> bool:
        """Return whether the servers take a limited rate after their start."""
        return self.cold_ms > 0 and self.cold_rate > 0


class Route(NamedTuple):
    """The route of requests with one host and path prefix; times are in milliseconds.

    ``timeout_ms`` limits the whole answer.  ``target_ms`` is the time within which the answer is
    of full use, and ``pause_ms`` the longest pause between events with which a stream is.
    ``regions`` are the only regions in which a request may be served; empty allows all.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    timeout_ms: float
    target_ms: float
    pause_ms: float
    priority: int
    shares: tuple[Share, ...]
    max_attempts: int
    public: bool
    resumable: bool
    regions: frozenset[str] = frozenset()

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        match self.kind:
            case CallKind.IDEMPOTENT:
                return True
            case CallKind.STREAM:
                return self.resumable
            case CallKind.NON_IDEMPOTENT:
                return False


class Customer(NamedTuple):
    """A customer, its API keys, and a priority that overrides the route's.

    ``regions`` are the only regions in which its requests may be served; empty allows all.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    regions: frozenset[str] = frozenset()


class ClientLimits(NamedTuple):
    """Size and time limits for client requests; the defaults apply until a table is loaded."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_ms: float = 3_000
    idle_ms: float = 15_000


class RouteTable:
    """One version of the routes, services, limits and customers."""

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Iterable[Service],
        limits: ClientLimits,
        customers: Iterable[Customer],
    ):
        self.version = version
        self.routes = tuple(routes)
        self.services = {service.name: service for service in services}
        self.limits = limits
        self.customers = tuple(customers)
        self._by_key = {key: customer for customer in self.customers for key in customer.keys}
        self._by_host: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=lambda item: len(item.prefix), reverse=True):
            self._by_host.setdefault(route.host, []).append(route)

    def find(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix of the path, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def customer_of(self, key: str) -> Customer | None:
        """Return the customer that a key belongs to, or None."""
        return self._by_key.get(key)

    @property
    def needs_keys(self) -> bool:
        """Return whether requests must carry a key."""
        return bool(self.customers)


def table_faults(table: RouteTable) -> list[Fault]:
    """Return all reasons why a table is invalid."""
    return [
        *_service_faults(table),
        *_duplicate_faults(table),
        *_weight_faults(table),
        *_time_faults(table),
        *_key_faults(table),
    ]


def region_faults(table: RouteTable, domain_regions: Mapping[str, str]) -> list[Fault]:
    """Return the regions of routes and customers that no failure domain has.

    Without a map of failure domains nothing is known of regions, so there are no faults.
    """
    if not domain_regions:
        return []
    known = set(domain_regions.values())
    owners = [(f"route {route.name}", route.regions) for route in table.routes]
    owners += [(f"customer {customer.name}", customer.regions) for customer in table.customers]
    return [
        Fault(
            "routes.E206",
            place,
            f"no failure domain is in region {region!r}",
            f"use one of {sorted(known)}",
        )
        for place, regions in owners
        for region in sorted(regions - known)
    ]


def _service_faults(table: RouteTable) -> Iterable[Fault]:
    for route in table.routes:
        for share in route.shares:
            if share.service not in table.services:
                yield Fault(
                    "routes.E201",
                    f"route {route.name}",
                    f"service {share.service!r} does not exist",
                    "use the name of a configured service, or add the service",
                )


def _duplicate_faults(table: RouteTable) -> Iterable[Fault]:
    counts = Counter((route.host, route.prefix) for route in table.routes)
    for (host, prefix), count in counts.items():
        if count > 1:
            yield Fault(
                "routes.E202",
                f"host {host}, prefix {prefix}",
                f"{count} routes have the same host and prefix",
                "keep only one of them",
            )


def _weight_faults(table: RouteTable) -> Iterable[Fault]:
    for route in table.routes:
        weights = [share.weight for share in route.shares]
        if sum(weights) <= 0 or min(weights) < 0:
            yield Fault(
                "routes.E203",
                f"route {route.name}",
                "has a negative weight, or only weights of 0",
                "give at least one service a weight above 0, and none a negative weight",
            )


def _time_faults(table: RouteTable) -> Iterable[Fault]:
    for route in table.routes:
        if route.timeout_ms <= 0:
            yield Fault(
                "routes.E204",
                f"route {route.name}",
                "timeout is not positive",
                "set a timeout above 0 ms",
            )


def _key_faults(table: RouteTable) -> Iterable[Fault]:
    owners: dict[str, str] = {}
    for customer in table.customers:
        for key in customer.keys:
            owner = owners.setdefault(key, customer.name)
            if owner != customer.name:
                yield Fault(
                    "routes.E205",
                    f"customer {customer.name}",
                    f"shares a key with {owner}",
                    "give each customer its own keys",
                )
