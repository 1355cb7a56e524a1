"""Tests for updates and queries between the VMs of a large fleet with several cells."""

import random
from types import SimpleNamespace

import trio
import trio.testing

from siskinspoke.coordination.back_off import BackOffs
from siskinspoke.coordination.cell_offers import lacks_room
from siskinspoke.coordination.cold_servers import ColdServers
from siskinspoke.coordination.directory import Directory
from siskinspoke.coordination.domains import DomainMonitor
from siskinspoke.coordination.evacuations import ObeyedEvacuations
from siskinspoke.coordination.placement import Place
from siskinspoke.coordination.rate_limits import RateLimits
from siskinspoke.coordination.retries import SharedRetryBudget
from siskinspoke.coordination.server_health import FailureKind, ServerHealth
from siskinspoke.coordination.work_table import Job, Work, WorkTable
from siskinspoke.core.counters import Counters
from siskinspoke.gateway.cells import CellView
from siskinspoke.gateway.peers import Peers
from siskinspoke.gateway.queries import Queries
from siskinspoke.gateway.remote_placement import request_remote_place
from siskinspoke.protocol.announcements import Announcement
from siskinspoke.protocol.evacuations import Evacuation, EvacuationState
from siskinspoke.protocol.feed import EntryPeer
from siskinspoke.protocol.peers import PlaceOffer, PlaceQuestion, RateLimitNews, WorkNews
from tests.feeds.test_follower import NullDecisionLog

PORT = 17_342
JOB = Job(5_000, 900, 300, 250)
DOMAINS = ("a", "b")
VMS_A_DOMAIN = 30
ENGINES_A_DOMAIN = 30
# The initial time of a mock clock.
START_MS = 0.0


def engine(number: int, domain: str) -> Announcement:
    name = f"{domain}-{number}"
    return Announcement(name, 1, 1, domain, "10.9.9.9", 1, "", "m", False, False, 0, 0, 0, [], 0, 0)


class Fleet:
    """A fleet of two failure domains with two cells each, as seen by one VM."""

    def __init__(self, own_host: str = "10.0.0.0"):
        self.directory = Directory(60_000)
        for domain in DOMAINS:
            for number in range(ENGINES_A_DOMAIN):
                self.directory.apply(engine(number, domain), 0)
        self.vms = [
            EntryPeer(f"10.0.{index}.{number}", PORT, domain)
            for index, domain in enumerate(DOMAINS)
            for number in range(VMS_A_DOMAIN)
        ]
        own_vm = next(vm for vm in self.vms if vm.host == own_host)
        others = [vm for vm in self.vms if vm.host != own_host]
        self.cells = CellView(own_vm, self.directory, lambda: others, lambda: 1, NullDecisionLog())


class Port:
    """A datagram port that records what is sent."""

    def __init__(self) -> None:
        self.sent: list[tuple[object, list]] = []

    async def send_to_all(self, item, addresses) -> None:
        self.sent.append((item, list(addresses)))

    async def send(self, item, host, port) -> None:
        self.sent.append((item, [(host, port)]))


def peers_of(fleet: Fleet, work_table: WorkTable) -> Peers:
    return Peers(
        "10.0.0.0",
        "a",
        work_table,
        SharedRetryBudget(0.2, 100),
        DomainMonitor(),
        fleet.cells,
        Queries("10.0.0.0", PORT, lambda question: None, Counters()),
        Counters(),
        lambda _host, _domain: None,
        lambda _server: None,
    )


