"""Engines get no request that exceeds the memory which the work table shows as free."""

import pytest
import trio

from siskinspoke.coordination.work_table import Job, Work
from siskinspoke.gateway import assignment
from siskinspoke.gateway.cells import CellView
from siskinspoke.gateway.context import now_ms
from siskinspoke.protocol.peers import PlaceOffer
from tests.platform.site import ENGINE, gateway_site, servers, until
from tests.platform.standin_server import Events, Refuse

# Two such prompts do not fit into one engine.
PROMPT = {"Token_Counts": "200000,900"}
QUEUE = {"queue_capacity": 8}
SLOW = Events(begin_after=0.6)


def requests_at(running) -> int:
    return sum(len(server.seen) for server in running)


def fill(site, server: str, name: str = "other-vm") -> None:
    """Enter work of another VM that leaves no memory for PROMPT at an engine."""
    job = Job(ENGINE["kv_capacity"] - 100_000, 900, 3_000, 1_000)
    site.gateway.work_table.add(name, Work(job, (server,), now_ms()))


@pytest.fixture
def other_cells(monkeypatch):
    """Let the gateway believe that there is another cell."""
    monkeypatch.setattr(CellView, "other_cells", property(lambda cells: ["other"]))


class TestQueriesOfOtherCells:
    """The work table changes while other cells are queried."""

    @pytest.mark.parametrize(("settings", "sent"), [(QUEUE, 1), ({}, 2)], ids=["on", "off"])
    def test_concurrent_prompts(self, settings, sent, other_cells, monkeypatch, tmp_path):
        """Two prompts find the same free memory before they wait for offers.

        Guards against an engine that gets both and crashes; without the setting nothing changes.
        """

        async def no_offer(*args):
            await trio.sleep(0.02)

        monkeypatch.setattr(assignment, "request_remote_place", no_offer)

        async def run():
            async with (
                gateway_site(tmp_path, settings=settings, timeout_ms=9_000) as site,
                servers(site, "engines", [SLOW]) as running,
                trio.open_nursery() as nursery,
            ):
                for number in range(2):
                    nursery.start_soon(
                        lambda n: site.ask("/solo/x", f"r{n}", Deadline_Ms="9000", **PROMPT),
                        number,
                    )
                await until(lambda: requests_at(running))
                await trio.sleep(0.2)
                assert requests_at(running) == sent

        trio.run(run)

    def test_offer_without_memory(self, other_cells, monkeypatch, tmp_path):
        """Another cell offers an engine that this VM has filled since.

        Guards against an offer that is older than this VM's own work table.
        """

        async def run():
            async with (
                gateway_site(tmp_path, settings=QUEUE, timeout_ms=9_000) as site,
                servers(site, "engines", [SLOW]) as running,
            ):
                name = running[0].name

                async def offer(question, addresses):
                    return [PlaceOffer(1, [name], 10.0, [])]

                monkeypatch.setattr(site.gateway.queries, "request_offers", offer)
                monkeypatch.setattr(
                    "siskinspoke.gateway.remote_placement._choose_vms", lambda _: []
                )
                fill(site, name)
                answer = await site.ask("/solo/x", Deadline_Ms="9000", **PROMPT)
                assert answer.status == 503
                assert requests_at(running) == 0

        trio.run(run)


class TestRetries:
    """Retries and resumed streams go only where the work table shows enough memory."""

    @pytest.mark.parametrize("first", [Refuse(), Events(last=2, then="cut", torn=b"id: 3\nda")])
    def test_second_engine_is_full(self, first, tmp_path):
        """One engine refuses, or breaks off; the only other one has too little memory.

        Guards against a retry or a resumed stream that crashes the engine which takes it.
        """

        async def run():
            async with (
                gateway_site(tmp_path, settings=QUEUE, timeout_ms=9_000) as site,
                servers(site, "engines", [first]) as one,
                servers(site, "engines", [Events()], first=9) as other,
            ):
                fill(site, other[0].name)
                async with site.request_in_background(
                    "/stream/x", Deadline_Ms="9000", **PROMPT
                ) as answers:
                    await until(lambda: requests_at(one))
                    await trio.sleep(0.4)
                    assert requests_at(other) == 0
                    site.gateway.work_table.remove("other-vm")
                    await until(lambda: answers)
                if isinstance(first, Events):
                    assert answers[0].whole
                    assert requests_at(other) == 1

        trio.run(run)
