"""Backend servers that name a rate limit, and several VMs that send to them."""

import pytest
import trio

from tests.platform.fleet import Fleet, fleet
from tests.platform.standin_server import Events, Whole
from tests.platform.test_streams import PROMPT

SECONDS = 5.0
EVERY_SECONDS = 0.1


async def press(running: Fleet, path: str, seconds: float = SECONDS, **headers) -> list:
    """Let clients ask each VM ten times a second; return their answers."""
    answers = []

    async def ask(site, request_id: str) -> None:
        answers.append(await site.ask(path, request_id, **headers))

    async with trio.open_nursery() as nursery:
        for number in range(round(seconds / EVERY_SECONDS)):
            for index, site in enumerate(running.sites):
                nursery.start_soon(ask, site, f"r{index}-{number}")
            await trio.sleep(EVERY_SECONDS)
    return answers


class TestSumOverVms:
    """A server gets no more than it has named from all VMs together."""

    @pytest.mark.parametrize("rate", [0.5, 1.0, 4.0])
    def test_engines(self, rate, tmp_path):
        """Streams went on to an engine that had named a limit as before."""

        async def run():
            async with fleet(tmp_path, 3) as running:
                scripts = [[Events()] for _ in range(4)]
                for server in (await running.start_servers(scripts))[:3]:
                    server.rate_limit = rate
                answers = await press(running, "/stream/x", **PROMPT)
                assert all(answer.status == 200 for answer in answers)

        trio.run(run)

    def test_plain_servers(self, tmp_path):
        """Calls went on to a plain server that had named a limit as before."""

        async def run():
            async with fleet(tmp_path, 3) as running:
                running.service = "plain"
                servers = await running.start_servers([[Whole()], [Whole()], [Whole()]])
                servers[0].rate_limit = 1.0
                answers = await press(running, "/again/x")
                assert all(answer.status == 200 for answer in answers)

        trio.run(run)
