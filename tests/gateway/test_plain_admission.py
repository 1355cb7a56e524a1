"""Tests of the calls that wait at a VM, and of the open calls that VMs report to each other."""

import random
from contextlib import asynccontextmanager

import trio
import trio.testing

from siskinspoke.coordination.admission import Refuse, Waiter
from siskinspoke.coordination.domains import DomainMonitor
from siskinspoke.coordination.place_queue import PlaceChoice, TakePlace
from siskinspoke.coordination.retries import SharedRetryBudget
from siskinspoke.coordination.work_table import WorkTable
from siskinspoke.core.counters import Counters
from siskinspoke.core.latencies import Latencies
from siskinspoke.gateway.peers import BATCH_DELAY_SECONDS, PEER_TIMEOUT_MS, Peers
from siskinspoke.gateway.plain_admission import PlaceSearch, PlainAdmission
from siskinspoke.gateway.queries import Queries
from siskinspoke.protocol.codec import encode_message
from siskinspoke.protocol.peers import OpenCalls, WorkNews
from siskinspoke.testing.networks import group_nets, net_cycle, networks
from siskinspoke.transport.datagrams import open_datagram_port
from tests.feeds.test_follower import NullDecisionLog
from tests.gateway.test_peers import PORT, cell_view
from tests.platform.site import until

_next_net = net_cycle(group_nets)
START = ("s1", 1)


def admission(capacity: int = 100) -> PlainAdmission:
    return PlainAdmission(capacity, Counters(), Latencies(), NullDecisionLog(), random.Random(1))


def now_ms() -> float:
    return trio.current_time() * 1000


def search(
    found: PlainAdmission, name: str, rank: int = 0, patience_ms: float = 150.0
) -> PlaceSearch:
    """Return a search at one server with one place."""
    arrived = now_ms()
    waiter = Waiter(name, rank, "", arrived, arrived + 300.0, arrived + 1_500.0, 50.0, 1.0)

    def find() -> list[PlaceChoice]:
        estimate = found.places.estimate(START, 1, 0.0, now_ms())
        return [PlaceChoice("s1", estimate, False, 10.0)]

    return PlaceSearch(name, "plain", waiter, True, arrived + patience_ms, find)


class TestWaiting:
    """Calls that wait at one VM, in virtual time."""

    def run(self, scenario):
        trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_place_is_used_at_once_in_order(self):
        """A place must not stay unused until the next periodic decision, nor go to a later call."""
        placed = []

        async def ask(found, name, rank):
            decision = await found.admit(search(found, name, rank))
            assert isinstance(decision, TakePlace)
            placed.append((name, round(now_ms() - began)))
            await trio.sleep(0.01)
            found.places.end("s1", True, now_ms())
            found.places_changed()

        async def scenario():
            nonlocal began
            found = admission()
            found.places.record_duration("s1", 10.0)
            began = now_ms()
            async with trio.open_nursery() as nursery:
                for name, rank in (("a", 0), ("low", 2), ("high", 1)):
                    nursery.start_soon(ask, found, name, rank)
                    await trio.testing.wait_all_tasks_blocked()
            assert found.waiting_count == 0

        began = 0.0
        self.run(scenario)
        assert placed == [("a", 0), ("high", 10), ("low", 20)]

    def test_call_is_refused_at_half_of_its_target(self):
        """No place comes free; the call must be refused long before its deadline."""

        async def scenario():
            found = admission()
            found.places.begin("s1")
            began = now_ms()
            decision = await found.admit(search(found, "a"))
            assert isinstance(decision, Refuse)
            assert 140 <= now_ms() - began <= 151
            assert found.waiting_count == 0

        self.run(scenario)

    def test_client_that_leaves_is_forgotten(self):
        async def scenario():
            found = admission()
            found.places.begin("s1")
            with trio.move_on_after(0.05):
                await found.admit(search(found, "a"))
            assert found.waiting_count == 0
            found.places.end("s1", True, now_ms())
            assert isinstance(await found.admit(search(found, "b")), TakePlace)

        self.run(scenario)

    def test_server_is_lost_while_a_call_waits(self):
        async def scenario():
            found = admission()
            found.places.begin("s1")
            wanted = search(found, "a")
            is_lost = []
            wanted = wanted._replace(find=lambda: [] if is_lost else search(found, "x").find())
            async with trio.open_nursery() as nursery:

                async def lose():
                    await trio.sleep(0.02)
                    is_lost.append(True)
                    found.places_changed()

                nursery.start_soon(lose)
                assert await found.admit(wanted) is None

        self.run(scenario)


