"""Streams that wait at an entry VM for room at engines, through a whole gateway."""

import pytest
import trio

from siskinspoke.coordination.work_table import Job, Work
from tests.platform import site as sites
from tests.platform.site import gateway_site, servers
from tests.platform.standin_server import Events

# The engine of the test configuration has 8 slots; a full one holds 12 streams.
FULL = 12


@pytest.fixture
def queue(monkeypatch):
    """Let the gateways of a test hold requests until there is room."""
    plain = sites.vm_settings
    monkeypatch.setattr(
        sites, "vm_settings", lambda *given: plain(*given)._replace(queue_capacity=8)
    )


def fill(site, server: str, max_tokens: int) -> list[int]:
    """Enter streams into the work table until an engine is full."""
    job = Job(500, max_tokens, 300, 250)
    # They have run for a while: the short ones are about to end.
    began_at = trio.current_time() * 1000 - 100
    works = [site.gateway.peers.begin_work(Work(job, (server,), began_at)) for _ in range(FULL)]
    for number in works:
        site.gateway.peers.mark_first_token(number)
    return works


class TestWaitingStreams:
    """A stream for which there is no room now, with and without the queue."""

    def run(self, tmp_path, scenario):
        async def main():
            script = [Events(last=2)]
            async with gateway_site(tmp_path) as site, servers(site, "engines", script) as running:
                await scenario(site, running[0])

        trio.run(main)

    def ask(self, site):
        return site.ask("/stream/x", Token_Counts="500,900", Deadline_Ms="9000")

    def test_room_that_becomes_free_is_used(self, tmp_path, queue):
        """Without the queue the stream is refused, although a slot is free 40 ms later."""

        async def scenario(site, server):
            works = fill(site, server.name, 100)
            async with site.request_in_background(
                "/stream/x", Token_Counts="500,900", Deadline_Ms="9000"
            ) as answers:
                await trio.sleep(0.02)
                assert not answers
                for number in works:
                    site.gateway.peers.end_work(number)
            assert answers[0].status == 200
            assert site.gateway.counters.totals["admission.waited"] == 1
            assert site.gateway.counters.totals["admission.placed"] == 1

        self.run(tmp_path, scenario)

    def test_hopeless_stream_is_refused_at_once(self, tmp_path, queue):
        """Every stream runs for seconds more, and the refusal says so."""

        async def scenario(site, server):
            fill(site, server.name, 5_000)
            began = trio.current_time()
            answer = await self.ask(site)
            assert answer.status == 503
            assert trio.current_time() - began < 0.1
            assert b'"run":"not_run"' in answer.raw
            assert b"retry-after" in answer.raw.lower()
            assert site.gateway.counters.totals["admission.refused.late"] == 1
            assert len(server.seen) == 0

        self.run(tmp_path, scenario)

    def test_waiting_stream_of_a_draining_vm_is_refused(self, tmp_path, queue):
        async def scenario(site, server):
            fill(site, server.name, 100)
            async with site.request_in_background(
                "/stream/x", Token_Counts="500,900", Deadline_Ms="9000"
            ) as answers:
                await trio.sleep(0.02)
                site.gateway.draining_since_ms = trio.current_time() * 1000 - 60_000
            assert answers[0].status == 503
            assert site.gateway.counters.totals["admission.refused.draining"] == 1

        self.run(tmp_path, scenario)

    def test_client_that_leaves_gives_back_its_turn(self, tmp_path, queue):
        async def scenario(site, server):
            fill(site, server.name, 100)
            stream = await site.connect()
            async with stream:
                await stream.send_all(
                    sites.request_bytes("/stream/x", Token_Counts="500,900", Deadline_Ms="9000")
                )
                await trio.sleep(0.03)
                assert site.gateway.waiting.own_count == 1
            await trio.sleep(0.02)
            assert site.gateway.waiting.own_count == 0

        self.run(tmp_path, scenario)

    def test_off_by_default(self, tmp_path):
        """Without ``queue_capacity`` a stream without room is refused as before."""

        async def scenario(site, server):
            fill(site, server.name, 100)
            answer = await self.ask(site)
            assert answer.status == 503
            assert not any(name.startswith("admission") for name in site.gateway.counters.totals)

        self.run(tmp_path, scenario)
