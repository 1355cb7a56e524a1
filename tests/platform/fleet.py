"""Several gateways in one process, connected to control VMs and each other over loopback."""

from collections.abc import Callable, Iterable
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import trio

from siskinspoke.control.feed_hub import ConfigurationVersion, FeedHub
from siskinspoke.coordination.directory import Directory
from siskinspoke.core.counters import Counters
from siskinspoke.core.decisions import DecisionLog
from siskinspoke.gateway.daemon import GatewayDaemon
from siskinspoke.platform.calls import PlatformWire
from siskinspoke.testing.networks import group_nets, net_cycle, networks
from siskinspoke.transport.datagrams import open_datagram_port
from tests.feeds.test_follower import NullDecisionLog
from tests.platform.site import Site, document, serve_clients, until, vm_settings
from tests.platform.standin_server import StandinServer

PORTS = (7_340, 7_355)
FEED_PORT = PORTS[0] + 1
_next_net = net_cycle(group_nets)


class Fleet:
    """The hubs of control VMs, and entry VMs that a test can start and partition."""

    def __init__(self, folder: Path, nursery: trio.Nursery, stack: AsyncExitStack, changes: dict):
        self._folder = folder
        self._document = document(timeout_ms=10_000, **changes)
        self._nursery = nursery
        self._stack = stack
        self._net = f"127.{networks().groups[0]}.{_next_net()}"
        self._links: dict[str, trio.CancelScope] = {}
        self.controls = [f"{self._net}.{number}" for number in (1, 2)]
        self.sites: list[Site] = []
        self.servers: list[StandinServer] = []
        self.service = "engines"

    async def start_controls(self) -> None:
        """Start the feed hubs of two control VMs."""
        for host in self.controls:
            hub = FeedHub(
                host,
                "a",
                Directory(4_800),
                lambda: self.controls,
                lambda: ConfigurationVersion(1, self._document),
                b"k",
                Counters(),
                NullDecisionLog(),
            )
            await self._nursery.start(hub.serve, host, FEED_PORT)

    async def start_vm(self) -> Site:
        """Start an entry VM, wait until it is connected, and announce the servers to it."""
        number = len(self.sites) + 1
        settings = vm_settings(
            f"entry-{number}", f"{self._net}.{100 + number}", tuple(self.controls), PORTS
        )
        out = self._stack.enter_context((self._folder / f"log-{number}").open("w"))
        log = DecisionLog(settings.name, out)
        self._stack.callback(log.close)
        daemon = GatewayDaemon(lambda: settings, PlatformWire(), log)
        site = await serve_clients(daemon, log, self._nursery)
        self.sites.append(site)
        await self.connect(site)
        for server in self.servers:
            site.announce(server, self.service, seq=server.starts)
        return site

    async def connect(self, site: Site) -> None:
        """Connect an entry VM to the control VMs and to the other entry VMs."""
        self._links[site.host] = trio.CancelScope()
        await self._nursery.start(self._run_links, site)
        feeds = site.daemon._feeds
        await until(lambda: feeds.connected_count == len(self.controls) and site.gateway.table)
        await until(lambda: len(feeds.peers) >= len(self._links) - 1, 8.0)

    async def _run_links(self, site: Site, task_status=trio.TASK_STATUS_IGNORED) -> None:
        settings = site.gateway.settings
        with self._links[site.host]:
            port = await open_datagram_port(
                settings.host, settings.peer_port, settings.internal_key, Counters()
            )
            with port._socket:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(site.gateway.peers.run, port)
                    nursery.start_soon(site.daemon._feeds.run)
                    nursery.start_soon(site.daemon._run_cold_permits)
                    nursery.start_soon(site.daemon._maintain_forever)
                    task_status.started()
                    await trio.sleep_forever()

    async def partition(self, site: Site) -> None:
        """Partition an entry VM from all other VMs; servers and clients still reach it."""
        self._links.pop(site.host).cancel()
        await trio.testing.wait_all_tasks_blocked(0.05)

    def announce(self, server: StandinServer) -> None:
        """Announce a server to all entry VMs."""
        for site in self.sites:
            site.announce(server, self.service, seq=server.starts)

    async def start_servers(self, service_scripts: Iterable, **traits) -> list[StandinServer]:
        """Start one server per script; a server that crashes restarts under a new name."""
        for number, script in enumerate(service_scripts):
            server = StandinServer(
                f"i-{number}", on_restart=self._rename_and_announce(number), **traits
            )
            server.script.extend(script)
            await self._nursery.start(server.serve)
            self.servers.append(server)
            self.announce(server)
        return self.servers

    def _rename_and_announce(self, number: int) -> Callable[[StandinServer], None]:
        def back(server: StandinServer) -> None:
            server.name = f"i-{number}-{server.starts}"
            self.announce(server)

        return back

    def send_count(self, body: bytes) -> int:
        """Return how many times a request has reached a server."""
        return sum(seen.body == body for server in self.servers for seen in server.seen)

    @property
    def crash_count(self) -> int:
        """Return how many times servers have crashed."""
        return sum(server.crash_count for server in self.servers)


@asynccontextmanager
async def fleet(tmp_path, vms: int, **changes):
    """Run control VMs and ``vms`` entry VMs, which initially know no servers.

    ``changes`` replace parts of the configuration.
    """
    async with AsyncExitStack() as stack, trio.open_nursery() as nursery:
        running = Fleet(tmp_path, nursery, stack, changes)
        await running.start_controls()
        for _ in range(vms):
            await running.start_vm()
        yield running
        nursery.cancel_scope.cancel()
