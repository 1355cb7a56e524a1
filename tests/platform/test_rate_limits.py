"""Tests for backend servers with a rate limit to which several VMs send."""

from functools import partial

import pytest
import trio

from tests.platform.fleet import Fleet, fleet
from tests.platform.site import Answer, gateway_site, servers
from tests.platform.standin_server import Events, Whole
from tests.platform.test_streams import PROMPT

SECONDS = 5.0
SEND_INTERVAL_SECONDS = 0.1


def retry_after(answer: Answer) -> float:
    """Return the retry delay that a refusal asks for, in seconds."""
    lines = answer.raw.decode().split("\r\n")
    return next(float(line.split(": ")[1]) for line in lines if line.startswith("Retry-After"))


async def send_requests(running: Fleet, path: str, seconds: float = SECONDS, **headers) -> list:
    """Send ten requests a second to each VM; return the responses."""
    answers = []

    async def ask(site, request_id: str) -> None:
        answers.append(await site.ask(path, request_id, **headers))

    async with trio.open_nursery() as nursery:
        for number in range(round(seconds / SEND_INTERVAL_SECONDS)):
            for index, site in enumerate(running.sites):
                nursery.start_soon(ask, site, f"r{index}-{number}")
            await trio.sleep(SEND_INTERVAL_SECONDS)
    return answers


class TestSumOverVms:
    """All VMs together send a server no more than its rate limit."""

    @pytest.mark.parametrize("rate", [0.5, 1.0, 4.0])
    def test_engines(self, rate, tmp_path):
        """An engine's rate limit had no effect on the streams sent to it."""

        async def run():
            async with fleet(tmp_path, 3) as running:
                scripts = [[Events()] for _ in range(4)]
                for server in (await running.start_servers(scripts))[:3]:
                    server.rate_limit = rate
                answers = await send_requests(running, "/stream/x", **PROMPT)
                assert all(answer.status == 200 for answer in answers)

        trio.run(run)

    def test_plain_servers(self, tmp_path):
        """A plain server's rate limit had no effect on the calls sent to it."""

        async def run():
            async with fleet(tmp_path, 3) as running:
                running.service = "plain"
                servers = await running.start_servers([[Whole()], [Whole()], [Whole()]])
                servers[0].rate_limit = 1.0
                answers = await send_requests(running, "/again/x")
                assert all(answer.status == 200 for answer in answers)

        trio.run(run)

    @pytest.mark.parametrize(
        ("service", "path", "more", "behaviour"),
        [("engines", "/stream/x", PROMPT, Events()), ("plain", "/again/x", {}, Whole())],
    )
    def test_whole_service(self, service, path, more, behaviour, tmp_path):
        """A limited service serves as much as its limits allow; the rest is refused at once."""

        async def run():
            async with fleet(tmp_path, 3) as running:
                running.service = service
                for server in await running.start_servers([[behaviour], [behaviour]]):
                    server.rate_limit = 3.0
                answers = await send_requests(running, path, **more)
                served = [answer for answer in answers if answer.status == 200]
                refused = [answer for answer in answers if answer.status == 503]
                assert len(served) + len(refused) == len(answers)
                assert len(served) >= 0.7 * 2 * 3.0 * SECONDS
                assert all(0 < retry_after(answer) <= 3 for answer in refused)

        trio.run(run)

    def test_limiter_is_partitioned(self, tmp_path):
        """The VM that grants permits was partitioned; the others sent without permits."""

        async def run():
            async with fleet(tmp_path, 3) as running:
                scripts = [[Events()] for _ in range(3)]
                for server in await running.start_servers(scripts):
                    server.rate_limit = 1.0
                limiters = running.sites[0].gateway.permits._limiters("i-0", "a")
                first = next(site for site in running.sites if site.host == limiters[0])
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(partial(send_requests, running, "/stream/x", 8.0, **PROMPT))
                    await trio.sleep(2.0)
                    await running.partition(first)
                    await trio.sleep(3.0)
                    await running.connect(first)

        trio.run(run)


class TestLifting:
    """A rate limit holds only while the server's responses carry it."""

    def test_server_lifts_limit(self, tmp_path):
        """A server that had lifted its rate limit was limited forever."""

        async def run():
            async with gateway_site(tmp_path) as site, servers(site, "plain", [Whole()]) as (one,):
                one.rate_limit = 2.0
                start = site.gateway.directory.latest("i-plain0").start
                assert (await site.ask("/again/x")).status == 200
                assert site.gateway.rate_limits.find(start).rate == 2.0
                one.rate_limit = None
                while site.gateway.rate_limits.find(start) is not None:
                    await site.ask("/again/x")
                    await trio.sleep(0.05)
                answers = [await site.ask("/again/x", f"r{number}") for number in range(20)]
                assert all(answer.status == 200 for answer in answers)

        trio.run(run)

    @pytest.mark.parametrize("value", [b"", b"nan", b"-3", b"inf", b"soon", b"9" * 300])
    def test_invalid_value(self, value, tmp_path):
        """An invalid header closed the connection, or excluded its server forever."""

        async def run():
            script = [Whole(headers=(b"Server-Limit: " + value,))]
            async with gateway_site(tmp_path) as site, servers(site, "plain", script):
                answers = [await site.ask("/again/x", f"r{number}") for number in range(20)]
                assert all(answer.status == 200 for answer in answers)

        trio.run(run)
