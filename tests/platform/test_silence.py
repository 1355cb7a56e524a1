"""Servers that pause: abandoned only for another server, and otherwise waited for."""

import math
from collections import deque

import trio

from siskinspoke.gateway import reachability
from siskinspoke.gateway.context import now_ms
from tests.platform.site import gateway_site, late_server, servers, until
from tests.platform.standin_server import Close, Events, Whole
from tests.platform.test_lost_servers import Network
from tests.platform.test_streams import PROMPT, data_of, event

# Longer than the 1.4 s after which a stream fails over, within the 2.5 s of the request.
LONG = 1.8
# Longer than the first attempt's timeout in a plain call with 2.5 s.
LONG_CALL = 1.4
PAUSED = Events(last=4, silent_after=2, silent_for=LONG)


def whole_stream(last: int) -> bytes:
    """Return the data of a stream that ends with event ``last``."""
    return b"".join(event(number) for number in range(1, last + 1))


def spend_budget(site, service: str = "engines") -> None:
    """Use up the retry budget."""
    while site.gateway.budget.spend(service, now_ms()):
        pass


class TestSilentStream:
    """A stream in mid-answer whose engine pauses for longer than a pause may last.

    An engine that prefills a long prompt emits no tokens to its streams, and then continues.  With
    short prompts at 2.6 times the usual rate, 35 streams of 1,700 were reset after 1.4 s of that,
    though no other engine was asked to continue them: 29 log lines had "why":"no_place" and 6
    "why":"attempts_used", all with "unreachable":false.  Where the streams were waited for, 68
    continued by themselves after 1.41 to 1.83 s.
    """

    def test_attempts_used_up(self, tmp_path):
        """A stream that had begun was reset with six seconds left.

        Its first engine was leaving and closed the connection without having run the request; the
        second sent tokens for two seconds and paused.  Both counted as attempts, and two were
        allowed, so the VM abandoned the second one although no other could continue the stream.
        """

        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [PAUSED], [PAUSED]) as (one, two),
            ):
                one.script = two.script = deque([Close(), PAUSED])
                answer = await site.ask("/stream/x", **PROMPT)
                assert data_of(answer.body) == whole_stream(4)
                assert answer.whole
                assert len(one.seen) == len(two.seen) == 1

        trio.run(run)

    def test_no_other_engine(self, tmp_path):
        """All other engines are full, so the stream cannot continue elsewhere."""

        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [PAUSED]) as (one,),
            ):
                answer = await site.ask("/stream/x", **PROMPT)
                assert data_of(answer.body) == whole_stream(4)
                assert len(one.seen) == 1

        trio.run(run)

    def test_budget_spent(self, tmp_path):
        """Another engine is free, but the retry budget is spent."""

        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [PAUSED], [PAUSED]) as both,
            ):
                spend_budget(site)
                answer = await site.ask("/stream/x", **PROMPT)
                assert data_of(answer.body) == whole_stream(4)
                assert sum(len(server.seen) for server in both) == 1

        trio.run(run)

    def test_non_retryable_stream(self, tmp_path):
        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [PAUSED], [PAUSED]) as both,
            ):
                answer = await site.ask("/solo/x", **PROMPT)
                assert data_of(answer.body) == whole_stream(4)
                assert sum(len(server.seen) for server in both) == 1

        trio.run(run)

    def test_fails_over_once_another_engine_has_room(self, tmp_path):
        """The engine is silent for good; after the silence limit another one has room."""

        async def run():
            script = [Events(last=2, then="silent")]
            async with gateway_site(tmp_path) as site, servers(site, "engines", script) as (one,):
                async with site.request_in_background(
                    "/stream/x", Deadline_Ms="5000", **PROMPT
                ) as answers:
                    await until(lambda: one.seen)
                    await trio.sleep(LONG)
                    assert not answers
                    other = await late_server(site, Events(last=4))
                    await until(lambda: answers, seconds=1.0)
                assert data_of(answers[0].body) == whole_stream(4)
                assert other.seen[0].headers["Last-Event-Id"] == "2"

        trio.run(run)

    def test_engine_unreachable_for_a_while(self, tmp_path, monkeypatch):
        """A partition separates the VM from the only engine with room and heals within a second.

        A probe found the engine unreachable and ended the stream, which no other could continue.
        """

        async def run():
            network = Network(monkeypatch)
            async with gateway_site(tmp_path) as site, trio.open_nursery() as nursery:
                nursery.start_soon(reachability.probe_overdue_forever, site.gateway)
                async with servers(site, "engines", [PAUSED]) as (one,):
                    network.dark.add(one.port)
                    site.gateway.pool.put(
                        site.gateway.directory.latest(one.name),
                        await network._connect(one.host, one.port, None, now_ms()),
                    )
                    async with site.request_in_background("/stream/x", **PROMPT) as answers:
                        await until(lambda: site.gateway.server_health.is_unreachable(one.name))
                        assert not answers
                    assert data_of(answers[0].body) == whole_stream(4)
                    assert len(one.seen) == 1
                nursery.cancel_scope.cancel()

        trio.run(run)


