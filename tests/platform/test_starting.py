"""Tests for a gateway that has just started."""

import trio

from tests.platform.site import document, gateway_site, servers, until
from tests.platform.standin_server import Whole


class TestStarting:
    """After the loss of all VMs, clients spend their only retry on the first VM to return."""

    def test_request_waits_for_first_configuration(self, tmp_path):
        """A client's retry reaches a VM that started 0.1 s ago and has no routes yet.

        The configuration arrives 0.2 s later. A refusal would use up the client's only retry,
        although the request could be served a moment later.
        """

        async def scenario():
            async with (
                gateway_site(tmp_path, configured=False) as site,
                servers(site, "plain", [Whole(None)]),
                trio.open_nursery() as nursery,
            ):
                site.gateway.started_at = trio.current_time()
                answers = []

                async def ask():
                    answers.append(await site.ask("/again/x"))

                nursery.start_soon(ask)
                await trio.sleep(0.2)
                assert answers == []
                site.daemon._on_publication(1, document())
                await until(lambda: answers, seconds=2)
                assert answers[0].status == 200

        trio.run(scenario)

    def test_vm_without_configuration_refuses(self, tmp_path):
        """If no control VM answers, the wait is bounded, and later requests don't wait."""

        async def scenario():
            async with gateway_site(tmp_path, configured=False) as site:
                site.gateway.started_at = trio.current_time()
                began = trio.current_time()
                assert (await site.ask("/again/x")).status == 503
                first = trio.current_time() - began
                began = trio.current_time()
                assert (await site.ask("/again/x")).status == 503
                assert trio.current_time() - began < first / 4

        trio.run(scenario)

    def test_disconnected_client_is_dropped(self, tmp_path):
        async def scenario():
            async with gateway_site(tmp_path, configured=False) as site:
                site.gateway.started_at = trio.current_time() + 60
                stream = await site.connect()
                await stream.send_all(b"GET /again/x HTTP/1.1\r\nHost: a\r\nRequest-Id: r\r\n\r\n")
                await trio.sleep(0.1)
                assert site.gateway.counters.totals["client.connections"] == 1
                await stream.aclose()
                await trio.sleep(0.1)
                site.daemon._on_publication(1, document())
                await trio.sleep(0.05)
                assert not any(name.startswith("ended") for name in site.gateway.counters.totals)

        trio.run(scenario)
