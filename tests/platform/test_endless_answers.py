"""Servers that send bytes without end which are no answer, at each place that reads from one."""

from contextlib import asynccontextmanager

import pytest
import trio

from siskinspoke.gateway.exchange import ask
from tests.platform.site import gateway_site, servers, until
from tests.platform.standin_server import ENDLESS_FORMS, Endless, Events
from tests.platform.test_streams import data_of

PROMPT = {"Token_Counts": "5000,900"}
MEMORY_MB = 64.0
SETTINGS = {"memory_mb": MEMORY_MB}
# The kernel's buffers hold some megabytes of each connection.
SOCKET_BYTES = 8_000_000
FORMS = sorted(ENDLESS_FORMS)


@asynccontextmanager
async def alternating(site, service: str, *script):
    """Run two servers that follow one script together, whichever gets a request."""
    async with servers(site, service, script, []) as (one, two):
        two.script = one.script
        yield one, two


def is_bounded(server, answers: int) -> bool:
    """Return whether a VM has taken less of some answers than its share of the memory."""
    return server.endless_bytes <= MEMORY_MB * 250_000 + answers * SOCKET_BYTES


class TestStreams:
    """A stream whose server sends without end."""

    @pytest.mark.parametrize("form", FORMS)
    def test_stream_continues_at_another_engine(self, tmp_path, form):
        """Guards against an engine that is read until the deadline, and an event without end."""

        async def run():
            async with (
                gateway_site(tmp_path, settings=SETTINGS) as site,
                alternating(site, "engines", Endless(form), Events()) as (one, two),
            ):
                began = trio.current_time()
                answer = await site.ask("/stream/x", **PROMPT)
                assert answer.status == 200, answer.raw
                assert answer.whole
                assert b"\0" not in answer.raw
                assert trio.current_time() - began < 1.5
                await until(lambda: not one.endless_open and not two.endless_open)
                assert is_bounded(one, 1) and is_bounded(two, 1)

        trio.run(run)

    def test_stream_that_may_run_once_is_cut(self, tmp_path):
        """Guards against a stream of bytes that are no events and that looks complete."""

        async def run():
            async with (
                gateway_site(tmp_path, settings=SETTINGS) as site,
                servers(site, "engines", [Endless("body")]) as (one,),
            ):
                answer = await site.ask("/solo/x", **PROMPT)
                assert not answer.whole
                assert b"\0" not in answer.raw
                await until(lambda: not one.endless_open)

        trio.run(run)


class TestExchanges:
    """Reports and orders, whose answers are short."""

    @pytest.mark.parametrize("form", FORMS)
    def test_answer_is_given_up(self, tmp_path, form):
        """Guards against a report without end that fills the memory."""

        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [Endless(form)]) as (one,),
            ):
                record = site.gateway.directory.latest(one.name)
                head = site.gateway.wire.report_request(one.name)
                began = trio.current_time()
                assert await ask(site.gateway, record, head, b"", 5.0, 0.0) is None
                assert trio.current_time() - began < 1.0
                await until(lambda: not one.endless_open)
                assert one.endless_bytes < 1_000_000 + SOCKET_BYTES

        trio.run(run)


class TestSoundAnswers:
    """Long answers of sound servers are not cut."""

    def test_long_stream(self, tmp_path):
        """Guards against a limit on a stream as a whole."""

        async def run():
            async with (
                gateway_site(tmp_path, settings=SETTINGS) as site,
                servers(site, "engines", [Events(last=150, padding=20_000)]),
            ):
                answer = await site.ask("/stream/x", **PROMPT)
                assert answer.whole
                assert len(data_of(answer.body)) > 150 * 20_000

        trio.run(run)

    def test_stream_of_small_chunks(self, tmp_path):
        """Guards against a limit on the size of chunks that cuts short events."""

        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [Events(last=3_000)]),
            ):
                answer = await site.ask("/stream/x", **PROMPT)
                assert answer.whole

        trio.run(run)
