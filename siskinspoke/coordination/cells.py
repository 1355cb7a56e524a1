"""Part a large fleet into cells, so that what one VM hears, tells and keeps does not grow with it.

A cell is some entry VMs of one failure domain.  Each service's engines of that domain are dealt
out to its cells, and the VMs of a cell share their books of those engines and of no others.  All
VMs work the same cells out from the same names; one that comes or goes moves few others, since
names are ranked by a hash and cut into stretches of equal length.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import xxhash

# The VMs of a cell tell each other of each request: a cell of this size is as large as a small
# site.
MOST_VMS = 24
# A cell has at least this many engines of a service where its domain has them: with fewer there
# is no room beside a long prompt that several engines read, so cells share what they have.
LEAST_ENGINES = 12
WHOLE_FLEET = ""


class Cell(NamedTuple):
    """The name of a cell: a failure domain and a number; no domain where all VMs are one cell."""

    domain: str
    index: int


class Server(NamedTuple):
    """What decides to which cells a backend server belongs."""

    name: str
    service: str
    domain: str


def _ranked(names: Iterable[str]) -> list[str]:
    return sorted(names, key=lambda name: (xxhash.xxh64_intdigest(name.encode()), name))


def _stretches(names: Iterable[str], parts: int) -> list[list[str]]:
    """Cut ranked names into stretches whose lengths differ by one at most."""
    ranked = _ranked(names)
    ends = [len(ranked) * part // parts for part in range(parts + 1)]
    return [ranked[ends[part] : ends[part + 1]] for part in range(parts)]


def _parts(vms: int) -> int:
    """Return into how many cells the VMs of a domain go: a power of two, so that it is steady."""
    parts = 1
    while vms > parts * MOST_VMS:
        parts *= 2
    return parts


def _slices(engines: int, cells: int) -> int:
    """Return how many slices a service's engines make; cells share one where there are few."""
    slices = cells
    while slices > 1 and engines < slices * LEAST_ENGINES:
        slices //= 2
    return slices


class Cells:
    """The cells of a fleet as one VM knows it; ``vms`` are failure domains by host."""

    def __init__(self, vms: Mapping[str, str], servers: Iterable[Server]):
        self._hosts: dict[Cell, list[str]] = {}
        self._cell_of: dict[str, Cell] = {}
        self._servers: dict[tuple[Cell, str], set[str]] = {}
        self._watching: dict[str, tuple[Cell, ...]] = {}
        whole = len(vms) <= MOST_VMS
        by_domain: dict[str, list[str]] = {}
        for host, domain in vms.items():
            by_domain.setdefault(WHOLE_FLEET if whole else domain, []).append(host)
        for domain, hosts in by_domain.items():
            self._deal_vms(domain, hosts)
        by_service: dict[tuple[str, str], list[str]] = {}
        for server in servers:
            home = WHOLE_FLEET if whole else _home(server.domain, by_domain)
            by_service.setdefault((home, server.service), []).append(server.name)
        for (domain, service), names in by_service.items():
            self._deal_servers(domain, service, names)

    def _deal_vms(self, domain: str, hosts: list[str]) -> None:
        for index, stretch in enumerate(_stretches(hosts, _parts(len(hosts)))):
            cell = Cell(domain, index)
            self._hosts[cell] = stretch
            self._cell_of |= dict.fromkeys(stretch, cell)

    def _deal_servers(self, domain: str, service: str, names: list[str]) -> None:
        cells = sorted(cell for cell in self._hosts if cell.domain == domain)
        slices = _slices(len(names), len(cells))
        each = len(cells) // slices
        for number, stretch in enumerate(_stretches(names, slices)):
            watching = tuple(cells[number * each : (number + 1) * each])
            self._watching |= dict.fromkeys(stretch, watching)
            for cell in watching:
                self._servers[cell, service] = set(stretch)

    @property
    def all(self) -> list[Cell]:
        """Return the names of all cells."""
        return list(self._hosts)

    def of(self, host: str) -> Cell | None:
        """Return the cell of an entry VM."""
        return self._cell_of.get(host)

    def hosts(self, cell: Cell) -> list[str]:
        """Return the entry VMs of a cell."""
        return self._hosts.get(cell, [])

    def servers(self, cell: Cell, service: str) -> set[str]:
        """Return the servers of a service that the VMs of a cell keep books of."""
        return self._servers.get((cell, service), set())

    def watching(self, servers: Iterable[str]) -> set[Cell]:
        """Return the cells that keep books of any of these servers."""
        return {cell for server in servers for cell in self._watching.get(server, ())}


def _home(domain: str, by_domain: Mapping[str, list[str]]) -> str:
    """Return whose cells keep the books of a domain's servers: its own, if it has any VM."""
    if domain in by_domain:
        return domain
    return _ranked(by_domain)[0]
