"""Steps that are taken too early, too late or twice, and servers that are left out for too long."""

from collections import deque

import pytest
import trio

from siskinspoke.gateway import reaching, upstream
from siskinspoke.transport.http1 import ClientConnection
from tests.platform.site import gateway_site, late_server, servers, until
from tests.platform.standin_server import Close, Events, Refuse, Silent, Whole
from tests.platform.test_lost_servers import Network
from tests.platform.test_next_step import fill
from tests.platform.test_silence import whole_stream
from tests.platform.test_streams import PROMPT, data_of


def take_step_with_the_answer(monkeypatch) -> None:
    """Have a server's patience end in the very moment in which the head of its answer comes."""
    exchange = upstream._exchange

    async def both(gateway, dispatch, server, connection, head, attempt, seconds):
        outcome = await exchange(gateway, dispatch, server, connection, head, attempt, seconds)
        assert attempt.move_on()
        return outcome

    monkeypatch.setattr(upstream, "_exchange", both)


def repeats(site, service: str = "engines") -> int:
    """Return how many repeats the VM has paid."""
    return site.gateway.budget._own[service].repeats


class TestLeftOut:
    """Engines that are well again, or have room again, and are left out all the same."""

    def test_refused_once_then_silence(self, tmp_path):
        """One engine was busy for a moment; the other begins and falls silent for good."""

        async def run():
            async with (
                gateway_site(tmp_path, timeout_ms=5_500) as site,
                servers(site, "engines", [Events()], [Events()]) as both,
            ):
                script = deque([Refuse(), Events(last=2, then="silent"), Events(last=4)])
                for server in both:
                    server.script = script
                answer = await site.ask("/stream/x", Deadline_Ms="5000", **PROMPT)
                assert data_of(answer.body) == whole_stream(4)

        trio.run(run)

    def test_refused_once_then_no_first_event(self, tmp_path):
        """The same, before the first event."""

        async def run():
            async with (
                gateway_site(tmp_path, timeout_ms=5_500) as site,
                servers(site, "engines", [Events()], [Events()]) as both,
            ):
                script = deque([Refuse(), Silent(), Events(last=4)])
                for server in both:
                    server.script = script
                answer = await site.ask("/stream/x", Deadline_Ms="5000", **PROMPT)
                assert answer.status == 200

        trio.run(run)

    def test_refused_once_then_out_of_reach(self, tmp_path, monkeypatch):
        """The engine that writes loses its power; the other one has long had room again."""

        async def run():
            network = Network(monkeypatch)
            async with (
                gateway_site(tmp_path, timeout_ms=5_500) as site,
                servers(site, "engines", [Events()], [Events()]) as both,
                trio.open_nursery() as nursery,
            ):
                script = deque([Refuse(), Events(last=2, then="silent"), Events(last=4)])
                for server in both:
                    server.script = script
                nursery.start_soon(reaching.look_forever, site.gateway)
                nursery.start_soon(reaching.look_again_forever, site.gateway)
                async with site.asking("/stream/x", Deadline_Ms="5000", **PROMPT) as answers:
                    await until(lambda: all(server.seen for server in both))
                    (writer,) = [s for s in both if any(seen.ran for seen in s.seen)]
                    network.dark.add(writer.port)
                assert data_of(answers[0].body) == whole_stream(4)
                nursery.cancel_scope.cancel()

        trio.run(run)

    def test_two_engines_start_anew_in_turn(self, tmp_path):
        """Both have ended their work by starting anew, so both are well and nothing has run."""

        async def run():
            async with (
                gateway_site(tmp_path, timeout_ms=5_500) as site,
                servers(site, "engines", [Events()], [Events()]) as both,
            ):
                part = Events(last=2, then="silent")
                script = deque([part, Events(first=3, last=3, then="silent"), Events(last=4)])
                for server in both:
                    server.script = script
                    site.announce(server, "engines", seq=2, started=1)
                async with site.asking("/stream/x", Deadline_Ms="4000", **PROMPT) as answers:
                    await until(lambda: any(server.seen for server in both))
                    await trio.sleep(0.2)
                    (first,) = [server for server in both if server.seen]
                    (second,) = [server for server in both if not server.seen]
                    site.announce(first, "engines", seq=3, started=5)
                    await until(lambda: second.seen)
                    await trio.sleep(0.2)
                    site.announce(second, "engines", seq=3, started=5)
                assert data_of(answers[0].body) == whole_stream(4)

        trio.run(run)

    def test_refusals_use_up_the_tries(self, tmp_path):
        """The only other engine is full for a second and a half; the stream has five seconds."""

        async def run():
            async with (
                gateway_site(tmp_path, timeout_ms=5_500) as site,
                servers(site, "engines", [Events(last=2, then="cut")]) as (one,),
            ):
                async with site.asking("/stream/x", Deadline_Ms="5000", **PROMPT) as answers:
                    await until(lambda: one.closed)
                    other = await late_server(site, Refuse())
                    await trio.sleep(1.5)
                    other.script = deque([Events(last=4)])
                assert data_of(answers[0].body) == whole_stream(4)

        trio.run(run)


