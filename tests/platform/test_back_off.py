"""Tests for backend servers that refuse a request and ask for a back-off time."""

import pytest
import trio

from siskinspoke.gateway import reports
from siskinspoke.gateway.context import now_ms
from siskinspoke.gateway.holds import BACK_OFF, find_hold
from tests.platform.site import Site, gateway_site, servers
from tests.platform.standin_server import Events, Refuse, StandinServer, Whole
from tests.platform.test_rate_limits import retry_after
from tests.platform.test_streams import PROMPT

BACK_OFF_SECONDS = 2.0
BACK_OFF_REFUSAL = Refuse(back_off=BACK_OFF_SECONDS)


async def send_requests(
    site: Site, path: str, seconds: float = BACK_OFF_SECONDS + 0.5, **headers
) -> list:
    """Send twenty requests a second; return the responses."""
    answers = []

    async def ask(request_id: str) -> None:
        answers.append(await site.ask(path, request_id, **headers))

    async with trio.open_nursery() as nursery:
        for number in range(round(seconds * 20)):
            nursery.start_soon(ask, f"r{number}")
            await trio.sleep(0.05)
    return answers


def client_request_count(server: StandinServer) -> int:
    """Return how many client requests a server received."""
    return sum("Request-Id" in seen.headers for seen in server.seen)


class TestBackOff:
    """A server gets no requests from a VM for the time that it asked for."""

    @pytest.mark.parametrize(
        ("service", "path", "more", "healthy"),
        [
            ("plain", "/again/x", {}, Whole(begin_after=0.15)),
            ("engines", "/stream/x", PROMPT, Events()),
        ],
    )
    def test_one_server_backs_off(self, service, path, more, healthy, tmp_path):
        """A server asked for a back-off of 3 s and still got requests every 0.2 s."""

        async def run():
            async with gateway_site(tmp_path) as site, servers(site, service, [BACK_OFF_REFUSAL]):
                assert (await site.ask(path, **more)).status == 503
                async with servers(site, service, [healthy], [healthy], first=1):
                    answers = await send_requests(site, path, **more)
                assert all(answer.status == 200 for answer in answers)

        trio.run(run)

    @pytest.mark.parametrize(
        ("service", "path", "more", "healthy"),
        [("plain", "/once/x", {}, Whole()), ("engines", "/stream/x", PROMPT, Events())],
    )
    def test_all_servers_back_off(self, service, path, more, healthy, tmp_path):
        """With all servers in back-off, half of them were used anyway."""

        async def run():
            script = [BACK_OFF_REFUSAL, healthy]
            async with (
                gateway_site(tmp_path) as site,
                servers(site, service, script, script, script) as backed_off,
            ):
                for number in range(3):
                    assert (await site.ask(path, f"first-{number}", **more)).status in (200, 503)
                answer = await site.ask(path, **more)
                assert answer.status == 503
                assert 0.5 * BACK_OFF_SECONDS <= retry_after(answer) <= BACK_OFF_SECONDS + 1
                assert sum(client_request_count(server) for server in backed_off) == 3
                await trio.sleep(retry_after(answer))
                assert (await site.ask(path, **more)).status == 200

        trio.run(run)

    def test_back_off_in_response_to_status_poll(self, tmp_path):
        """A back-off in an engine's response to the VM's own status poll was ignored."""

        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [BACK_OFF_REFUSAL], [Events()]) as (one, _),
            ):
                record = site.gateway.directory.latest(one.name)
                await reports._poll(site.gateway, record)
                assert find_hold(site.gateway, record, now_ms()).reason == BACK_OFF
                answers = await send_requests(site, "/stream/x", 1.0, **PROMPT)
                assert all(answer.status == 200 for answer in answers)
                assert client_request_count(one) == 0

        trio.run(run)
