"""The cell of this VM: the entry VMs with which it shares engine load state, and their servers."""

from collections.abc import Callable, Iterable

from siskinspoke.coordination.cells import Cell, Cells, Server
from siskinspoke.coordination.directory import Directory
from siskinspoke.core.decisions import DecisionLog
from siskinspoke.protocol.feed import EntryPeer

Address = tuple[str, int]


class CellView:
    """Recompute the cells when VMs or servers have been added or removed.

    ``peers`` returns the other known entry VMs. ``changes`` returns how many times that set has
    changed, which is cheaper to compare than the set itself.
    """

    def __init__(
        self,
        me: EntryPeer,
        directory: Directory,
        peers: Callable[[], list[EntryPeer]],
        changes: Callable[[], int],
        log: DecisionLog,
    ):
        self._me = me
        self._directory = directory
        self._peers = peers
        self._changes = changes
        self._log = log
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
            before = (self._cells.of(self._me.host), len(self._cells.all))
            self._cells = Cells(vms, _servers(self._directory))
            self._note_change(before, len(vms))
        return self._cells

    def _note_change(self, before: tuple[Cell | None, int], vms: int) -> None:
        """Log a change of this VM's cell; its knowledge of engine load starts over with it."""
        cell, cells = self._cells.of(self._me.host), len(self._cells.all)
        if (cell, cells) != before:
            neighbours = len(self._cells.hosts(cell)) - 1
            self._log.note(
                "cell.changed",
                cell=f"{cell.domain}/{cell.index}",
                cells=cells,
                vms=vms,
                neighbours=neighbours,
            )

    @property
    def mine(self) -> Cell:
        """Return the ID of this VM's cell."""
        return self._current().of(self._me.host)

    @property
    def others(self) -> list[Cell]:
        """Return the IDs of the other cells, those in this failure domain first."""
        mine = self.mine
        found = [cell for cell in self._current().all if cell != mine]
        return sorted(found, key=lambda cell: (cell.domain != mine.domain, cell))

    def addresses(self, cell: Cell) -> list[Address]:
        """Return the peer addresses of the VMs in a cell, excluding this VM."""
        hosts = self._current().hosts(cell)
        return [(host, self._ports[host]) for host in hosts if host != self._me.host]

    def is_neighbour(self, host: str) -> bool:
        """Return whether another VM is in this VM's cell."""
        cells = self._current()
        return cells.of(host) == cells.of(self._me.host)

    def servers(self, service: str) -> set[str]:
        """Return the servers of a service that belong to this VM's cell."""
        return self._current().servers(self.mine, service)

    def watching(self, servers: Iterable[str]) -> set[Cell]:
        """Return the cells that track the load of any of these servers."""
        return self._current().watching(servers)


def _servers(directory: Directory) -> list[Server]:
    """Return the servers that have not left; a temporarily unresponsive server keeps its cell."""
    said = [record.announcement for record in directory.all_known()]
    return [
        Server(item.server, item.service, item.failure_domain) for item in said if not item.leaving
    ]