class TestFullness:
    """What one stream has found full is not full for another one."""

    def test_each_leaves_out_its_own_server(self, tmp_path):
        """Two streams are silent at an engine each; the first one's is the only one with room.

        The first finds none, as its own is left out; the second asks a little later each time.
        """

        async def run():
            silent = Events(last=2, then="silent")
            async with (
                gateway_site(tmp_path, timeout_ms=5_500) as site,
                servers(site, "engines", [silent, Events(last=4)]) as (one,),
                trio.open_nursery() as nursery,
            ):
                nursery.start_soon(
                    lambda: site.ask("/stream/x", "r1", Deadline_Ms="5500", **PROMPT)
                )
                await until(lambda: one.seen)
                began = trio.current_time()
                one_record = site.gateway.directory.latest(one.name)
                # The second one goes to an engine that is full but for it.
                other = await late_server(site, silent)
                fill(site, other.name, 11)
                believed = site.gateway.directory.believed_among
                site.gateway.directory.believed_among = lambda names, now: [
                    record for record in believed(names, now) if record.start != one_record.start
                ]
                await trio.sleep(began + 0.05 - trio.current_time())
                answers = []

                async def second():
                    answers.append(await site.ask("/stream/x", "r2", Deadline_Ms="5000", **PROMPT))

                nursery.start_soon(second)
                await until(lambda: other.seen)
                site.gateway.directory.believed_among = believed
                await until(lambda: answers, seconds=6)
                assert data_of(answers[0].body) == whole_stream(4)
                nursery.cancel_scope.cancel()

        trio.run(run)


