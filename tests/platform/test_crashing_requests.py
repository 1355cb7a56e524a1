"""A request that ends each server that begins to run it, and the callers beside it.

Engines ended in series, thirty in half a minute, and short prompts of many customers were cut in
the middle of their answers.  One request was open at 28 of 54 ends, and its caller came back every
half second, at any VM: "tried" of each of its log lines showed two engines that ended, and none
of the lines knew of those before.  What a VM knows of a request's attempts ended with the request.
"""

import json
from contextlib import asynccontextmanager

import pytest
import trio

from tests.platform.fleet import fleet
from tests.platform.site import gateway_site, until
from tests.platform.standin_server import Events, StandinServer, Whole
from tests.platform.test_streams import PROMPT

DEADLY = b"what no engine survives"
SOUND = b"what any engine answers"
# Three servers may end under a request before it is known, and three more sendings may follow.
KNOWN_AFTER = 3
MOST_SENDINGS = KNOWN_AFTER + 3
# Within this time of the third end every VM must know.
SETTLE_SECONDS = 3.0
PAUSE_SECONDS = 0.1


@asynccontextmanager
async def mortal_servers(site, service: str, count: int, script, renamed: bool):
    """Run servers that end under the deadly request, and announce themselves when they are back."""

    def back(server: StandinServer) -> None:
        if renamed:
            server.name = f"{server.name.split('.')[0]}.{server.starts}"
            site.announce(server, service)
        else:
            site.announce(server, service, started=server.starts)

    async with trio.open_nursery() as nursery:
        running = []
        for number in range(count):
            server = StandinServer(
                f"i-{number}", deadly=frozenset({DEADLY}), on_back=back, back_after=0.4
            )
            server.script.extend(script)
            await nursery.start(server.serve)
            site.announce(server, service, started=None if renamed else 1)
            running.append(server)
        yield running
        nursery.cancel_scope.cancel()


def sendings(running, body: bytes = DEADLY) -> int:
    """Return how often a request has reached a server."""
    return sum(seen.body == body for server in running for seen in server.seen)


def says_not_run(answer) -> bool:
    """Tell whether an answer promises that its request has not run, and says when to come back."""
    fate = json.loads(answer.body)["error"]["run"] if answer.status == 503 else ""
    return fate == "not_run" and b"retry-after" in answer.raw.lower()


class TestOneVM:
    """The same request comes ten times; the servers that it ends are few, and it is told so."""

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
    def test_is_not_sent_for_ever(self, tmp_path, path, service, script, renamed):
        async def run():
            async with (
                gateway_site(tmp_path, timeout_ms=10_000) as site,
                mortal_servers(site, service, 8, script, renamed) as running,
            ):
                prompt = PROMPT if service == "engines" else {}
                for number in range(10):
                    answer = await site.ask(path, f"r{number}", DEADLY, **prompt)
                    await trio.sleep(PAUSE_SECONDS)
                assert KNOWN_AFTER <= sendings(running) <= MOST_SENDINGS
                assert says_not_run(answer)

        trio.run(run)


class TestBystanders:
    """Whoever was open at the servers that ended is served, and is not taken for the cause."""

    @pytest.mark.parametrize("renamed", [False, True])
    def test_six_streams_at_four_engines(self, tmp_path, renamed):
        """Six callers' streams of 1.5 s break off with each engine; none of them was ever whole.

        They move to the engines that are left, and so does the request that ends those too.
        """

        async def run():
            async with (
                gateway_site(tmp_path, timeout_ms=10_000) as site,
                mortal_servers(
                    site, "engines", 4, [Events(last=15, pause=0.1)], renamed
                ) as running,
            ):
                served: dict[int, int] = {}
                refused: list[bytes] = []

                async def bystander(number: int) -> None:
                    body = SOUND + b" %d" % number
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
                        await site.ask("/stream/x", f"r{number}", DEADLY, **PROMPT)
                        await trio.sleep(PAUSE_SECONDS)
                assert len(served) == 6
                assert not any(b"QUARANTINED" in raw for raw in refused)
                assert sendings(running) <= MOST_SENDINGS

        trio.run(run)