class TestBrokenStream:
    """A stream whose engine breaks off when no other engine has room."""

    def test_waits_for_room(self, tmp_path):
        """An engine that leaves cuts its streams; half a second later another one has room.

        Three of 38 streams were truncated at once, "why":"no_place", with up to seven seconds left.
        """

        async def run():
            script = [Events(last=2, pause=0.05, then="cut")]
            async with gateway_site(tmp_path) as site, servers(site, "engines", script) as (one,):
                async with site.request_in_background("/stream/x", **PROMPT) as answers:
                    await until(lambda: one.closed)
                    await trio.sleep(0.5)
                    assert not answers
                    await late_server(site, Events(last=4))
                    await until(lambda: answers, seconds=1.0)
                assert data_of(answers[0].body) == whole_stream(4)

        trio.run(run)

    def test_waits_for_budget(self, tmp_path):
        """Engines leave together and the retries spend the budget, which grows again soon."""

        async def run():
            script = [Events(last=2, pause=0.05, then="cut")]
            async with gateway_site(tmp_path) as site, servers(site, "engines", script) as (one,):
                spend_budget(site)
                async with site.request_in_background("/stream/x", **PROMPT) as answers:
                    await until(lambda: one.closed)
                    other = await late_server(site, Events(last=4))
                    await trio.sleep(0.3)
                    assert not answers
                    assert not other.seen
                    for _ in range(20):
                        site.gateway.budget.first_attempt("engines", now_ms())
                    await until(lambda: answers, seconds=1.0)
                assert data_of(answers[0].body) == whole_stream(4)

        trio.run(run)

    def test_ends_at_its_deadline(self, tmp_path):
        """No engine ever has room: the stream is truncated at its deadline, not later."""

        async def run():
            script = [Events(last=2, then="cut")]
            async with gateway_site(tmp_path) as site, servers(site, "engines", script):
                began = trio.current_time()
                answer = await site.ask("/stream/x", Deadline_Ms="900", **PROMPT)
                assert answer.ended
                assert not answer.whole
                assert 0.7 < trio.current_time() - began < 1.4

        trio.run(run)

    def test_leaving_engines_do_not_count_as_attempts(self, tmp_path):
        """Two engines are shut down one after the other in the middle of a stream.

        An engine that announced that it leaves and closes the connection has stopped its work;
        counted as attempts, the two used up what the route allows, and the stream was truncated.
        """

        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [Events()], [Events()], [Events()]) as three,
            ):
                script = deque(
                    [
                        Events(last=1, pause=0.2, then="cut"),
                        Events(last=2, pause=0.2, then="cut"),
                        Events(last=4),
                    ]
                )
                for server in three:
                    server.script = script
                async with site.request_in_background("/stream/x", **PROMPT) as answers:
                    left = set()
                    while not answers:
                        await trio.sleep(0.02)
                        for server in three:
                            if server.seen and server.name not in left and len(left) < 2:
                                left.add(server.name)
                                site.announce(server, "engines", seq=2, leaving=True)
                assert data_of(answers[0].body) == whole_stream(4)
                assert [len(server.seen) for server in three] == [1, 1, 1]

        trio.run(run)


class TestLateFirstToken:
    """A stream that has not begun, and for which no other engine has room."""

    def test_keeps_waiting(self, tmp_path):
        """The first token takes 1.8 s in a full fleet; after one second the VM gave up.

        The client was told that the fate of its request is unknown, and the engine's work was
        discarded.
        """

        async def run():
            script = [Events(last=3, begin_after=LONG)]
            async with gateway_site(tmp_path) as site, servers(site, "engines", script) as (one,):
                answer = await site.ask("/stream/x", **PROMPT)
                assert data_of(answer.body) == whole_stream(3)
                assert len(one.seen) == 1

        trio.run(run)

    def test_reconsidering_needs_a_retry_budget(self, tmp_path):
        """A better engine is available, but the retry budget is spent.

        Reconsidering ended the attempt all the same, and the request failed.
        """

        async def run():
            script = [Events(last=3, begin_after=0.9)]
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", script, script) as both,
                trio.open_nursery() as nursery,
            ):
                nursery.start_soon(reachability.probe_overdue_forever, site.gateway)
                spend_budget(site)
                answer = await site.ask("/stream/x", **PROMPT)
                assert data_of(answer.body) == whole_stream(3)
                assert sum(len(server.seen) for server in both) == 1
                nursery.cancel_scope.cancel()

        trio.run(run)


class TestSlowCall:
    """A call of a plain service that is idempotent and slow."""

    def test_no_other_server(self, tmp_path):
        """The only server answers after 1.4 s of 2.5.

        The first attempt was abandoned after 45% of the time, in order to try another server; there
        was none, and the client got a failure instead of the answer.
        """

        async def run():
            script = [Whole(begin_after=LONG_CALL)]
            async with gateway_site(tmp_path) as site, servers(site, "plain", script) as (one,):
                answer = await site.ask("/again/x")
                assert answer.status == 200
                assert answer.body == b"done"
                assert len(one.seen) == 1

        trio.run(run)

    def test_budget_spent(self, tmp_path):
        async def run():
            script = [Whole(begin_after=LONG_CALL)]
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "plain", script, script) as both,
            ):
                spend_budget(site, "plain")
                answer = await site.ask("/again/x")
                assert answer.status == 200
                assert sum(len(server.seen) for server in both) == 1

        trio.run(run)

    def test_another_server_is_tried(self, tmp_path):
        """With another server and a retry left, the first attempt is still abandoned in time."""

        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "plain", [Whole()], [Whole()]) as (one, two),
            ):
                one.script = two.script = deque([Whole(begin_after=math.inf), Whole()])
                answer = await site.ask("/again/x")
                assert answer.status == 200
                assert len(one.seen) == len(two.seen) == 1

        trio.run(run)
