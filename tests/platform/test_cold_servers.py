"""Tests for backend servers that are cold, to which several VMs send."""

import json
import math
import signal
import time
from contextlib import asynccontextmanager

import trio

from siskinspoke.coordination.cold_limiters import MAX_BURST
from siskinspoke.gateway.cold import is_cold
from siskinspoke.gateway.cold_permits import lease_clock_ms
from siskinspoke.gateway.reachability import mark_unreachable
from siskinspoke.testing.group_site import OPERATORS_PORT, PUBLIC_PORT, GroupSite
from siskinspoke.testing.networks import group_nets, net_cycle
from tests.platform.fleet import fleet
from tests.platform.site import (
    ENGINE,
    HOST,
    document,
    gateway_site,
    read_answer,
    request_bytes,
    until,
)
from tests.platform.standin_server import Events, Refuse, StandinServer, Whole
from tests.platform.test_rate_limits import retry_after
from tests.platform.test_streams import PROMPT

RATE, ALLOWED = 14.0, 26
VMS = 12
SEND_INTERVAL_SECONDS = 0.2
COLD = {"cold_s": 60, "cold_per_s": RATE}
SERVICES = [
    {"name": "plain", "health_path": "/healthz", **COLD},
    {"name": "engines", "health_path": "/healthz", "engine": ENGINE, **COLD},
]

_next_net = net_cycle(group_nets)


def requests_at(server: StandinServer) -> int:
    """Return how many requests a server got from clients."""
    return sum("Request-Id" in seen.headers for seen in server.seen)


@asynccontextmanager
async def _servers(count: int):
    """Run some stand-in servers, which are not announced."""
    async with trio.open_nursery() as nursery:
        servers = [StandinServer(f"i-{number}") for number in range(count)]
        for server in servers:
            server.script.append(Whole())
            await nursery.start(server.serve)
        yield servers
        nursery.cancel_scope.cancel()


class Load:
    """Clients of several VMs that send at a constant rate, and their answers by time."""

    def __init__(self):
        self.statuses: list[tuple[float, int]] = []

    async def send(self, host: str, port: int, path: str, name: str, **headers) -> None:
        """Send one request and record the status of its answer."""
        try:
            async with await trio.open_tcp_stream(host, port) as stream:
                await stream.send_all(request_bytes(path, name, **headers))
                answer = await read_answer(stream, 3.0)
        except (OSError, trio.BrokenResourceError):
            return
        self.statuses.append((trio.current_time(), answer.status))

    async def run(self, addresses, path: str, seconds: float, **headers) -> None:
        """Send to each address at intervals."""
        async with trio.open_nursery() as nursery:
            for turn in range(round(seconds / SEND_INTERVAL_SECONDS)):
                for number, (host, port) in enumerate(addresses):
                    nursery.start_soon(
                        lambda *args: self.send(*args, **headers),
                        host,
                        port,
                        path,
                        f"r{number}-{turn}",
                    )
                await trio.sleep(SEND_INTERVAL_SECONDS)

    def served(self, since: float, until_: float) -> int:
        """Return how many requests were answered with 200 in an interval."""
        return sum(status == 200 and since <= at < until_ for at, status in self.statuses)


