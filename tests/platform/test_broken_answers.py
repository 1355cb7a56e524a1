"""Answers that are broken, or cut off, must not reach a client as whole ones."""

from contextlib import asynccontextmanager

import pytest
import trio

from siskinspoke.gateway.exchange import ask
from tests.platform.broken_answers import (
    CUT_HEADS,
    EVENT_PARTS,
    INVALID_FIELDS,
    INVALID_STATUSES,
)
from tests.platform.site import gateway_site, servers
from tests.platform.standin_server import Events, Raw, Whole, event
from tests.platform.test_streams import data_of

PROMPT = {"Token_Counts": "5000,900"}
# The order in which the event loop runs two tasks decides what a call sees, so it is repeated.
TRIES = 12
WHOLE_EVENTS = b"".join(event(number) for number in range(1, 5))
INVALID_HEADS = INVALID_STATUSES | INVALID_FIELDS


@asynccontextmanager
async def broken_and_sound(site, service: str, broken, sound):
    """Run two servers: the first request gets the broken answer, and all later ones the other."""
    async with servers(site, service, [broken, sound], []) as (one, two):
        two.script = one.script
        yield one, two


async def ask_site(tmp_path, service: str, path: str, *script, body: bytes = b"", **headers):
    """Return the answer to a request whose servers follow a script, and how many requests ran."""
    async with (
        gateway_site(tmp_path) as site,
        broken_and_sound(site, service, *script) as both,
    ):
        answer = await site.ask(path, body=body, **headers)
        return answer, sum(len(server.seen) for server in both)


class TestInvalidHeads:
    """The head of an answer that is no HTTP."""

    @pytest.mark.parametrize("form", INVALID_HEADS)
    def test_call_is_tried_elsewhere(self, tmp_path, form):
        """Guards against an invalid head that is passed on, or ends a call with two attempts."""

        async def run():
            broken = Raw(INVALID_HEADS[form])
            answer, runs = await ask_site(tmp_path, "plain", "/again/x", broken, Whole())
            assert (answer.status, answer.body, runs) == (200, b"done", 2)
            assert b"X-Name" not in answer.raw

        trio.run(run)

    @pytest.mark.parametrize("form", INVALID_HEADS)
    def test_call_that_may_run_once(self, tmp_path, form):
        """Guards against an invalid head that is passed on, or a call that is sent twice."""

        async def run():
            broken = Raw(INVALID_HEADS[form])
            answer, runs = await ask_site(tmp_path, "plain", "/once/x", broken, Whole())
            assert (answer.status, runs) == (502, 1), answer.raw
            assert b'"run":"unknown"' in answer.raw

        trio.run(run)

    @pytest.mark.parametrize("form", INVALID_HEADS)
    def test_stream(self, tmp_path, form):
        """Guards against a stream that begins with an invalid head."""

        async def run():
            broken = Raw(INVALID_HEADS[form].replace(b"done", EVENT_PARTS))
            answer, runs = await ask_site(
                tmp_path, "engines", "/stream/x", broken, Events(last=4), **PROMPT
            )
            assert answer.whole
            assert (data_of(answer.body), runs) == (WHOLE_EVENTS, 2)
            assert b"X-Name" not in answer.raw

        trio.run(run)

    @pytest.mark.parametrize("form", INVALID_HEADS)
    def test_report(self, tmp_path, form):
        """Guards against reading the report of a server from an answer with an invalid head."""

        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [Raw(INVALID_HEADS[form])]) as (one,),
            ):
                record = site.gateway.directory.latest(one.name)
                head = site.gateway.wire.report_request(one.name)
                assert await ask(site.gateway, record, head, b"", 5.0, 0.0) is None

        trio.run(run)


class TestCutHeads:
    """A server that stops in the middle of the head of its answer."""

    @pytest.mark.parametrize("end", ["finish", "reset"])
    @pytest.mark.parametrize("place", CUT_HEADS)
    def test_call(self, tmp_path, place, end):
        """Guards against an empty or short body, framed as whole, after half a head."""

        async def run():
            broken = Raw(CUT_HEADS[place], end, 0.01)
            answer, runs = await ask_site(tmp_path, "plain", "/again/x", broken, Whole())
            assert (answer.status, answer.body, runs) == (200, b"done", 2)

        trio.run(run)

    @pytest.mark.parametrize("end", ["finish", "reset"])
    @pytest.mark.parametrize("place", CUT_HEADS)
    def test_call_that_may_run_once(self, tmp_path, place, end):
        """Guards against a success, or a call that has not run, after half a head."""

        async def run():
            broken = Raw(CUT_HEADS[place], end, 0.01)
            answer, runs = await ask_site(tmp_path, "plain", "/once/x", broken, Whole())
            assert (answer.status, runs) == (502, 1), answer.raw
            assert b'"run":"unknown"' in answer.raw

        trio.run(run)

    @pytest.mark.parametrize("end", ["finish", "reset"])
    @pytest.mark.parametrize("place", CUT_HEADS)
    def test_stream(self, tmp_path, place, end):
        """Guards against an empty stream, ended as complete, after half a head."""

        async def run():
            broken = Raw(CUT_HEADS[place], end, 0.01)
            answer, runs = await ask_site(
                tmp_path, "engines", "/stream/x", broken, Events(last=4), **PROMPT
            )
            assert answer.whole
            assert (data_of(answer.body), runs) == (WHOLE_EVENTS, 2)

        trio.run(run)
