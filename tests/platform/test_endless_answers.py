"""Servers that send bytes without end which are no answer, at each place that reads from one."""

from contextlib import asynccontextmanager

import pytest
import trio

from siskinspoke.gateway.exchange import ask
from tests.platform.site import gateway_site, servers, until
from tests.platform.standin_server import ENDLESS_FORMS, Endless, Events, Refuse, Unframed, Whole
from tests.platform.test_streams import data_of

PROMPT = {"Token_Counts": "5000,900"}
# The share of the VM's memory for answers that are read as a whole is below ANSWER_BYTES.
SETTINGS = {"memory_mb": 120.0}
ANSWER_BYTES = 16_000_000
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
    return server.endless_bytes <= ANSWER_BYTES + answers * SOCKET_BYTES


class TestPlainCalls:
    """A plain call whose server sends without end."""

    @pytest.mark.parametrize("form", FORMS)
    def test_call_gets_its_second_attempt_in_time(self, tmp_path, form):
        """Guards against an answer that is read until the deadline, without a second attempt."""

        async def run():
            async with (
                gateway_site(tmp_path, settings=SETTINGS) as site,
                alternating(site, "plain", Endless(form), Whole()) as (one, two),
            ):
                began = trio.current_time()
                answer = await site.ask("/again/x")
                assert answer.status == 200, answer.raw
                assert trio.current_time() - began < 1.5
                await until(lambda: not one.endless_open and not two.endless_open)
                assert is_bounded(one, 1) and is_bounded(two, 1)

        trio.run(run)

    @pytest.mark.parametrize("form", FORMS)
    def test_call_that_may_run_once_is_unknown(self, tmp_path, form):
        """Guards against an answer that is read until the deadline, or is called not run."""

        async def run():
            async with (
                gateway_site(tmp_path, settings=SETTINGS) as site,
                alternating(site, "plain", Endless(form)) as (one, two),
            ):
                began = trio.current_time()
                answer = await site.ask("/once/x")
                assert answer.status == 502, answer.raw
                assert b'"run":"unknown"' in answer.raw
                assert trio.current_time() - began < 1.5
                await until(lambda: not one.endless_open and not two.endless_open)
                assert len(one.seen) + len(two.seen) == 1

        trio.run(run)

    def test_slow_answer_without_end_gets_a_second_attempt(self, tmp_path):
        """Guards against waiting for the deadline as long as some bytes arrive."""

        async def run():
            endless = Endless("chunks", pause=0.05)
            async with (
                gateway_site(tmp_path) as site,
                alternating(site, "plain", endless, Whole()),
            ):
                answer = await site.ask("/again/x")
                assert answer.status == 200, answer.raw

        trio.run(run)

    def test_many_at_once_stay_within_the_memory(self, tmp_path):
        """Guards against a bound for each answer that many answers together exceed."""

        async def run():
            async with (
                gateway_site(tmp_path, settings=SETTINGS) as site,
                servers(site, "plain", [Endless("body", pause=0.002)]) as (one,),
                trio.open_nursery() as nursery,
            ):
                for number in range(24):
                    nursery.start_soon(site.ask, "/once/x", f"r{number}")
                await until(lambda: one.endless_open == 24)
                while one.endless_open:
                    assert site.gateway.responses.held <= ANSWER_BYTES
                    await trio.sleep(0.01)
                assert site.gateway.responses.held == 0
                assert site.gateway.counters.totals["response.too_large"] >= 24

        trio.run(run)

    def test_sound_answers_are_served_beside_it(self, tmp_path):
        """Guards against a large answer without end for which a small sound one is dropped."""

        async def run():
            async with (
                gateway_site(tmp_path, settings=SETTINGS) as site,
                servers(site, "plain", [Endless("body", pause=0.001)]) as (one,),
                trio.open_nursery() as nursery,
            ):
                for number in range(4):
                    nursery.start_soon(site.ask, "/once/x", f"r{number}")
                await until(lambda: one.endless_open == 4)
                one.script.clear()
                one.script.append(Whole(b"x" * 300_000))
                answers = [await site.ask("/once/x", f"s{number}") for number in range(20)]
                assert all(answer.status == 200 for answer in answers)

        trio.run(run)


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

    def test_repeated_event_is_sent_once(self, tmp_path):
        """Guards against sending a client one event many times that arrives in one read."""

        async def run():
            async with (
                gateway_site(tmp_path) as site,
                alternating(site, "engines", Endless("old events"), Events()),
            ):
                answer = await site.ask("/stream/x", **PROMPT)
                assert answer.whole
                assert answer.body.count(b"id: 1\n") == 1

        trio.run(run)

    def test_failure_without_end(self, tmp_path):
        """Guards against the body of an error that is read without a limit."""

        async def run():
            async with (
                gateway_site(tmp_path, settings=SETTINGS) as site,
                servers(site, "engines", [Endless("body", status=500)]) as (one,),
            ):
                answer = await site.ask("/solo/x", **PROMPT)
                assert answer.status == 502, answer.raw
                assert is_bounded(one, 1)

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

    @pytest.mark.parametrize("behaviour", [Whole(b"x" * 12_000_000), Unframed(b"x" * 12_000_000)])
    def test_long_answer(self, tmp_path, behaviour):
        """Guards against a limit that cuts a long answer of a sound server."""

        async def run():
            async with (
                gateway_site(tmp_path, settings=SETTINGS) as site,
                servers(site, "plain", [behaviour]),
            ):
                answer = await site.ask("/once/x")
                assert answer.status == 200
                assert len(answer.body) == 12_000_000

        trio.run(run)

    def test_refusal_after_an_answer_without_end(self, tmp_path):
        """Guards against calling a call not run that has run at the server before."""

        async def run():
            async with (
                gateway_site(tmp_path, settings=SETTINGS) as site,
                alternating(site, "plain", Endless(), Refuse()),
            ):
                answer = await site.ask("/again/x")
                assert answer.status == 502
                assert b'"run":"unknown"' in answer.raw

        trio.run(run)

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