class TestUpdates:
    """Work is reported to the cells that track its engines, and to no others."""

    def test_fleet_has_cells_of_bounded_size(self):
        fleet = Fleet()
        assert len(fleet.cells.other_cells) == 3
        assert len(fleet.cells.addresses(fleet.cells.own_cell)) == VMS_A_DOMAIN // 2 - 1
        assert len(fleet.cells.servers("m")) == ENGINES_A_DOMAIN // 2

    def sent_updates(self, server_of) -> tuple[Fleet, list[tuple[WorkNews, list]]]:
        """Return the updates that one VM sends about work at a server chosen from the fleet."""
        fleet, port = Fleet(), Port()

        async def run():
            peers = peers_of(fleet, WorkTable())
            number = peers.begin_work(Work(JOB, (server_of(fleet),), 0.0))
            await peers._send_updates(port)
            peers.mark_first_token(number)
            peers.end_work(number)
            await peers._send_updates(port)

        trio.run(run)
        return fleet, port.sent

    def test_work_in_own_cell_is_sent_to_own_cell_only(self):
        """With 195 VMs, updates to every VM took nine tenths of the fleet's processor time."""
        fleet, sent = self.sent_updates(lambda fleet: min(fleet.cells.servers("m")))
        own_cell = fleet.cells.addresses(fleet.cells.own_cell)
        assert [addresses for _, addresses in sent] == [own_cell, own_cell]
        assert sent[0][0].began
        assert sent[1][0].wrote == sent[1][0].ended == [1]

    def test_work_in_another_cell_is_sent_to_that_cell(self):
        """VMs of that cell would otherwise assume that the engine is idle and overload it."""
        fleet, sent = self.sent_updates(lambda fleet: "b-3")
        tracking = fleet.cells.cells_tracking(["b-3"])
        assert fleet.cells.own_cell not in tracking
        receivers = {address for _, addresses in sent for address in addresses}
        expected = {at for cell in tracking for at in fleet.cells.addresses(cell)}
        assert receivers >= expected

    def test_rate_limit_of_another_cells_engine_is_sent_to_that_cell(self):
        """An engine announced its rate limit to a VM of another cell; its own cell was not told."""
        fleet, port = Fleet(), Port()

        async def run():
            peers = peers_of(fleet, WorkTable())
            peers.rate_limit(("b-3", 1), 2.0, 0.0)
            await peers._send_updates(port)

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        receivers = {address for _, addresses in port.sent for address in addresses}
        cells = {fleet.cells.own_cell, *fleet.cells.cells_tracking(["b-3"])}
        assert receivers == {at for cell in cells for at in fleet.cells.addresses(cell)}
        assert {item for item, _ in port.sent} == {RateLimitNews("b-3", 1, 2.0, 0.0)}

    def test_open_work_is_kept_alive_without_updates(self):
        """A VM with one long stream has no updates; its work must not expire as a dead VM's."""
        fleet, port = Fleet(), Port()

        async def run():
            peers = peers_of(fleet, WorkTable())
            peers.begin_work(Work(JOB, (min(fleet.cells.servers("m")),), 0.0))
            await peers._send_updates(port)
            await peers._send_updates(port)
            assert len(port.sent) == 1
            await trio.sleep(1.0)
            await peers._send_updates(port)
            assert len(port.sent) == 2

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def querying_gateway(fleet: Fleet, offers: list[PlaceOffer]) -> SimpleNamespace:
    """Return a gateway whose placement queries are answered with these offers."""

    async def request_offers(question: PlaceQuestion, addresses: list) -> list[PlaceOffer]:
        gateway.queried = addresses
        return offers

    gateway = SimpleNamespace(
        rng=random.Random(1),
        cells=fleet.cells,
        directory=fleet.directory,
        domains=DomainMonitor(),
        server_health=ServerHealth(),
        rate_limits=RateLimits(),
        back_offs=BackOffs(),
        evacuations=ObeyedEvacuations(),
        settings=SimpleNamespace(failure_domain="a"),
        queries=SimpleNamespace(request_offers=request_offers),
        counters=Counters(),
        cold_servers=ColdServers(),
        table=None,
    )
    return gateway


def place_in_other_cells(gateway, found: Place | None, excluded=(), domains=None) -> Place | None:
    clock = trio.testing.MockClock()
    request = SimpleNamespace(service="m", offers=None, widened=False, domains=domains)
    return trio.run(request_remote_place, gateway, request, JOB, excluded, found, clock=clock)


