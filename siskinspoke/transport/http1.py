"""HTTP/1.1 on trio with exact control of each connection, by h11.

The transparent path needs what quart on hypercorn and httpx do not give: to see a client go
while its request waits, to know whether a backend server can have read a request, to notice
bytes that belong to no request before they reach a client, and to cut an answer so that it
looks cut.  h11 only parses and frames, so it leaves all of that here.
"""

import select
from typing import NamedTuple

import h11
import trio

from siskinspoke.transport.sockets import reset, tune

READ_BYTES = 65_536
# Bytes that a client may send ahead of its answer before they are left in the socket.
EARLY_BYTES = 65_536

Headers = list[tuple[bytes, bytes]]


class BadRequestError(Exception):
    """A client's request cannot be served: ``status`` says why."""

    def __init__(self, status: int, message: str):
        super().__init__(message)
        self.status = status


class PeerError(Exception):
    """A backend server's connection failed.

    ``began`` tells whether any answer came, ``closed`` whether the server ended the connection.
    """

    def __init__(self, message: str, began: bool = False, closed: bool = False):
        super().__init__(message)
        self.began = began
        self.closed = closed


class RequestHead(NamedTuple):
    """The first part of a request."""

    method: str
    target: str
    headers: Headers


class AnswerHead(NamedTuple):
    """The first part of an answer; ``framed`` means that its end can be told from a cut."""

    status: int
    headers: Headers
    framed: bool