def build_peers(host: str, others: list[str], found: PlainAdmission | None) -> Peers:
    return Peers(
        host,
        "a",
        WorkTable(),
        SharedRetryBudget(0.2, 100),
        DomainMonitor(),
        cell_view(host, others),
        Queries(host, PORT, lambda question: None, Counters()),
        Counters(),
        lambda _host, _domain: None,
        lambda _server: None,
        open_calls=found,
    )


@asynccontextmanager
async def two_vms(first: PlainAdmission | None, second: PlainAdmission | None):
    """Run the exchange between two VMs; yield the Peers of the first."""
    net = f"127.{networks().groups[0]}.{_next_net()}"
    hosts = {f"{net}.1": first, f"{net}.2": second}
    async with trio.open_nursery() as nursery:
        running = {}
        for host, found in hosts.items():
            port = await open_datagram_port(host, PORT, b"k", Counters())
            running[host] = build_peers(host, [other for other in hosts if other != host], found)
            nursery.start_soon(running[host].run, port)
        yield running[f"{net}.1"]
        nursery.cancel_scope.cancel()


def reported(found: PlainAdmission) -> float:
    return found.places.estimate(START, 6, 0.0, now_ms()).others


class TestReports:
    """VMs of a cell tell each other how many calls they have open at each server."""

    def test_full_server_is_reported_at_once(self):
        async def scenario():
            mine, other = admission(), admission()
            async with two_vms(mine, other) as peers:
                for _ in range(6):
                    mine.places.begin("s1")
                peers.send_open_calls()
                await until(lambda: reported(other) == 6, 0.1)

        trio.run(scenario)

    def test_changes_alone_send_nothing(self):
        """Each call would otherwise cost a message to every VM of the cell."""

        async def scenario():
            mine, other = admission(), admission()
            async with two_vms(mine, other) as peers:
                mine.places.begin("s1")
                await trio.sleep(2 * BATCH_DELAY_SECONDS)
                assert reported(other) == 0
                peers.send_open_calls()
                await until(lambda: reported(other) == 1, 0.1)
                mine.places.begin("s1")
                peers.send_open_calls()
                await trio.sleep(2 * BATCH_DELAY_SECONDS)
                assert mine.places.take_unsent() == [("s1", 2)]

        trio.run(scenario)

    def test_counts_travel_with_other_updates(self):
        async def scenario():
            mine, other = admission(), admission()
            async with two_vms(mine, other) as peers:
                mine.places.begin("s1")
                peers.update_pace("e2", 3.0)
                await until(lambda: reported(other) == 1, 1.0)

        trio.run(scenario)

    def test_reports_of_a_silent_or_restarted_vm_are_dropped(self):
        """A VM dies with calls open; its last report must not fill the servers."""

        async def scenario():
            found = admission()
            mine = build_peers("10.0.0.1", [], found)

            async def hear(start: str, count: int) -> None:
                calls = [OpenCalls("s1", count)]
                news = WorkNews(
                    "10.0.0.2", start, [], [], [], [], [], "a", [], [], open_calls=calls
                )
                await mine._handle(news)

            await hear("x", 6)
            assert reported(found) == 6
            await hear("y", 1)
            assert reported(found) == 1
            mine.expire_peers(now_ms() + 2 * PEER_TIMEOUT_MS + 1)
            assert reported(found) == 0

        trio.run(scenario)

    def test_size_of_a_report(self):
        """Three changed counts must stay a small part of a datagram."""
        calls = [OpenCalls(f"i-{number:010x}", 6) for number in range(3)]
        plain = WorkNews("127.140.10.101", "7f3a9c21", [], [], [], [], [], "zone-a", [], [])
        grown = plain._replace(open_calls=calls)
        assert len(encode_message(grown)) - len(encode_message(plain)) < 60

    def test_off(self):
        """Without a queue capacity nothing is sent, and what others report is ignored."""

        async def scenario():
            other = admission()
            async with two_vms(None, other) as peers:
                before = peers._pending_work.copy()
                peers.send_open_calls()
                assert peers._pending_work == before
                assert not peers._has_updates.is_set()
                news = WorkNews(
                    "10.0.0.2",
                    "x",
                    [],
                    [],
                    [],
                    [],
                    [],
                    "a",
                    [],
                    [],
                    open_calls=[OpenCalls("s1", 6)],
                )
                await peers._handle(news)

        trio.run(scenario)
