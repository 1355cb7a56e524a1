"""Cut the links between entry VMs and backend servers, by VM.

Installed in a process, it replaces the function with which gateways connect to servers. Clients,
other VMs and the servers themselves are not affected.
"""

from collections import defaultdict
from contextlib import contextmanager
from enum import Enum

import trio

from siskinspoke.gateway import exchange, reachability
from siskinspoke.transport.http1 import ServerConnection
from siskinspoke.transport.sockets import SERVER_USER_TIMEOUT_MS


class LinkMode(Enum):
    """The state of a VM's links to servers.

    ``HANG`` drops all packets. ``RESET`` resets open connections and refuses new ones. ``KEPT``
    refuses new connections and leaves the open ones as they are.
    """

    UP = "up"
    HANG = "hang"
    RESET = "reset"
    KEPT = "kept"


class ServerLinks:
    """The modes of the links of each VM, by host; ``servers`` limits a cut to some ports."""

    def __init__(self) -> None:
        self._modes: dict[str, LinkMode] = defaultdict(lambda: LinkMode.UP)
        self._ports: dict[str, frozenset[int] | None] = {}
        self._scopes: dict[str, set[trio.CancelScope]] = defaultdict(set)
        self._changed = trio.Event()
        self._connect = reachability.connect

    def set_mode(self, vm: str, mode: LinkMode, ports: frozenset[int] | None = None) -> None:
        """Set the mode of a VM's links to the servers at ``ports``, all if None."""
        self._modes[vm] = mode
        self._ports[vm] = ports
        for scope in list(self._scopes[vm]):
            scope.cancel()
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    def mode_of(self, vm: str, port: int) -> LinkMode:
        """Return the mode of the link between a VM and the server at a port."""
        ports = self._ports.get(vm)
        return self._modes[vm] if ports is None or port in ports else LinkMode.UP

    async def wait_for_change(self) -> None:
        """Wait for the next change of any mode."""
        await self._changed.wait()

    @contextmanager
    def interrupted_by_change(self, vm: str):
        """Cancel the block when the mode of the VM's links changes."""
        with trio.CancelScope() as scope:
            self._scopes[vm].add(scope)
            try:
                yield
            finally:
                self._scopes[vm].discard(scope)

    async def connect(self, host: str, port: int, vm: str, now: float) -> ServerConnection:
        """Connect a VM to a server in the mode of its links."""
        while self.mode_of(vm, port) is LinkMode.HANG:
            await self.wait_for_change()
        if self.mode_of(vm, port) is not LinkMode.UP:
            raise ConnectionRefusedError(f"the link between {vm} and {host}:{port} is cut")
        connection = await self._connect(host, port, vm, now)
        connection._stream = LinkedStream(connection._stream, self, vm, port)
        return connection

    def install(self) -> None:
        """Replace the gateways' connect function."""
        for module in (reachability, exchange):
            module.connect = self.connect

    @contextmanager
    def installed(self):
        """Replace the gateways' connect function while the context is open."""
        self.install()
        try:
            yield self
        finally:
            for module in (reachability, exchange):
                module.connect = self._connect


class LinkedStream:
    """A connection over a link that may be cut.

    What is sent over a hanging link is delivered once the link is up, unless the connection has
    been reset or has timed out by then.
    """

    def __init__(self, stream: trio.SocketStream, links: ServerLinks, vm: str, port: int):
        self._stream = stream
        self._links = links
        self._vm = vm
        self._port = port
        self._held = b""
        self._held_since: float | None = None
        self._broken = False

    @property
    def socket(self):
        """Return the underlying socket."""
        return self._stream.socket

    @property
    def _mode(self) -> LinkMode:
        return self._links.mode_of(self._vm, self._port)

    def _check(self) -> None:
        if self._mode is LinkMode.RESET:
            self._broken = True
        if self._broken:
            raise trio.BrokenResourceError("the link is cut")

    async def send_all(self, data: bytes) -> None:
        """Send data, or hold it while the link hangs."""
        self._check()
        if self._mode is LinkMode.HANG:
            self._held += data
            if self._held_since is None:
                self._held_since = trio.current_time()
            await trio.lowlevel.checkpoint()
            return
        await self._deliver_held()
        await self._stream.send_all(data)

    async def _deliver_held(self) -> None:
        held, self._held, self._held_since = self._held, b"", None
        if held:
            await self._stream.send_all(held)

    async def receive_some(self, max_bytes: int) -> bytes:
        """Receive data; the connection breaks when held data has timed out."""
        while True:
            self._check()
            if self._mode is LinkMode.HANG:
                await self._wait_while_hanging()
                continue
            await self._deliver_held()
            with self._links.interrupted_by_change(self._vm):
                return await self._stream.receive_some(max_bytes)

    async def _wait_while_hanging(self) -> None:
        since = self._held_since
        seconds = SERVER_USER_TIMEOUT_MS / 1000
        deadline = float("inf") if since is None else since + seconds
        with trio.move_on_at(deadline):
            await self._links.wait_for_change()
            return
        self._broken = True
