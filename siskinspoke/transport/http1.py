"""HTTP/1.1 connections on Trio and h11, with full control of each connection.

The gateway needs what Quart on Hypercorn and HTTPX do not offer: detecting that a client
disconnects while its request waits, knowing whether a backend server may have read a request,
detecting bytes that belong to no request before they reach a client, and aborting an answer so that
the client can tell. h11 only parses and frames messages and leaves all of this to the caller.
"""

import os
import select
from typing import NamedTuple

import h11
import trio

from siskinspoke.coordination.memory_plan import READ_BYTES as CLIENT_READ_BYTES
from siskinspoke.coordination.read_budget import HeldData
from siskinspoke.transport.chunks import ChunkCount
from siskinspoke.transport.client_resources import EVENTS_PER_TURN, BodyArrivals
from siskinspoke.transport.connection_ends import proves_orderly_end
from siskinspoke.transport.heads import HeadCheck
from siskinspoke.transport.sockets import (
    SERVER_USER_TIMEOUT_MS,
    reset_connection,
    set_socket_options,
)

READ_BYTES = 65_536
# How many bytes of pipelined requests are buffered; further ones stay in the socket's buffer.
MAX_PIPELINED_BYTES = CLIENT_READ_BYTES
# Longer bodies are not copied, in order to be sent together with the head.
MAX_COPIED_BYTES = 262_144
# Interim answers (status 1xx) before an answer.
MAX_INTERIM_ANSWERS = 16
CONNECTION_RESET = "the server reset the connection"
# Chunks that are parsed in one turn of the event loop.
CHUNKS_PER_TURN = 64
# How much is read after a refusal, and for how long, so that the client reads it: a connection
# that is closed with unread bytes is reset, which may discard the answer.
MAX_DISCARDED_BYTES = 4_194_304
DISCARD_SECONDS = 2.0
# Retry-After for a body that gave way to others.  Milliseconds.
EVICTED_RETRY_AFTER_MS = 1_000

Headers = list[tuple[bytes, bytes]]


class BadRequestError(Exception):
    """A request is refused before it is read; ``status`` is 0 if no answer can be sent.

    ``retry_after_ms`` is the time after which the client may retry, if it makes sense.
    """

    def __init__(self, status: int, message: str, retry_after_ms: int | None = None):
        super().__init__(message)
        self.status = status
        self.retry_after_ms = retry_after_ms


class PeerError(Exception):
    """The connection to a backend server failed.

    ``began`` tells whether part of an answer was received, ``closed`` whether the server closed the
    connection.
    """

    def __init__(self, message: str, began: bool = False, closed: bool = False):
        super().__init__(message)
        self.began = began
        self.closed = closed


class InvalidAnswerError(PeerError):
    """The received bytes are no answer that could end, or exceed a limit on its size."""

    def __init__(self, message: str):
        super().__init__(message, began=True)


class RequestHead(NamedTuple):
    """The request line and headers of a request."""

    method: str
    target: str
    headers: Headers


class ResponseHead(NamedTuple):
    """Status and headers of an answer."""

    status: int
    headers: Headers


def has_unread_data(stream: trio.SocketStream) -> bool:
    """Tell whether the kernel holds data that was received on a connection, or its close."""
    poller = select.poll()
    poller.register(stream.socket.fileno(), select.POLLIN)
    return bool(poller.poll(0))


