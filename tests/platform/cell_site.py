"""Several entry VMs in one process with all their background tasks, and steady traffic to them."""

import random
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from functools import partial

import trio
import trio.testing

from siskinspoke.gateway.forwarding.receiving import ForwardServer
from siskinspoke.testing.server_links import ServerLinks
from tests.platform.fleet import Fleet, fleet
from tests.platform.site import Site, until
from tests.platform.standin_server import StandinServer

DOMAINS = ("a", "b", "c")
ANNOUNCE_SECONDS = 1.2
PROMPT = {"Token_Counts": "3000,200"}


@dataclass
class Result:
    """The first attempt of a request: its VM, when it was sent, and its outcome."""

    vm: str
    request_id: str
    sent_at: float
    status: int
    whole: bool
    took: float
    raw: bytes = b""

    @property
    def served(self) -> bool:
        """Return whether the client got a complete answer."""
        return self.status == 200 and self.whole


@dataclass
class Cell:
    """A fleet whose servers are spread over three failure domains."""

    fleet: Fleet
    links: ServerLinks
    results: list[Result] = field(default_factory=list)
    receivers: dict[str, trio.CancelScope] = field(default_factory=dict)
    services: dict[int, str] = field(default_factory=dict)
    announcements: int = 0

    async def serve_peers(self, site: Site, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve the requests that peers forward to a VM."""
        with trio.CancelScope() as self.receivers[site.host]:
            port = site.gateway.settings.forward_port
            await ForwardServer(site.gateway).serve(site.host, port, task_status)

    async def stop_receiving(self, site: Site) -> None:
        """Break off all requests that peers have forwarded to a VM, and accept none."""
        self.receivers[site.host].cancel()
        await trio.testing.wait_all_tasks_blocked(0.05)

    @property
    def sites(self) -> list[Site]:
        """Return the entry VMs."""
        return self.fleet.sites

    @property
    def servers(self) -> list[StandinServer]:
        """Return the servers."""
        return self.fleet.servers

    async def start_servers(self, scripts: list, **traits) -> None:
        """Start a server for each script, in the failure domains in turn.

        A server that crashes starts again under another name.
        """
        for number, script in enumerate(scripts, len(self.servers)):
            server = StandinServer(f"i-{number}", **traits)
            server.script.append(script)
            server.on_restart = partial(self._rename_and_announce, number)
            await self.fleet._nursery.start(server.serve)
            self.fleet.servers.append(server)
            self._announce(server, number)

    def _rename_and_announce(self, number: int, server: StandinServer) -> None:
        server.name = f"i-{number}-{server.starts}"
        self._announce(server, number)

    def _announce(self, server: StandinServer, number: int) -> None:
        service = self.services.setdefault(number, self.fleet.service)
        self.announcements += 1
        for site in self.sites:
            site.announce(
                server, service, seq=self.announcements, domain=DOMAINS[number % len(DOMAINS)]
            )

    async def announce_forever(self) -> None:
        """Announce all servers again, since announcements are leases of a few seconds."""
        while True:
            await trio.sleep(ANNOUNCE_SECONDS)
            for number, server in enumerate(self.servers):
                self._announce(server, number)

    @property
    def crash_count(self) -> int:
        """Return how many times servers have crashed."""
        return sum(server.crash_count for server in self.servers)

    async def send(self, site: Site, path: str, request_id: str, **headers) -> Result:
        """Send one request and record its result."""
        began = trio.current_time()
        try:
            answer = await site.ask(path, request_id, **headers)
            status, whole, raw = answer.status, answer.whole, answer.raw
        except (OSError, trio.BrokenResourceError):
            status, whole, raw = 0, False, b""
        took = trio.current_time() - began
        result = Result(site.host, request_id, began, status, whole, took, raw)
        self.results.append(result)
        return result

    async def send_steadily(self, path: str, per_second: float, seconds: float, **headers) -> None:
        """Send requests to all VMs at a rate for each."""
        rng = random.Random(1)
        async with trio.open_nursery() as nursery:
            for number in range(round(per_second * seconds)):
                for index, site in enumerate(self.sites):
                    request_id = f"{path.strip('/x')}-{index}-{number}-{len(self.results)}"
                    nursery.start_soon(
                        lambda *args: self.send(*args, **headers), site, path, request_id
                    )
                await trio.sleep(rng.uniform(0.8, 1.2) / per_second)

    def runs_of(self, request_id: str) -> int:
        """Return how many times servers have run a request."""
        return sum(
            seen.ran and seen.headers.get("Request-Id") == request_id
            for server in self.servers
            for seen in server.seen
        )


@asynccontextmanager
async def cell_site(tmp_path, vms: int, service: str, **changes):
    """Run ``vms`` entry VMs that serve ``service``, with links to servers that can be cut."""
    links = ServerLinks()
    with links.installed():
        async with fleet(tmp_path, vms, **changes) as running, trio.open_nursery() as nursery:
            running.service = service
            for site in running.sites:
                for task, *args in site.daemon.server_tasks():
                    nursery.start_soon(task, *args)
            for site in running.sites:
                feeds = site.daemon._feeds
                await until(lambda feeds=feeds: len(feeds.peers) == vms - 1, 8.0)
            cell = Cell(running, links)
            nursery.start_soon(cell.announce_forever)
            for site in running.sites:
                await nursery.start(cell.serve_peers, site)
            yield cell
            nursery.cancel_scope.cancel()
