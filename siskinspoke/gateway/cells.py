"""The cell of this VM: the entry VMs with which it shares a work table, and their servers."""

from collections.abc import Callable, Iterable

from siskinspoke.coordination.cells import Cell, Cells, Server
from siskinspoke.coordination.directory import Directory
from siskinspoke.core.decisions import DecisionLog
from siskinspoke.protocol.feed import EntryPeer

Address = tuple[str, int]


class CellView:
    """Recompute the cells when VMs or servers have been added or removed.

    ``peers`` returns the other known entry VMs. ``change_count`` returns how many times that set
    has changed, which is cheaper to compare than the set itself.
    """

    def __init__(
        self,
        own_vm: EntryPeer,
        directory: Directory,
        peers: Callable[[], list[EntryPeer]],
        change_count: Callable[[], int],
        log: DecisionLog,
    ):
        self._own_vm = own_vm
        self._directory = directory
        self._peers = peers
        self._change_count = change_count
        self._log = log
        self._cells = Cells({own_vm.host: own_vm.failure_domain}, ())
        self._ports: dict[str, int] = {}
        self._last_changes: tuple[int, int] | None = None

    def _current(self) -> Cells:
        changes = (self._directory.changes, self._change_count())
        if changes != self._last_changes:
            self._last_changes = changes
            peers = self._peers()
            self._ports = {peer.host: peer.port for peer in peers}
            vms = {peer.host: peer.failure_domain for peer in peers}
            vms[self._own_vm.host] = self._own_vm.failure_domain
            before = (self._cells.cell_of(self._own_vm.host), len(self._cells.all))
            self._cells = Cells(vms, _current_servers(self._directory))
            self._log_change(before, len(vms))
        return self._cells

    def _log_change(self, before: tuple[Cell | None, int], vms: int) -> None:
        """Log a change of this VM's cell; its knowledge of engine load starts over with it."""
        cell, cells = self._cells.cell_of(self._own_vm.host), len(self._cells.all)
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
    def own_cell(self) -> Cell:
        """Return the ID of this VM's cell."""
        return self._current().cell_of(self._own_vm.host)

    @property
    def other_cells(self) -> list[Cell]:
        """Return the IDs of the other cells, those in this failure domain first."""
        own_cell = self.own_cell
        cells = [cell for cell in self._current().all if cell != own_cell]
        return sorted(cells, key=lambda cell: (cell.domain != own_cell.domain, cell))

    def addresses(self, cell: Cell) -> list[Address]:
        """Return the peer addresses of the VMs in a cell, excluding this VM."""
        hosts = self._current().hosts(cell)
        return [(host, self._ports[host]) for host in hosts if host != self._own_vm.host]

    def is_neighbour(self, host: str) -> bool:
        """Return whether another VM is in this VM's cell."""
        cells = self._current()
        return cells.cell_of(host) == cells.cell_of(self._own_vm.host)

    def servers(self, service: str) -> set[str]:
        """Return the servers of a service that belong to this VM's cell."""
        return self._current().servers(self.own_cell, service)

    def cells_tracking(self, servers: Iterable[str]) -> set[Cell]:
        """Return the cells that track the load of any of these servers."""
        return self._current().cells_tracking(servers)


def _current_servers(directory: Directory) -> list[Server]:
    """Return the servers that have not left; a temporarily unresponsive server keeps its cell."""
    announcements = [record.announcement for record in directory.all_records()]
    return [
        Server(item.server, item.service, item.failure_domain)
        for item in announcements
        if not item.leaving
    ]