class TestOneVM:
    """One VM chooses between cold and warm servers."""

    def test_warm_server_comes_first(self, tmp_path):
        """Cold servers got as many requests as warm ones."""

        async def run():
            async with gateway_site(tmp_path, services=SERVICES) as site, _servers(2) as pair:
                cold, warm = pair
                site.announce(cold, "plain", cold_left_ms=30_000)
                site.announce(warm, "plain", cold_left_ms=0)
                for number in range(10):
                    assert (await site.ask("/again/x", f"r{number}")).status == 200
                assert requests_at(cold) == 0

        trio.run(run)

    def test_call_that_runs_once_avoids_cold_server(self, tmp_path):
        """A call that may run only once was sent where it was likely to be broken off."""

        async def run():
            async with gateway_site(tmp_path, services=SERVICES) as site, _servers(2) as pair:
                cold, warm = pair
                site.announce(cold, "plain", cold_left_ms=30_000)
                site.announce(warm, "plain", cold_left_ms=0)
                gateway = site.gateway
                for _ in range(20):
                    gateway.server_health.request_started(warm.name)
                assert (await site.ask("/once/x")).status == 200
                assert requests_at(cold) == 0

        trio.run(run)

    def test_call_that_runs_once_after_a_refusal(self, tmp_path):
        """A warm server that had refused a call kept it from the cold one that was left."""

        async def run():
            async with fleet(tmp_path, 1, services=SERVICES) as running:
                running.service = "plain"
                warm, cold = await running.start_servers([[Refuse()], [Whole()]])
                site = running.sites[0]
                site.announce(warm, "plain", seq=2, cold_left_ms=0)
                site.announce(cold, "plain", seq=2, cold_left_ms=30_000)
                limiter = site.gateway.cold_permits._limiter
                await until(lambda: limiter.is_settled(lease_clock_ms()))
                answer = await site.ask("/once/x", "r1")
                assert answer.status == 200
                assert requests_at(cold) == 1

        trio.run(run)

    def test_vm_that_has_just_started(self, tmp_path):
        """A VM took servers for warm that it knew from the disk of a control VM only."""

        async def run():
            async with gateway_site(tmp_path, services=SERVICES) as site, _servers(1) as (server,):
                site.announce(server, "plain", cold_left_ms=0)
                record = site.gateway.directory.latest(server.name)
                stored = record.announcement._replace(server="i-stored", cold_ms=0)
                site.daemon._on_remembered_servers([stored])
                now = trio.current_time() * 1000
                assert is_cold(site.gateway, site.gateway.directory.latest("i-stored"), now)
                assert not is_cold(site.gateway, record, now)

        trio.run(run)

    def test_nothing_without_control(self, tmp_path):
        """A VM that reaches no limiter sent to a cold server, or held the request for long."""

        async def run():
            async with gateway_site(tmp_path, services=SERVICES) as site, _servers(1) as (cold,):
                site.announce(cold, "plain", cold_left_ms=30_000)
                began = trio.current_time()
                answer = await site.ask("/again/x")
                assert answer.status == 503
                assert retry_after(answer) > 0
                assert trio.current_time() - began < 1.0
                assert requests_at(cold) == 0

        trio.run(run)

    def test_servers_without_cold_rate(self, tmp_path):
        """A server's cold time had an effect although its service has no cold rate."""

        async def run():
            async with gateway_site(tmp_path) as site, _servers(1) as (server,):
                site.announce(server, "plain", cold_left_ms=30_000)
                assert (await site.ask("/again/x")).status == 200

        trio.run(run)

    def test_restart_under_its_id(self, tmp_path):
        """The new process of a server got requests without a permit."""

        async def run():
            async with gateway_site(tmp_path, services=SERVICES) as site, _servers(1) as (server,):
                site.announce(server, "plain", started=1, cold_left_ms=0)
                assert (await site.ask("/again/x", "r1")).status == 200
                site.announce(server, "plain", seq=2, started=2)
                assert (await site.ask("/again/x", "r2")).status == 503
                site.announce(server, "plain", seq=3, started=2, cold_left_ms=0)
                assert (await site.ask("/again/x", "r3")).status == 200

        trio.run(run)

    def test_unreachable_server_comes_back(self, tmp_path):
        """A server that could not be reached got the rate of a warm one at once."""

        async def run():
            async with gateway_site(tmp_path, services=SERVICES) as site, _servers(1) as (server,):
                site.announce(server, "plain", cold_left_ms=0)
                assert (await site.ask("/again/x", "r1")).status == 200
                record = site.gateway.directory.latest(server.name)
                site.gateway.cold_servers.lost(record.start, trio.current_time() * 1000)
                assert (await site.ask("/again/x", "r2")).status == 503
                await trio.sleep(0.8)
                site.announce(server, "plain", seq=2, cold_left_ms=0)
                assert (await site.ask("/again/x", "r3")).status == 200

        trio.run(run)

    def test_servers_of_a_lost_domain(self, tmp_path):
        """Of a failure domain that was lost, only the servers that had been probed counted as cold.

        The others got the rate of warm ones when the domain was back.
        """

        async def run():
            async with gateway_site(tmp_path, services=SERVICES) as site, _servers(4) as running:
                for server in running:
                    site.announce(server, "plain", cold_left_ms=0)
                gateway = site.gateway
                records = [gateway.directory.latest(server.name) for server in running]
                for record in records[:3]:
                    mark_unreachable(gateway, record)
                now = trio.current_time() * 1000
                assert gateway.domains.is_cut_off("a", now)
                assert all(is_cold(gateway, record, now) for record in records)

        trio.run(run)

    def test_answer_that_states_it(self, tmp_path):
        """The Cold-Ms header of an answer was ignored."""

        async def run():
            async with gateway_site(tmp_path, services=SERVICES) as site, _servers(1) as (server,):
                server.script.clear()
                server.script.append(Whole(headers=(b"Cold-Ms: 5000",)))
                site.announce(server, "plain", cold_left_ms=0)
                assert (await site.ask("/again/x", "r1")).status == 200
                assert (await site.ask("/again/x", "r2")).status == 503

        trio.run(run)