class ClientConnection:
    """The server side of a client's connection."""

    def __init__(self, stream: trio.SocketStream, max_header_bytes: int):
        self._stream = stream
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=max_header_bytes)
        self._buffered = bytearray()
        self._client_closed = False
        self._pipelined = False
        self._events_since_read = 0
        # The body of the current request.
        self._held_body: HeldData | None = None

    async def wait_for_request(self) -> bool:
        """Wait for the first byte of a request; return False if the client has closed."""
        if self._buffered or self._pipelined:
            return True
        data = await self._receive()
        self._buffered += data
        return bool(data)

    def has_unread_data(self) -> bool:
        """Tell whether the kernel holds data from the client, or its close."""
        return has_unread_data(self._stream)

    async def _receive(self) -> bytes:
        try:
            return await self._stream.receive_some(CLIENT_READ_BYTES)
        except trio.BrokenResourceError:
            return b""

    async def _next_event(self):
        while True:
            if self._buffered:
                self._h11.receive_data(bytes(self._buffered))
                self._buffered.clear()
            event = self._h11.next_event()
            if event is not h11.NEED_DATA:
                self._events_since_read += 1
                return event
            self._events_since_read = 0
            data = await self._receive()
            if not data:
                raise BadRequestError(0, "the client closed in the middle of a request")
            self._h11.receive_data(data)

    async def read_head(self) -> RequestHead:
        """Read the head of the next request."""
        try:
            event = await self._next_event()
        except h11.RemoteProtocolError as error:
            raise BadRequestError(error.error_status_hint or 400, str(error)) from error
        if not isinstance(event, h11.Request):
            raise BadRequestError(0, "no request received")
        method, target = event.method.decode("ascii"), event.target.decode("latin-1")
        return RequestHead(method, target, list(event.headers.raw_items()))

    async def read_body(self, limit: int, arrivals: BodyArrivals) -> bytes:
        """Read the whole body of the request, which counts until the next request.

        Raise BadRequestError if it exceeds ``limit``, or has to give way to other bodies.
        """
        await self._ask_for_body()
        first = await self._next_body_event()
        if not isinstance(first, h11.Data):
            return b""
        with trio.CancelScope() as evicted:
            self._held_body = arrivals.open(evicted.cancel)
            body = await self._read_body(first, limit, arrivals, self._held_body)
            self._held_body.finish()
            return body
        message = "the VM holds too many bodies"
        raise BadRequestError(503, message, EVICTED_RETRY_AFTER_MS)

    def announced_bytes(self, head: RequestHead) -> int:
        """Return the length of the body that a request announces, 0 if it announces none."""
        lengths = [value for name, value in head.headers if name.lower() == b"content-length"]
        # The parser has verified that the header is a number.
        return int(lengths[0]) if lengths else 0

    def expects_long_body(self, head: RequestHead) -> bool:
        """Return whether the body will probably take several reads."""
        if self._h11.their_state is not h11.SEND_BODY:
            return False
        is_chunked = any(name.lower() == b"transfer-encoding" for name, _ in head.headers)
        is_long = self.announced_bytes(head) > CLIENT_READ_BYTES
        return is_chunked or is_long or self._h11.they_are_waiting_for_100_continue

    async def _ask_for_body(self) -> None:
        """Send the interim answer that the client may be waiting for."""
        if self._h11.they_are_waiting_for_100_continue:
            informational = h11.InformationalResponse(status_code=100, headers=[])
            await self._send(self._h11.send(informational))

    async def _next_body_event(self):
        try:
            return await self._next_event()
        except h11.RemoteProtocolError as error:
            raise BadRequestError(error.error_status_hint or 400, str(error)) from error

    async def _read_body(
        self, event: h11.Data, limit: int, arrivals: BodyArrivals, held: HeldData
    ) -> bytes:
        """Read a body that begins with an event."""
        body = bytearray()
        while isinstance(event, h11.Data):
            body += event.data
            if len(body) > limit:
                raise BadRequestError(413, f"the body exceeds {limit} bytes")
            held.add(len(event.data))
            if held.is_evicted:
                # The scope around this ends at the next checkpoint.
                await trio.lowlevel.checkpoint()
            if self._events_since_read >= EVENTS_PER_TURN:
                self._events_since_read = 0
                await arrivals.turns.wait()
            event = await self._next_body_event()
        return bytes(body)

    def release_body(self) -> None:
        """Stop counting the body of the current request."""
        if self._held_body is not None:
            self._held_body.release()
            self._held_body = None

    async def discard_until_closed(self) -> None:
        """Read what the client still sends after a refusal, so that it can read the answer."""
        self.release_body()
        try:
            await self._stream.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        size = 0
        with trio.move_on_after(DISCARD_SECONDS):
            while size < MAX_DISCARDED_BYTES and (data := await self._receive()):
                size += len(data)

    async def cancel_on_disconnect(self, scope: trio.CancelScope) -> None:
        """Cancel a scope once the client has closed; buffer pipelined requests until then."""
        while len(self._buffered) < MAX_PIPELINED_BYTES:
            data = await self._receive()
            if not data:
                self._client_closed = True
                scope.cancel()
                return
            self._buffered += data

    def encode_response_head(self, status: int, headers: Headers) -> bytes:
        """Return the status line and headers of an answer, which the caller sends next."""
        return self._h11.send(h11.Response(status_code=status, headers=headers)) or b""

    def encode_data(self, data: bytes) -> bytes:
        """Return part of the answer's body with its framing, which the caller sends next."""
        return self._h11.send(h11.Data(data=data)) or b""

    def encode_response_end(self) -> bytes:
        """Return the end of the answer, which the caller sends next."""
        return self._h11.send(h11.EndOfMessage()) or b""

    def send_available(self, data: bytes) -> bytes:
        """Send as much encoded data as the kernel takes at once; return the rest.

        No other write to the connection may be in progress.
        """
        try:
            return data[os.write(self._stream.socket.fileno(), data) :]
        except BlockingIOError:
            return data
        except OSError as error:
            raise trio.BrokenResourceError("the client has disconnected") from error

    async def send_encoded(self, data: bytes) -> None:
        """Send encoded data."""
        await self._send(data)

    async def send_response_head(self, status: int, headers: Headers) -> None:
        """Send the status line and headers of an answer."""
        await self._send(self.encode_response_head(status, headers))

    async def send_data(self, data: bytes) -> None:
        """Send part of the answer's body."""
        await self._send(self.encode_data(data))

    async def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer, in one write unless its body is large."""
        head = h11.Response(status_code=status, headers=headers)
        data = self._h11.send(head)
        if len(body) > MAX_COPIED_BYTES:
            await self._send(data)
            await self._send(self._h11.send(h11.Data(data=body)))
            data = b""
        elif body:
            data += self._h11.send(h11.Data(data=body))
        await self._send(data + self._h11.send(h11.EndOfMessage()))

    async def finish_response(self) -> None:
        """Complete the answer."""
        await self._send(self.encode_response_end())

    async def _send(self, data: bytes | None) -> None:
        if not data:
            return
        try:
            await self._stream.send_all(data)
        except trio.BrokenResourceError as error:
            raise trio.BrokenResourceError("the client has disconnected") from error

    def next_cycle(self) -> bool:
        """Prepare for another request; return False if the connection must be closed."""
        self.release_body()
        if self._client_closed or self._h11.our_state is not h11.DONE:
            return False
        if self._h11.their_state is not h11.DONE:
            return False
        self._pipelined = bool(self._h11.trailing_data[0])
        self._h11.start_next_cycle()
        return True

    def reset(self) -> None:
        """Reset the connection, so that a truncated answer cannot look complete."""
        reset_connection(self._stream)

    async def close(self) -> None:
        """Close the connection."""
        self.release_body()
        await trio.aclose_forcefully(self._stream)


class ServerConnection:
    """The client side of a connection to a backend server."""

    def __init__(self, stream: trio.SocketStream, now: float):
        self._stream = stream
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=READ_BYTES)
        self._body_sent = True
        # Whether a write has reported a reset, which later reads do not report.
        self._is_reset = False
        self._head_check = HeadCheck()
        self._is_chunked = False
        self._chunks = ChunkCount()
        self.last_used_at = now
        self.request_count = 0
        self.idle_seconds: float | None = None
        self.idle = False

    async def send_request(self, head: RequestHead, body: bytes) -> None:
        """Send a whole request; ``_body_sent`` stays False if not all of it was written."""
        self.request_count += 1
        self.idle = False
        self._body_sent = False
        request = h11.Request(
            method=head.method.encode("ascii"),
            target=head.target.encode("latin-1"),
            headers=head.headers,
        )
        data = self._h11.send(request)
        try:
            if len(body) > MAX_COPIED_BYTES:
                await self._stream.send_all(data)
                await self._stream.send_all(self._h11.send(h11.Data(data=body)))
                data = b""
            elif body:
                data += self._h11.send(h11.Data(data=body))
            await self._stream.send_all(data + self._h11.send(h11.EndOfMessage()))
        except trio.BrokenResourceError as error:
            # The server may have sent an answer before it closed, which is still readable.
            self._is_reset = not proves_orderly_end(error)
            return
        self._body_sent = True

    async def _next_event(self):
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                _, closed = self._h11.trailing_data
                raise PeerError(f"not HTTP: {error}", began=True, closed=closed) from error
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self._stream.receive_some(READ_BYTES)
            except trio.BrokenResourceError as error:
                # A close ends an answer without a length; a reset does not.
                raise PeerError(CONNECTION_RESET, closed=True) from error
            if not data and self._is_reset:
                raise PeerError(CONNECTION_RESET, closed=True)
            try:
                self._head_check.feed(data)
            except h11.RemoteProtocolError as error:
                raise PeerError(f"not HTTP: {error}", began=True) from error
            self._h11.receive_data(data)

    async def read_head(self) -> ResponseHead:
        """Read status and headers of the answer."""
        for _ in range(MAX_INTERIM_ANSWERS + 1):
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise PeerError("the server closed without an answer", closed=True)
            headers = list(event.headers.raw_items())
            self._is_chunked = any(name.lower() == b"transfer-encoding" for name, _ in headers)
            return ResponseHead(event.status_code, headers)
        raise InvalidAnswerError("too many interim answers")

    async def read_body_part(self) -> bytes | None:
        """Read part of the answer's body; return None at its end.

        The request must not be written any more: an answer without a length ends with its
        connection, and a write that has not returned yet may know that this was a reset.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            if self._is_chunked:
                await self._check_chunk(len(event.data))
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise PeerError("the server closed in the middle of its answer", began=True, closed=True)

    async def read_short_body(self, limit: int) -> bytes:
        """Return the answer's body; raise InvalidAnswerError if it exceeds ``limit``."""
        body = bytearray()
        while (data := await self.read_body_part()) is not None:
            body += data
            if len(body) > limit:
                raise InvalidAnswerError(f"the answer exceeds {limit} bytes")
        return bytes(body)

    async def _check_chunk(self, size: int) -> None:
        """Raise InvalidAnswerError if the body comes in too many tiny chunks.

        One read may bring thousands of chunks; other tasks must run in between.
        """
        self._chunks.add(size)
        if not self._chunks.count % CHUNKS_PER_TURN:
            await trio.lowlevel.checkpoint()
        if self._chunks.are_tiny:
            raise InvalidAnswerError("the answer comes in tiny chunks")

    def prepare_reuse(self, now: float) -> bool:
        """Prepare for another request; return False if the connection must not be reused.

        It must not be reused if the server closes it, if the server answered before it had read the
        whole request, or if bytes follow the answer: they belong to no request and would be taken
        for the answer to the next one.
        """
        if not self._body_sent or self._h11.our_state is not h11.DONE:
            return False
        if self._h11.their_state is not h11.DONE:
            return False
        trailing, closed = self._h11.trailing_data
        if trailing or closed:
            return False
        self._h11.start_next_cycle()
        self._head_check = HeadCheck()
        self._chunks = ChunkCount()
        self.last_used_at = now
        self.idle = self.has_no_pending_data()
        return self.idle

    def has_no_pending_data(self) -> bool:
        """Tell whether the idle connection has received neither data nor a close."""
        return not has_unread_data(self._stream)

    def reset(self) -> None:
        """Reset the connection."""
        reset_connection(self._stream)


async def connect(host: str, port: int, local_host: str | None, now: float) -> ServerConnection:
    """Open a connection; ``host`` must be an IP address, so that no name is resolved."""
    sock = trio.socket.socket()
    try:
        if local_host is not None:
            await sock.bind((local_host, 0))
        await sock.connect((host, port))
        stream = trio.SocketStream(sock)
        set_socket_options(sock, SERVER_USER_TIMEOUT_MS)
    except BaseException:
        sock.close()
        raise
    return ServerConnection(stream, now)
