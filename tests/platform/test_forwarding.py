"""Requests that an entry VM forwards to a peer: what may fail on the way."""

import json

import pytest
import trio

from siskinspoke.platform.configuration import table_from
from siskinspoke.testing.server_links import LinkMode
from tests.platform.cell_site import PROMPT, Cell, cell_site
from tests.platform.site import document, request_bytes, until
from tests.platform.standin_server import Events, Silent, Whole, event
from tests.platform.test_streams import data_of

EVENTS = 20
LONG_STREAM = Events(last=EVENTS, pause=0.05)
PLAIN = Whole(None, begin_after=0.03)
SOON_SECONDS = 1.0
FIND_OUT_SECONDS = 5.0


def cut(cell: Cell, *numbers: int, mode: LinkMode = LinkMode.RESET) -> None:
    """Cut off some VMs from all servers."""
    for number in numbers:
        cell.links.set_mode(cell.sites[number].host, mode)


async def find_out(cell: Cell, number: int = 0) -> None:
    """Send requests to a VM until it knows that it reaches no server."""
    gateway = cell.sites[number].gateway
    with trio.fail_after(FIND_OUT_SECONDS):
        while not gateway.partitioned:
            await cell.send(cell.sites[number], "/again/x", f"look-{len(cell.results)}")


def forwards(cell: Cell, number: int = 0) -> int:
    """Return how many requests a VM has forwarded."""
    return cell.sites[number].gateway.counters.totals.get("forward.sent", 0)


class TestOpenStreams:
    """Guards against streams that wait at a partitioned VM until their deadline."""

    @pytest.mark.parametrize("mode", [LinkMode.HANG, LinkMode.RESET])
    def test_stream_continues_through_a_peer(self, mode, tmp_path):
        async def run():
            async with cell_site(tmp_path, 2, "engines") as cell, trio.open_nursery() as nursery:
                await cell.start_servers([LONG_STREAM] * 4)
                site = cell.sites[0]
                headers = {"Deadline_Ms": "8000", **PROMPT}
                nursery.start_soon(lambda: cell.send(site, "/stream/x", "r1", **headers))
                await until(lambda: any(server.seen for server in cell.servers))
                await trio.sleep(0.3)
                cut(cell, 0, mode=mode)
                await until(lambda: cell.results, 6.0)
                assert cell.results[0].served
                body = cell.results[0].raw.partition(b"\r\n\r\n")[2]
                assert data_of(body) == b"".join(event(n) for n in range(1, EVENTS + 1))

        trio.run(run)

    def test_stream_that_may_run_once_is_not_sent_again(self, tmp_path):
        async def run():
            async with cell_site(tmp_path, 2, "engines") as cell, trio.open_nursery() as nursery:
                await cell.start_servers([LONG_STREAM] * 4)
                site = cell.sites[0]
                nursery.start_soon(lambda: cell.send(site, "/solo/x", "r1", **PROMPT))
                await until(lambda: any(server.seen for server in cell.servers))
                cut(cell, 0)
                await until(lambda: cell.results, 6.0)
                assert not cell.results[0].served
                assert cell.runs_of("r1") == 1

        trio.run(run)


class TestBrokenHop:
    """Guards against calls that run twice or are called "not run" after the peer broke off."""

    @pytest.mark.parametrize("path", ["/once/x", "/again/x"])
    def test_peer_is_lost_while_it_waits_for_the_server(self, path, tmp_path):
        async def run():
            async with cell_site(tmp_path, 3, "plain") as cell, trio.open_nursery() as nursery:
                await cell.start_servers([PLAIN] * 4)
                cut(cell, 0)
                await find_out(cell)
                for server in cell.servers:
                    server.script[0] = Silent()
                nursery.start_soon(lambda: cell.send(cell.sites[0], path, "r1"))
                await until(lambda: cell.runs_of("r1") == 1)
                peer = next(
                    site
                    for site in cell.sites[1:]
                    if cell.sites[0].gateway.forwarding.open_requests(site.host)
                )
                for server in cell.servers:
                    server.script[0] = PLAIN
                before = len(cell.results)
                await cell.stop_receiving(peer)
                await until(lambda: len(cell.results) > before, 3.0)
                result = cell.results[-1]
                if path == "/once/x":
                    assert result.status == 502
                    assert cell.runs_of("r1") == 1
                else:
                    assert result.served
                    assert cell.runs_of("r1") == 2

        trio.run(run)

    def test_client_that_leaves_ends_the_request_at_the_server(self, tmp_path):
        async def run():
            async with cell_site(tmp_path, 2, "engines") as cell:
                await cell.start_servers([Events(last=200, pause=0.05)] * 3)
                cut(cell, 0)
                for number in range(3):
                    await trio.sleep(0)
                    with trio.move_on_after(0.6):
                        await cell.send(cell.sites[0], "/stream/x", f"look{number}", **PROMPT)
                stream = await cell.sites[0].connect()
                await stream.send_all(request_bytes("/stream/x", "r1", **PROMPT))
                await until(lambda: cell.runs_of("r1") == 1)
                await trio.sleep(0.2)
                server = next(
                    item
                    for item in cell.servers
                    for seen in item.seen
                    if seen.headers.get("Request-Id") == "r1"
                )
                number = next(
                    s.connection for s in server.seen if s.headers.get("Request-Id") == "r1"
                )
                await trio.aclose_forcefully(stream)
                await until(lambda: number in server.closed, 0.5)

        trio.run(run)


