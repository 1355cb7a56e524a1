"""Entry VMs that are partitioned from all backend servers, while clients and peers reach them."""

import pytest
import trio

from siskinspoke.testing.server_links import LinkMode
from tests.platform.cell_site import PROMPT, Cell, cell_site
from tests.platform.standin_server import Events, Whole

VMS = 5
PER_SECOND = 6.0
CUT_SECONDS = 4.0
# Requests sent this long after the cut began are compared with those of the other VMs.
SETTLE_SECONDS = 1.0
# Share of the other VMs' served requests that the partitioned VMs have to reach.
SERVED_SHARE = 0.95
STREAM, PLAIN = Events(last=3, pause=0.02), Whole(None, begin_after=0.03)
# A peer gets at most this many times the mean of the forwarded requests.
MAX_PEER_SHARE = 3.0
CUTS = (LinkMode.HANG, LinkMode.RESET, LinkMode.KEPT)


def served_share(cell: Cell, vms: set[str], since: float) -> float:
    """Return the share of requests served at some VMs, of those sent since a time."""
    sent = [item for item in cell.results if item.vm in vms and item.sent_at >= since]
    assert sent
    return sum(item.served for item in sent) / len(sent)


async def run_cut(cell: Cell, cut: int, mode: LinkMode, path: str, **headers) -> None:
    """Cut off some VMs under traffic, and check how their requests are served."""
    await cell.send_steadily(path, PER_SECOND, 1.0, **headers)
    assert all(item.served for item in cell.results)
    cut_vms = {site.host for site in cell.sites[:cut]}
    others = {site.host for site in cell.sites[cut:]}
    began = trio.current_time()
    for vm in cut_vms:
        cell.links.set_mode(vm, mode)
    await cell.send_steadily(path, PER_SECOND, CUT_SECONDS, **headers)
    at_cut = served_share(cell, cut_vms, began + SETTLE_SECONDS)
    at_others = served_share(cell, others, began + SETTLE_SECONDS)
    assert at_others >= SERVED_SHARE
    assert at_cut >= SERVED_SHARE * at_others, (at_cut, at_others)
    for vm in cut_vms:
        cell.links.set_mode(vm, LinkMode.UP)
    await trio.sleep(SETTLE_SECONDS)
    healed = trio.current_time()
    await cell.send_steadily(path, PER_SECOND, 1.0, **headers)
    assert served_share(cell, cut_vms, healed) >= SERVED_SHARE


class TestPartitionedVms:
    """Guards against VMs that refuse all requests because only they cannot reach a server."""

    @pytest.mark.parametrize("cut", [2, 4])
    @pytest.mark.parametrize("mode", CUTS)
    def test_streams_are_served(self, mode, cut, tmp_path):
        async def run():
            async with cell_site(tmp_path, VMS, "engines") as cell:
                await cell.start_servers([STREAM] * 8)
                await run_cut(cell, cut, mode, "/stream/x", **PROMPT)

        trio.run(run)

    @pytest.mark.parametrize("path", ["/again/x", "/once/x"])
    @pytest.mark.parametrize("mode", CUTS)
    def test_calls_are_served(self, mode, path, tmp_path):
        async def run():
            async with cell_site(tmp_path, VMS, "plain") as cell:
                await cell.start_servers([PLAIN] * 6)
                await run_cut(cell, 2, mode, path)
                if path == "/once/x":
                    assert max(cell.runs_of(item.request_id) for item in cell.results) == 1

        trio.run(run)


class TestCells:
    """Guards against a forward that holds at five VMs only, or floods the peers of a cell."""

    @pytest.mark.parametrize(("vms", "cut"), [(7, 4), (24, 12)])
    def test_streams_are_served(self, vms, cut, tmp_path):
        async def run():
            async with cell_site(tmp_path, vms, "engines") as cell:
                await cell.start_servers([STREAM] * 12)
                cut_vms = [site.host for site in cell.sites[:cut]]
                for vm in cut_vms:
                    cell.links.set_mode(vm, LinkMode.HANG)
                began = trio.current_time()
                await cell.send_steadily("/stream/x", 24 / vms, CUT_SECONDS, **PROMPT)
                at_cut = served_share(cell, set(cut_vms), began + SETTLE_SECONDS)
                assert at_cut >= SERVED_SHARE
                received = [
                    site.gateway.counters.totals.get("forward.received", 0)
                    for site in cell.sites[cut:]
                ]
                assert min(received) > 0
                assert max(received) <= MAX_PEER_SHARE * sum(received) / len(received)

        trio.run(run)
