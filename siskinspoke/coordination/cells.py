"""Partition a large fleet into cells, so that a VM's messages and state don't grow with the fleet.

A cell is a group of entry VMs of one failure domain.  Each service's engines of that domain are
distributed over its cells, and the VMs of a cell share a work table of only those engines.  All VMs
compute the same cells from the same names.  A VM that joins or leaves moves few others, since names
are ordered by a hash and split into ranges of equal length.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import xxhash

# The VMs of a cell notify each other of each request: a cell of this size is as large as a small
# site.
MAX_CELL_VMS = 24
# A cell has at least this many engines of a service if its domain has them.  With fewer, a long
# prompt that several engines prefill leaves no room for other requests, so cells share engines.
MIN_CELL_ENGINES = 12
WHOLE_FLEET = ""


class Cell(NamedTuple):
    """A cell's failure domain and number; the domain is empty if all VMs form one cell."""

    domain: str
    index: int


class Server(NamedTuple):
    """The properties of a backend server that determine its cells."""

    name: str
    service: str
    domain: str


def _ranked(names: Iterable[str]) -> list[str]:
    return sorted(names, key=lambda name: (xxhash.xxh64_intdigest(name.encode()), name))


def _partition(names: Iterable[str], parts: int) -> list[list[str]]:
    """Split names, in hash order, into ranges whose lengths differ by at most one."""
    ranked = _ranked(names)
    ends = [len(ranked) * part // parts for part in range(parts + 1)]
    return [ranked[ends[part] : ends[part + 1]] for part in range(parts)]


def _cell_count(vms: int) -> int:
    """Return the number of cells for the VMs of a domain: a power of two, so it changes rarely."""
    parts = 1
    while vms > parts * MAX_CELL_VMS:
        parts *= 2
    return parts


def _slice_count(engines: int, cells: int) -> int:
    """Return into how many slices a service's engines are split; cells share one if few."""
    slices = cells
    while slices > 1 and engines < slices * MIN_CELL_ENGINES:
        slices //= 2
    return slices


class Cells:
    """The cells of a fleet as known to one VM; ``vms`` maps hosts to failure domains."""

    def __init__(self, vms: Mapping[str, str], servers: Iterable[Server]):
        self._hosts: dict[Cell, list[str]] = {}
        self._cell_of: dict[str, Cell] = {}
        self._servers: dict[tuple[Cell, str], set[str]] = {}
        self._tracking_cells: dict[str, tuple[Cell, ...]] = {}
        single_cell = len(vms) <= MAX_CELL_VMS
        by_domain: dict[str, list[str]] = {}
        for host, domain in vms.items():
            by_domain.setdefault(WHOLE_FLEET if single_cell else domain, []).append(host)
        for domain, hosts in by_domain.items():
            self._assign_vms(domain, hosts)
        by_service: dict[tuple[str, str], list[str]] = {}
        for server in servers:
            owner = WHOLE_FLEET if single_cell else _owning_domain(server.domain, by_domain)
            by_service.setdefault((owner, server.service), []).append(server.name)
        for (domain, service), names in by_service.items():
            self._assign_servers(domain, service, names)

    def _assign_vms(self, domain: str, hosts: list[str]) -> None:
        for index, group in enumerate(_partition(hosts, _cell_count(len(hosts)))):
            cell = Cell(domain, index)
            self._hosts[cell] = group
            self._cell_of |= dict.fromkeys(group, cell)

    def _assign_servers(self, domain: str, service: str, names: list[str]) -> None:
        cells = sorted(cell for cell in self._hosts if cell.domain == domain)
        slices = _slice_count(len(names), len(cells))
        cells_per_slice = len(cells) // slices
        for number, group in enumerate(_partition(names, slices)):
            cells_of_slice = tuple(cells[number * cells_per_slice : (number + 1) * cells_per_slice])
            self._tracking_cells |= dict.fromkeys(group, cells_of_slice)
            for cell in cells_of_slice:
                self._servers[cell, service] = set(group)

    @property
    def all(self) -> list[Cell]:
        """Return all cells."""
        return list(self._hosts)

    def cell_of(self, host: str) -> Cell | None:
        """Return the cell of an entry VM, or None if it is unknown."""
        return self._cell_of.get(host)

    def hosts(self, cell: Cell) -> list[str]:
        """Return the entry VMs of a cell."""
        return self._hosts.get(cell, [])

    def servers(self, cell: Cell, service: str) -> set[str]:
        """Return the servers of a service whose work the VMs of a cell track."""
        return self._servers.get((cell, service), set())

    def cells_tracking(self, servers: Iterable[str]) -> set[Cell]:
        """Return the cells that track the work of any of these servers."""
        return {cell for server in servers for cell in self._tracking_cells.get(server, ())}


def _owning_domain(domain: str, by_domain: Mapping[str, list[str]]) -> str:
    """Return the domain whose cells track a domain's servers: its own, if it has any VM."""
    if domain in by_domain:
        return domain
    return _ranked(by_domain)[0]