class TestSeveralVMs:
    """The request comes to any VM next; what one has seen the others know."""

    def run(self, tmp_path, scenario):
        async def main():
            async with fleet(tmp_path, 3) as site:
                script = [Events(last=10, pause=0.05)]
                await site.start_servers([script] * 8, deadly=frozenset({DEADLY}))
                await scenario(site)

        trio.run(main)

    async def come(self, sites, times: int, named: str) -> list:
        """Have the request come so many times, to one VM after the other; return the answers."""
        answers = []
        for number in range(times):
            vm = sites[number % len(sites)]
            answers.append(await vm.ask("/stream/x", f"{named}{number}", DEADLY, **PROMPT))
            await trio.sleep(PAUSE_SECONDS)
        return answers

    async def assert_known(self, site, vms) -> None:
        """Assert that the request is not sent on any more, whichever of the VMs it comes to."""
        before = site.sendings(DEADLY)
        answers = await self.come(vms, 2 * len(vms) + 4, "later")
        assert site.sendings(DEADLY) - before <= 3
        assert all(says_not_run(answer) for answer in answers[-len(vms) :])

    def test_any_vm_next(self, tmp_path):
        """Each VM saw one engine end, or none; each began at zero."""

        async def scenario(site):
            await self.come(site.sites, 6, "first")
            assert site.ends >= KNOWN_AFTER
            await trio.sleep(SETTLE_SECONDS)
            await self.assert_known(site, site.sites)

        self.run(tmp_path, scenario)

    def test_copies_at_the_same_time(self, tmp_path):
        """Three VMs hold the same request when engines end under it, and each sends it on."""

        async def scenario(site):
            async with trio.open_nursery() as nursery:
                for vm in site.sites:
                    nursery.start_soon(self.come, [vm], 3, vm.host)
            assert site.ends >= KNOWN_AFTER
            await trio.sleep(SETTLE_SECONDS)
            await self.assert_known(site, site.sites)

        self.run(tmp_path, scenario)

    def test_vm_that_starts_later(self, tmp_path):
        """A VM is started after the others have learned of the request, and gets it next."""

        async def scenario(site):
            await self.come(site.sites, 6, "first")
            await trio.sleep(SETTLE_SECONDS)
            newcomer = await site.start_vm()
            await self.assert_known(site, [newcomer])

        self.run(tmp_path, scenario)

    def test_vm_that_was_cut_off(self, tmp_path):
        """A VM is cut off from all others while they learn of the request, and is back."""

        async def scenario(site):
            *others, away = site.sites
            await site.cut_off(away)
            await self.come(others, 6, "first")
            await site.connect(away)
            await trio.sleep(SETTLE_SECONDS)
            await self.assert_known(site, [away])

        self.run(tmp_path, scenario)

    def test_vm_that_is_cut_off(self, tmp_path):
        """A VM that nobody hears gets the request again and again, and must help itself.

        What it has learned the others must know once it is back.
        """

        async def scenario(site):
            *others, away = site.sites
            await site.cut_off(away)
            await self.come([away], 6, "first")
            await trio.sleep(SETTLE_SECONDS)
            await self.assert_known(site, [away])
            await site.connect(away)
            await trio.sleep(SETTLE_SECONDS)
            await self.assert_known(site, others)

        self.run(tmp_path, scenario)


class TestNoCause:
    """What looks much like it, and must turn nobody away."""

    def test_connections_that_break(self, tmp_path):
        """Engines break streams off and live on: a link is bad, or answers are spoilt."""

        async def run():
            script = [Events(last=2, then="cut")]
            async with (
                gateway_site(tmp_path, timeout_ms=10_000) as site,
                mortal_servers(site, "engines", 4, script, renamed=False) as running,
            ):
                for number in range(8):
                    answer = await site.ask("/stream/x", f"r{number}", SOUND, **PROMPT)
                    assert answer.status == 200
                assert sendings(running, SOUND) == 16
                assert site.gateway.crashes.ledger.is_empty

        trio.run(run)

    def test_servers_that_leave(self, tmp_path):
        """Servers are replaced one after the other, each with the same slow request open."""

        async def run():
            script = [Events(last=40, pause=0.1)]
            async with (
                gateway_site(tmp_path, timeout_ms=10_000) as site,
                mortal_servers(site, "engines", 5, script, renamed=True) as running,
            ):
                async with site.asking(
                    "/stream/x", body=SOUND, Deadline_Ms="9000", **PROMPT
                ) as got:
                    for _ in range(3):
                        holder = await holder_of(running)
                        site.announce(holder, "engines", seq=10, leaving=True)
                        holder.life.cancel()
                assert got[0].whole
                assert site.gateway.crashes.ledger.is_empty

        trio.run(run)

    def test_one_body_that_many_send(self, tmp_path):
        """Many callers ask the same, and servers that answer them are killed for other reasons."""

        async def run():
            async with (
                gateway_site(tmp_path, timeout_ms=10_000) as site,
                mortal_servers(
                    site, "plain", 4, [Whole(begin_after=0.1)], renamed=False
                ) as running,
            ):
                answers = []

                async def caller(name: str) -> None:
                    for number in range(15):
                        answers.append(await site.ask("/again/x", f"{name}.{number}", SOUND))
                        await trio.sleep(0.02)

                async with trio.open_nursery() as nursery:
                    for name in "abcdef":
                        nursery.start_soon(caller, name)
                    for number in range(8):
                        await trio.sleep(0.2)
                        running[number % 4].life.cancel()
                assert not any(b"QUARANTINED" in answer.raw for answer in answers)
                assert site.gateway.counters.totals["crash.found"] >= KNOWN_AFTER
                assert "quarantine.began" not in site.gateway.counters.totals

        trio.run(run)


async def holder_of(running) -> StandinServer:
    """Return the server that holds a stream, once it has begun there."""

    def holders() -> list[StandinServer]:
        alive = [server for server in running if not server.life.cancel_called]
        return [server for server in alive if len(server.seen) > len(server.closed)]

    await until(holders)
    return holders()[0]
