"""A fault-injecting TCP and UDP proxy between the VMs of a test site.

Each VM listens on an address of its own; the others reach it through a second address in the same
network, where the proxy listens.  The proxy identifies the failure domain of a sender by its
address.  For each pair of failure domains and each direction it can cut traffic silently, delay it,
and drop, duplicate and reorder datagrams.  It runs in a thread.
"""

import random
import threading
from collections.abc import Callable
from typing import NamedTuple

import trio

READ_BYTES = 65_536
PROXY_OCTET_OFFSET = 100
CHANGE_TIMEOUT_SECONDS = 5.0
ANY_PORT = 0


class Rule(NamedTuple):
    """The faults injected into traffic from one failure domain to another.

    ``refuse``, of rules for clients only, ends connections, open and new ones; ``cut`` lets them
    hang. The probabilities and ``jitter_seconds`` apply to datagrams only.
    """

    cut: bool = False
    refuse: bool = False
    delay_seconds: float = 0.0
    drop_probability: float = 0.0
    duplicate_probability: float = 0.0
    jitter_seconds: float = 0.0


class Endpoint(NamedTuple):
    """A process to proxy: its real address and its ports."""

    host: str
    tcp_ports: tuple[int, ...]
    udp_ports: tuple[int, ...] = ()


def proxy_address(host: str) -> str:
    """Return the proxy address through which other VMs reach a host."""
    parts = host.split(".")
    parts[2] = str(int(parts[2]) + PROXY_OCTET_OFFSET)
    return ".".join(parts)


def domain_of(host: str) -> int:
    """Return the index of the failure domain that an address belongs to, or -1 for callers."""
    parts = host.split(".")
    return int(parts[2]) - 1 if parts[1] != "0" else -1