class TestFleet:
    """All VMs together send a cold server no more than it takes, and most of that."""

    def test_cut_off_granter(self, tmp_path):
        """A granting VM that was cut off went on granting permits beside its successor."""

        async def run():
            async with fleet(tmp_path, VMS, services=SERVICES) as running:
                running.service = "plain"
                (server,) = await running.start_servers([[Whole()]])
                server.account.record_cold(math.inf, ALLOWED)
                load, began = Load(), trio.current_time()
                addresses = [(site.host, site.port) for site in running.sites]
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(load.run, addresses, "/again/x", 20.0)
                    await trio.sleep(6.0)
                    granter = _granter(running)
                    await running.partition(granter)
                    await trio.sleep(5.0)
                    assert _granter(running) is not granter
                    await running.connect(granter)
                used = load.served(began + 3, began + 6) + load.served(began + 9, began + 11)
                assert used >= 0.8 * RATE * 5

        trio.run(run)

    def test_engines(self, tmp_path):
        """Streams were sent to cold engines without permits."""

        async def run():
            async with fleet(tmp_path, 4, services=SERVICES) as running:
                servers = await running.start_servers([[Events()], [Events()]])
                for server in servers:
                    server.account.record_cold(math.inf, ALLOWED)
                await trio.sleep(1.5)
                load, began = Load(), trio.current_time()
                addresses = [(site.host, site.port) for site in running.sites] * 4
                await load.run(addresses, "/stream/x", 6.0, **PROMPT)
                assert load.served(began + 2, began + 6) >= 0.8 * 2 * RATE * 4

        trio.run(run)

    def test_failure_domain_returns_cold(self, tmp_path):
        """All servers of a failure domain were flooded when they returned at once."""

        async def run():
            async with fleet(tmp_path, 4, services=SERVICES) as running:
                running.service = "plain"
                servers = await running.start_servers([[Whole()] for _ in range(3)])
                for site in running.sites:
                    for server in servers:
                        site.announce(server, "plain", seq=2, started=1, cold_left_ms=0)
                load = Load()
                addresses = [(site.host, site.port) for site in running.sites] * 4
                await load.run(addresses, "/again/x", 1.0)
                for server in servers:
                    server.account.record_cold(math.inf, ALLOWED)
                for site in running.sites:
                    for server in servers:
                        site.announce(server, "plain", seq=1, started=2, cold_left_ms=30_000)
                began = trio.current_time()
                await load.run(addresses, "/again/x", 6.0)
                assert load.served(began + 2, began + 6) >= 0.8 * 3 * RATE * 4

        trio.run(run)


def _granter(running):
    """Return the VM of a fleet that holds the lease of the first server."""
    now = lease_clock_ms()
    name = running.servers[0].name
    holders = [
        site for site in running.sites if site.gateway.cold_permits._limiter.holds_lease(name, now)
    ]
    assert len(holders) == 1
    return holders[0]


