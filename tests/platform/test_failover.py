"""The failover of a request: planned before the attempt is abandoned, or not at all."""

import time
from collections import deque
from functools import partial
from itertools import pairwise

import pytest
import trio

from siskinspoke.coordination.no_room_cache import NO_ROOM_TTL_MS
from siskinspoke.coordination.server_health import FailureKind
from siskinspoke.coordination.work_table import Job, Work
from siskinspoke.gateway import reachability
from siskinspoke.gateway.context import now_ms
from tests.platform.site import gateway_site, late_server, request_bytes, servers, until
from tests.platform.standin_server import Close, Events, Refuse, Whole
from tests.platform.test_lost_servers import leave_one
from tests.platform.test_silence import (
    LONG,
    LONG_CALL,
    PAUSED,
    spend_budget,
    whole_stream,
)
from tests.platform.test_streams import PROMPT, data_of


def leave_one_retry(site) -> None:
    """Leave exactly one retry in the budget."""
    spend_budget(site)
    while not site.gateway.budget.can_spend("engines", now_ms()):
        site.gateway.budget.first_attempt("engines", now_ms())


def fill(site, name: str, streams: int = 12) -> None:
    """Enter so many streams at an engine into the work table; 12 are its maximum."""
    for _ in range(streams):
        site.gateway.peers.begin_work(Work(Job(1_000, 200, 300, 250), (name,), now_ms(), ()))


class TestNoFailover:
    """The attempt would be abandoned, but no other server can continue the request."""

    def test_attempts_used_up(self, tmp_path):
        """Five engines answer that they are busy, the sixth starts a stream and pauses."""

        async def run():
            scripts = [[Events()]] * 7
            async with gateway_site(tmp_path) as site, servers(site, "engines", *scripts) as seven:
                script = deque([*[Refuse()] * 5, PAUSED, Events(last=4)])
                for server in seven:
                    server.script = script
                answer = await site.ask("/stream/x", **PROMPT)
                assert sum(len(server.seen) for server in seven) == 6
                assert data_of(answer.body) == whole_stream(4)

        trio.run(run)

    def test_reconsidering_excludes_tried_servers(self, tmp_path):
        """The only other engine has refused this very request; there is none to move it to."""

        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [Events()], [Events()]) as both,
                trio.open_nursery() as nursery,
            ):
                script = deque([Refuse(), Events(last=3, begin_after=0.9)])
                for server in both:
                    server.script = script
                nursery.start_soon(reachability.probe_overdue_forever, site.gateway)
                answer = await site.ask("/stream/x", **PROMPT)
                assert answer.status == 200
                assert data_of(answer.body) == whole_stream(3)
                nursery.cancel_scope.cancel()

        trio.run(run)

    @pytest.mark.parametrize("vms", [1, 30])
    def test_all_others_full(self, tmp_path, vms):
        """By the work table the other engine is full; with more than 24 VMs there are cells."""

        async def run():
            script = [PAUSED]
            async with gateway_site(tmp_path) as site, servers(site, "engines", script) as (one,):
                for number in range(vms - 1):
                    site.daemon._feeds.record_peer(f"127.0.1.{number + 1}", "a")
                assert bool(site.gateway.cells.other_cells) == (vms > 24)
                async with site.request_in_background("/stream/x", **PROMPT) as answers:
                    await until(lambda: one.seen)
                    other = await late_server(site, Events(last=4))
                    fill(site, other.name)
                assert data_of(answers[0].body) == whole_stream(4)
                assert not other.seen

        trio.run(run)

    def test_other_is_unreachable(self, tmp_path):
        """The only other engine is known to be unreachable."""

        async def run():
            script = [PAUSED]
            async with gateway_site(tmp_path) as site, servers(site, "engines", script) as (one,):
                async with site.request_in_background("/stream/x", **PROMPT) as answers:
                    await until(lambda: one.seen)
                    other = await late_server(site, Refuse())
                    site.gateway.server_health.record_failure(
                        other.name, FailureKind.UNREACHABLE, now_ms()
                    )
                assert data_of(answers[0].body) == whole_stream(4)
                assert not other.seen

        trio.run(run)

    @pytest.mark.parametrize("wanting", ["budget", "room"])
    def test_one_failover_for_many_streams(self, tmp_path, wanting):
        """A probe finds an engine unreachable; three streams wait there, and one can fail over."""

        async def run():
            script = [Events(last=3, begin_after=LONG)]
            async with gateway_site(tmp_path) as site, servers(site, "engines", script) as (one,):
                answers = []

                async def ask(number):
                    answers.append(await site.ask("/stream/x", request_id=f"r{number}", **PROMPT))

                async with trio.open_nursery() as nursery:
                    for number in range(3):
                        nursery.start_soon(ask, number)
                    await until(lambda: len(one.seen) == 3)
                    # Its slot stays taken for longer than the three attempts wait.
                    other = await late_server(site, Events(last=3, pause=0.6))
                    if wanting == "budget":
                        leave_one_retry(site)
                    else:
                        fill(site, other.name, 11)
                    reachability.mark_unreachable(
                        site.gateway, site.gateway.directory.latest(one.name)
                    )
                assert [answer.status for answer in answers] == [200] * 3
                assert len(other.seen) == 1

        trio.run(run)