class TestHopLimit:
    """Guards against requests that VMs pass to each other without end."""

    @pytest.mark.parametrize("mode", [LinkMode.HANG, LinkMode.RESET])
    @pytest.mark.parametrize("path", ["/again/x", "/once/x"])
    def test_request_is_refused_at_once_if_all_vms_are_partitioned(self, path, mode, tmp_path):
        async def run():
            async with cell_site(tmp_path, 3, "plain") as cell:
                await cell.start_servers([PLAIN] * 6)
                cut(cell, 0, 1, 2, mode=mode)
                for number in range(3):
                    await find_out(cell, number)
                await trio.sleep(0.3)
                before = [forwards(cell, number) for number in range(3)]
                result = await cell.send(cell.sites[0], path, "r1")
                assert result.status == 503
                assert b"Retry-After" in result.raw
                assert result.took < SOON_SECONDS
                assert [forwards(cell, number) for number in range(3)] == before
                for number in range(3):
                    cell.links.set_mode(cell.sites[number].host, LinkMode.UP)
                await until(lambda: not cell.sites[0].gateway.partitioned, 2.0)
                assert (await cell.send(cell.sites[0], path, "r2")).served

        trio.run(run)

    def test_peer_that_is_partitioned_a_moment_later_does_not_pass_it_on(self, tmp_path):
        async def run():
            async with cell_site(tmp_path, 3, "plain") as cell:
                await cell.start_servers([PLAIN] * 6)
                cut(cell, 0, 1)
                await find_out(cell)
                result = await cell.send(cell.sites[0], "/once/x", "r1")
                assert result.served
                assert cell.runs_of("r1") == 1
                assert all(
                    site.gateway.counters.totals.get("forward.sent", 0) == 0
                    for site in cell.sites[1:]
                )

        trio.run(run)


class TestConfigurationVersions:
    """Guards against requests that are served by an older configuration than their VM's."""

    def test_peer_with_an_older_configuration_refuses(self, tmp_path):
        async def run():
            async with cell_site(tmp_path, 2, "plain") as cell:
                await cell.start_servers([PLAIN] * 3)
                cut(cell, 0)
                await find_out(cell)
                gateway = cell.sites[0].gateway
                gateway.table = table_from(document(version=2)).ok
                result = await cell.send(cell.sites[0], "/once/x", "r1")
                assert result.status == 503
                assert cell.runs_of("r1") == 0
                cell.sites[1].gateway.table = gateway.table
                await trio.sleep(1.1)
                assert (await cell.send(cell.sites[0], "/once/x", "r2")).served

        trio.run(run)


class TestSenders:
    """Guards against clients that reach the forward port and state any customer."""

    def test_request_without_the_internal_key_is_rejected(self, tmp_path):
        async def run():
            async with cell_site(tmp_path, 1, "plain") as cell:
                await cell.start_servers([PLAIN])
                site = cell.sites[0]
                port = site.gateway.settings.forward_port
                for value in (None, "x", "AAAA"):
                    stream = await trio.open_tcp_stream(site.host, port)
                    async with stream:
                        headers = {"X_Siskinspoke_Forward": value}
                        await stream.send_all(request_bytes("/once/x", "r1", **headers))
                        assert (await stream.receive_some()).startswith(b"HTTP/1.1 401")
                assert cell.runs_of("r1") == 0

        trio.run(run)

    def test_peer_with_another_key_does_not_answer_the_client(self, tmp_path):
        async def run():
            async with cell_site(tmp_path, 3, "plain") as cell:
                await cell.start_servers([PLAIN] * 3)
                cut(cell, 0)
                await find_out(cell)
                settings = [site.gateway.settings for site in cell.sites]
                for site in cell.sites[1:]:
                    site.gateway.settings = settings[1]._replace(internal_key=b"other")
                result = await cell.send(cell.sites[0], "/once/x", "r1")
                assert result.status == 503
                cell.sites[1].gateway.settings = settings[1]
                await trio.sleep(1.1)
                for number in range(6):
                    assert (await cell.send(cell.sites[0], "/once/x", f"s{number}")).served

        trio.run(run)


