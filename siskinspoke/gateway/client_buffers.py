"""Buffers for clients that read more slowly than their servers send."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from siskinspoke.gateway.context import Gateway, now_ms
from siskinspoke.transport.http1 import ClientConnection, Headers

# Size of one write.  The bytes of a write are released together when the kernel has taken them.
WRITE_BYTES = 16_384
# Interval at which a paused answer checks whether other answers have released bytes.
RECHECK_SECONDS = 0.1


class BufferedClient:
    """Write an answer to a client, and hold what the client does not take at once.

    At most MAX_ANSWER_BYTES are held.  Beyond them, and beyond the VM's bound, a write waits, which
    pauses reading from the server.  The data of the write that waits is not counted: each answer
    has at most one, as without a buffer.
    """

    def __init__(
        self, gateway: Gateway, request_id: str, client: ClientConnection, nursery: trio.Nursery
    ):
        self._gateway = gateway
        self._budget = gateway.buffers
        self._request_id = request_id
        self._client = client
        self._nursery = nursery
        self._unsent = bytearray()
        self._held = 0
        self._progress = trio.Event()
        self._has_paused = False

    async def send_response_head(self, status: int, headers: Headers) -> None:
        """Send the status line and headers of an answer."""
        await self._send(self._client.encode_response_head(status, headers))

    async def send_data(self, data: bytes) -> None:
        """Send part of the answer's body."""
        await self._send(self._client.encode_data(data))

    async def finish_response(self) -> None:
        """Complete the answer; return when the client has been sent all of it."""
        await self._send(self._client.encode_response_end())
        await self.flush()

    async def flush(self) -> None:
        """Return when nothing is held."""
        while self._held:
            await self._progress.wait()

    def release(self) -> None:
        """Discard what is held."""
        self._budget.release(self._held, now_ms())
        self._held = 0
        self._unsent.clear()

    async def _send(self, data: bytes) -> None:
        if not self._held:
            data = self._client.send_available(data)
        if not data:
            # One read may bring hundreds of events; other tasks must run in between.
            await trio.lowlevel.checkpoint()
            return
        if not self._budget.fits(self._held, len(data)):
            self._record_pause()
            await self._wait_for_room(len(data))
        if not self._held and not self._budget.fits(0, len(data)):
            await self._client.send_encoded(data)
            return
        if not self._held:
            self._nursery.start_soon(self._write_held)
        self._budget.hold(len(data))
        self._held += len(data)
        self._unsent += data

    def _record_pause(self) -> None:
        """Count a pause; log the first one of an answer, which may have many."""
        self._gateway.counters.count("buffer.paused")
        if not self._has_paused:
            self._has_paused = True
            self._gateway.log.note(
                "buffer.paused",
                request=self._request_id,
                held=self._held,
                vm_held=self._budget.held,
            )

    async def _wait_for_room(self, size: int) -> None:
        """Return when ``size`` more bytes fit, or when nothing is held."""
        while self._held and not self._budget.fits(self._held, size):
            with trio.move_on_after(RECHECK_SECONDS):
                await self._progress.wait()

    async def _write_held(self) -> None:
        """Write to the client until nothing is held."""
        while self._unsent:
            data = bytes(self._unsent[:WRITE_BYTES])
            del self._unsent[:WRITE_BYTES]
            await self._client.send_encoded(data)
            self._budget.release(len(data), now_ms())
            self._held -= len(data)
            progress, self._progress = self._progress, trio.Event()
            progress.set()


@asynccontextmanager
async def buffered(
    gateway: Gateway, request_id: str, client: ClientConnection
) -> AsyncIterator[ClientConnection | BufferedClient]:
    """Buffer the answer to a client while the context is open, where the VM has a bound for it."""
    if not gateway.buffers.enabled:
        yield client
        return
    async with trio.open_nursery() as nursery:
        output = BufferedClient(gateway, request_id, client, nursery)
        try:
            yield output
        finally:
            output.release()
            nursery.cancel_scope.cancel()
