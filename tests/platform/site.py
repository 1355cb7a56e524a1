"""One gateway in this process in front of stand-in servers, with a raw client."""

import json
import socket
from contextlib import asynccontextmanager
from dataclasses import dataclass

import trio

from siskinspoke.conf.vm import Address, VmSettings
from siskinspoke.core.decisions import DecisionLog
from siskinspoke.gateway.clients import ClientServer
from siskinspoke.gateway.daemon import GatewayDaemon
from siskinspoke.platform.calls import PlatformWire
from siskinspoke.platform.configuration import table_from
from siskinspoke.platform.control_app import announcement_from
from tests.platform.standin_server import StandinServer

HOST = "shop.example"
KEY = "k1"
ENGINE = {
    "slots": 8,
    "kv_capacity": 315_000,
    "stride": 51,
    "step_ms": 0.85,
    "per_seq_ms": 0.0085,
    "context_per_k": 0.00285,
    "read_per_s": 177_000.0,
    "pairs_per_m": 0.184,
}
ROUTES = {
    "once": {"kind": "non_idempotent", "service": "plain"},
    "again": {"kind": "idempotent", "service": "plain", "max_attempts": 2},
    "stream": {"kind": "streaming", "service": "engines", "max_attempts": 2, "resumable": True},
    "solo": {"kind": "streaming", "service": "engines", "max_attempts": 2},
    "open": {"kind": "idempotent", "service": "plain", "public": True},
}


def document(version: int = 1, timeout_ms: float = 3_000, **changes) -> dict:
    """Return a configuration document with a route of each kind."""
    routes = [
        {
            "name": name,
            "host": HOST,
            "path_prefix": f"/{name}/",
            "timeout_ms": timeout_ms,
            "target_latency_ms": 300,
            "target_gap_ms": 250,
            **route,
        }
        for name, route in ROUTES.items()
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "plain", "health_path": "/healthz"},
            {"name": "engines", "health_path": "/healthz", "engine": ENGINE},
        ],
        "limits": {"idle_timeout_ms": 15_000},
        "tenants": [{"name": "acme", "api_keys": [KEY]}],
        **changes,
    }


@dataclass
class Answer:
    """The bytes that a raw client read, up to the end of the response or of the connection."""

    raw: bytes
    ended: bool

    @property
    def status(self) -> int:
        """Return the status, or 0 if there was no response."""
        return int(self.raw.split(b" ", 2)[1]) if self.raw.startswith(b"HTTP/1.1 ") else 0

    @property
    def body(self) -> bytes:
        """Return the body as sent on the wire, including chunk framing."""
        return self.raw.partition(b"\r\n\r\n")[2]

    @property
    def whole(self) -> bool:
        """Return whether the response looks complete to a client."""
        head, _, body = self.raw.lower().partition(b"\r\n\r\n")
        if b"transfer-encoding: chunked" in head:
            return body.endswith(b"0\r\n\r\n")
        for line in head.split(b"\r\n"):
            if line.startswith(b"content-length:"):
                return len(body) >= int(line.split(b":")[1])
        return False


@dataclass
class Site:
    """A running gateway, with the client address at which it listens."""

    daemon: GatewayDaemon
    port: int
    log: DecisionLog
    host: str = "127.0.0.1"

    @property
    def gateway(self):
        return self.daemon.gateway

    def announce(
        self,
        server: StandinServer,
        service: str,
        seq: int = 1,
        started: int | None = None,
        leaving: bool = False,
        domain: str = "a",
        cold_left_ms: float | None = None,
    ) -> None:
        """Announce a server, optionally with its start time, as ready or leaving, cold or not."""
        heartbeat = {
            "service": service,
            "address": f"{server.host}:{server.port}",
            "zone": domain,
            "seq": seq,
            "state": "draining" if leaving else "ready",
        }
        if started is not None:
            heartbeat["born"] = started
        if cold_left_ms is not None:
            heartbeat["cold_left_ms"] = cold_left_ms
        body = json.dumps(heartbeat)
        self.daemon._on_announcements([announcement_from(server.name, body.encode()).ok])

    async def connect(self) -> trio.SocketStream:
        """Open a client connection."""
        return await trio.open_tcp_stream(self.host, self.port)

    async def ask(self, path: str, request_id: str = "r1", body: bytes = b"", **headers) -> Answer:
        """Send one request on a new connection and read the response."""
        stream = await self.connect()
        async with stream:
            await stream.send_all(request_bytes(path, request_id, body, **headers))
            return await read_answer(stream)

    @asynccontextmanager
    async def request_in_background(self, path: str, **headers):
        """Send a request in the background; yield the list to which its response is added."""
        answers: list[Answer] = []

        async def ask():
            answers.append(await self.ask(path, **headers))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            yield answers