class ClientConnection:
    """One client's connection, at the server side."""

    def __init__(self, stream: trio.SocketStream, max_header_bytes: int):
        self._stream = stream
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=max_header_bytes)
        self._early = bytearray()
        self._ended = False
        self._pipelined = False

    async def wait_for_request(self) -> bool:
        """Wait for the first byte of the next request; False when the client has closed."""
        if self._early or self._pipelined:
            return True
        data = await self._receive()
        self._early += data
        return bool(data)

    async def _receive(self) -> bytes:
        try:
            return await self._stream.receive_some(READ_BYTES)
        except trio.BrokenResourceError:
            return b""

    async def _next_event(self):
        while True:
            if self._early:
                self._h11.receive_data(bytes(self._early))
                self._early.clear()
            event = self._h11.next_event()
            if event is not h11.NEED_DATA:
                return event
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
            raise BadRequestError(0, "no request came")
        method, target = event.method.decode("ascii"), event.target.decode("latin-1")
        return RequestHead(method, target, list(event.headers.raw_items()))

    async def read_body(self, limit: int) -> bytes:
        """Read the whole body of the request."""
        if self._h11.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            await self._send(self._h11.send(go_on))
        parts, size = [], 0
        try:
            while isinstance(event := await self._next_event(), h11.Data):
                parts.append(bytes(event.data))
                size += len(event.data)
                if size > limit:
                    raise BadRequestError(413, f"the body is over {limit} bytes")
        except h11.RemoteProtocolError as error:
            raise BadRequestError(error.error_status_hint or 400, str(error)) from error
        return b"".join(parts)

    async def watch(self, gone: trio.CancelScope) -> None:
        """Cancel a scope once the client has closed; keep what it sends ahead meanwhile."""
        while len(self._early) < EARLY_BYTES:
            data = await self._receive()
            if not data:
                self._ended = True
                gone.cancel()
                return
            self._early += data

    async def send_head(self, status: int, headers: Headers) -> None:
        """Begin an answer."""
        head = h11.Response(status_code=status, headers=headers)
        await self._send(self._h11.send(head))

    async def send_data(self, data: bytes) -> None:
        """Send a part of the answer's body."""
        await self._send(self._h11.send(h11.Data(data=data)))

    async def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer in one write."""
        head = h11.Response(status_code=status, headers=headers)
        data = self._h11.send(head)
        if body:
            data += self._h11.send(h11.Data(data=body))
        await self._send(data + self._h11.send(h11.EndOfMessage()))

    async def end_answer(self) -> None:
        """Mark the answer as complete."""
        await self._send(self._h11.send(h11.EndOfMessage()))

    async def _send(self, data: bytes | None) -> None:
        if not data:
            return
        try:
            await self._stream.send_all(data)
        except trio.BrokenResourceError as error:
            raise trio.BrokenResourceError("the client is gone") from error

    def next_cycle(self) -> bool:
        """Make ready for another request; False where the connection must end."""
        if self._ended or self._h11.our_state is not h11.DONE:
            return False
        if self._h11.their_state is not h11.DONE:
            return False
        self._pipelined = bool(self._h11.trailing_data[0])
        self._h11.start_next_cycle()
        return True

    def cut(self) -> None:
        """Reset the connection, so that an unfinished answer cannot look whole."""
        reset(self._stream)

    async def close(self) -> None:
        """Close the connection."""
        await trio.aclose_forcefully(self._stream)


class ServerConnection:
    """One connection to a backend server, at the client side."""

    def __init__(self, stream: trio.SocketStream, now: float):
        self._stream = stream
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=READ_BYTES)
        self._body_sent = True
        self.used_at = now
        self.uses = 0
        self.idle_seconds: float | None = None
        self.idle = False

    async def send_request(self, head: RequestHead, body: bytes) -> None:
        """Send a whole request; ``body_sent`` is False until all of it has left."""
        self.uses += 1
        self.idle = False
        self._body_sent = False
        request = h11.Request(
            method=head.method.encode("ascii"),
            target=head.target.encode("latin-1"),
            headers=head.headers,
        )
        data = self._h11.send(request)
        if body:
            data += self._h11.send(h11.Data(data=body))
        data += self._h11.send(h11.EndOfMessage())
        try:
            await self._stream.send_all(data)
        except trio.BrokenResourceError:
            # The server may have answered before it closed; what it said is worth reading.
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
                # An answer without a length ends with its connection; a reset is not its end.
                raise PeerError("the server reset the connection", closed=True) from error
            self._h11.receive_data(data)

    async def read_head(self) -> AnswerHead:
        """Read the head of the answer."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise PeerError("the server closed without an answer", closed=True)
            headers = list(event.headers.raw_items())
            names = {name.lower() for name, _ in headers}
            framed = bool(names & {b"content-length", b"transfer-encoding"})
            return AnswerHead(event.status_code, headers, framed)

    async def read_data(self) -> bytes | None:
        """Read a part of the answer's body; None at its end."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise PeerError("the server closed in the middle of its answer", began=True, closed=True)

    def finish(self, now: float) -> bool:
        """Make ready for another request; False where the connection must not be used again.

        It must not if the server closes it, if it answered before it had read the whole
        request, or if bytes follow the answer: they belong to no request, and the next one
        would take them for its own answer.
        """
        if not self._body_sent or self._h11.our_state is not h11.DONE:
            return False
        if self._h11.their_state is not h11.DONE:
            return False
        trailing, closed = self._h11.trailing_data
        if trailing or closed:
            return False
        self._h11.start_next_cycle()
        self.used_at = now
        self.idle = self.is_quiet()
        return self.idle

    def is_quiet(self) -> bool:
        """Tell whether nothing has arrived on the idle connection, neither bytes nor its end."""
        poller = select.poll()
        poller.register(self._stream.socket.fileno(), select.POLLIN)
        return not poller.poll(0)

    def cut(self) -> None:
        """Reset the connection."""
        reset(self._stream)


async def connect(host: str, port: int, local_host: str | None, now: float) -> ServerConnection:
    """Open a connection; the address is in numbers, so that nothing is looked up."""
    sock = trio.socket.socket()
    try:
        if local_host is not None:
            await sock.bind((local_host, 0))
        await sock.connect((host, port))
        stream = trio.SocketStream(sock)
        tune(sock)
    except BaseException:
        sock.close()
        raise
    return ServerConnection(stream, now)
