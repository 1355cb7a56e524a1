"""Servers that say nothing for a while: left only for another one, and otherwise waited for."""

import math
from collections import deque

import trio

from siskinspoke.gateway import reaching
from siskinspoke.gateway.context import now_ms
from tests.platform.site import gateway_site, late_server, servers, until
from tests.platform.standin_server import Close, Events, Whole
from tests.platform.test_lost_servers import Network
from tests.platform.test_streams import PROMPT, data_of, event

# Longer than the 1.4 s after which a stream goes on elsewhere, within the 2.5 s of the request.
LONG = 1.8
# Longer than a first try of a plain call with 2.5 s is waited for.
LONG_CALL = 1.4
PAUSED = Events(last=4, silent_after=2, silent_for=LONG)


def whole_stream(last: int) -> bytes:
    """Return the data of a stream that ends with an event."""
    return b"".join(event(number) for number in range(1, last + 1))


def spend_budget(site, service: str = "engines") -> None:
    """Use up what repeats the VM may send."""
    while site.gateway.budget.take(service, now_ms()):
        pass


class TestSilentStream:
    """A stream in mid-answer whose engine says nothing for longer than a pause may last.

    An engine that reads a long prompt writes nothing to its streams meanwhile, and then goes on.
    With short prompts at 2.6 times the usual rate 35 streams of 1,700 were reset after 1.4 s of
    that, though no other engine was asked to go on: 29 lines said "why":"no_place" and 6 said
    "why":"attempts_used", all with "unreachable":false.  Where they were waited for, 68 went on
    by themselves after 1.41 to 1.83 s.
    """

    def test_attempts_used_up(self, tmp_path):
        """A caller's stream was accepted, had begun, and was reset with six seconds left.

        Its first engine was leaving and closed the connection without having run the request; the
        second wrote for two seconds and fell silent.  Both counted as attempts, and two were
        allowed, so the VM gave the second one up although nobody could go on for it.
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
        """All other engines are full, so the stream has nowhere to go on."""

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
        """Another engine is free, but the budget for repeats is spent."""

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

    def test_stream_that_may_not_be_repeated(self, tmp_path):
        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [PAUSED], [PAUSED]) as both,
            ):
                answer = await site.ask("/solo/x", **PROMPT)
                assert data_of(answer.body) == whole_stream(4)
                assert sum(len(server.seen) for server in both) == 1

        trio.run(run)

    def test_goes_on_as_soon_as_there_is_another(self, tmp_path):
        """The engine is silent for good; after its time is over another one has room."""

        async def run():
            script = [Events(last=2, then="silent")]
            async with gateway_site(tmp_path) as site, servers(site, "engines", script) as (one,):
                async with site.asking("/stream/x", Deadline_Ms="5000", **PROMPT) as answers:
                    await until(lambda: one.seen)
                    await trio.sleep(LONG)
                    assert not answers
                    other = await late_server(site, Events(last=4))
                    await until(lambda: answers, seconds=1.0)
                assert data_of(answers[0].body) == whole_stream(4)
                assert other.seen[0].headers["Last-Event-Id"] == "2"

        trio.run(run)

    def test_engine_out_of_reach_for_a_while(self, tmp_path, monkeypatch):
        """A cut parts the VM from the only engine with room and heals within a second.

        A look found the engine out of reach and ended the stream, which nobody could go on with.
        """

        async def run():
            network = Network(monkeypatch)
            async with gateway_site(tmp_path) as site, trio.open_nursery() as nursery:
                nursery.start_soon(reaching.look_forever, site.gateway)
                async with servers(site, "engines", [PAUSED]) as (one,):
                    network.dark.add(one.port)
                    site.gateway.pool.put(
                        site.gateway.directory.latest(one.name),
                        await network._connect(one.host, one.port, None, now_ms()),
                    )
                    async with site.asking("/stream/x", **PROMPT) as answers:
                        await until(lambda: site.gateway.standing.is_unreachable(one.name))
                        assert not answers
                    assert data_of(answers[0].body) == whole_stream(4)
                    assert len(one.seen) == 1
                nursery.cancel_scope.cancel()

        trio.run(run)


class TestBrokenStream:
    """A stream whose engine breaks off at a moment when no other one has room."""

    def test_waits_for_room(self, tmp_path):
        """An engine that leaves cuts its streams; half a second later another one has room.

        Three of 38 streams were cut at once, "why":"no_place", with up to seven seconds left.
        """

        async def run():
            script = [Events(last=2, pause=0.05, then="cut")]
            async with gateway_site(tmp_path) as site, servers(site, "engines", script) as (one,):
                async with site.asking("/stream/x", **PROMPT) as answers:
                    await until(lambda: one.closed)
                    await trio.sleep(0.5)
                    assert not answers
                    await late_server(site, Events(last=4))
                    await until(lambda: answers, seconds=1.0)
                assert data_of(answers[0].body) == whole_stream(4)

        trio.run(run)

    def test_waits_for_budget(self, tmp_path):
        """Engines leave together and the repeats spend the budget; it grows again soon."""

        async def run():
            script = [Events(last=2, pause=0.05, then="cut")]
            async with gateway_site(tmp_path) as site, servers(site, "engines", script) as (one,):
                spend_budget(site)
                async with site.asking("/stream/x", **PROMPT) as answers:
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

    def test_ends_with_its_time(self, tmp_path):
        """Nobody ever has room: the stream looks cut when its time is over, not later."""

        async def run():
            script = [Events(last=2, then="cut")]
            async with gateway_site(tmp_path) as site, servers(site, "engines", script):
                began = trio.current_time()
                answer = await site.ask("/stream/x", Deadline_Ms="900", **PROMPT)
                assert answer.ended
                assert not answer.whole
                assert 0.7 < trio.current_time() - began < 1.4

        trio.run(run)

    def test_engines_that_leave_are_no_attempts(self, tmp_path):
        """Two engines are taken away one after the other in the middle of a stream.

        What has said that it leaves and closes the connection has ended its work; counted as
        attempts, the two used up all that the route allows, and the stream was cut.
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
                async with site.asking("/stream/x", **PROMPT) as answers:
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

    def test_waits_on(self, tmp_path):
        """The first token takes 1.8 s in a full fleet; after one second the VM gave up.

        The caller was told that nobody knows what became of the request, and the engine's work
        was thrown away.
        """

        async def run():
            script = [Events(last=3, begin_after=LONG)]
            async with gateway_site(tmp_path) as site, servers(site, "engines", script) as (one,):
                answer = await site.ask("/stream/x", **PROMPT)
                assert data_of(answer.body) == whole_stream(3)
                assert len(one.seen) == 1

        trio.run(run)

    def test_second_thoughts_need_a_budget(self, tmp_path):
        """A better engine is there, but the budget for repeats is spent.

        A second thought ended the attempt all the same, and the request failed.
        """

        async def run():
            script = [Events(last=3, begin_after=0.9)]
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", script, script) as both,
                trio.open_nursery() as nursery,
            ):
                nursery.start_soon(reaching.look_forever, site.gateway)
                spend_budget(site)
                answer = await site.ask("/stream/x", **PROMPT)
                assert data_of(answer.body) == whole_stream(3)
                assert sum(len(server.seen) for server in both) == 1
                nursery.cancel_scope.cancel()

        trio.run(run)


class TestSlowCall:
    """A call of a plain service that may be repeated, and takes long."""

    def test_no_other_server(self, tmp_path):
        """The only server answers after 1.4 s of 2.5.

        A first try was given up after 45% of the time, in order to try another server; there was
        none, and the caller got a failure in place of the answer.
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
        """With another server and some budget the first try is still given up in time."""

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
