"""Place prompts in other cells when this VM's own cell is short of capacity.

A cell holds a part of its failure domain's engines. A burst, a cluster of long prompts or a loss
of engines may fill one cell while others have capacity. For each prompt that would wait too long, a
few other cells are queried, one of them in this failure domain, and the best offer is taken. The
VMs of those cells track the load of their engines, so an offer is as accurate as their own choice.
"""

from collections.abc import Iterable

from siskinspoke.coordination.cell_offers import ASKED_CELLS, best_offer
from siskinspoke.coordination.cells import Cell
from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.coordination.placement import Place
from siskinspoke.coordination.work_table import Job
from siskinspoke.gateway.cold import is_cold
from siskinspoke.gateway.context import Gateway, Request, now_ms
from siskinspoke.gateway.holds import find_hold
from siskinspoke.gateway.regions import Domains, within
from siskinspoke.gateway.servers import REMOTE_DOMAIN_MS
from siskinspoke.protocol.peers import PlaceOffer, PlaceQuestion


async def request_remote_place(
    gateway: Gateway, request: Request, job: Job, excluded: Iterable[str], found: Place | None
) -> Place | None:
    """Return the best place offered by other cells if it is better than ``found``, else None."""
    addresses = _choose_vms(gateway)
    # ``Queries`` fills in the asking host and the number that matches offers to the query.
    query = PlaceQuestion(
        "", 0, request.service, *job, sorted(excluded), sorted(request.domains or ())
    )
    offers = await gateway.queries.request_offers(query, addresses)
    request.offers = len(offers)
    places = [
        place
        for offer in offers
        if (place := place_of_offer(gateway, offer, request.domains)) is not None
    ]
    best = best_offer(found, places)
    if best is not None:
        gateway.counters.count("cells.widened")
        request.widened = True
    return best


def _choose_vms(gateway: Gateway) -> list[tuple[str, int]]:
    """Return the VMs to query: one random VM of each of a few random cells."""
    now, own_domain = now_ms(), gateway.settings.failure_domain
    cells = [
        cell
        for cell in gateway.cells.other_cells
        if not gateway.domains.is_cut_off(cell.domain, now)
        and cell.domain not in gateway.evacuations.domains
    ]
    near = [cell for cell in cells if cell.domain == own_domain]
    far = [cell for cell in cells if cell.domain != own_domain]
    chosen: list[Cell] = gateway.rng.sample(near, min(1, len(near)))
    chosen += gateway.rng.sample(far, min(ASKED_CELLS - len(chosen), len(far)))
    addresses_by_cell = [gateway.cells.addresses(cell) for cell in chosen]
    return [gateway.rng.choice(addresses) for addresses in addresses_by_cell if addresses]


def place_of_offer(gateway: Gateway, offer: PlaceOffer, domains: Domains) -> Place | None:
    """Return an offered place, or None if this VM knows that one of its servers is unusable."""
    records = [gateway.directory.latest(name) for name in offer.servers]
    if any(record is None or not _is_usable(gateway, record) for record in records):
        return None
    if len(within(records, domains)) < len(records):
        return None
    if any(is_cold(gateway, record, now_ms()) for record in records[1:]):
        return None
    first_ms = offer.first_token_ms
    if records[0].announcement.failure_domain != gateway.settings.failure_domain:
        first_ms += REMOTE_DOMAIN_MS
    return Place(tuple(offer.servers), first_ms, tuple(offer.held))


def _is_usable(gateway: Gateway, record: ServerRecord) -> bool:
    announcement, now = record.announcement, now_ms()
    cut = gateway.domains.is_cut_off(announcement.failure_domain, now)
    is_held = find_hold(gateway, record, now) is not None
    return not (
        announcement.leaving
        or cut
        or is_held
        or gateway.server_health.is_ejected(announcement.server, now)
    )
