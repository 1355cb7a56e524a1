"""A stream whose engine starts to prefill a long prompt of another entry VM."""

from collections import deque

import trio

from siskinspoke.gateway import reachability
from siskinspoke.gateway.attempts import MOVED
from siskinspoke.protocol.peers import WorkBegan, WorkNews
from tests.platform.site import gateway_site, servers, until
from tests.platform.standin_server import Events
from tests.platform.test_silence import whole_stream
from tests.platform.test_streams import PROMPT, data_of

# An engine that prefills for two seconds and emits no tokens meanwhile.
READS = Events(last=4, silent_after=2, silent_for=2.0)
SOON_SECONDS = 1.0


def long_prompt_at(server: str) -> WorkNews:
    """Return the news that an engine starts to prefill a long prompt alone."""
    began = WorkBegan(1, [server], 200_000, 900, 4_000.0, 1_000.0, [], False)
    return WorkNews("10.0.0.9", "s", [began], [], [], [], [], "a", [], [])


class TestEnginePrefill:
    """Streams paused for 1.5 s during the prefill, and only then continued on another engine."""

    def test_stream_moves_at_once(self, tmp_path):
        async def run():
            script = deque([READS, Events(first=3, last=4)])
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [Events()], [Events()]) as both,
                trio.open_nursery() as nursery,
            ):
                nursery.start_soon(reachability.probe_overdue_forever, site.gateway)
                for server in both:
                    server.script = script
                async with site.request_in_background("/stream/x", **PROMPT) as answers:
                    await until(
                        lambda: any(item.is_streaming for item in site.gateway.attempts._attempts)
                    )
                    first = next(server for server in both if server.seen)
                    began = trio.current_time()
                    site.gateway.peers._handle_work(long_prompt_at(first.name))
                    await until(lambda: answers)
                    assert trio.current_time() - began < SOON_SECONDS
                assert data_of(answers[0].body) == whole_stream(4)
                assert site.gateway.counters.totals.get("stream.moved") == 1
                assert not site.gateway.server_health.failure_share(first.name)
                nursery.cancel_scope.cancel()

        trio.run(run)

    def test_event_does_not_drop_the_news(self, tmp_path):
        """An event arrives between the news of the prefill and the check of the stream."""

        async def run():
            reads = Events(last=4, pause=0.1, silent_after=2, silent_for=2.0)
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [Events()], [Events()]) as both,
                trio.open_nursery() as nursery,
            ):
                script = deque([reads, Events(first=3, last=4)])
                for server in both:
                    server.script = script
                async with site.request_in_background("/stream/x", **PROMPT) as answers:
                    await until(
                        lambda: any(item.is_streaming for item in site.gateway.attempts._attempts)
                    )
                    first = next(server for server in both if server.seen)
                    site.gateway.peers._handle_work(long_prompt_at(first.name))
                    (attempt,) = site.gateway.attempts._attempts
                    first_event_at = attempt._waiting_since
                    await until(lambda: attempt._waiting_since > first_event_at)
                    nursery.start_soon(reachability.probe_overdue_forever, site.gateway)
                    await until(lambda: answers)
                assert data_of(answers[0].body) == whole_stream(4)
                assert site.gateway.counters.totals.get("stream.moved") == 1
                nursery.cancel_scope.cancel()

        trio.run(run)

    def test_stays_without_another_engine(self, tmp_path):
        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [READS]) as (one,),
                trio.open_nursery() as nursery,
            ):
                nursery.start_soon(reachability.probe_overdue_forever, site.gateway)
                async with site.request_in_background(
                    "/stream/x", Deadline_Ms="5000", **PROMPT
                ) as answers:
                    await until(
                        lambda: any(item.is_streaming for item in site.gateway.attempts._attempts)
                    )
                    site.gateway.peers._handle_work(long_prompt_at(one.name))
                assert data_of(answers[0].body) == whole_stream(4)
                assert MOVED not in str(site.gateway.counters.totals)
                nursery.cancel_scope.cancel()

        trio.run(run)
