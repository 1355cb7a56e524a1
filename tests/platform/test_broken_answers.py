"""Answers that are broken, or cut off, must not reach a client as whole ones."""

from collections import defaultdict
from contextlib import asynccontextmanager

import pytest
import trio

from siskinspoke.gateway.exchange import ask
from siskinspoke.testing.server_links import LinkMode
from siskinspoke.transport.http1 import RequestHead, ServerConnection
from tests.platform.broken_answers import (
    CUT_HEADS,
    EVENT_PARTS,
    FIELDS,
    FOLDED,
    FOREIGN,
    INVALID_FIELDS,
    INVALID_STATUSES,
    LONG_BODY,
    PART,
    STATUS,
    UNFRAMED,
    UNREAD_ENDS,
    unread,
)
from tests.platform.cell_site import cell_site
from tests.platform.site import gateway_site, servers
from tests.platform.standin_server import Events, Raw, Whole, event
from tests.platform.test_forwarding import cut, find_out, forwards
from tests.platform.test_streams import data_of

PROMPT = {"Token_Counts": "5000,900"}
# The order in which the event loop runs two tasks decides what a call sees, so it is repeated.
TRIES = 12
WHOLE_EVENTS = b"".join(event(number) for number in range(1, 5))
INVALID_HEADS = INVALID_STATUSES | INVALID_FIELDS | FOLDED


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


@pytest.fixture(params=["any order", "write first"])
def order(request, monkeypatch) -> str:
    """Have requests written and answers read in any order, or the write meet the reset first."""
    if request.param == "write first":
        send, read = ServerConnection.send_request, ServerConnection.read_head
        written: dict[ServerConnection, trio.Event] = defaultdict(trio.Event)

        async def send_request(self, head, body):
            try:
                await send(self, head, body)
            finally:
                written[self].set()

        async def read_head(self):
            await written[self].wait()
            del written[self]
            return await read(self)

        monkeypatch.setattr(ServerConnection, "send_request", send_request)
        monkeypatch.setattr(ServerConnection, "read_head", read_head)
    return request.param