class TestWidening:
    """A cluster of long prompts fills one cell while others have capacity."""

    def test_cell_with_capacity_sends_no_query(self):
        assert not lacks_room(Place(("a-1",), 110.0), 300.0)
        assert lacks_room(Place(("a-1",), 250.0), 300.0)
        assert lacks_room(None, 300.0)

    def test_full_cell_takes_best_offer(self):
        offers = [PlaceOffer(1, ["a-1"], 150.0, []), PlaceOffer(1, ["b-1"], 90.0, [])]
        gateway = querying_gateway(Fleet(), offers)
        assert place_in_other_cells(gateway, None).servers == ("b-1",)
        assert len(gateway.queried) == 3

    def test_slightly_better_offer_is_declined(self):
        """The queried cell has clients of its own."""
        gateway = querying_gateway(Fleet(), [PlaceOffer(1, ["b-1"], 190.0, [])])
        assert place_in_other_cells(gateway, Place(("a-1",), 200.0)) is None

    def test_offer_from_unreachable_domain_is_declined(self):
        """The queried VM is reachable, but the engines of its failure domain are not."""
        gateway = querying_gateway(Fleet(), [PlaceOffer(1, ["b-1"], 90.0, [])])
        for name in ("b-4", "b-5"):
            gateway.domains.record_failure("b", name, START_MS)
        assert place_in_other_cells(gateway, None) is None
        assert all(host.startswith("10.0.0.") for host, _ in gateway.queried)

    def test_offer_outside_of_the_regions_is_declined(self):
        """The queried VM runs an earlier build, which ignores the failure domains of the query."""
        offers = [PlaceOffer(1, ["b-1"], 90.0, []), PlaceOffer(1, ["a-1", "b-2"], 80.0, [100])]
        gateway = querying_gateway(Fleet(), offers)
        assert place_in_other_cells(gateway, None, domains=frozenset({"a"})) is None
        assert place_in_other_cells(gateway, None, domains=frozenset({"b"})).servers == ("b-1",)

    def test_offer_from_evacuated_domain_is_declined(self):
        """The queried VM has not yet received the evacuation of its failure domain."""
        gateway = querying_gateway(Fleet(), [PlaceOffer(1, ["b-1"], 90.0, [])])
        gateway.evacuations.update(EvacuationState(1, [Evacuation("b", 1, 0, "c1")]))
        assert place_in_other_cells(gateway, None) is None
        assert all(host.startswith("10.0.0.") for host, _ in gateway.queried)

    def test_offer_of_failed_server_is_declined(self):
        gateway = querying_gateway(Fleet(), [PlaceOffer(1, ["b-1"], 90.0, [])])
        gateway.server_health.record_failure("b-1", FailureKind.SILENT, START_MS)
        assert place_in_other_cells(gateway, None) is None


class TestQueries:
    """A query is answered within some milliseconds, or not at all."""

    def test_wait_for_unanswered_query_is_bounded(self):
        """The queried VM has been killed; the client's prompt must not wait for it."""

        async def run():
            queries = Queries("10.0.0.0", PORT, lambda query: None, Counters())
            queries.set_port(Port())
            began = trio.current_time()
            question = PlaceQuestion("", 0, "m", *JOB, [])
            assert await queries.request_offers(question, [("10.0.0.1", PORT)]) == []
            assert trio.current_time() - began < 0.1

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_late_and_duplicate_offers_are_ignored(self):
        async def run():
            queries = Queries("10.0.0.0", PORT, lambda query: None, Counters())
            queries.set_port(Port())
            offers = []

            async def ask():
                question = PlaceQuestion("", 0, "m", *JOB, [])
                offers.extend(await queries.request_offers(question, [("10.0.0.1", PORT)]))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await trio.testing.wait_all_tasks_blocked()
                queries.handle_reply(PlaceOffer(1, ["b-1"], 90.0, []))
                queries.handle_reply(PlaceOffer(1, ["b-1"], 90.0, []))
            queries.handle_reply(PlaceOffer(1, ["b-1"], 90.0, []))
            assert offers == [PlaceOffer(1, ["b-1"], 90.0, [])]

        trio.run(run)
