"""Servers that start again under their name, with requests open at the former process."""

import trio

from siskinspoke.coordination.books import Job, Work
from siskinspoke.coordination.standing import Trouble
from siskinspoke.gateway.context import now_ms
from siskinspoke.gateway.reservations import Held, _release, _renew_forever
from tests.platform.site import gateway_site, servers, until
from tests.platform.standin_server import Events, Silent, Whole
from tests.platform.test_streams import PROMPT, data_of, event

# Far below the time after which a silent server is given up, and far above what a test needs.
SOON_SECONDS = 0.7


class TestOpenRequests:
    """What is open at the former process ends when the new one makes itself known."""

    def test_stream_goes_on_at_another_server(self, tmp_path):
        """A server goes dark in the middle of a stream and comes back under its name.

        The caller's stream would stand still until the silence is long enough, 1.4 s; the new
        process knows nothing of it, so it goes on elsewhere at once.
        """

        async def run():
            dark = [Events(last=2, then="silent"), Events(last=4)]
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", dark, [Events(last=4)]) as (one, two),
            ):
                site.gateway.directory.retire(*site.gateway.directory.latest(two.name).start)
                async with site.asking("/stream/x", **PROMPT) as answers:
                    await until(lambda: one.seen)
                    await trio.sleep(0.05)
                    site.announce(two, "engines", started=5)
                    with trio.fail_after(SOON_SECONDS):
                        site.announce(one, "engines", started=9)
                        await until(lambda: answers)
                assert data_of(answers[0].body) == b"".join(event(n) for n in range(1, 5))
                assert len(one.seen) + len(two.seen) == 2

        trio.run(run)

    def test_call_that_may_not_be_repeated_ends_in_doubt(self, tmp_path):
        """A server crashes with a dispatch order open and comes back under its name.

        Nobody knows whether the order has run: the caller is told so at once, and the new
        process does not get it.
        """

        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "plain", [Silent(), Whole()]) as (one,),
            ):
                async with site.asking("/once/x") as answers:
                    await until(lambda: one.seen)
                    with trio.fail_after(SOON_SECONDS):
                        site.announce(one, "plain", started=9)
                        await until(lambda: answers)
                assert answers[0].status == 502
                assert len(one.seen) == 1

        trio.run(run)

    def test_late_word_of_the_former_process_ends_nothing(self, tmp_path):
        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [Events(last=6, pause=0.05)]) as (one,),
            ):
                site.announce(one, "engines", started=9)
                async with site.asking("/stream/x", **PROMPT) as answers:
                    await until(lambda: one.seen)
                    site.announce(one, "engines", seq=99, started=8)
                assert answers[0].whole
                assert len(one.seen) == 1

        trio.run(run)


class TestBeliefs:
    """What was known of the former process says nothing of the new one."""

    def test_standing_books_and_connections_begin_anew(self, tmp_path):
        """A server that failed is set aside, restarts healthy, and is still passed over."""

        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [Events(last=2)]) as (one,),
            ):
                gateway = site.gateway
                await site.ask("/stream/x", **PROMPT)
                gateway.standing.failed(one.name, Trouble.SILENT, now_ms())
                gateway.books.engine(one.name).pace = 4.0
                job = Job(5_000, 900, 300.0, 250.0)
                gateway.peers.began(Work(job, (one.name,), now_ms()))
                site.announce(one, "engines", started=9)
                assert not gateway.standing.is_aside(one.name, now_ms())
                assert gateway.books.engine(one.name).works == {}
                assert gateway.books.engine(one.name).pace == 1.0
                answer = await site.ask("/stream/x", **PROMPT)
                assert answer.whole
                assert one.connections == 2

        trio.run(run)

    def test_nothing_is_sent_under_a_reservation_of_before(self, tmp_path):
        """An engine restarts while memory is held there for a prompt.

        A renewal that reached the new process would take memory that nobody uses or gives back.
        """

        async def run():
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [Whole(status=200)]) as (one,),
            ):
                record = site.gateway.directory.latest(one.name)
                held = Held(record, "r-1", 1_000)
                site.announce(one, "engines", started=9)
                with trio.move_on_after(0.9):
                    await _renew_forever(site.gateway, [held], set(), trio.CancelScope())
                await _release(site.gateway, held, unsure=True)
                assert one.seen == []

        trio.run(run)
