"""The failure domains in which a request may be served, and its refusal where no server is left."""

from collections.abc import Iterable

from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.coordination.regions import allowed_domains
from siskinspoke.coordination.routes import Customer, Route
from siskinspoke.core.codes import Failure, ResultCode
from siskinspoke.gateway.context import Gateway, Request, now_ms

# Retry-After of the refusal: nothing tells when a server joins in an allowed region.  Milliseconds.
RETRY_AFTER_MS = 1_000
RETRY_AFTER_JITTER = 0.5

Domains = frozenset[str] | None


def domains_of(gateway: Gateway, route: Route, customer: Customer | None) -> Domains:
    """Return the only failure domains in which a request may be served; None allows all."""
    customer_regions = customer.regions if customer is not None else frozenset()
    return allowed_domains(route.regions, customer_regions, gateway.settings.domain_regions)


def within(records: Iterable[ServerRecord], domains: Domains) -> list[ServerRecord]:
    """Return the servers that are in allowed failure domains."""
    if domains is None:
        return list(records)
    return [record for record in records if record.announcement.failure_domain in domains]


def has_server(gateway: Gateway, service: str, domains: Domains, now: float) -> bool:
    """Return whether a service has a live server in an allowed failure domain."""
    if domains is None:
        return gateway.directory.has_live_server(service, now)
    return bool(within(gateway.directory.live_servers_of(service, now), domains))


def find_region_refusal(gateway: Gateway, request: Request) -> Failure | None:
    """Return the refusal of a request whose regions alone leave no server for it, or None."""
    if request.domains is None:
        return None
    now = now_ms()
    services = [share.service for share in request.route.shares if share.weight > 0]
    known = [item for name in services for item in gateway.directory.routable(name, now)]
    if within(known, request.domains) or (request.domains and not known):
        return None
    gateway.counters.count("region.refused")
    message = f"no server is in an allowed region (failure domains {sorted(request.domains)})"
    jitter_ms = RETRY_AFTER_MS * RETRY_AFTER_JITTER * gateway.rng.random()
    return Failure(ResultCode.REGION, message, int(RETRY_AFTER_MS + jitter_ms))
