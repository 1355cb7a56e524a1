"""Tests for requests that crash every server that runs them, and for the other clients.

A client repeated such a request every half second, at any VM. Thirty engines crashed within half a
minute, and the responses to many customers' short prompts were cut off. The request was open at 28
of 54 crashes, but no VM recognized it: what a VM knew of a request's attempts was discarded when
the request ended.
"""

import json
from contextlib import asynccontextmanager

import pytest
import trio

from tests.platform.fleet import fleet
from tests.platform.site import gateway_site, until
from tests.platform.standin_server import Events, StandinServer, Whole
from tests.platform.test_streams import PROMPT

CRASHING_BODY = b"what no engine survives"
HARMLESS_BODY = b"what any engine answers"
# Three servers may crash before the request is identified, and three more sends may follow.
CRASHES_TO_QUARANTINE = 3
MAX_SENDS = CRASHES_TO_QUARANTINE + 3
# Every VM must have identified the request within this time of the third crash.
SETTLE_SECONDS = 3.0
PAUSE_SECONDS = 0.1


@asynccontextmanager
async def crashing_servers(site, service: str, count: int, script, renamed: bool):
    """Run servers that crash on CRASHING_BODY and announce themselves after a restart."""

    def announce_restart(server: StandinServer) -> None:
        if renamed:
            server.name = f"{server.name.split('.')[0]}.{server.starts}"
            site.announce(server, service)
        else:
            site.announce(server, service, started=server.starts)

    async with trio.open_nursery() as nursery:
        running = []
        for number in range(count):
            server = StandinServer(
                f"i-{number}",
                crashing_bodies=frozenset({CRASHING_BODY}),
                on_restart=announce_restart,
                restart_after=0.4,
            )
            server.script.extend(script)
            await nursery.start(server.serve)
            site.announce(server, service, started=None if renamed else 1)
            running.append(server)
        yield running
        nursery.cancel_scope.cancel()


def send_count(running, body: bytes = CRASHING_BODY) -> int:
    """Return how many times a request has reached a server."""
    return sum(seen.body == body for server in running for seen in server.seen)


def says_not_run(answer) -> bool:
    """Return whether a response states that its request has not run, and when to retry."""
    fate = json.loads(answer.body)["error"]["run"] if answer.status == 503 else ""
    return fate == "not_run" and b"retry-after" in answer.raw.lower()


class TestOneVM:
    """The same request arrives ten times; it crashes only a few servers and is then refused."""

    @pytest.mark.parametrize("renamed", [False, True])
    @pytest.mark.parametrize(
        ("path", "service", "script"),
        [
            ("/again/x", "plain", [Whole(begin_after=0.5)]),
            ("/once/x", "plain", [Whole(begin_after=0.5)]),
            ("/stream/x", "engines", [Events(last=20, pause=0.1)]),
            ("/solo/x", "engines", [Events(last=20, pause=0.1)]),
        ],
    )
    def test_is_quarantined(self, tmp_path, path, service, script, renamed):
        async def run():
            async with (
                gateway_site(tmp_path, timeout_ms=10_000) as site,
                crashing_servers(site, service, 8, script, renamed) as running,
            ):
                prompt = PROMPT if service == "engines" else {}
                for number in range(10):
                    answer = await site.ask(path, f"r{number}", CRASHING_BODY, **prompt)
                    await trio.sleep(PAUSE_SECONDS)
                assert CRASHES_TO_QUARANTINE <= send_count(running) <= MAX_SENDS
                assert says_not_run(answer)

        trio.run(run)


