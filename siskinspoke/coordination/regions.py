"""The failure domains in which a request may be served."""

from collections.abc import Mapping, Set


def allowed_domains(
    route_regions: Set[str], customer_regions: Set[str], domain_regions: Mapping[str, str]
) -> frozenset[str] | None:
    """Return the failure domains that the regions of a route and a customer allow.

    None means that neither restricts the request.  A failure domain of unknown region is not
    allowed where there is a restriction.
    """
    limits = [regions for regions in (route_regions, customer_regions) if regions]
    if not limits:
        return None
    return frozenset(
        domain
        for domain, region in domain_regions.items()
        if all(region in regions for regions in limits)
    )