def request_bytes(path: str, request_id: str = "r1", body: bytes = b"", **headers) -> bytes:
    """Return the bytes of one request; underscores in header names become dashes."""
    extra = {name.replace("_", "-"): value for name, value in headers.items()}
    fields = {"Request-Id": request_id, "Api-Key": KEY, "Deadline-Ms": "2500", **extra}
    lines = [f"POST {path} HTTP/1.1", f"Host: {HOST}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in fields.items() if value is not None]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_answer(stream: trio.SocketStream, seconds: float = 6.0) -> Answer:
    """Read until the response is complete or the connection ends."""
    answer = Answer(b"", False)
    with trio.move_on_after(seconds):
        while not answer.whole:
            try:
                data = await stream.receive_some()
            except trio.BrokenResourceError:
                data = b""
            if not data:
                answer.ended = True
                return answer
            answer.raw += data
    return answer


async def until(condition, seconds: float = 3.0) -> None:
    """Wait for a condition; fail if it does not become true in time."""
    with trio.fail_after(seconds):
        while not condition():
            await trio.sleep(0.01)


def vm_settings(
    name: str = "entry-1",
    host: str = "127.0.0.1",
    seeds: tuple[str, ...] = ("127.0.0.1",),
    internal_ports: tuple[int, int] = (1, 9),
) -> VmSettings:
    """Return the settings of an entry VM."""
    return VmSettings(
        name=name,
        host=host,
        failure_domain="a",
        seeds=tuple(Address(seed, 1) for seed in seeds),
        internal_ports=internal_ports,
        is_first_start=True,
        public_address=None,
        readiness_address=None,
        operator_address=None,
        data_folder="",
        shutdown_seconds=8,
        announce_every_ms=1_200,
        retry_share=0.2,
        retry_burst=100,
        internal_key=b"k",
    )


async def serve_clients(
    daemon: GatewayDaemon, log: DecisionLog, nursery: trio.Nursery, send_buffer: int = 0
) -> Site:
    """Serve clients on a free port of a gateway's host while the nursery is open.

    ``send_buffer`` is the size of the connections' kernel buffers in bytes, 0 for the default.
    """
    host = daemon.gateway.settings.host
    daemon.gateway.nursery = nursery
    listeners = await trio.open_tcp_listeners(0, host=host)
    if send_buffer:
        listeners[0].socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer)
    port = listeners[0].socket.getsockname()[1]
    server = ClientServer(daemon.gateway)
    nursery.start_soon(trio.serve_listeners, server.serve_one, listeners)
    return Site(daemon, port, log, host)


@asynccontextmanager
async def gateway_site(tmp_path, **changes):
    """Run a gateway that has a configuration, unless told otherwise, and knows no servers.

    ``settings`` are changes of the VM's settings, ``send_buffer`` is that of ``serve_clients``, and
    other keywords change the configuration document.
    """
    settings = vm_settings()._replace(**changes.pop("settings", {}))
    send_buffer = changes.pop("send_buffer", 0)
    with (tmp_path / "log").open("w") as out:
        log = DecisionLog("entry-1", out)
        daemon = GatewayDaemon(lambda: settings, PlatformWire(), log)
        if changes.pop("configured", True):
            table = table_from(document(**changes))
            assert table.is_ok(), table.error
            daemon.gateway.table = table.ok
        async with trio.open_nursery() as nursery:
            yield await serve_clients(daemon, log, nursery, send_buffer)
            nursery.cancel_scope.cancel()
        log.close()


@asynccontextmanager
async def servers(site: Site, service: str, *scripts, first: int = 0, domain: str = "a"):
    """Run and announce one stand-in server per script, numbered from ``first`` in their names."""
    async with trio.open_nursery() as nursery:
        running = []
        for number, script in enumerate(scripts, first):
            server = StandinServer(f"i-{service}{number}")
            server.script.extend(script)
            await nursery.start(server.serve)
            site.announce(server, service, domain=domain)
            running.append(server)
        yield running
        nursery.cancel_scope.cancel()


async def late_server(site: Site, behaviour, name: str = "i-late") -> StandinServer:
    """Start and announce an engine that was unknown to the gateway."""
    server = StandinServer(name)
    server.script.append(behaviour)
    await site.gateway.nursery.start(server.serve)
    site.announce(server, "engines")
    return server
