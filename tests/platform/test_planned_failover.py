"""Failovers planned too early, too late or twice, and servers that are excluded for too long."""

from collections import deque

import pytest
import trio

from siskinspoke.gateway import reachability, upstream
from siskinspoke.transport.http1 import ClientConnection
from tests.platform.site import gateway_site, late_server, servers, until
from tests.platform.standin_server import Close, Events, Refuse, Silent, Whole
from tests.platform.test_failover import fill
from tests.platform.test_lost_servers import Network
from tests.platform.test_silence import whole_stream
from tests.platform.test_streams import PROMPT, data_of


def fail_over_with_the_answer(monkeypatch) -> None:
    """Plan the failover in the very tick in which the head of the answer arrives."""
    exchange = upstream._exchange

    async def both(gateway, dispatch, server, connection, head, attempt, seconds):
        outcome = await exchange(gateway, dispatch, server, connection, head, attempt, seconds)
        assert attempt.fail_over()
        return outcome

    monkeypatch.setattr(upstream, "_exchange", both)


def repeats(site, service: str = "engines") -> int:
    """Return how many retries the VM has taken from its budget."""
    return site.gateway.budget._own[service].repeats


class TestExcludedServers:
    """Engines that have recovered, or have room again, and are excluded all the same."""

    def test_refused_once_then_silence(self, tmp_path):
        """One engine was busy for a moment; the other starts the stream and then stays silent."""

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

    def test_refused_once_then_unreachable(self, tmp_path, monkeypatch):
        """The engine that writes loses power; the other one has long had room again."""

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
                nursery.start_soon(reachability.probe_overdue_forever, site.gateway)
                nursery.start_soon(reachability.probe_unreachable_forever, site.gateway)
                async with site.request_in_background(
                    "/stream/x", Deadline_Ms="5000", **PROMPT
                ) as answers:
                    await until(lambda: all(server.seen for server in both))
                    (writer,) = [s for s in both if any(seen.ran for seen in s.seen)]
                    network.dark.add(writer.port)
                assert data_of(answers[0].body) == whole_stream(4)
                nursery.cancel_scope.cancel()

        trio.run(run)

    def test_two_engines_restart_in_turn(self, tmp_path):
        """Both engines stop their work by restarting; both are healthy and nothing is running."""

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
                async with site.request_in_background(
                    "/stream/x", Deadline_Ms="4000", **PROMPT
                ) as answers:
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

    def test_refusals_use_up_the_attempts(self, tmp_path):
        """The only other engine is full for a second and a half; the stream has five seconds."""

        async def run():
            async with (
                gateway_site(tmp_path, timeout_ms=5_500) as site,
                servers(site, "engines", [Events(last=2, then="cut")]) as (one,),
            ):
                async with site.request_in_background(
                    "/stream/x", Deadline_Ms="5000", **PROMPT
                ) as answers:
                    await until(lambda: one.closed)
                    other = await late_server(site, Refuse())
                    await trio.sleep(1.5)
                    other.script = deque([Events(last=4)])
                assert data_of(answers[0].body) == whole_stream(4)

        trio.run(run)