class TestFullPeers:
    """Guards against refusals for a second after a peer had no room for one request."""

    def test_peer_has_room_again(self, tmp_path):
        async def run():
            async with cell_site(tmp_path, 2, "plain") as cell:
                await cell.start_servers([PLAIN] * 3)
                cut(cell, 0)
                await find_out(cell)
                peer = cell.sites[1]
                for server in cell.servers:
                    peer.announce(server, "plain", seq=1_000, leaving=True)
                assert (await cell.send(cell.sites[0], "/once/x", "r1")).status == 503
                for server in cell.servers:
                    peer.announce(server, "plain", started=5)
                await trio.sleep(0.2)
                assert (await cell.send(cell.sites[0], "/once/x", "r2")).served

        trio.run(run)


class TestOtherVms:
    """Guards against partitioned VMs whose reports take servers from the other VMs."""

    def test_reports_of_partitioned_vms_are_checked(self, tmp_path):
        async def run():
            async with cell_site(tmp_path, 4, "plain") as cell:
                await cell.start_servers([PLAIN] * 6)
                cut(cell, 0, 1, 2, mode=LinkMode.HANG)
                for number in range(3):
                    await find_out(cell, number)
                gateway = cell.sites[3].gateway
                await until(lambda: gateway.counters.totals.get("domain.cut_told", 0) >= 3)
                await trio.sleep(0.3)
                assert not gateway.domains.cut_off(trio.current_time() * 1000)
                assert not gateway.server_health.has_unreachable
                assert (await cell.send(cell.sites[3], "/once/x", "r1")).served

        trio.run(run)


class TestFirstRequest:
    """Guards against calls that are refused while their VM still finds out that it is cut off."""

    @pytest.mark.parametrize("mode", list(LinkMode)[1:])
    def test_call_right_after_the_cut_is_served(self, mode, tmp_path):
        async def run():
            async with cell_site(tmp_path, 2, "plain") as cell:
                await cell.start_servers([PLAIN] * 9)
                cut(cell, 0, mode=mode)
                result = await cell.send(cell.sites[0], "/once/x", "r1")
                assert result.served
                assert result.took < SOON_SECONDS

        trio.run(run)


class TestPartOfTheServers:
    """Guards against a forward that depends on the loss of all servers."""

    def test_service_that_alone_is_out_of_reach(self, tmp_path):
        async def run():
            async with cell_site(tmp_path, 2, "plain") as cell:
                await cell.start_servers([PLAIN] * 3)
                plain = frozenset(server.port for server in cell.servers)
                cell.fleet.service = "engines"
                await cell.start_servers([Events(last=2)] * 4)
                cell.links.set_mode(cell.sites[0].host, LinkMode.HANG, plain)
                for number in range(6):
                    assert (await cell.send(cell.sites[0], "/once/x", f"r{number}")).served
                    stream = await cell.send(cell.sites[0], "/stream/x", f"s{number}", **PROMPT)
                    assert stream.served
                assert forwards(cell) == 6
                assert forwards(cell, 1) == 0

        trio.run(run)

    def test_vm_that_starts_behind_the_partition(self, tmp_path):
        async def run():
            async with cell_site(tmp_path, 3, "plain") as cell:
                cut(cell, 0, mode=LinkMode.HANG)
                await cell.start_servers([PLAIN] * 6)
                for number in range(4):
                    result = await cell.send(cell.sites[0], "/once/x", f"r{number}")
                    assert result.served
                    assert result.took < SOON_SECONDS

        trio.run(run)


class TestServices:
    """Guards against a stream whose rest is read from another service of its route."""

    def test_forwarded_request_keeps_its_service(self, tmp_path):
        split = [{"service": "plain", "weight": 50}, {"service": "other", "weight": 50}]
        changes = document()
        route = {**changes["routes"][1], "traffic_split": split}
        route.pop("service")
        services = [*changes["services"], {"name": "other", "health_path": "/healthz"}]

        async def run():
            async with cell_site(tmp_path, 2, "plain", routes=[route], services=services) as cell:
                await cell.start_servers([PLAIN] * 4)
                cut(cell, 0)
                for number in range(6):
                    assert (await cell.send(cell.sites[0], "/again/x", f"r{number}")).served
                cell.fleet.service = "other"
                await cell.start_servers([PLAIN] * 4)
                for number in range(10, 22):
                    assert (await cell.send(cell.sites[0], "/again/x", f"r{number}")).served
                logs = [
                    json.loads(line)
                    for name in ("log-1", "log-2")
                    for line in (tmp_path / name).read_text().splitlines()
                ]
                chosen: dict[str, set[str]] = {}
                for line in logs:
                    if line["event"] == "request":
                        chosen.setdefault(line["request"], set()).add(line["service"])
                assert {"plain"} in chosen.values()
                assert {"other"} in chosen.values()
                assert all(len(names) == 1 for names in chosen.values())

        trio.run(run)
