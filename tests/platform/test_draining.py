"""A VM that is about to stop: which requests it still accepts."""

import trio

from siskinspoke.gateway.context import ACCEPT_PLAIN_MS, ACCEPT_STREAMS_MS, now_ms
from tests.platform.site import gateway_site, read_answer, request_bytes, servers
from tests.platform.standin_server import Events, Whole

PROMPT = {"Token_Counts": "5000,900"}


class TestDraining:
    """A graceful shutdown cuts no request, because none is accepted that cannot end in time."""

    def test_early_requests_are_served(self, tmp_path):
        async def run():
            async with gateway_site(tmp_path) as site, servers(site, "plain", [Whole()]):
                site.gateway.draining_since_ms = now_ms()
                answer = await site.ask("/once/x")
                assert answer.status == 200
                assert b"Connection: close" in answer.raw

        trio.run(run)

    def test_late_streams_are_refused(self, tmp_path):
        """Six seconds after a VM was told to stop, an open connection brings a stream.

        It would be truncated two seconds later.  It must be refused as "not run", so that its
        client retries on another VM.
        """

        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [Events()]) as (one,),
            ):
                site.gateway.draining_since_ms = now_ms() - ACCEPT_STREAMS_MS - 1
                answer = await site.ask("/stream/x", **PROMPT)
                assert answer.status == 503
                assert b"Connection: close" in answer.raw
                assert not one.seen

        trio.run(run)

    def test_plain_requests_are_accepted_for_longer(self, tmp_path):
        async def run():
            async with gateway_site(tmp_path) as site, servers(site, "plain", [Whole()]):
                site.gateway.draining_since_ms = now_ms() - ACCEPT_STREAMS_MS - 1
                assert (await site.ask("/once/x")).status == 200
                site.gateway.draining_since_ms = now_ms() - ACCEPT_PLAIN_MS - 1
                assert (await site.ask("/once/x")).status == 503

        trio.run(run)

    def test_idle_connections_are_closed(self, tmp_path):
        async def run():
            async with gateway_site(tmp_path) as site, servers(site, "plain", [Whole()]):
                stream = await site.connect()
                await stream.send_all(request_bytes("/again/x"))
                assert (await read_answer(stream)).status == 200
                await trio.sleep(0.05)
                site.gateway.close_idle_connections()
                with trio.fail_after(1):
                    assert await stream.receive_some() == b""

        trio.run(run)