class FaultProxy:
    """The proxy of one site; its methods may be called from any thread."""

    def __init__(self, endpoints: list[Endpoint], seed: int = 1):
        self._endpoints = endpoints
        self._rng = random.Random(seed)
        self._rules: dict[tuple[int, int, int], Rule] = {}
        self._client_rules: dict[tuple[int, int], Rule] = {}
        self._ready = threading.Event()
        self._thread = threading.Thread(target=trio.run, args=(self._run,), daemon=True)
        self._token: trio.lowlevel.TrioToken | None = None
        self._scope = trio.CancelScope()
        self._streams: set[tuple[trio.SocketStream, int, int]] = set()
        self._changed = trio.Event()

    def __enter__(self) -> "FaultProxy":
        self._thread.start()
        self._ready.wait(10)
        return self

    def __exit__(self, *details) -> None:
        self._run_in_thread(self._scope.cancel)
        self._thread.join(10)

    def _run_in_thread(self, change: Callable[..., None], *arguments) -> None:
        """Run a function in the proxy's thread and wait until it has run."""
        done = threading.Event()

        def run() -> None:
            change(*arguments)
            done.set()

        self._token.run_sync_soon(run)
        done.wait(CHANGE_TIMEOUT_SECONDS)

    def set_rule(self, source: int, target: int, rule: Rule, port: int = ANY_PORT) -> None:
        """Set the rule for traffic from one failure domain to another, or to one of its ports."""
        self._run_in_thread(self._set_rule, source, target, rule, port)

    def _set_rule(self, source: int, target: int, rule: Rule, port: int) -> None:
        self._rules[(source, target, port)] = rule
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    def set_client_rule(self, source: int, port: int, rule: Rule) -> None:
        """Set the rule for connections that VMs of a failure domain open to a port of any host."""
        self._run_in_thread(self._set_client_rule, source, port, rule)

    def _set_client_rule(self, source: int, port: int, rule: Rule) -> None:
        self._client_rules[(source, port)] = rule
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    def isolate(self, domain: int, domains: int, cut: bool = True) -> None:
        """Cut a failure domain off from all others in both directions, or reconnect it."""
        for other in range(domains):
            if other != domain:
                self.set_rule(domain, other, Rule(cut=cut))
                self.set_rule(other, domain, Rule(cut=cut))

    def cut_one_way(self, source: int, target: int, cut: bool = True) -> None:
        """Cut or restore traffic in one direction."""
        self.set_rule(source, target, Rule(cut=cut))

    def reset_all(self) -> None:
        """Reset every TCP connection through the proxy."""
        self._run_in_thread(self._reset_all)

    def _reset_all(self) -> None:
        for stream, _, _ in list(self._streams):
            stream.socket.setsockopt(
                trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
            )
            stream.socket.close()

    def _rule(self, source: int, target: int, port: int) -> Rule:
        general = self._rules.get((source, target, ANY_PORT), Rule())
        return self._rules.get((source, target, port), general)

    def _client_rule(self, client_key: tuple[int, int]) -> Rule:
        return self._client_rules.get(client_key, Rule())

    async def _run(self) -> None:
        self._token = trio.lowlevel.current_trio_token()
        with self._scope:
            async with trio.open_nursery() as nursery:
                for endpoint in self._endpoints:
                    for port in endpoint.tcp_ports:
                        await nursery.start(self._serve_tcp, endpoint.host, port)
                    for port in endpoint.udp_ports:
                        await nursery.start(self._serve_udp, endpoint.host, port)
                self._ready.set()

    async def _serve_tcp(self, host: str, port: int, task_status) -> None:
        async def accept(client: trio.SocketStream) -> None:
            source = domain_of(client.socket.getpeername()[0])
            await self._connect(client, source, host, port)

        await trio.serve_tcp(accept, port, host=proxy_address(host), task_status=task_status)

    async def _connect(self, client: trio.SocketStream, source: int, host: str, port: int) -> None:
        target = domain_of(host)
        client_key = (source, port)
        if self._client_rule(client_key).refuse:
            return
        while (
            self._rule(source, target, port).cut
            or self._rule(target, source, port).cut
            or self._client_rule(client_key).cut
        ):
            await self._changed.wait()
        try:
            server = await trio.open_tcp_stream(host, port)
        except OSError:
            return
        self._streams |= {(client, source, target), (server, target, source)}
        try:
            async with trio.open_nursery() as nursery:
                there, back = (source, target, port), (target, source, port)
                nursery.start_soon(self._forward, client, server, there, client_key, nursery)
                nursery.start_soon(self._forward, server, client, back, client_key, nursery)
        finally:
            self._streams -= {(client, source, target), (server, target, source)}
            with trio.move_on_after(1) as scope:
                scope.shield = True
                await trio.aclose_forcefully(server)

    async def _forward(
        self,
        source: trio.SocketStream,
        destination: trio.SocketStream,
        route: tuple[int, int, int],
        client_key: tuple[int, int],
        nursery: trio.Nursery,
    ) -> None:
        """Forward bytes; during a cut they are held back, as in a silent partition."""
        try:
            while data := await source.receive_some(READ_BYTES):
                while self._rule(*route).cut or self._client_rule(client_key).cut:
                    await self._changed.wait()
                rule = self._rule(*route)
                if self._client_rule(client_key).refuse:
                    nursery.cancel_scope.cancel()
                if rule.delay_seconds:
                    await trio.sleep(rule.delay_seconds)
                await destination.send_all(data)
            await destination.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            nursery.cancel_scope.cancel()

    async def _serve_udp(self, host: str, port: int, task_status) -> None:
        sender = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        listener = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        await listener.bind((proxy_address(host), port))
        target = domain_of(host)
        async with trio.open_nursery() as nursery:
            task_status.started()
            while True:
                data, address = await listener.recvfrom(READ_BYTES)
                rule = self._rule(domain_of(address[0]), target, port)
                if rule.cut or self._rng.random() < rule.drop_probability:
                    continue
                copies = 2 if self._rng.random() < rule.duplicate_probability else 1
                for _ in range(copies):
                    delay = rule.delay_seconds + self._rng.random() * rule.jitter_seconds
                    nursery.start_soon(_send_later, sender, data, (host, port), delay)


async def _send_later(socket, data: bytes, address: tuple[str, int], delay: float) -> None:
    """Send a datagram after a delay; datagrams with different delays are reordered."""
    await trio.sleep(delay)
    try:
        await socket.sendto(data, address)
    except OSError:
        return
