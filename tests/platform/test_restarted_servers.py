"""Tests for servers that restart under the same name with requests open at the old process."""

import trio

from siskinspoke.coordination.server_health import FailureKind
from siskinspoke.coordination.work_table import Job, Work
from siskinspoke.gateway.context import now_ms
from siskinspoke.gateway.reservations import Reservation, _release, _renew_forever
from tests.platform.site import gateway_site, servers, until
from tests.platform.standin_server import Events, Silent, Whole
from tests.platform.test_streams import PROMPT, data_of, event

# Well below the timeout for an unresponsive server, and well above what the tests need.
PROMPT_END_SECONDS = 0.7


class TestOpenRequests:
    """Requests open at the old process end when the new one announces itself."""

    def test_stream_continues_at_another_server(self, tmp_path):
        """A server stops responding in the middle of a stream and restarts under the same name.

        The client's stream stalled until the silence timeout of 1.4 s. The new process does not
        know the stream, so it must continue at another server immediately.
        """

        async def run():
            dark = [Events(last=2, then="silent"), Events(last=4)]
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", dark, [Events(last=4)]) as (one, two),
            ):
                site.gateway.directory.mark_leaving(*site.gateway.directory.latest(two.name).start)
                async with site.request_in_background("/stream/x", **PROMPT) as answers:
                    await until(lambda: one.seen)
                    await trio.sleep(0.05)
                    site.announce(two, "engines", started=5)
                    with trio.fail_after(PROMPT_END_SECONDS):
                        site.announce(one, "engines", started=9)
                        await until(lambda: answers)
                assert data_of(answers[0].body) == b"".join(event(n) for n in range(1, 5))
                assert len(one.seen) + len(two.seen) == 2

        trio.run(run)

    def test_non_idempotent_call_ends_with_unknown_outcome(self, tmp_path):
        """A server crashes with a non-idempotent request open and restarts under the same name.

        Whether the request has run is unknown. The client must be told so immediately, and the new
        process must not receive the request.
        """

        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "plain", [Silent(), Whole()]) as (one,),
            ):
                async with site.request_in_background("/once/x") as answers:
                    await until(lambda: one.seen)
                    with trio.fail_after(PROMPT_END_SECONDS):
                        site.announce(one, "plain", started=9)
                        await until(lambda: answers)
                assert answers[0].status == 502
                assert len(one.seen) == 1

        trio.run(run)

    def test_late_announcement_of_old_process_is_ignored(self, tmp_path):
        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [Events(last=6, pause=0.05)]) as (one,),
            ):
                site.announce(one, "engines", started=9)
                async with site.request_in_background("/stream/x", **PROMPT) as answers:
                    await until(lambda: one.seen)
                    site.announce(one, "engines", seq=99, started=8)
                assert answers[0].whole
                assert len(one.seen) == 1

        trio.run(run)


class TestServerState:
    """State recorded for the old process does not apply to the new one."""

    def test_health_load_and_connections_are_reset(self, tmp_path):
        """A failed server was still excluded after it had restarted in good health."""

        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [Events(last=2)]) as (one,),
            ):
                gateway = site.gateway
                await site.ask("/stream/x", **PROMPT)
                gateway.server_health.record_failure(one.name, FailureKind.SILENT, now_ms())
                gateway.work_table.engine(one.name).slowdown = 4.0
                job = Job(5_000, 900, 300.0, 250.0)
                gateway.peers.begin_work(Work(job, (one.name,), now_ms()))
                site.announce(one, "engines", started=9)
                assert not gateway.server_health.is_ejected(one.name, now_ms())
                assert gateway.work_table.engine(one.name).in_flight == {}
                assert gateway.work_table.engine(one.name).slowdown == 1.0
                answer = await site.ask("/stream/x", **PROMPT)
                assert answer.whole
                assert one.connections == 2

        trio.run(run)

    def test_reservation_of_old_process_is_not_renewed_or_released(self, tmp_path):
        """An engine restarts while it has memory reserved for a prompt.

        A renewal sent to the new process would reserve memory that is never used or released.
        """

        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [Whole(status=200)]) as (one,),
            ):
                record = site.gateway.directory.latest(one.name)
                held = Reservation(record, "r-1", 1_000)
                site.announce(one, "engines", started=9)
                with trio.move_on_after(0.9):
                    await _renew_forever(site.gateway, [held], set(), trio.CancelScope())
                await _release(site.gateway, held, is_unconfirmed=True)
                assert one.seen == []

        trio.run(run)