class TestManyWaiting:
    """Many streams of one VM whose engines pause, in a full fleet."""

    @pytest.mark.parametrize("stands_still", [0.0, LONG])
    def test_searches_for_room_are_shared(self, tmp_path, stands_still):
        """Twelve streams are silent for a second beyond the silence limit.

        Each searched for room five times a second; 200 such streams used up the VM's CPU.  One
        search serves all streams for a while, however long the VM has stalled meanwhile.
        """
        looks = []

        async def run():
            script = [PAUSED]
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", script) as (one,),
                trio.open_nursery() as nursery,
            ):
                note = site.gateway.no_room_cache.record
                site.gateway.no_room_cache.record = lambda *a: looks.append(a[-1]) or note(*a)
                for number in range(12):
                    nursery.start_soon(
                        partial(site.ask, "/stream/x", request_id=f"r{number}", **PROMPT)
                    )
                # That the requests arrive is no promise of the VM but the start of the test.
                await until(lambda: len(one.seen) == 12, seconds=15.0)
                time.sleep(stands_still)

        trio.run(run)
        assert looks
        pauses = [later - earlier for earlier, later in pairwise(looks)]
        assert all(pause >= NO_ROOM_TTL_MS for pause in pauses)

    def test_books_are_empty_afterwards(self, tmp_path):
        """Streams reserve their next places before they leave, and are cancelled in between."""

        async def run():
            script = [Events(last=2, then="silent")]
            async with gateway_site(tmp_path) as site, servers(site, "engines", script) as (one,):
                async with site.request_in_background("/stream/x", Deadline_Ms="1800", **PROMPT):
                    await until(lambda: one.seen)
                    await late_server(site, Events(last=4, begin_after=1.0))
                assert site.gateway.work_table.work_count == 0

        trio.run(run)


class TestFailoverRefused:
    """The server chosen for a failover refuses, after the first attempt was abandoned."""

    def test_stream(self, tmp_path):
        """A stream leaves its silent engine for one that refuses; the first would continue."""

        async def run():
            script = [PAUSED]
            async with gateway_site(tmp_path) as site, servers(site, "engines", script) as (one,):
                async with site.request_in_background(
                    "/stream/x", Deadline_Ms="5000", **PROMPT
                ) as answers:
                    await until(lambda: one.seen)
                    await late_server(site, Refuse())
                assert data_of(answers[0].body) == whole_stream(4)

        trio.run(run)

    def test_failure_in_mid_stream(self, tmp_path):
        """The engine that should resume a stream answers 404; the client already has a part.

        The connection was cut, as it must be, but the logs and counters said "served".
        """

        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [Events()], [Events()]) as both,
            ):
                script = deque([Events(last=2, then="cut"), Whole(status=404)])
                for server in both:
                    server.script = script
                answer = await site.ask("/stream/x", **PROMPT)
                assert answer.ended
                assert not answer.whole
                await until(lambda: "ended.cut" in site.gateway.counters.totals)
                assert "ended.served" not in site.gateway.counters.totals

        trio.run(run)

    def test_call(self, tmp_path):
        """A call leaves its server after 45% of the time for one that is busy."""

        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "plain", [Whole()], [Whole()]) as both,
            ):
                script = deque([Whole(begin_after=LONG_CALL), Refuse()])
                for server in both:
                    server.script = script
                answer = await site.ask("/again/x")
                assert answer.status == 200

        trio.run(run)

    def test_busy_engine_is_tried_again(self, tmp_path):
        """A stream that waits for room continues on an engine that was full a moment ago."""

        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [Events()], [Events()]) as both,
            ):
                script = deque([Events(last=2, then="cut"), Refuse(), Events(last=4)])
                for server in both:
                    server.script = script
                answer = await site.ask("/stream/x", **PROMPT)
                assert data_of(answer.body) == whole_stream(4)

        trio.run(run)


