"""Tests for the partition of a large fleet into cells."""

from siskinspoke.coordination.cells import MAX_CELL_VMS, MIN_CELL_ENGINES, Cell, Cells, Server

DOMAINS = ("a", "b", "c", "d", "e")


def vms(count: int, domains=DOMAINS) -> dict[str, str]:
    return {f"10.0.{i % len(domains)}.{i}": domains[i % len(domains)] for i in range(count)}


def engines(count: int, domains=DOMAINS, service="m") -> list[Server]:
    return [Server(f"i-{i}", service, domains[i % len(domains)]) for i in range(count)]


class TestSize:
    """The VMs and servers of a cell don't grow with the fleet."""

    def test_a_small_site_is_one_cell(self):
        cells = Cells(vms(9), engines(23))
        assert cells.all == [Cell("", 0)]
        assert len(cells.servers(cells.cell_of("10.0.0.0"), "m")) == 23

    def test_vms_of_a_cell_do_not_grow_with_the_fleet(self):
        """With all VMs in one cell, every VM of the fleet would be notified of each request."""
        for count in (60, 195, 420, 2_000):
            cells = Cells(vms(count), engines(count))
            sizes = [len(cells.hosts(cell)) for cell in cells.all]
            assert max(sizes) <= MAX_CELL_VMS
            assert min(sizes) >= MAX_CELL_VMS // 2 - 1

    def test_servers_of_a_cell_do_not_grow_with_the_fleet(self):
        for count in (195, 420, 2_000):
            cells = Cells(vms(count), engines(count * 2))
            sizes = [len(cells.servers(cell, "m")) for cell in cells.all]
            assert min(sizes) >= MIN_CELL_ENGINES
            assert max(sizes) <= 3 * MAX_CELL_VMS


class TestShares:
    """Each engine's work is tracked by the cells that use the engine."""

    def test_each_engine_is_watched_by_the_cells_that_use_it(self):
        cells = Cells(vms(195), engines(195))
        for server in engines(195):
            tracking = cells.cells_tracking([server.name])
            assert tracking
            assert all(server.name in cells.servers(cell, "m") for cell in tracking)
            assert all(cell.domain == server.domain for cell in tracking)

    def test_a_rare_service_is_shared_by_the_cells_of_a_domain(self):
        """Five engines distributed over eight cells would leave some VMs without any."""
        cells = Cells(vms(195), engines(25))
        for cell in cells.all:
            assert len(cells.servers(cell, "m")) == 5

    def test_engines_of_a_domain_without_vms_are_watched(self):
        """After the loss of all entry VMs of a domain, its healthy engines must not be idle."""
        servers = engines(195)
        cells = Cells(vms(195, DOMAINS[:4]), servers)
        assert all(cells.cells_tracking([server.name]) for server in servers)

    def test_cells_only_use_engines_of_their_domain(self):
        cells = Cells(vms(195), engines(195))
        domain_of = {server.name: server.domain for server in engines(195)}
        for cell in cells.all:
            assert {domain_of[name] for name in cells.servers(cell, "m")} == {cell.domain}


class TestSteadiness:
    """A VM or server that joins or leaves must not reassign all others."""

    def test_removing_one_vm_moves_few(self):
        before = Cells(vms(195), engines(195))
        known = vms(195)
        known.pop("10.0.3.3")
        after = Cells(known, engines(195))
        moved = [host for host in known if before.cell_of(host) != after.cell_of(host)]
        assert len(moved) <= 1

    def test_removing_one_engine_moves_few(self):
        before = Cells(vms(195), engines(195))
        after = Cells(vms(195), engines(195)[1:])
        moved = [
            server.name
            for server in engines(195)[1:]
            if before.cells_tracking([server.name]) != after.cells_tracking([server.name])
        ]
        assert len(moved) <= 1

    def test_all_vms_agree(self):
        """VMs learn of each other in different orders."""
        one = Cells(vms(195), engines(195))
        other = Cells(dict(reversed(vms(195).items())), list(reversed(engines(195))))
        assert all(one.cell_of(host) == other.cell_of(host) for host in vms(195))
