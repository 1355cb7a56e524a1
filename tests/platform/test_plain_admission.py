"""Plain calls before servers with few places, through a gateway at which calls may wait."""

import json
from contextlib import AsyncExitStack

import pytest
import trio

from siskinspoke.coordination.server_health import FailureKind
from siskinspoke.platform.calls import PlatformWire
from siskinspoke.transport.http1 import ResponseHead
from tests.platform.plain_server import (
    announce_plain,
    ask_at_once,
    ask_steadily,
    plain_servers,
    plain_site,
)
from tests.platform.site import gateway_site, until
from tests.platform.standin_server import Refuse, StandinServer


def statuses(answers) -> list[int]:
    return sorted(answer.status for answer, _ in answers)


def log_lines(tmp_path, event: str) -> list[dict]:
    """Return the lines of one kind in the gateway's log."""
    lines = [json.loads(line) for line in (tmp_path / "log").read_text().splitlines()]
    return [line for line in lines if line["event"] == event]


class TestHeader:
    """The load that a server states is decoded; a value that cannot be read changes nothing."""

    def load(self, *values: bytes):
        headers = [(b"Server-Load", value) for value in values]
        return PlatformWire().decode_answer(ResponseHead(200, headers)).load

    def test_numbers(self):
        assert self.load(b"5,2,6") == (5, 2, 6)
        assert self.load(b" 5, 2 ,6") == (5, 2, 6)

    @pytest.mark.parametrize(
        "value",
        [b"", b"5,2", b"5,2,6,1", b"a,b,c", b"-1,0,6", b"1.5,0,6", b"\xb2,0,6", b"9999999,0,6"],
    )
    def test_unreadable_values(self, value):
        assert self.load(value) is None

    def test_missing(self):
        assert self.load() is None


class TestFullServers:
    """Calls wait for a place, and are refused at once where none comes in time."""

    def test_calls_wait_for_their_places(self, tmp_path):
        """36 calls meet 18 places; 18 of them were refused after three servers each."""

        async def run():
            async with plain_servers(3) as servers, plain_site(tmp_path, servers) as site:
                await ask_at_once(site, 6)
                answers = await ask_at_once(site, 36)
                assert statuses(answers) == [200] * 36
                assert sum(server.refused for server in servers) == 0
                assert site.gateway.counters.totals["places.foreseen"] >= 18
                assert site.gateway.plain_admission.waiting_count == 0

        trio.run(run)
        waits = log_lines(tmp_path, "admission")
        assert len(waits) >= 18
        assert all(line["decision"] == "placed" for line in waits)
        assert waits[0]["places"]["i-plain0"]["slots"] == 6

    def test_call_that_would_be_late_is_refused_at_once(self, tmp_path):
        """Calls take a second; a call beyond the places must not wait for its deadline."""

        async def run():
            async with (
                plain_servers(3, seconds=1.0) as servers,
                plain_site(tmp_path, servers) as site,
            ):
                await ask_at_once(site, 6)
                answers = await ask_at_once(site, 40)
                refused = [answer for answer, _ in answers if answer.status == 503]
                assert len(refused) >= 12
                assert all(b'"not_run"' in answer.body for answer in refused)
                assert all(b"Retry-After: " in answer.raw for answer in refused)
                assert sum(server.refused for server in servers) == 0

        trio.run(run)
        refusals = [
            line for line in log_lines(tmp_path, "admission") if line["decision"] == "refused"
        ]
        assert len(refusals) >= 12
        assert all(line["waited"] == 0 for line in refusals if line["why"] == "late")
        assert all(line["waited"] < 350 for line in refusals)

    def test_refused_calls_return_to_the_order(self, tmp_path):
        """Other VMs take the places unseen: a refused call waits and is sent again."""

        async def run():
            async with (
                plain_servers(1, seconds=0.1) as servers,
                plain_site(tmp_path, servers) as site,
            ):
                await ask_at_once(site, 2)
                servers[0].running = 6
                async with site.request_in_background("/again/x") as answers:
                    await until(lambda: servers[0].refused == 1)
                    await trio.sleep(0.02)
                    servers[0].running = 0
                assert answers[0].status == 200
                assert site.gateway.counters.totals["places.wrong"] >= 1

        trio.run(run)

    def test_capacity_limits_the_calls_that_wait(self, tmp_path):
        async def run():
            async with (
                plain_servers(1) as servers,
                plain_site(tmp_path, servers, capacity=2) as site,
            ):
                await ask_at_once(site, 2)
                answers = await ask_at_once(site, 12)
                assert statuses(answers) == [200] * 8 + [503] * 4
                assert site.gateway.counters.totals["admission.refused.full"] == 4

        trio.run(run)

    def test_client_that_leaves_gives_up_its_wait(self, tmp_path):
        async def run():
            async with (
                plain_servers(1, seconds=0.14) as servers,
                plain_site(tmp_path, servers) as site,
            ):
                await ask_at_once(site, 2)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(ask_at_once, site, 6)
                    await until(lambda: servers[0].running == 6)
                    with trio.move_on_after(0.05):
                        await site.ask("/again/x", "gone")
                    await until(lambda: site.gateway.plain_admission.waiting_count == 0, 0.1)
                await trio.sleep(0.2)
                assert "gone" not in [seen.headers["Request-Id"] for seen in servers[0].seen]

        trio.run(run)