class TestFullness:
    """Engines that are full for one stream may have room for another one."""

    def test_each_stream_excludes_its_own_engine(self, tmp_path):
        """Two streams are silent at an engine each; only the first stream's engine has room.

        The first finds no room, as its own engine is excluded; the second searches a little later
        each time.
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
                # The second stream goes to an engine that is otherwise full.
                other = await late_server(site, silent)
                fill(site, other.name, 11)
                believed = site.gateway.directory.routable_among
                site.gateway.directory.routable_among = lambda names, now: [
                    record for record in believed(names, now) if record.start != one_record.start
                ]
                await trio.sleep(began + 0.05 - trio.current_time())
                answers = []

                async def second():
                    answers.append(await site.ask("/stream/x", "r2", Deadline_Ms="5000", **PROMPT))

                nursery.start_soon(second)
                await until(lambda: other.seen)
                site.gateway.directory.routable_among = believed
                await until(lambda: answers, seconds=6)
                assert data_of(answers[0].body) == whole_stream(4)
                nursery.cancel_scope.cancel()

        trio.run(run)


class TestReservedRetry:
    """Retries and work table entries if a failover is no retry, or does not take place."""

    @pytest.mark.parametrize("path", ["/stream/x", "/again/x"])
    def test_first_attempt_is_no_retry(self, tmp_path, monkeypatch, path):
        """A request's server accepts no connection; nothing was sent, so nothing is retried."""

        async def run():
            network = Network(monkeypatch)
            service = "plain" if path == "/again/x" else "engines"
            behaviour = Whole() if path == "/again/x" else Events(last=3)
            async with (
                gateway_site(tmp_path, timeout_ms=5_500) as site,
                servers(site, service, [behaviour], [behaviour]) as both,
            ):
                record = site.gateway.directory.latest(both[1].name)
                site.gateway.directory.mark_leaving(*record.start)
                network.dark.add(both[0].port)
                async with site.request_in_background(path, **PROMPT) as answers:
                    await trio.sleep(0.03)
                    site.announce(both[1], service, started=5)
                assert answers[0].status == 200
                assert len(both[1].seen) == 1
                assert repeats(site, service) == 0

        trio.run(run)

    def test_connecting_is_no_attempt(self, tmp_path, monkeypatch):
        """Two requests connect to an unreachable engine; the first failure ends the other.

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
                    site.gateway.directory.mark_leaving(
                        *site.gateway.directory.latest(server.name).start
                    )
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

    def test_failover_planned_as_the_answer_arrives(self, tmp_path, monkeypatch):
        """An answer starts in the very tick in which its server's timeout expires.

        The stream was served, but its next place stayed reserved until it ended, and its retry was
        lost.
        """

        async def run():
            script = [Events(last=30, begin_after=0.9, pause=0.05)]
            async with (
                gateway_site(tmp_path, timeout_ms=5_500) as site,
                servers(site, "engines", script) as (one,),
            ):
                fail_over_with_the_answer(monkeypatch)
                async with site.request_in_background(
                    "/stream/x", Deadline_Ms="5500", **PROMPT
                ) as answers:
                    await until(lambda: one.seen)
                    other = await late_server(site, Events(last=30))
                    await trio.sleep(1.3)
                    assert not answers
                    assert not other.seen
                    assert site.gateway.work_table.work_count == 1
                    assert repeats(site) == 0
                assert data_of(answers[0].body) == whole_stream(30)

        trio.run(run)

    def test_slow_reader_delays_a_planned_failover(self, tmp_path):
        """A probe finds a stream's engine unreachable while its client reads nothing for 1 s.

        The next place was reserved at once and used when the client read again; its engine had been
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
                    async with site.request_in_background(
                        "/stream/x", Deadline_Ms="4000", **PROMPT
                    ) as answers:
                        await until(lambda: one.seen)
                        await trio.sleep(0.1)
                        other = await late_server(site, Events(last=12))
                        reachability.mark_unreachable(
                            site.gateway, site.gateway.directory.latest(one.name)
                        )
                        await trio.sleep(1.0)
                        site.announce(other, "engines", seq=2, leaving=True)
                        third = await late_server(site, Events(last=12), "i-third")
                        blocked.set()
                assert not other.seen
                assert len(third.seen) == 1
                assert data_of(answers[0].body) == whole_stream(12)
                assert site.gateway.work_table.work_count == 0

        trio.run(run)

    def test_planned_failover_expires(self, tmp_path, monkeypatch):
        """The same, where the planned engine is drained long before the stream falls silent."""

        async def run():
            script = [Events(last=10, begin_after=0.9, pause=0.05, then="silent")]
            async with (
                gateway_site(tmp_path, timeout_ms=5_500) as site,
                servers(site, "engines", script) as (one,),
            ):
                fail_over_with_the_answer(monkeypatch)
                async with site.request_in_background("/stream/x", Deadline_Ms="5500", **PROMPT):
                    await until(lambda: one.seen)
                    other = await late_server(site, Events(last=30))
                    await trio.sleep(1.6)
                    site.announce(other, "engines", seq=2, leaving=True)
                assert not other.seen

        trio.run(run)