class TestLeavingServers:
    """What a broken connection shows of the work at a server that is leaving."""

    def test_answer_of_another_request(self, tmp_path):
        """A leaving server has run a call and mixes up its answers; it has not stopped its work.

        With two attempts allowed, three servers must not run the call.
        """

        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "plain", [Whole()], [Whole()], [Whole()]) as three,
            ):
                mixed = Whole(request_id=b"other", begin_after=0.3)
                script = deque([mixed, Whole(status=500), Whole()])
                for server in three:
                    server.script = script
                async with site.request_in_background("/again/x"):
                    await until(lambda: any(server.seen for server in three))
                    (first,) = [server for server in three if server.seen]
                    site.announce(first, "plain", seq=2, leaving=True)
                assert sum(len(server.seen) for server in three) <= 2

        trio.run(run)


class TestGuarantees:
    """Guarantees that must hold while a request waits for a failover."""

    def test_no_run_after_client_disconnect(self, tmp_path):
        """A stream waits for room, its client disconnects, and then there is room."""

        async def run():
            script = [Events(last=2, then="cut")]
            async with gateway_site(tmp_path) as site, servers(site, "engines", script) as (one,):
                async with await site.connect() as stream:
                    await stream.send_all(request_bytes("/stream/x", **PROMPT))
                    await until(lambda: one.closed)
                    await trio.sleep(0.3)
                    assert site.gateway.open_requests == 1
                await until(lambda: not site.gateway.open_requests, seconds=0.5)
                other = await late_server(site, Events(last=4))
                await trio.sleep(0.5)
                assert not other.seen

        trio.run(run)

    @pytest.mark.parametrize("behaviour", [Close(), Events(last=0, then="cut")])
    def test_request_that_may_have_run_gets_no_503(self, tmp_path, behaviour):
        """A stream that may not be retried breaks before its first event, at a leaving engine."""

        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [behaviour], [Events()]) as both,
            ):
                for server in both:
                    server.script = deque([behaviour, Events()])
                answer = await site.ask("/solo/x", **PROMPT)
                assert answer.status not in (503, 429, 408, 421)
                assert sum(len(server.seen) for server in both) == 1

        trio.run(run)

    def test_waiting_streams_keep_to_the_budget(self, tmp_path):
        """Six streams break together and one retry is left: only one continues at once."""

        async def run():
            script = [Events(last=2, pause=0.1, then="cut")]
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", script) as (one,),
                trio.open_nursery() as nursery,
            ):
                for number in range(6):
                    nursery.start_soon(
                        partial(site.ask, "/stream/x", request_id=f"r{number}", **PROMPT)
                    )
                await until(lambda: len(one.seen) == 6)
                other = await late_server(site, Events(last=4))
                leave_one_retry(site)
                await until(lambda: other.seen)
                await trio.sleep(0.8)
                assert len(other.seen) == 1
                nursery.cancel_scope.cancel()

        trio.run(run)


class TestUnusedRetry:
    """A retry that is reserved for a late call, and not used, returns to the budget."""

    def test_late_call_is_answered(self, tmp_path):
        """The other server leaves at the moment when the next attempt would start."""

        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "plain", [Whole(begin_after=LONG_CALL)], [Whole()]) as (one, two),
            ):
                budget = site.gateway.budget
                take, give_back = budget.spend, budget.refund
                taken, given = [], []

                def take_and_retire(*args):
                    taken.append(args)
                    leave_one(site, two)
                    return take(*args)

                budget.spend = take_and_retire
                budget.refund = lambda *args: given.append(args) or give_back(*args)
                leave_one(site, two)
                async with site.request_in_background("/again/x") as answers:
                    await until(lambda: one.seen)
                    site.announce(two, "plain", started=5)
                assert answers[0].status == 200
                assert not two.seen
                assert len(taken) == len(given) == 1

        trio.run(run)