@pytest.mark.usefixtures("order")
class TestUnreadRequests:
    """A server answers before it has read a long request, without a length."""

    @pytest.mark.parametrize("end", UNREAD_ENDS)
    def test_cut_answer_is_tried_elsewhere(self, tmp_path, end):
        """Guards against taking a part of a body for the whole, where the end was a reset."""

        async def run():
            for _ in range(TRIES):
                broken = unread(UNFRAMED + PART, *UNREAD_ENDS[end])
                answer, runs = await ask_site(
                    tmp_path, "plain", "/again/x", broken, Whole(), body=LONG_BODY
                )
                assert (answer.status, answer.body, runs) == (200, b"done", 2)

        trio.run(run)

    @pytest.mark.parametrize("end", UNREAD_ENDS)
    def test_cut_answer_of_a_call_that_may_run_once(self, tmp_path, end):
        """Guards against a part of a body as a success, or as a call that has not run."""

        async def run():
            for _ in range(TRIES):
                broken = unread(UNFRAMED + PART, *UNREAD_ENDS[end])
                answer, runs = await ask_site(
                    tmp_path, "plain", "/once/x", broken, Whole(), body=LONG_BODY
                )
                assert (answer.status, runs) == (502, 1), answer.raw
                assert b'"run":"unknown"' in answer.raw

        trio.run(run)

    @pytest.mark.parametrize("end", UNREAD_ENDS)
    @pytest.mark.parametrize("status", [400, 500])
    def test_cut_failure(self, tmp_path, status, end):
        """Guards against a part of a failure's body that is passed on as the server's body."""

        async def run():
            head = UNFRAMED.replace(b"200 OK", b"%d No" % status)
            for _ in range(TRIES):
                broken = unread(head + PART, *UNREAD_ENDS[end])
                answer, _ = await ask_site(
                    tmp_path, "plain", "/once/x", broken, Whole(), body=LONG_BODY
                )
                assert answer.status == 502, answer.raw
                assert PART not in answer.raw

        trio.run(run)

    @pytest.mark.parametrize("end", UNREAD_ENDS)
    def test_cut_stream_continues_elsewhere(self, tmp_path, end):
        """Guards against ending a stream as complete whose server has reset the connection."""

        async def run():
            for _ in range(TRIES):
                broken = unread(UNFRAMED + EVENT_PARTS, *UNREAD_ENDS[end])
                answer, runs = await ask_site(
                    tmp_path,
                    "engines",
                    "/stream/x",
                    broken,
                    Events(last=4),
                    body=LONG_BODY,
                    **PROMPT,
                )
                assert answer.whole
                assert (data_of(answer.body), runs) == (WHOLE_EVENTS, 2)

        trio.run(run)

    @pytest.mark.parametrize("end", UNREAD_ENDS)
    def test_cut_rest_of_a_resumed_stream(self, tmp_path, end):
        """Guards against ending a resumed stream as complete after a second reset."""

        async def run():
            for _ in range(TRIES):
                broken = unread(UNFRAMED + event(3), *UNREAD_ENDS[end])
                answer, runs = await ask_site(
                    tmp_path,
                    "engines",
                    "/stream/x",
                    broken,
                    Events(last=4),
                    body=LONG_BODY,
                    Last_Event_Id="2",
                    **PROMPT,
                )
                assert answer.whole
                assert (data_of(answer.body), runs) == (event(3) + event(4), 2)

        trio.run(run)

    @pytest.mark.parametrize("end", UNREAD_ENDS)
    def test_cut_stream_that_may_run_once(self, tmp_path, end):
        """Guards against sending the last chunk of a stream that was cut."""

        async def run():
            for _ in range(TRIES):
                broken = unread(UNFRAMED + EVENT_PARTS, *UNREAD_ENDS[end])
                answer, runs = await ask_site(
                    tmp_path, "engines", "/solo/x", broken, Whole(), body=LONG_BODY, **PROMPT
                )
                assert not answer.whole, answer.raw
                assert answer.ended
                assert runs == 1

        trio.run(run)

    def test_forwarded_call(self, tmp_path):
        """Guards against a cut answer that a peer passes on as whole."""

        async def run():
            async with cell_site(tmp_path, 2, "plain") as cell:
                await cell.start_servers([Whole()] * 3)
                cut(cell, 0)
                await find_out(cell)
                for server in cell.servers:
                    server.script[0] = unread(UNFRAMED + PART, "reset")
                before = forwards(cell)
                for number in range(TRIES):
                    result = await cell.send(cell.sites[0], "/once/x", f"r{number}", body=LONG_BODY)
                    assert not result.served, result.raw
                    assert result.status != 503 or not cell.runs_of(f"r{number}")
                assert forwards(cell) > before

        trio.run(run)

    @pytest.mark.parametrize(("end", "is_answered"), [("reset", False), ("finish", True)])
    def test_answer_to_the_vm_itself(self, tmp_path, end, is_answered):
        """Guards against using a part of the answer to an order or a question."""

        async def run():
            script = [unread(UNFRAMED + PART, end)]
            headers = [(b"Host", b"h"), (b"Content-Length", b"%d" % len(LONG_BODY))]
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "plain", script) as (one,),
            ):
                record = site.gateway.directory.latest(one.name)
                for _ in range(TRIES):
                    head = RequestHead("POST", "/order", headers)
                    reply = await ask(site.gateway, record, head, LONG_BODY, 5.0, 0.0)
                    assert (reply is not None) == is_answered

        trio.run(run)

    def test_cut_answer_counts_against_the_server(self, tmp_path):
        """Guards against taking a cut answer for a fast sound one of a healthy server."""

        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "plain", [unread(UNFRAMED + PART, "reset")]),
            ):
                for number in range(TRIES):
                    await site.ask("/once/x", f"r{number}", body=LONG_BODY)
                assert site.gateway.counters.totals["attempt.broken"] == TRIES

        trio.run(run)


