"""A stand-in for the platform's backend servers that can be scripted to misbehave."""

import math
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import ClassVar

import trio

from siskinspoke.testing.server_account import ServerAccount
from siskinspoke.transport.http1 import has_unread_data
from siskinspoke.transport.sockets import reset_connection

STAMP = b"3e1b.07.5a2"
# Send buffer of a connection with large events, in bytes.
LARGE_EVENTS_SEND_BUFFER = 16_384


@dataclass(frozen=True)
class Whole:
    """Send a complete response; ``request_id`` overrides the request ID in it.

    If ``body`` is None, the response's body is the request ID.
    """

    body: bytes | None = b"done"
    status: int = 200
    request_id: bytes | None = None
    after: bytes = b""
    headers: tuple[bytes, ...] = ()
    begin_after: float = 0.0


@dataclass(frozen=True)
class Events:
    """Stream events from ``first`` to ``last``, then end, close the connection or stop sending.

    The response begins ``begin_after`` seconds after the request, like a late first token. After
    event ``silent_after`` there is a pause of ``silent_for`` seconds, as with an engine that
    prefills a long prompt while it decodes the stream. Each event has ``padding`` more bytes. If
    the VM reads nothing for ``unread_timeout`` seconds, the server closes the connection.

    A stream that is not ``framed`` has neither a length nor chunks and ends with its connection.
    """

    first: int = 1
    last: int = 3
    then: str = "end"
    torn: bytes = b""
    pause: float = 0.0
    begin_after: float = 0.0
    silent_after: int = 0
    silent_for: float = 0.0
    padding: int = 0
    unread_timeout: float = math.inf
    framed: bool = True


@dataclass(frozen=True)
class Refuse:
    """Refuse the request as not run; ``back_off`` is the Retry-After time in seconds, if any."""

    status: int = 503
    headers: tuple[bytes, ...] = (b"Not-Run: 1",)
    back_off: float | None = None


@dataclass(frozen=True)
class Close:
    """Read the request and close the connection without a response."""


@dataclass(frozen=True)
class Silent:
    """Read the request and never answer."""


@dataclass(frozen=True)
class Unframed:
    """Respond without a length; the body ends when the connection is closed."""

    body: bytes = b"unframed"


@dataclass(frozen=True)
class Endless:
    """Send bytes that are no answer until the VM closes the connection.

    ``form`` is a name in ENDLESS_FORMS; ``pause`` is the number of seconds between two writes.
    """

    form: str = "body"
    status: int = 200
    pause: float = 0.0


@dataclass(frozen=True)
class Raw:
    """Send ``data``, in which ``{id}`` stands for the request ID, and end the connection.

    ``end`` is "finish" (close in order, without reading on), "close unread" (close while some of
    the request has arrived and is unread, which the kernel sends as a reset) or "reset". It comes
    ``end_after`` seconds after the data. If ``reads_body`` is False, no more of the request is read
    than came with its head; ``is_unread`` tells whether there is more.
    """

    data: bytes
    end: str = "finish"
    end_after: float = 0.0
    reads_body: bool = True
    is_unread: bool = False


