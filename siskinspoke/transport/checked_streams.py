"""Connections of HTTPX that report what its parser cannot see: resets and folded lines.

After a write that failed, httpcore goes on to read the answer, since a server may answer before it
has read the whole request.  The reads then show a reset as an orderly end.
"""

import h11
import httpcore

from siskinspoke.transport.connection_ends import proves_orderly_end
from siskinspoke.transport.heads import HeadCheck


class CheckedStream(httpcore.AsyncNetworkStream):
    """A connection on which a reset ends no answer, and heads have no folded lines."""

    def __init__(self, stream: httpcore.AsyncNetworkStream):
        self._stream = stream
        # Whether a write has reported a reset, which later reads do not report.
        self._is_reset = False
        self._head_check = HeadCheck()

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read some data; return b"" only if the server has ended its data in order."""
        data = await self._stream.read(max_bytes, timeout)
        if not data and self._is_reset:
            raise httpcore.ReadError("the server reset the connection")
        try:
            self._head_check.feed(data)
        except h11.RemoteProtocolError as error:
            raise httpcore.RemoteProtocolError(str(error)) from error
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write part of a request; the answer is read after its last part."""
        self._head_check = HeadCheck()
        try:
            await self._stream.write(buffer, timeout)
        except httpcore.WriteError as error:
            self._is_reset = not proves_orderly_end(error)
            raise

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    def get_extra_info(self, info: str):
        """Return information on the underlying connection."""
        return self._stream.get_extra_info(info)


class CheckedBackend(httpcore.AsyncNetworkBackend):
    """Opens plain TCP connections on Trio that are checked."""

    def __init__(self) -> None:
        self._backend = httpcore.TrioBackend()

    async def connect_tcp(self, *arguments, **options) -> CheckedStream:
        """Open a connection."""
        return CheckedStream(await self._backend.connect_tcp(*arguments, **options))

    async def sleep(self, seconds: float) -> None:
        """Sleep before another try to connect."""
        await self._backend.sleep(seconds)