class Processes:
    """Three registries and some gateways as processes, and one cold stand-in server."""

    def __init__(self, site: GroupSite):
        self.site = site
        self.gateways = [f"g{number}" for number in range(1, VMS + 1)]
        self.server = StandinServer("i-0")
        self.server.script.append(Whole())
        self.seq = 0

    def start(self) -> None:
        """Start all processes and publish a configuration."""
        for name in ("c1", "c2", "c3"):
            self.site.start(name, found=True)
        for name in self.gateways:
            self.site.start(name, found=True)
        configuration = document(timeout_ms=3_000, services=SERVICES)
        self.site.call_until_success("c1", "POST", "/config/replace", configuration)
        for name in self.gateways:
            self.site.wait_status(name, "/none", HOST, 404)

    async def announce_forever(self) -> None:
        """Send the server's heartbeat every 1.2 s, to one registry after another."""
        began = time.time()
        while True:
            self.seq += 1
            beat = {
                "service": "plain",
                "address": f"127.0.0.1:{self.server.port}",
                "zone": "a",
                "seq": self.seq,
                "born": 1,
                "cold_left_ms": round(60_000 - (time.time() - began) * 1000),
            }
            host = self.site.host_of(f"c{1 + self.seq % 3}")
            body = json.dumps(beat).encode()
            head = (
                f"POST /instances/i-0/heartbeat HTTP/1.1\r\nHost: c\r\nContent-Length: {len(body)}"
            )
            async with await trio.open_tcp_stream(host, OPERATORS_PORT) as stream:
                await stream.send_all(head.encode() + b"\r\n\r\n" + body)
                await read_answer(stream, 1.0)
            await trio.sleep(1.2)

    def granter(self) -> str:
        """Return the VM that has granted the latest permit, from the logs."""
        latest = (0, "")
        for name in self.gateways:
            for line in (self.site.folder / f"{name}.log").read_text().splitlines():
                entry = json.loads(line) if line.startswith("{") else {}
                if entry.get("event") == "permit" and entry.get("outcome") == "granted":
                    latest = max(latest, (entry["at"], entry["limiter"]))
        hosts = {self.site.host_of(name): name for name in self.gateways}
        return hosts[latest[1]]


class TestProcesses:
    """Twelve VMs as processes send as much as they can to one cold server."""

    def test_granters_are_killed_and_paused(self, tmp_path):
        """A granting VM that resumed granted permits beside its successor."""
        site = GroupSite(tmp_path / "site", _next_net())
        processes = Processes(site)

        async def run():
            async with trio.open_nursery() as nursery:
                await nursery.start(processes.server.serve)
                nursery.start_soon(processes.announce_forever)
                await trio.sleep(3.0)
                processes.server.account.record_cold(math.inf, ALLOWED)
                load, began = Load(), trio.current_time()
                addresses = [(site.host_of(name), PUBLIC_PORT) for name in processes.gateways]
                async with trio.open_nursery() as senders:
                    senders.start_soon(load.run, addresses, "/again/x", 20.0)
                    await trio.sleep(5.0)
                    site.kill(processes.granter())
                    await trio.sleep(5.0)
                    paused = processes.granter()
                    site.signal(paused, signal.SIGSTOP)
                    await trio.sleep(3.0)
                    assert processes.granter() != paused
                    site.signal(paused, signal.SIGCONT)
                steady = [(2, 5), (8, 10), (16, 20)]
                used = [load.served(began + since, began + end) for since, end in steady]
                print("served while steady:", used, "of", [RATE * (b - a) for a, b in steady])
                for count, (since, end) in zip(used, steady, strict=True):
                    # Each VM that sends without permits adds 5 requests a second.
                    assert count <= RATE * (end - since + 0.3) + MAX_BURST + 1
                assert sum(used) >= 0.8 * RATE * sum(end - since for since, end in steady)
                nursery.cancel_scope.cancel()

        try:
            processes.start()
            trio.run(run)
        finally:
            site.close()
