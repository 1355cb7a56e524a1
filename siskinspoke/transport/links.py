"""Links between control replicas: framed, sealed messages over one TCP connection per direction.

HTTP would cost a replica 3 ms of CPU time per message, and a claim takes several messages; a frame
costs a fraction of that.
"""

import contextlib
import math
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, NamedTuple

import trio

from siskinspoke.coordination.connection_table import TrackedConnection
from siskinspoke.core.channels import receive_queued
from siskinspoke.core.counters import Counters
from siskinspoke.transport.client_resources import ClientResources, serve_connections
from siskinspoke.transport.frames import FrameReader, decode_frame, encode_frame, send_frames
from siskinspoke.transport.sockets import set_socket_options

MAX_QUEUED_MESSAGES = 512
CONNECT_TIMEOUT_SECONDS = 0.5
RECONNECT_DELAY_SECONDS = 0.1

MessageHandler = Callable[[Any], Awaitable[None]]


class LinkState(NamedTuple):
    """Connection state of a link, the time of its last change, and the length of the queue."""

    connected: bool
    since: float
    queued: int


class LinkSender:
    """Send messages to one peer; messages that cannot be sent are counted and dropped.

    The replication protocol retransmits, so messages may be dropped when the queue is full. After a
    partition, messages queued since its start would be of no use.
    """

    def __init__(
        self, host: str, port: int, key: bytes, counters: Counters, local_host: str | None = None
    ):
        self._address = (host, port)
        self._local_host = local_host
        self._key = key
        self._counters = counters
        self._send, self._receive = trio.open_memory_channel[Any](MAX_QUEUED_MESSAGES)
        self._connected = False
        self._since = -math.inf

    @property
    def state(self) -> LinkState:
        """The current state; ``since`` is a time on Trio's clock."""
        queued = self._receive.statistics().current_buffer_used
        return LinkState(self._connected, self._since, queued)

    def send(self, item: Any) -> None:
        """Queue a message."""
        try:
            self._send.send_nowait(item)
        except trio.WouldBlock:
            self._counters.count("link.dropped")

    async def run(self) -> None:
        """Send queued messages until cancelled, reconnecting after each failure."""
        while True:
            try:
                with trio.fail_after(CONNECT_TIMEOUT_SECONDS):
                    stream = await trio.open_tcp_stream(
                        *self._address, local_address=self._local_host
                    )
                set_socket_options(stream.socket)
                self._set_connected(True)
                async with stream, trio.open_nursery() as nursery:
                    nursery.start_soon(self._wait_for_close, stream, nursery.cancel_scope)
                    nursery.start_soon(self._send_until_failure, stream, nursery.cancel_scope)
            except (OSError, trio.TooSlowError):
                self._counters.count("link.broken")
            self._set_connected(False)
            self._drop_queued()
            await trio.sleep(RECONNECT_DELAY_SECONDS)

    def _set_connected(self, connected: bool) -> None:
        if connected != self._connected:
            self._connected, self._since = connected, trio.current_time()

    async def _wait_for_close(self, stream: trio.SocketStream, scope: trio.CancelScope) -> None:
        """Close the connection when the peer closes it.

        Followers send each other nothing until an election. Without this check, the first vote
        request would be lost on a connection to a peer that has restarted since, and the election
        would take another timeout.
        """
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.receive_some(1)
        self._counters.count("link.broken")
        scope.cancel()

    async def _send_until_failure(self, stream: trio.SocketStream, scope: trio.CancelScope) -> None:
        """Send queued messages until the connection fails or a write times out."""
        with contextlib.suppress(trio.BrokenResourceError, trio.TooSlowError):
            await self._send_forever(stream)
        scope.cancel()

    async def _send_forever(self, stream: trio.SocketStream) -> None:
        async for item in self._receive:
            items = [item, *receive_queued(self._receive, MAX_QUEUED_MESSAGES - 1)]
            frames = [self._encode(item) for item in items]
            sent = await send_frames(stream, frames)
            self._counters.count("link.messages_sent", len(frames))
            self._counters.count("link.bytes_sent", sent)

    def _encode(self, item: Any) -> bytes:
        return encode_frame(self._key, item)

    def _drop_queued(self) -> None:
        """Drop the messages queued for an unreachable peer."""
        for _ in receive_queued(self._receive, math.inf):
            self._counters.count("link.dropped")


class LinkSet:
    """Links to a changing set of peers; a link is opened when it is first used."""

    def __init__(self, open_link: Callable[[str], LinkSender], nursery: trio.Nursery):
        self._open_link = open_link
        self._nursery = nursery
        self._links: dict[str, tuple[LinkSender, trio.CancelScope]] = {}

    def __getitem__(self, name: str) -> LinkSender:
        if name not in self._links:
            link, scope = self._open_link(name), trio.CancelScope()
            self._links[name] = (link, scope)
            self._nursery.start_soon(self._run, link, scope)
        return self._links[name][0]

    async def _run(self, link: LinkSender, scope: trio.CancelScope) -> None:
        with scope:
            await link.run()

    def states(self) -> dict[str, LinkState]:
        """Return the state of each link by peer name."""
        return {name: link.state for name, (link, _) in self._links.items()}

    def close_all_except(self, names: Iterable[str]) -> None:
        """Close the links to all peers other than ``names``."""
        for name in self._links.keys() - set(names):
            self._links.pop(name)[1].cancel()


class LinkListener:
    """Pass every authentic message from any peer to a handler."""

    def __init__(
        self, key: bytes, counters: Counters, handle: MessageHandler, resources: ClientResources
    ):
        self._key = key
        self._counters = counters
        self._handle = handle
        self._resources = resources

    async def serve(self, host: str, port: int, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Accept connections until cancelled."""
        await serve_connections(self._resources, self._read, host, port, task_status)

    async def _read(self, stream: trio.SocketStream, tracked: TrackedConnection) -> None:
        reader = FrameReader(stream, tracked, self._resources.arrivals)
        try:
            set_socket_options(stream.socket)
            async for frame in reader.frames():
                if not await self._accept(frame):
                    return
                reader.accept_key()
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            self._counters.count("link.broken")

    async def _accept(self, frame: bytes) -> bool:
        """Handle one frame; return False, to close the connection, if it is not authentic."""
        opened = decode_frame(self._key, frame)
        if opened.is_error():
            self._counters.count(f"link.refused.{opened.error}")
            return False
        self._counters.count("link.messages_received")
        await self._handle(opened.ok)
        return True