@pytest.mark.usefixtures("order")
class TestSoundEarlyAnswers:
    """A server may answer before it has read a request, and end its connection in order."""

    @pytest.mark.parametrize("end_after", [0.0, 0.02])
    def test_call(self, tmp_path, end_after):
        """Guards against failing an early answer that is whole, though the rest was not read."""

        async def run():
            for _ in range(TRIES):
                sound = unread(UNFRAMED + b"early", "finish", end_after)
                answer, runs = await ask_site(
                    tmp_path, "plain", "/once/x", sound, Whole(), body=LONG_BODY
                )
                assert (answer.status, answer.body, runs) == (200, b"early", 1)

        trio.run(run)

    @pytest.mark.parametrize("end_after", [0.0, 0.02])
    def test_stream(self, tmp_path, end_after):
        """Guards against continuing a stream elsewhere that has ended in order."""

        async def run():
            for _ in range(TRIES):
                sound = unread(UNFRAMED + EVENT_PARTS, "finish", end_after)
                answer, runs = await ask_site(
                    tmp_path, "engines", "/solo/x", sound, Whole(), body=LONG_BODY, **PROMPT
                )
                assert answer.whole
                assert (data_of(answer.body), runs) == (EVENT_PARTS, 1)

        trio.run(run)

    @pytest.mark.parametrize("end", UNREAD_ENDS)
    def test_answer_with_a_length(self, tmp_path, end):
        """Guards against failing an answer that its length proves whole."""

        async def run():
            for _ in range(TRIES):
                data = STATUS + FIELDS + b"Content-Length: 5\r\n\r\nearly"
                sound = unread(data, *UNREAD_ENDS[end])
                answer, runs = await ask_site(
                    tmp_path, "plain", "/once/x", sound, Whole(), body=LONG_BODY
                )
                assert (answer.status, answer.body, runs) == (200, b"early", 1)

        trio.run(run)


class TestInvalidHeads:
    """The head of an answer that is no HTTP."""

    @pytest.mark.parametrize("form", INVALID_HEADS)
    def test_call_is_tried_elsewhere(self, tmp_path, form):
        """Guards against an invalid head that is passed on, or ends a call with two attempts."""

        async def run():
            broken = Raw(INVALID_HEADS[form])
            answer, runs = await ask_site(tmp_path, "plain", "/again/x", broken, Whole())
            assert (answer.status, answer.body, runs) == (200, b"done", 2)
            assert FOREIGN not in answer.raw
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

    @pytest.mark.parametrize("form", FOLDED)
    def test_forwarded_call(self, tmp_path, form):
        """Guards against an invalid head that a peer passes on."""

        async def run():
            async with cell_site(tmp_path, 2, "plain") as cell:
                await cell.start_servers([Whole()] * 3)
                cut(cell, 0, mode=LinkMode.RESET)
                await find_out(cell)
                for server in cell.servers:
                    server.script[0] = Raw(FOLDED[form])
                result = await cell.send(cell.sites[0], "/once/x", "r1")
                assert result.status == 502
                assert cell.runs_of("r1") == 1

        trio.run(run)

    @pytest.mark.parametrize("data", [b"done", b" done", b"\r\n done", b"\n\tX: 1\r\n\r\ndone"])
    def test_body_that_begins_with_a_blank(self, tmp_path, data):
        """Guards against failing a sound answer for blanks in its body."""

        async def run():
            head = STATUS + FIELDS + b"Content-Length: %d\r\n\r\n" % len(data)
            answer, _ = await ask_site(tmp_path, "plain", "/once/x", Raw(head + data), Whole())
            assert (answer.status, answer.body) == (200, data)

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
