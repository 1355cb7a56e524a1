"""Streams through the adapter: events are whole, sent once, and resumed after a failure."""

import json

import trio

from siskinspoke.coordination.work_table import Job, Work
from siskinspoke.gateway.context import now_ms
from tests.platform.site import (
    gateway_site,
    late_server,
    read_answer,
    request_bytes,
    servers,
    until,
)
from tests.platform.standin_server import (
    STAMP,
    Events,
    Refuse,
    Silent,
    StandinServer,
    Whole,
    event,
)

PROMPT = {"Token_Counts": "5000,900", "Model": "m", "Prompt_Prefix": "aa:40,bb:4960"}


def data_of(body: bytes) -> bytes:
    """Return the data of a chunked body."""
    data = b""
    while body:
        size, _, body = body.partition(b"\r\n")
        length = int(size or b"0", 16)
        if not length:
            break
        data, body = data + body[:length], body[length + 2 :]
    return data


class TestStreams:
    """Events arrive in order and once, and an answer that ends early looks truncated."""

    def test_events_pass_whole(self, tmp_path):
        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [Events(last=4)]) as (one,),
            ):
                answer = await site.ask("/stream/x", **PROMPT)
                assert answer.whole
                assert data_of(answer.body) == b"".join(event(number) for number in range(1, 5))
                assert b"Server-Stamp: " + STAMP in answer.raw
                assert one.seen[0].headers["Token-Counts"] == "5000,900"
                assert one.seen[0].headers["Prompt-Prefix"] == "aa:40,bb:4960"

        trio.run(run)

    def test_partial_event_is_resumed_on_another_server(self, tmp_path):
        """A server crashes in the middle of an event.

        The client must get the rest from another server, with no event duplicated or missing, under
        the first server's head.
        """

        async def run():
            script = [Events(last=2, pause=0.05, then="cut", torn=b"id: 3\ndata: pi")]
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", script) as (first,),
            ):
                stream = await site.connect()
                await stream.send_all(request_bytes("/stream/x", **PROMPT))
                while not first.seen:
                    await trio.sleep(0.01)
                second = await late_server(site, Events(last=5))
                answer = await read_answer(stream)
                assert answer.whole
                expected = b"".join(event(number) for number in range(1, 6))
                assert data_of(answer.body) == expected
                assert second.seen[0].headers["Last-Event-Id"] == "2"
                await stream.aclose()

        trio.run(run)

    def test_a_silent_server_is_left(self, tmp_path):
        """A server's connection stops delivering in mid-stream without a reset."""

        async def run():
            script = [Events(last=2, then="silent")]
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", script) as (first,),
            ):
                stream = await site.connect()
                await stream.send_all(request_bytes("/stream/x", Deadline_Ms="5000", **PROMPT))
                while not first.seen:
                    await trio.sleep(0.01)
                await late_server(site, Events(last=5))
                with trio.fail_after(4):
                    answer = await read_answer(stream)
                expected = b"".join(event(number) for number in range(1, 6))
                assert data_of(answer.body) == expected

        trio.run(run)

    def test_non_resumable_stream_is_truncated(self, tmp_path):
        """A stream that must not run twice breaks off; the client must see that it is truncated."""

        async def run():
            script = [Events(last=2, then="cut")]
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", script, script) as both,
            ):
                answer = await site.ask("/solo/x", **PROMPT)
                assert answer.ended
                assert not answer.whole
                assert sum(len(server.seen) for server in both) == 1

        trio.run(run)

    def test_client_resumes_with_last_event_id(self, tmp_path):
        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [Events(last=5)]) as (one,),
            ):
                answer = await site.ask("/stream/x", Last_Event_Id="3", **PROMPT)
                assert data_of(answer.body) == event(4) + event(5)
                assert one.seen[0].headers["Last-Event-Id"] == "3"

        trio.run(run)

    def test_client_disconnect_stops_the_engine(self, tmp_path):
        """A client disconnects before the first token: the engine must stop its prefill."""

        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [Silent()]) as (one,),
            ):
                stream = await site.connect()
                await stream.send_all(request_bytes("/stream/x", **PROMPT))
                await until(lambda: one.seen)
                await stream.aclose()
                await until(lambda: one.closed, seconds=0.5)
                assert site.gateway.work_table.work_count == 0

        trio.run(run)

    def test_timeout_truncates_a_stream(self, tmp_path):
        """A stream exceeds its route's timeout; it must end then, and look truncated."""

        async def run():
            async with (
                gateway_site(tmp_path, timeout_ms=500) as site,
                servers(site, "engines", [Events(last=50, pause=0.1)]),
            ):
                with trio.fail_after(1.5):
                    answer = await site.ask("/stream/x", **PROMPT)
                assert answer.ended
                assert not answer.whole

        trio.run(run)


