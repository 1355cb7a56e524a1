"""A gateway process whose servers send bytes without end: its memory, and sound requests."""

import os
import random
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import pytest
import trio

from siskinspoke.testing.group_site import PUBLIC_PORT, GroupSite
from siskinspoke.testing.networks import group_nets, net_cycle
from tests.integration.endless_servers import endless_servers
from tests.platform.site import KEY, document, read_answer, request_bytes
from tests.platform.standin_server import Events, StandinServer, Whole

MEMORY_MB = 300
SECONDS = 6.0
REQUESTS_PER_SECOND = 25.0
SOUND_SERVERS = 4
ENDLESS_SERVERS = 3
# Share of the requests that must be served beside the fault, of those that are served without it.
SERVED_SHARE = 0.97
PATHS = {"plain": "/again/x", "engines": "/stream/x"}
SOUND = {"plain": Whole(begin_after=0.1), "engines": Events(last=6, pause=0.02)}
_next_net = net_cycle(group_nets)


@dataclass
class Load:
    """Requests at a steady rate, and how they ended."""

    site: GroupSite
    service: str
    statuses: Counter = field(default_factory=Counter)

    async def send(self, number: int) -> None:
        """Send one request."""
        headers = {"Token_Counts": "500,90"} if self.service == "engines" else {}
        raw = request_bytes(PATHS[self.service], f"r{number}", Api_Key=KEY, **headers)
        status = 0
        try:
            stream = await trio.open_tcp_stream(self.site.host_of("g1"), PUBLIC_PORT)
            async with stream:
                await stream.send_all(raw)
                answer = await read_answer(stream, seconds=4.0)
            status = answer.status if answer.whole else 0
        except OSError:
            pass
        self.statuses[status] += 1

    async def run(self, seconds: float) -> float:
        """Send requests for some seconds; return the share that was served."""
        self.statuses.clear()
        rng = random.Random(1)
        async with trio.open_nursery() as nursery:
            for number in range(round(seconds * REQUESTS_PER_SECOND)):
                nursery.start_soon(self.send, number)
                await trio.sleep(2 * rng.random() / REQUESTS_PER_SECOND)
        return self.statuses[200] / self.statuses.total()


async def announce(site: GroupSite, service: str, ports: list[int], domain: str) -> None:
    """Announce the servers of a failure domain, and wait until the gateway knows them."""
    names = [f"i-{service}-{domain}{number}" for number in range(len(ports))]
    for name, port in zip(names, ports, strict=True):
        heartbeat = {
            "service": service,
            "address": f"127.0.0.1:{port}",
            "zone": domain,
            "seq": 1,
            "slots": 8,
        }
        path = f"/instances/{name}/heartbeat"
        await trio.to_thread.run_sync(site.call_until_success, "c1", "POST", path, heartbeat)
    with trio.fail_after(10):
        while not all(name in (site.folder / "g1.log").read_text() for name in names):
            await trio.sleep(0.05)


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def peak_memory_mb(pid: int) -> float:
    """Return the largest resident memory that a process has had."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1_000
    raise ValueError("no peak memory")


class TestFailureDomain:
    """All servers of a failure domain send bytes without end."""

    @pytest.mark.parametrize("form", ["body", "chunks", "small chunks"])
    @pytest.mark.parametrize("service", ["plain", "engines"])
    def test_requests_are_served(self, tmp_path, service, form):
        """Guards against a VM beyond its memory, and against requests that its processor lacks."""
        site = GroupSite(tmp_path / "site", _next_net())
        try:
            for name in ("c1", "c2", "c3"):
                site.start(name, found=True)
            site.start("g1", found=True, memory_mb=MEMORY_MB)
            site.call_until_success("c1", "POST", "/config/replace", document(1))
            load = Load(site, service)

            async def run() -> float:
                ports = []
                async with trio.open_nursery() as nursery:
                    for number in range(SOUND_SERVERS):
                        server = StandinServer(f"i-{service}{number}")
                        server.script.append(SOUND[service])
                        await nursery.start(server.serve)
                        ports.append(server.port)
                    await announce(site, service, ports, "a")
                    await announce(site, service, endless_ports, "b")
                    share = await load.run(SECONDS)
                    nursery.cancel_scope.cancel()
                return share

            with endless_servers(form, ENDLESS_SERVERS) as endless_ports:
                share = trio.run(run)
            peak = peak_memory_mb(site.pid("g1"))
            print(
                "served",
                share,
                dict(load.statuses),
                "peak",
                peak,
                "cpu",
                cpu_seconds(site.pid("g1")),
            )
            assert peak < MEMORY_MB
            assert share >= SERVED_SHARE, load.statuses
        finally:
            site.close()