class TestSeveralVMs:
    """Several VMs before the same servers, which hear of each other only by stated loads."""

    def test_burst_of_four_times_the_places(self, tmp_path):
        """12 VMs send 6 calls each to 18 places at once; those refused come back in turn.

        The wait is the VMs' own: twelve of them share one process with their clients.
        """
        answers, ran = [], []

        async def run():
            async with plain_servers(3) as servers, AsyncExitStack() as stack:
                sites = []
                for number in range(12):
                    folder = tmp_path / f"{number}"
                    folder.mkdir()
                    sites.append(await stack.enter_async_context(plain_site(folder, servers)))

                async def ask(site):
                    answers.extend(await ask_at_once(site, 6))

                for _ in range(2):
                    answers.clear()
                    async with trio.open_nursery() as nursery:
                        for site in sites:
                            nursery.start_soon(ask, site)
                ran.append(sum(seen.ran for server in servers for seen in server.seen))

        trio.run(run)
        refused = [answer for answer, _ in answers if answer.status != 200]
        assert len(answers) - len(refused) >= 24
        assert all(b'"not_run"' in answer.body for answer in refused)
        assert all(b"Retry-After: " in answer.raw for answer in refused)
        waits = [line for folder in tmp_path.iterdir() for line in log_lines(folder, "admission")]
        assert all(line["waited"] < 600 for line in waits if line["decision"] == "refused")
        assert ran[0] <= 144


class TestAtMostOnce:
    """A call that may run once is not sent where it would likely be refused or broken off."""

    def test_full_servers_get_no_payment(self, tmp_path):
        async def run():
            async with plain_servers(2) as servers, plain_site(tmp_path, servers) as site:
                await ask_at_once(site, 4)
                answers = await ask_at_once(site, 20, "/once/x")
                assert statuses(answers) == [200] * 20
                assert sum(server.refused for server in servers) == 0
                assert sum(len(server.seen) for server in servers) == 24

        trio.run(run)

    def test_unreachable_server_gets_no_payment(self, tmp_path):
        """One server is gone, and the other is full for a moment."""

        async def run():
            async with (
                plain_servers(1, seconds=0.1) as servers,
                plain_site(tmp_path, servers) as site,
            ):
                gone = StandinServer("i-gone", port=1)
                site.announce(gone, "plain")
                await ask_at_once(site, 4)
                site.gateway.server_health.record_failure(
                    "i-gone", FailureKind.UNREACHABLE, trio.current_time() * 1000
                )
                answers = await ask_at_once(site, 10, "/once/x")
                assert statuses(answers) == [200] * 10

        trio.run(run)
        lines = log_lines(tmp_path, "request")
        payments = [line for line in lines if line["route"] == "once"]
        assert len(payments) == 10
        assert all(len(line["tried"]) == 1 for line in payments)