class TestPaid:
    """What is paid or entered for a step that is not a repeat, or is not taken."""

    @pytest.mark.parametrize("path", ["/stream/x", "/again/x"])
    def test_first_sending_is_no_repeat(self, tmp_path, monkeypatch, path):
        """A request's server takes no connection; nothing was sent, so nothing is repeated."""

        async def run():
            network = Network(monkeypatch)
            service = "plain" if path == "/again/x" else "engines"
            behaviour = Whole() if path == "/again/x" else Events(last=3)
            async with (
                gateway_site(tmp_path, timeout_ms=5_500) as site,
                servers(site, service, [behaviour], [behaviour]) as both,
            ):
                record = site.gateway.directory.latest(both[1].name)
                site.gateway.directory.retire(*record.start)
                network.dark.add(both[0].port)
                async with site.asking(path, **PROMPT) as answers:
                    await trio.sleep(0.03)
                    site.announce(both[1], service, started=5)
                assert answers[0].status == 200
                assert len(both[1].seen) == 1
                assert repeats(site, service) == 0

        trio.run(run)

    def test_connecting_is_no_attempt(self, tmp_path, monkeypatch):
        """Two requests connect to a dark engine; the first one's failure ends the second.

        Nothing has reached a server, so two attempts are still allowed.
        """

        async def run():
            network = Network(monkeypatch)
            async with (
                gateway_site(tmp_path, timeout_ms=5_500) as site,
                servers(site, "engines", [Events()], [Events()], [Events()]) as three,
            ):
                script = deque([Events(last=3), Close(), Events(last=3)])
                for server in three:
                    server.script = script
                dark, *rest = three
                for server in rest:
                    site.gateway.directory.retire(*site.gateway.directory.latest(server.name).start)
                network.dark.add(dark.port)
                answers = {}

                async def ask(name):
                    answers[name] = await site.ask("/stream/x", name, **PROMPT)

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(ask, "r1")
                    await trio.sleep(0.03)
                    nursery.start_soon(ask, "r2")
                    await trio.sleep(0.03)
                    for server in rest:
                        site.announce(server, "engines", started=5)
                assert [answer.status for answer in answers.values()] == [200, 200]

        trio.run(run)

    def test_step_taken_as_the_answer_comes(self, tmp_path, monkeypatch):
        """An answer begins in the very tick in which its server's patience is over.

        The stream is served, and its next place stays taken until it ends, its repeat for good.
        """

        async def run():
            script = [Events(last=30, begin_after=0.9, pause=0.05)]
            async with (
                gateway_site(tmp_path, timeout_ms=5_500) as site,
                servers(site, "engines", script) as (one,),
            ):
                take_step_with_the_answer(monkeypatch)
                async with site.asking("/stream/x", Deadline_Ms="5500", **PROMPT) as answers:
                    await until(lambda: one.seen)
                    other = await late_server(site, Events(last=30))
                    await trio.sleep(1.3)
                    assert not answers
                    assert not other.seen
                    assert site.gateway.books.open_works == 1
                    assert repeats(site) == 0
                assert data_of(answers[0].body) == whole_stream(30)

        trio.run(run)

    def test_slow_reader_holds_a_step(self, tmp_path):
        """A look finds a stream's engine out of reach while its caller reads nothing for a second.

        The next place was taken at once and used when the caller read again; its engine had been
        drained meanwhile.
        """

        async def run():
            script = [Events(last=10, then="silent")]
            async with (
                gateway_site(tmp_path, timeout_ms=5_500) as site,
                servers(site, "engines", script) as (one,),
            ):
                blocked = trio.Event()
                send_data = ClientConnection.send_data

                async def slowly(connection, data):
                    await blocked.wait()
                    await send_data(connection, data)

                with pytest.MonkeyPatch.context() as patch:
                    patch.setattr(ClientConnection, "send_data", slowly)
                    async with site.asking("/stream/x", Deadline_Ms="4000", **PROMPT) as answers:
                        await until(lambda: one.seen)
                        await trio.sleep(0.1)
                        other = await late_server(site, Events(last=12))
                        reaching.lost(site.gateway, site.gateway.directory.latest(one.name))
                        await trio.sleep(1.0)
                        site.announce(other, "engines", seq=2, leaving=True)
                        third = await late_server(site, Events(last=12), "i-third")
                        blocked.set()
                assert not other.seen
                assert len(third.seen) == 1
                assert data_of(answers[0].body) == whole_stream(12)
                assert site.gateway.books.open_works == 0

        trio.run(run)

    def test_step_grows_stale(self, tmp_path, monkeypatch):
        """As above; the next place's engine is drained long before the stream falls silent."""

        async def run():
            script = [Events(last=10, begin_after=0.9, pause=0.05, then="silent")]
            async with (
                gateway_site(tmp_path, timeout_ms=5_500) as site,
                servers(site, "engines", script) as (one,),
            ):
                take_step_with_the_answer(monkeypatch)
                async with site.asking("/stream/x", Deadline_Ms="5500", **PROMPT):
                    await until(lambda: one.seen)
                    other = await late_server(site, Events(last=30))
                    await trio.sleep(1.6)
                    site.announce(other, "engines", seq=2, leaving=True)
                assert not other.seen

        trio.run(run)
