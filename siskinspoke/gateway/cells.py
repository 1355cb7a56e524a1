"""This VM's cell: the entry VMs that it shares books with, and the servers in those books."""

from collections.abc import Callable, Iterable

from siskinspoke.coordination.cells import Cell, Cells, Server
from siskinspoke.coordination.directory import Directory
from siskinspoke.protocol.feed import EntryPeer

Address = tuple[str, int]


class CellView:
    """Work the cells out anew when VMs or servers have come or gone.

    ``peers`` returns the other entry VMs that are known, ``changes`` how often one has come to be
    known or was forgotten, which is cheaper to compare.
    """

    def __init__(
        self,
        me: EntryPeer,
        directory: Directory,
        peers: Callable[[], list[EntryPeer]],
        changes: Callable[[], int],
    ):
        self._me = me
        self._directory = directory
        self._peers = peers
        self._changes = changes
        self._cells = Cells({me.host: me.failure_domain}, ())
        self._ports: dict[str, int] = {}
        self._seen: tuple[int, int] | None = None

    def _current(self) -> Cells:
        seen = (self._directory.changes, self._changes())
        if seen != self._seen:
            self._seen = seen
            peers = self._peers()
            self._ports = {peer.host: peer.port for peer in peers}
            vms = {peer.host: peer.failure_domain for peer in peers}
            vms[self._me.host] = self._me.failure_domain
            self._cells = Cells(vms, _servers(self._directory))
        return self._cells

    @property
    def mine(self) -> Cell:
        """Return the name of this VM's cell."""
        return self._current().of(self._me.host)

    @property
    def others(self) -> list[Cell]:
        """Return the names of the other cells, those of this failure domain first."""
        mine = self.mine
        found = [cell for cell in self._current().all if cell != mine]
        return sorted(found, key=lambda cell: (cell.domain != mine.domain, cell))

    def addresses(self, cell: Cell) -> list[Address]:
        """Return where the VMs of a cell hear each other, this one left out."""
        hosts = self._current().hosts(cell)
        return [(host, self._ports[host]) for host in hosts if host != self._me.host]

    def is_neighbour(self, host: str) -> bool:
        """Tell whether another VM shares this one's cell."""
        cells = self._current()
        return cells.of(host) == cells.of(self._me.host)

    def servers(self, service: str) -> set[str]:
        """Return the servers of a service in this VM's books."""
        return self._current().servers(self.mine, service)

    def watching(self, servers: Iterable[str]) -> set[Cell]:
        """Return the cells that keep books of any of these servers."""
        return self._current().watching(servers)


def _servers(directory: Directory) -> list[Server]:
    """Return the servers that have not left: one that is silent for a while keeps its place."""
    said = [record.announcement for record in directory.all_known()]
    return [
        Server(item.server, item.service, item.failure_domain) for item in said if not item.leaving
    ]