class TestLosses:
    """Servers and inputs that are lost while calls wait."""

    def test_server_is_lost_while_calls_wait(self, tmp_path):
        """One of two servers leaves; the calls that wait go to the other."""

        async def run():
            async with (
                plain_servers(2, seconds=0.05) as servers,
                plain_site(tmp_path, servers) as site,
            ):
                await ask_at_once(site, 4)

                async def lose():
                    await trio.sleep(0.03)
                    site.gateway.directory.mark_leaving(
                        *site.gateway.directory.latest("i-plain0").start
                    )

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(lose)
                    answers = await ask_at_once(site, 22)
                served = sum(answer.status == 200 for answer, _ in answers)
                assert served >= 20
                assert set(statuses(answers)) <= {200, 503}

        trio.run(run)

    def test_old_reports_hold_no_call_back(self, tmp_path):
        """A server was full a second ago; the next call goes there without a wait."""

        async def run():
            async with plain_servers(1) as servers, plain_site(tmp_path, servers) as site:
                await ask_at_once(site, 2)
                servers[0].running = 6
                await ask_at_once(site, 3)
                servers[0].running = 0
                await trio.sleep(0.5)
                began = trio.current_time()
                assert (await site.ask("/again/x")).status == 200
                assert trio.current_time() - began < 0.12

        trio.run(run)

    def test_servers_that_state_nothing(self, tmp_path):
        """Without slots and loads every server takes calls until it refuses."""

        async def run():
            async with (
                plain_servers(2, states_load=False) as servers,
                plain_site(tmp_path, ()) as site,
            ):
                for server in servers:
                    announce_plain(site, server, slots=0)
                answers = await ask_at_once(site, 12)
                assert sum(answer.status == 200 for answer, _ in answers) >= 11

        trio.run(run)

    def test_refusal_for_another_reason_is_tried_elsewhere(self, tmp_path):
        """A server refuses although its load shows places; it must not get the call again."""

        async def run():
            refusal = Refuse(headers=(b"Not-Run: 1", b"Server-Load: 0,0,6"))
            async with plain_servers(1) as servers, plain_site(tmp_path, servers) as site:
                other = StandinServer("i-other")
                other.script.append(refusal)
                async with trio.open_nursery() as nursery:
                    await nursery.start(other.serve)
                    site.announce(other, "plain")
                    answers = await ask_at_once(site, 5)
                    assert statuses(answers) == [200] * 5
                    bodies = [seen.headers["Request-Id"] for seen in other.seen]
                    assert len(bodies) == len(set(bodies))
                    nursery.cancel_scope.cancel()

        trio.run(run)


class TestErrors:
    """Servers that answer 500 to 14 in 100 idempotent calls, with two attempts a call."""

    def test_one_of_three_servers(self, tmp_path):
        """The second attempt goes to a healthy server, so no call fails."""

        async def run():
            async with plain_servers(3, seconds=0.02) as servers:
                servers[0].error_share = 0.14
                async with plain_site(tmp_path, servers) as site:
                    answers = await ask_steadily(site, 100, 3.0)
                assert statuses(answers) == [200] * 300

        trio.run(run)

    def test_calls_fail_only_after_two_errors(self, tmp_path):
        """All three servers have errors: two in a row use up the attempts of the route."""

        async def run():
            async with plain_servers(3, seconds=0.02, error_share=0.14) as servers:
                async with plain_site(tmp_path, servers) as site:
                    answers = await ask_steadily(site, 100, 3.0)
                failed = [answer for answer, _ in answers if answer.status != 200]
                assert len(failed) < 20

        trio.run(run)
        for line in log_lines(tmp_path, "request"):
            if line["status"] == 500:
                assert [outcome for _, outcome, _ in line["tried"]] == ["500", "500"]


class TestSwitch:
    """Without a queue capacity nothing changes."""

    def test_off(self, tmp_path):
        async def run():
            async with gateway_site(tmp_path) as site, plain_servers(1) as servers:
                announce_plain(site, servers[0])
                assert site.gateway.plain_admission is None
                answers = await ask_at_once(site, 10)
                assert statuses(answers) == [200] * 6 + [503] * 4
                assert servers[0].refused == 4

        trio.run(run)
        assert not log_lines(tmp_path, "admission")
