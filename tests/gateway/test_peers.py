"""Tests for the exchange of work updates between entry VMs."""

import trio

from siskinspoke.coordination.directory import Directory
from siskinspoke.coordination.domains import DomainMonitor
from siskinspoke.coordination.retries import SharedRetryBudget
from siskinspoke.coordination.work_table import Job, Work, WorkTable
from siskinspoke.core.counters import Counters
from siskinspoke.gateway.cells import CellView
from siskinspoke.gateway.peers import PEER_TIMEOUT_MS, Peers
from siskinspoke.gateway.queries import Queries
from siskinspoke.protocol.announcements import Announcement
from siskinspoke.protocol.feed import EntryPeer
from siskinspoke.protocol.peers import WaitBegan, WorkBegan, WorkNews
from siskinspoke.transport.datagrams import open_datagram_port
from tests.feeds.test_follower import NullDecisionLog
from tests.platform.site import until

PORT = 17_341
JOB = Job(5_000, 900, 300, 250)


def cell_view(host: str, others: list[str]) -> CellView:
    """Return the cells of a small site: a single one, with two engines."""
    directory = Directory(5_000)
    for name in ("e1", "e2"):
        announcement = Announcement(
            name, 1, 1, "a", host, 1, "", "m", False, False, 0, 0, 0, [], 0, 0
        )
        directory.apply(announcement, 0)
    known = [EntryPeer(other, PORT, "a") for other in others]
    return CellView(
        EntryPeer(host, PORT, "a"), directory, lambda: known, lambda: 0, NullDecisionLog()
    )


def peers(host: str, work_table: WorkTable, domains: DomainMonitor | None = None) -> Peers:
    """Return the peers of a VM that has no other VMs to send to."""
    budget = SharedRetryBudget(0.2, 100)
    domains = domains or DomainMonitor()
    return Peers(
        host,
        "a",
        work_table,
        budget,
        domains,
        cell_view(host, []),
        Queries(host, PORT, lambda question: None, Counters()),
        Counters(),
        lambda _host, _domain: None,
        lambda _server: None,
    )


def work_began(host: str, start: str, number: int) -> WorkNews:
    """Return an update that a short prompt began at one engine."""
    item = WorkBegan(number, ["e1"], 5_000, 900, 300.0, 250.0, [])
    return WorkNews(host, start, [item], [], [], [], [], "a", [], [])


class TestSilentPeers:
    """If the updates on finished work are lost, engines must not appear busy for 20 s."""

    def run(self, scenario):
        work_table = WorkTable()

        async def main():
            await scenario(peers("10.0.0.1", work_table), work_table)

        trio.run(main)

    def test_work_of_restarted_vm_is_dropped(self):
        """A VM is killed with open work; it is back a second later and reports new work."""

        async def scenario(mine, work_table):
            await mine._handle(work_began("10.0.0.2", "a", 1))
            await mine._handle(work_began("10.0.0.2", "a", 2))
            await mine._handle(work_began("10.0.0.2", "b", 1))
            assert work_table.work_count == 1

        self.run(scenario)

    def test_work_of_partitioned_vm_is_dropped(self):
        """A failure domain is partitioned; updates on finished work no longer arrive."""

        async def scenario(mine, work_table):
            await mine._handle(work_began("10.0.0.2", "a", 1))
            await mine._handle(work_began("10.0.0.3", "a", 1))
            now = trio.current_time() * 1000
            mine.expire_peers(now + PEER_TIMEOUT_MS - 100)
            assert work_table.work_count == 2
            mine.expire_peers(now + PEER_TIMEOUT_MS + 100)
            assert work_table.work_count == 0

        self.run(scenario)

    def test_own_work_is_kept(self):
        async def scenario(mine, work_table):
            mine.begin_work(Work(JOB, ("e1",), 0.0))
            mine.expire_peers(trio.current_time() * 1000 + 60_000)
            assert work_table.work_count == 1

        self.run(scenario)

    def test_work_of_vm_that_sends_updates_is_kept(self):
        async def scenario(mine, work_table):
            await mine._handle(work_began("10.0.0.2", "a", 1))
            await mine._handle(WorkNews("10.0.0.2", "a", [], [], [7], [], [], "a", [], []))
            mine.expire_peers(trio.current_time() * 1000 + 100)
            assert work_table.work_count == 1

        self.run(scenario)


class TestUpdates:
    """Work of one VM appears in the work tables of the others."""

    def test_begin_and_end_reach_other_vm(self):
        """Two VMs exchange updates by datagram: first work begins, then it ends."""
        tables = {host: WorkTable() for host in ("127.0.0.1", "127.0.0.2")}

        async def main():
            async with trio.open_nursery() as nursery:
                running = {}
                for host in tables:
                    port = await open_datagram_port(host, PORT, b"k", Counters())
                    others = [other for other in tables if other != host]
                    running[host] = Peers(
                        host,
                        "a",
                        tables[host],
                        SharedRetryBudget(0.2, 100),
                        DomainMonitor(),
                        cell_view(host, others),
                        Queries(host, PORT, lambda question: None, Counters()),
                        Counters(),
                        lambda _host, _domain: None,
                        lambda _server: None,
                    )
                    nursery.start_soon(running[host].run, port)
                number = running["127.0.0.1"].begin_work(Work(JOB, ("e1",), 0.0))
                await until(lambda: tables["127.0.0.2"].work_count == 1)
                running["127.0.0.1"].mark_first_token(number)
                running["127.0.0.1"].end_work(number)
                running["127.0.0.1"].update_pace("e2", 3.0)
                await until(lambda: tables["127.0.0.2"].work_count == 0)
                await until(lambda: tables["127.0.0.2"].engine("e2").slowdown == 3.0)
                nursery.cancel_scope.cancel()

        trio.run(main)