class TestBystanders:
    """Other requests open at the crashed servers are served and not considered the cause."""

    @pytest.mark.parametrize("renamed", [False, True])
    def test_six_streams_at_four_engines(self, tmp_path, renamed):
        """Six clients' streams of 1.5 s break off with each engine, and none ever completed.

        They move to the remaining engines, and so does the request that crashes those as well.
        """

        async def run():
            async with (
                gateway_site(tmp_path, timeout_ms=10_000) as site,
                crashing_servers(
                    site, "engines", 4, [Events(last=15, pause=0.1)], renamed
                ) as running,
            ):
                served: dict[int, int] = {}
                refused: list[bytes] = []

                async def bystander(number: int) -> None:
                    body = HARMLESS_BODY + b" %d" % number
                    for turn in range(5):
                        request_id = f"s{number}.{turn}"
                        answer = await site.ask(
                            "/stream/x", request_id, body, Deadline_Ms="9000", **PROMPT
                        )
                        if answer.status == 200 and answer.whole:
                            served[number] = turn
                            return
                        refused.extend([answer.raw] if answer.status == 503 else [])
                        await trio.sleep(PAUSE_SECONDS)

                async with trio.open_nursery() as nursery:
                    for number in range(6):
                        nursery.start_soon(bystander, number)
                    await trio.sleep(0.3)
                    for number in range(10):
                        await site.ask("/stream/x", f"r{number}", CRASHING_BODY, **PROMPT)
                        await trio.sleep(PAUSE_SECONDS)
                assert len(served) == 6
                assert not any(b"QUARANTINED" in raw for raw in refused)
                assert send_count(running) <= MAX_SENDS

        trio.run(run)


class TestSeveralVMs:
    """The request may arrive at any VM; each must know what the others have observed."""

    def run(self, tmp_path, scenario):
        async def main():
            async with fleet(tmp_path, 3) as site:
                script = [Events(last=10, pause=0.05)]
                await site.start_servers([script] * 8, crashing_bodies=frozenset({CRASHING_BODY}))
                await scenario(site)

        trio.run(main)

    async def send_repeatedly(self, sites, times: int, id_prefix: str) -> list:
        """Send the request to the VMs in turn, ``times`` times; return the responses."""
        answers = []
        for number in range(times):
            vm = sites[number % len(sites)]
            answers.append(
                await vm.ask("/stream/x", f"{id_prefix}{number}", CRASHING_BODY, **PROMPT)
            )
            await trio.sleep(PAUSE_SECONDS)
        return answers

    async def assert_quarantined(self, site, vms) -> None:
        """Assert that none of these VMs forwards the request any more."""
        before = site.send_count(CRASHING_BODY)
        answers = await self.send_repeatedly(vms, 2 * len(vms) + 4, "later")
        assert site.send_count(CRASHING_BODY) - before <= 3
        assert all(says_not_run(answer) for answer in answers[-len(vms) :])

    def test_arrives_at_any_vm(self, tmp_path):
        """Each VM saw one engine crash or none, and counted from zero."""

        async def scenario(site):
            await self.send_repeatedly(site.sites, 6, "first")
            assert site.crash_count >= CRASHES_TO_QUARANTINE
            await trio.sleep(SETTLE_SECONDS)
            await self.assert_quarantined(site, site.sites)

        self.run(tmp_path, scenario)

    def test_simultaneous_copies(self, tmp_path):
        """Three VMs hold the same request when engines crash, and each forwards it again."""

        async def scenario(site):
            async with trio.open_nursery() as nursery:
                for vm in site.sites:
                    nursery.start_soon(self.send_repeatedly, [vm], 3, vm.host)
            assert site.crash_count >= CRASHES_TO_QUARANTINE
            await trio.sleep(SETTLE_SECONDS)
            await self.assert_quarantined(site, site.sites)

        self.run(tmp_path, scenario)

    def test_vm_started_later(self, tmp_path):
        """A VM starts after the others have identified the request, and then receives it."""

        async def scenario(site):
            await self.send_repeatedly(site.sites, 6, "first")
            await trio.sleep(SETTLE_SECONDS)
            newcomer = await site.start_vm()
            await self.assert_quarantined(site, [newcomer])

        self.run(tmp_path, scenario)

    def test_vm_reconnected_after_partition(self, tmp_path):
        """A VM is partitioned while the others identify the request, and is then reconnected."""

        async def scenario(site):
            *others, away = site.sites
            await site.partition(away)
            await self.send_repeatedly(others, 6, "first")
            await site.connect(away)
            await trio.sleep(SETTLE_SECONDS)
            await self.assert_quarantined(site, [away])

        self.run(tmp_path, scenario)

    def test_partitioned_vm(self, tmp_path):
        """A partitioned VM receives the request repeatedly and must identify it on its own.

        The others must know about it once the VM is reconnected.
        """

        async def scenario(site):
            *others, away = site.sites
            await site.partition(away)
            await self.send_repeatedly([away], 6, "first")
            await trio.sleep(SETTLE_SECONDS)
            await self.assert_quarantined(site, [away])
            await site.connect(away)
            await trio.sleep(SETTLE_SECONDS)
            await self.assert_quarantined(site, others)

        self.run(tmp_path, scenario)