class TestLongPrompts:
    """Prompts that several engines prefill, or that no engine holds alone."""

    def test_long_prompt_is_prefilled_by_several_engines(self, tmp_path):
        async def run():
            scripts = [[Events(last=2)]] * 6
            async with gateway_site(tmp_path) as site, servers(site, "engines", *scripts) as six:
                answer = await site.ask("/stream/x", Token_Counts="154000,800")
                assert answer.whole
                (seen,) = [server.seen[0] for server in six if server.seen]
                helpers = seen.headers["Helpers"].split(",")
                assert len(helpers) == len(set(helpers)) == 5

        trio.run(run)

    def test_group_of_engines_is_logged(self, tmp_path):
        """Several engines paused at once, and no log line told which prompt they all prefilled."""

        async def run():
            scripts = [[Events(last=2)]] * 6
            async with gateway_site(tmp_path) as site, servers(site, "engines", *scripts) as six:
                await site.ask("/stream/x", "long", Token_Counts="154000,800")
                await site.ask("/stream/x", "short", **PROMPT)
                seen = [(server.name, item) for server in six for item in server.seen]
                return next(name for name, item in seen if "Helpers" in item.headers)

        writer = trio.run(run)
        lines = [json.loads(line) for line in (tmp_path / "log").read_text().splitlines()]
        (line,) = [line for line in lines if line["event"] == "attempt.group"]
        assert line["request"] == "long"
        assert line["servers"][0] == writer
        assert len(set(line["servers"])) == 6
        assert line["leaving"] == []
        assert line["tokens"] == 154_000
        # 870 ms for tokens and 2,182 ms for pairs, split six ways.
        assert line["read"] == 509

    def test_prompt_larger_than_one_engines_memory_is_reserved_and_released(self, tmp_path):
        """A prompt of over twice one engine's memory: all parts are reserved, or none."""

        async def run():
            scripts = [[Whole(), Events(last=2)]] + [[Whole()]] * 5
            async with gateway_site(tmp_path) as site, servers(site, "engines", *scripts) as six:
                await site.ask("/stream/x", Token_Counts="700000,800")
                await trio.sleep(0.2)
                orders = [s for one in six for s in one.seen if "/order" in s.head]
                reserved = [s for s in orders if b'"reserve"' in s.body]
                released = [s for s in orders if b'"release"' in s.body]
                assert reserved
                assert len(released) == len(reserved)

        trio.run(run)

    def test_refused_reservation_releases_the_others(self, tmp_path):
        """One engine has no memory left; what the others reserved must be released."""

        async def run():
            scripts = [[Whole()]] + [[Refuse(409)]] * 4
            async with gateway_site(tmp_path) as site, servers(site, "engines", *scripts) as five:
                answer = await site.ask("/stream/x", Token_Counts="700000,800")
                assert answer.status == 503
                await trio.sleep(0.2)
                for server in five:
                    bodies = [seen.body for seen in server.seen]
                    reserves = sum(b'"reserve"' in body for body in bodies)
                    releases = sum(b'"release"' in body for body in bodies)
                    assert releases == reserves

        trio.run(run)

    def test_unreachable_engines_do_not_use_up_attempts(self, tmp_path):
        """Eight of fourteen engines have crashed and are not yet known to be gone.

        They look idle, so each group for a prompt that needs several engines contains some of them.
        If attempts that reach no engine counted like others, the client would be refused within 0.1
        s although six engines are healthy.
        """

        async def run(seed):
            scripts = [[Whole()] * 30] * 6
            async with gateway_site(tmp_path) as site, servers(site, "engines", *scripts) as six:
                site.gateway.rng.seed(seed)
                for number in range(8):
                    dead = StandinServer(f"i-dead{number}")
                    dead.port = 9 + number
                    site.announce(dead, "engines")
                for server in six:
                    work = Work(Job(30_000, 800, 3_000, 1_000), (server.name,), now_ms())
                    site.gateway.work_table.add(server.name, work)
                await site.ask("/stream/x", Token_Counts="700000,800")
                return any("/stream/" in seen.head for one in six for seen in one.seen)

        assert [seed for seed in range(4) if not trio.run(run, seed)] == []


class TestUnframedStreams:
    """Guards against streams without length or chunks that are cut off or joined wrongly."""

    def test_end_of_the_connection_ends_the_stream(self, tmp_path):
        async def run():
            script = [Events(last=4, framed=False)]
            async with gateway_site(tmp_path) as site, servers(site, "engines", script) as (one,):
                for number in range(2):
                    answer = await site.ask("/stream/x", f"r{number}", **PROMPT)
                    assert answer.whole
                    assert data_of(answer.body) == b"".join(event(n) for n in (1, 2, 3, 4))
                assert one.seen[0].connection != one.seen[1].connection

        trio.run(run)

    def test_stream_that_ends_inside_an_event_is_resumed(self, tmp_path):
        async def run():
            torn = [Events(last=2, then="cut", torn=b"id: 3\nda", framed=False)]
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", torn, [Events(last=4, framed=False)]) as (one, two),
            ):
                site.gateway.directory.mark_leaving(*site.gateway.directory.latest(two.name).start)
                async with site.request_in_background("/stream/x", **PROMPT) as answers:
                    await until(lambda: one.seen)
                    site.announce(two, "engines", started=5)
                    await until(lambda: answers)
                assert data_of(answers[0].body) == b"".join(event(n) for n in (1, 2, 3, 4))
                assert len(two.seen) == 1

        trio.run(run)

    def test_stream_that_may_run_once_looks_cut(self, tmp_path):
        async def run():
            torn = [Events(last=2, then="cut", torn=b"id: 3\nda", framed=False)]
            async with gateway_site(tmp_path) as site, servers(site, "engines", torn):
                answer = await site.ask("/solo/x", **PROMPT)
                assert not answer.whole
                assert answer.ended

        trio.run(run)