class TestCuts:
    """VMs of a failure domain tell each other which other domains are unreachable."""

    def surveyed_after(self, *news: tuple[str, str]) -> list[str]:
        """Return the domains that a VM in a surveys after reports of b by these (host, domain)."""
        domains, surveyed = DomainMonitor(), []

        async def main():
            mine = peers("10.0.0.1", WorkTable(), domains)
            mine._on_unreachable_domain = surveyed.append
            for host, domain in news:
                await mine._handle(WorkNews(host, "s", [], [], [], [], [], domain, ["b"], []))
            return domains.is_cut_off("b", trio.current_time() * 1000)

        assert not trio.run(main)
        return surveyed

    def test_report_is_checked_by_connections_of_its_own(self):
        """Guards against VMs that lose a domain because others are partitioned from it."""
        assert self.surveyed_after(("10.0.0.2", "a"), ("10.0.0.3", "a")) == ["b", "b"]

    def test_reports_from_other_domains_are_ignored(self):
        assert not self.surveyed_after(("10.0.1.2", "c"), ("10.0.1.3", "c"))

    def test_domains_that_a_peer_cannot_reach_are_known_until_it_reaches_them(self):
        async def main():
            mine = peers("10.0.0.1", WorkTable())
            item = WorkNews("10.0.0.2", "s", [], [], [], [], [], "a", ["b"], [])
            await mine._handle(item._replace(unreachable=["b", "c"]))
            assert mine.unreachable_domains("10.0.0.2") == {"b", "c"}
            await mine._handle(item._replace(cuts=[]))
            assert not mine.unreachable_domains("10.0.0.2")

        trio.run(main)


class RecordingWaits:
    """Records the calls of ``Peers`` about waiting requests."""

    def __init__(self, waits: bool):
        self.waits = waits
        self.calls: list[tuple] = []

    def anybody_waits(self) -> bool:
        return self.waits

    def add_remote(self, prefix: str, items) -> None:
        self.calls.append(("add", prefix, [item.number for item in items]))

    def remove_remote(self, prefix: str, numbers) -> None:
        self.calls.append(("remove", prefix, list(numbers)))

    def remove_vm(self, prefix: str) -> None:
        self.calls.append(("vm", prefix))

    def room_changed(self) -> None:
        self.calls.append(("room",))


class TestWaitingRequests:
    """Requests that wait for room are known to all VMs of the cell."""

    def run(self, scenario, waits: bool = True):
        async def main():
            mine, view = peers("10.0.0.1", WorkTable()), RecordingWaits(waits)
            mine._waiting = view
            await scenario(mine, view)

        trio.run(main)

    def news(self, start: str = "a", **changes) -> WorkNews:
        item = WaitBegan(1, "m", 0, "acme", 5.0, 295.0, 1_995.0, 300.0, 1.6)
        news = WorkNews("10.0.0.2", start, [], [], [], [], [], "a", [], [], waiting=[item])
        return news._replace(**changes)

    def test_waits_of_another_vm_are_added_and_removed(self):
        async def scenario(mine, view):
            await mine._handle(self.news())
            await mine._handle(self.news(waiting=[], left=[1]))
            prefix = "10.0.0.2/a/"
            assert view.calls == [("add", prefix, [1]), ("remove", prefix, [1]), ("room",)]

        self.run(scenario)

    def test_waits_of_a_silent_vm_expire_with_its_work(self):
        """A VM dies with waiting requests; nothing may stand behind them any longer."""

        async def scenario(mine, view):
            await mine._handle(self.news())
            mine.expire_peers(trio.current_time() * 1000 + PEER_TIMEOUT_MS + 100)
            assert view.calls[-1] == ("vm", "10.0.0.2/a/")

        self.run(scenario)

    def test_waits_of_a_restarted_vm_are_dropped(self):
        async def scenario(mine, view):
            await mine._handle(self.news())
            await mine._handle(self.news("b", waiting=[]))
            assert view.calls[-1] == ("vm", "10.0.0.2/a/")

        self.run(scenario)

    def test_end_of_work_is_sent_at_once_while_anybody_waits(self):
        """With the next batch the room would stay idle for up to 0.2 s."""

        async def scenario(mine, view):
            number = mine.begin_work(Work(JOB, ("e1",), 0.0))
            mine._send_now = trio.Event()
            mine.end_work(number)
            assert mine._send_now.is_set() and view.calls[-1] == ("room",)

        self.run(scenario)

    def test_end_of_work_is_batched_while_nobody_waits(self):
        async def scenario(mine, _view):
            number = mine.begin_work(Work(JOB, ("e1",), 0.0))
            mine._send_now = trio.Event()
            mine.end_work(number)
            assert not mine._send_now.is_set()

        self.run(scenario, waits=False)