class TestNoCause:
    """Similar situations in which no request must be quarantined."""

    def test_broken_connections(self, tmp_path):
        """Engines break off streams without crashing, due to a bad link or corrupt responses."""

        async def run():
            script = [Events(last=2, then="cut")]
            async with (
                gateway_site(tmp_path, timeout_ms=10_000) as site,
                crashing_servers(site, "engines", 4, script, renamed=False) as running,
            ):
                for number in range(8):
                    answer = await site.ask("/stream/x", f"r{number}", HARMLESS_BODY, **PROMPT)
                    assert answer.status == 200
                assert send_count(running, HARMLESS_BODY) == 16
                assert site.gateway.crashes.ledger.is_empty

        trio.run(run)

    def test_leaving_servers(self, tmp_path):
        """Servers are replaced one by one, each while the same slow request is open there."""

        async def run():
            script = [Events(last=40, pause=0.1)]
            async with (
                gateway_site(tmp_path, timeout_ms=10_000) as site,
                crashing_servers(site, "engines", 5, script, renamed=True) as running,
            ):
                async with site.request_in_background(
                    "/stream/x", body=HARMLESS_BODY, Deadline_Ms="9000", **PROMPT
                ) as got:
                    for _ in range(3):
                        holder = await holder_of(running)
                        site.announce(holder, "engines", seq=10, leaving=True)
                        holder.process.cancel()
                assert got[0].whole
                assert site.gateway.crashes.ledger.is_empty

        trio.run(run)

    def test_same_body_from_many_clients(self, tmp_path):
        """Many clients send the same body, and their servers are killed for other reasons."""

        async def run():
            async with (
                gateway_site(tmp_path, timeout_ms=10_000) as site,
                crashing_servers(
                    site, "plain", 4, [Whole(begin_after=0.1)], renamed=False
                ) as running,
            ):
                answers = []

                async def caller(name: str) -> None:
                    for number in range(15):
                        answers.append(
                            await site.ask("/again/x", f"{name}.{number}", HARMLESS_BODY)
                        )
                        await trio.sleep(0.02)

                async with trio.open_nursery() as nursery:
                    for name in "abcdef":
                        nursery.start_soon(caller, name)
                    for number in range(8):
                        await trio.sleep(0.2)
                        running[number % 4].process.cancel()
                assert not any(b"QUARANTINED" in answer.raw for answer in answers)
                assert site.gateway.counters.totals["crash.found"] >= CRASHES_TO_QUARANTINE
                assert "quarantine.began" not in site.gateway.counters.totals

        trio.run(run)


async def holder_of(running) -> StandinServer:
    """Return the server that runs a stream, once the stream has reached it."""

    def holders() -> list[StandinServer]:
        alive = [server for server in running if not server.process.cancel_called]
        return [server for server in alive if len(server.seen) > len(server.closed)]

    await until(holders)
    return holders()[0]