# What is sent once after the status line and Request-Id, and what is repeated after it.  Forms
# that end in "head" never end the head.
ENDLESS_FORMS: dict[str, tuple[bytes, bytes]] = {
    "body": (b"Connection: close\r\n\r\n", bytes(65_536)),
    "chunks": (b"Transfer-Encoding: chunked\r\n\r\n", b"10000\r\n" + bytes(65_536) + b"\r\n"),
    "small chunks": (b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\n0\r\n" * 8_192),
    "declared": (b"Content-Length: 999999999999\r\n\r\n", bytes(65_536)),
    "lines": (b"Transfer-Encoding: chunked\r\n\r\n", b"1000\r\n" + b"data: x\n" * 512 + b"\r\n"),
    "blank lines": (b"Connection: close\r\n\r\n", b"\n" * 65_536),
    "old events": (b"Connection: close\r\n\r\n", b"id: 1\ndata: x\n\n" * 4_096),
    "no events": (b"Connection: close\r\n\r\n", (b"\0" * 62 + b"\n\n") * 1_024),
    "chunk length": (b"Transfer-Encoding: chunked\r\n\r\n", b"0" * 65_536),
    "trailers": (b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"X-Trailer: x\r\n" * 4_096),
    "line of the head": (b"X-Line: ", b"x" * 65_536),
    "headers": (b"", b"X-Header: x\r\n" * 4_096),
    "interim answers": (b"", b""),
}
INTERIM_ANSWERS = b"HTTP/1.1 100 Continue\r\n\r\n" * 2_048


Behaviour = Whole | Events | Refuse | Close | Silent | Unframed | Endless | Raw


@dataclass
class ReceivedRequest:
    """One request as received by the server."""

    head: str
    body: bytes
    headers: dict[str, str]
    connection: int
    ran: bool = True


@dataclass
class StandinServer:
    """Serve requests in the order of the script, repeating its last entry.

    All responses carry ``rate_limit``, in requests a second, unless it is None, and state whether
    the server is ``leaving``. ``account`` records whether VMs comply; at its end, every test checks
    the accounts of all its servers.

    A request whose body is in ``crashing_bodies``, or with a part of its prompt but the last in
    ``crashing_parts``, crashes the process ``crash_after`` seconds later, with everything open
    there. It restarts ``restart_after`` seconds after that and calls ``on_restart``.
    """

    name: str
    script: deque[Behaviour] = field(default_factory=deque)
    seen: list[ReceivedRequest] = field(default_factory=list)
    closed: list[int] = field(default_factory=list)
    connections: int = 0
    host: str = "127.0.0.1"
    port: int = 0
    crashing_bodies: frozenset[bytes] = frozenset()
    crashing_parts: frozenset[str] = frozenset()
    crash_after: float = 0.05
    restart_after: float = 0.4
    starts: int = 1
    on_restart: Callable[["StandinServer"], None] = lambda server: None
    process: trio.CancelScope | None = None
    # Bytes written by all answers without end, and the connections on which one is written now.
    endless_bytes: int = 0
    endless_open: int = 0
    rate_limit: float | None = None
    leaving: bool = False
    account: ServerAccount = field(init=False)

    # The servers created by the running test.
    started: ClassVar[list["StandinServer"]] = []

    def __post_init__(self) -> None:
        self.account = ServerAccount(self.name)
        self.started.append(self)

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Listen on a free port, and on the same port again after each crash."""
        async with trio.open_nursery() as self._nursery:
            while True:
                listeners = await trio.open_tcp_listeners(self.port, host=self.host)
                self.port = listeners[0].socket.getsockname()[1]
                if self.starts == 1:
                    task_status.started()
                else:
                    self.on_restart(self)
                with trio.CancelScope() as self.process:
                    await trio.serve_listeners(self._serve_one, listeners)
                await trio.sleep(self.restart_after)
                self.starts += 1
                self.account.record_restart()

    @property
    def crash_count(self) -> int:
        """Return how many times the process has crashed."""
        return self.starts - 1 + self.process.cancel_called

    def _crashes(self, body: bytes, headers: dict[str, str]) -> bool:
        """Return whether a request crashes the process."""
        prefix = headers.get("Prompt-Prefix", "").split(",")[:-1]
        parts = {item.partition(":")[0] for item in prefix}
        return body in self.crashing_bodies or not parts.isdisjoint(self.crashing_parts)

    async def _crash_soon(self) -> None:
        process = self.process
        await trio.sleep(self.crash_after)
        process.cancel()

    async def _serve_one(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        number = self.connections
        buffered = b""
        try:
            vm = _peer(stream)
            while True:
                while b"\r\n\r\n" not in buffered:
                    data = await stream.receive_some()
                    if not data:
                        return
                    buffered += data
                head, _, buffered = buffered.partition(b"\r\n\r\n")
                lines = head.decode().split("\r\n")
                headers = dict(line.split(": ", 1) for line in lines[1:])
                length = int(headers.get("Content-Length", 0))
                behaviour = self._next()
                if isinstance(behaviour, Raw) and not behaviour.reads_body:
                    behaviour = replace(behaviour, is_unread=length > len(buffered))
                    length = min(length, len(buffered))
                while len(buffered) < length:
                    buffered += await stream.receive_some()
                body, buffered = buffered[:length], buffered[length:]
                ran = not isinstance(behaviour, Refuse)
                self.seen.append(ReceivedRequest(lines[0], body, headers, number, ran))
                if "Request-Id" in headers:
                    self.account.record_request(vm, trio.current_time())
                if self._crashes(body, headers):
                    self._nursery.start_soon(self._crash_soon)
                if not await self._answer(stream, vm, headers, behaviour):
                    return
        except trio.BrokenResourceError:
            return
        finally:
            self.closed.append(number)
            await trio.aclose_forcefully(stream)

    def _next(self) -> Behaviour:
        return self.script.popleft() if len(self.script) > 1 else self.script[0]

    def _restriction_headers(
        self, vm: str, back_off: float | None = None, effective: bool = True
    ) -> list[bytes]:
        """Return the header lines with the restrictions in a response to a VM.

        ``effective`` is False for a response whose restrictions the VM must ignore.
        """
        if effective:
            now = trio.current_time()
            self.account.record_answer(vm, now, self.rate_limit, back_off, self.leaving)
        lines = []
        if self.rate_limit is not None:
            lines.append(b"Server-Limit: %g" % self.rate_limit)
        if back_off is not None:
            lines.append(b"Retry-After: %g" % back_off)
        if self.leaving:
            lines.append(b"Server-Leaving: 1")
        return lines

    async def _answer(
        self, stream: trio.SocketStream, vm: str, headers: dict[str, str], behaviour: Behaviour
    ) -> bool:
        request_id = headers.get("Request-Id", "").encode()
        match behaviour:
            case Whole() as whole:
                await trio.sleep(whole.begin_after)
                asks = self._restriction_headers(vm, effective=whole.request_id is None)
                await stream.send_all(_whole(whole, request_id, asks) + whole.after)
                return True
            case Refuse(status=status, headers=more, back_off=back_off):
                asks = self._restriction_headers(vm, back_off)
                lines = [b"HTTP/1.1 %d No" % status, b"Content-Length: 0", *more, *asks]
                await stream.send_all(b"\r\n".join(lines) + b"\r\n\r\n")
                return True
            case Unframed(body=body):
                lines = [b"HTTP/1.1 200 OK", b"Request-Id: " + request_id, b"Connection: close"]
                await stream.send_all(b"\r\n".join(lines) + b"\r\n\r\n" + body)
                return False
            case Events() as events:
                await trio.sleep(events.begin_after)
                return await _events(
                    stream, events, request_id, headers, self._restriction_headers(vm)
                )
            case Silent():
                await stream.receive_some()
                return False
            case Close():
                return False
            case Endless() as endless:
                await self._send_endless(stream, endless, request_id)
                return False
            case Raw() as raw:
                await _send_raw(stream, raw, request_id)
                return False

    async def _send_endless(
        self, stream: trio.SocketStream, endless: Endless, request_id: bytes
    ) -> None:
        """Send until the VM closes the connection."""
        begin, repeated = ENDLESS_FORMS[endless.form]
        head = b"HTTP/1.1 %d OK\r\nRequest-Id: %b\r\n" % (endless.status, request_id)
        if endless.form == "interim answers":
            head, repeated = b"", INTERIM_ANSWERS
        self.endless_open += 1
        try:
            await stream.send_all(head + begin)
            while True:
                await stream.send_all(repeated)
                self.endless_bytes += len(repeated)
                await trio.sleep(endless.pause)
        finally:
            self.endless_open -= 1


async def _send_raw(stream: trio.SocketStream, raw: Raw, request_id: bytes) -> None:
    if raw.end == "close unread" and raw.is_unread:
        while not has_unread_data(stream):
            await trio.sleep(0.001)
    await stream.send_all(raw.data.replace(b"{id}", request_id))
    if raw.end_after:
        await trio.sleep(raw.end_after)
    match raw.end:
        case "finish":
            await stream.send_eof()
        case "reset":
            reset_connection(stream)


def _peer(stream: trio.SocketStream) -> str:
    """Return the address of the connected VM."""
    try:
        return stream.socket.getpeername()[0]
    except OSError as error:
        raise trio.BrokenResourceError("the VM disconnected before it was identified") from error


def _whole(whole: Whole, request_id: bytes, asks: list[bytes]) -> bytes:
    body = request_id if whole.body is None else whole.body
    lines = [
        b"HTTP/1.1 %d OK" % whole.status,
        b"Request-Id: " + (request_id if whole.request_id is None else whole.request_id),
        b"Server-Stamp: " + STAMP,
        b"Content-Length: %d" % len(body),
        *whole.headers,
        *asks,
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def event(number: int, padding: int = 0) -> bytes:
    """Return the encoded event with a number."""
    return b"id: %d\ndata: piece %d%s\n\n" % (number, number, b"." * padding)


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


async def _events(
    stream: trio.SocketStream,
    events: Events,
    request_id: bytes,
    headers: dict[str, str],
    asks: list[bytes],
) -> bool:
    lines = [
        b"HTTP/1.1 200 OK",
        b"Request-Id: " + request_id,
        b"Server-Stamp: " + STAMP,
        b"Content-Type: text/event-stream",
        b"Transfer-Encoding: chunked" if events.framed else b"Connection: close",
        *asks,
    ]
    frame = _chunk if events.framed else bytes
    if events.padding:
        # The kernel must not take what the VM leaves unread.
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, LARGE_EVENTS_SEND_BUFFER)
    await stream.send_all(b"\r\n".join(lines) + b"\r\n\r\n")
    first = int(headers.get("Last-Event-Id", events.first - 1)) + 1
    for number in range(first, events.last + 1):
        with trio.move_on_after(events.unread_timeout) as unread:
            await stream.send_all(frame(event(number, events.padding)))
        if unread.cancelled_caught:
            return False
        await trio.sleep(events.silent_for if number == events.silent_after else events.pause)
    if events.torn:
        await stream.send_all(frame(events.torn))
    match events.then:
        case "end" if events.framed:
            await stream.send_all(b"0\r\n\r\n")
            return True
        case "silent":
            await stream.receive_some()
    return False
