"""Requests to backend servers, and what each outcome proves about the attempt."""

import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass

import h11
import httpx
import msgspec
import trio
from loguru import logger

from siskinspoke.coordination.back_off import BackOffs
from siskinspoke.coordination.read_budget import ReadBudget
from siskinspoke.core.counters import Counters
from siskinspoke.protocol.assembly import Assembler, Complete, Gap, Ignored, Piece
from siskinspoke.protocol.claims import Target
from siskinspoke.protocol.decimals import parse_decimal
from siskinspoke.protocol.engine import AttemptRequest, CacheEvents, CancelState, Chunk
from siskinspoke.transport.chunks import ChunkCount
from siskinspoke.transport.http import fetch, fetch_head, make_client

EXCHANGE_TIMEOUT_SECONDS = 1.0
SILENCE_SECONDS = 0.5
# Memory for the answers of plain services that are being read, all together.
MAX_RESPONSES_BYTES = 32_000_000
# Longest answer to a small request.
MAX_EXCHANGE_BYTES = 4_000_000
# Bytes of a stream that bring no new piece of its answer.
MAX_USELESS_BYTES = 1_048_576
# Statuses whose Retry-After header asks this VM to back off.
BACK_OFF_STATUSES = frozenset({429, 503})
# The reason of a NotBegun whose connection was refused: the machine is up, the process is not.
CONNECTION_REFUSED = ConnectionRefusedError.__name__
# Beyond every sequence number of cache events, so the answer is short.
AFTER_ALL_EVENTS = 2**62


@dataclass(frozen=True)
class Completed:
    """The complete answer arrived."""

    tokens: int


@dataclass(frozen=True)
class NotBegun:
    """No byte of the request was sent, or the server refused to run it."""

    reason: str
    reached: bool


@dataclass(frozen=True)
class Unknown:
    """The server does not know the attempt to resume."""


@dataclass(frozen=True)
class Lost:
    """The request was sent and its answer broke off at ``offset``."""

    offset: int
    reason: str


AttemptEnd = Completed | NotBegun | Unknown | Lost

Deliver = Callable[[list[Piece]], Awaitable[None]]
Accepted = Callable[[int], None]
IsAlive = Callable[[], bool]


def connection_failed(error: httpx.HTTPError) -> bool:
    """Return whether an error proves that no byte of the request was sent."""
    return isinstance(error, httpx.ConnectError | httpx.ConnectTimeout | httpx.PoolTimeout)


def is_connection_refused(error: BaseException | None) -> bool:
    """Return whether an error was caused by a connection that the other machine refused.

    A connection also fails where this VM lacks a descriptor, an address or a route.  That proves
    nothing about the server.
    """
    match error:
        case None:
            return False
        case ConnectionRefusedError():
            return True
        case BaseExceptionGroup(exceptions=causes):
            return any(is_connection_refused(cause) for cause in causes)
    return is_connection_refused(error.__cause__ or error.__context__)


def is_closed_without_answer(error: httpx.HTTPError) -> bool:
    """Return whether a connection was closed, as opposed to bytes that are no answer."""
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, h11.ProtocolError):
            return False
        cause = cause.__cause__ or cause.__context__
    return isinstance(error, httpx.RemoteProtocolError | httpx.ReadError)


@dataclass(eq=False, slots=True)
class _WatchedAttempt:
    """An attempt whose server the watchdog monitors."""

    target: Target
    scope: trio.CancelScope
    is_alive: IsAlive
    last_data_at: float
    probing: bool = False


class Backend:
    """The HTTP clients for backend servers."""

    def __init__(self, counters: Counters, local_host: str | None = None):
        self._counters = counters
        self._back_offs = BackOffs()
        self._stack = AsyncExitStack()
        self._streams = make_client(local_host=local_host)
        self._single_use = make_client(keep_alive=False, local_host=local_host)
        self._control = make_client(local_host=local_host)
        self._watched: set[_WatchedAttempt] = set()
        self._responses = ReadBudget(MAX_RESPONSES_BYTES)

    @property
    def back_offs(self) -> BackOffs:
        """Return the back-offs that servers have requested."""
        return self._back_offs

    async def watch_forever(self) -> None:
        """Cancel attempts whose server is silent and no longer sends announcements.

        A frozen server keeps its connections open and sends nothing; only its expired
        announcement lease distinguishes it from a server that is busy with a long prefill.
        """
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(SILENCE_SECONDS)
                for attempt in self._watched:
                    if self._is_suspect(attempt) and not attempt.probing:
                        attempt.probing = True
                        nursery.start_soon(self._cancel_unless_responsive, attempt)

    def _is_suspect(self, attempt: _WatchedAttempt) -> bool:
        quiet_since = trio.current_time() - SILENCE_SECONDS
        return attempt.last_data_at < quiet_since and not attempt.is_alive()

    async def _cancel_unless_responsive(self, attempt: _WatchedAttempt) -> None:
        """Probe a silent server with a small request; cancel its attempt if there is no answer.

        The lease also expires when the VM that received the announcements dies.  A healthy server
        that is slow to produce a token would then lose its stream without this probe.
        """
        answer = await self.cache_events(attempt.target, AFTER_ALL_EVENTS)
        attempt.probing = False
        if answer is None and self._is_suspect(attempt):
            attempt.scope.cancel()

    async def __aenter__(self) -> "Backend":
        for client in (self._streams, self._single_use, self._control):
            await self._stack.enter_async_context(client)
        return self

    async def __aexit__(self, *details) -> None:
        await self._stack.aclose()

    async def stream(
        self,
        target: Target,
        path: str,
        body: dict,
        assembler: Assembler,
        deliver: Deliver,
        accepted: Accepted,
        is_alive: IsAlive,
        single_use: bool = False,
    ) -> AttemptEnd:
        """Run one attempt and deliver its pieces until the answer is complete or breaks off."""
        client = self._single_use if single_use else self._streams
        url = f"http://{target.host}:{target.port}{path}"
        content = msgspec.json.encode(body)
        attempt = _WatchedAttempt(target, trio.CancelScope(), is_alive, trio.current_time())
        self._watched.add(attempt)
        try:
            with attempt.scope:
                async with client.stream("POST", url, content=content) as response:
                    self._apply_back_off(target, response)
                    end = _end_without_stream(response, assembler)
                    if end is not None:
                        return end
                    accepted(int(response.headers.get("X-Accepted", "0")))
                    return await self._read(response, assembler, deliver, attempt)
            return Lost(assembler.offset, "the server stopped responding")
        except httpx.HTTPError as error:
            if connection_failed(error):
                refused = is_connection_refused(error)
                reason = CONNECTION_REFUSED if refused else type(error).__name__
                return NotBegun(reason, reached=False)
            return Lost(assembler.offset, type(error).__name__)
        except (msgspec.MsgspecError, ValueError) as error:
            # A malformed answer fails only its own attempt.
            self._counters.count("backend.nonsense")
            return Lost(assembler.offset, f"malformed answer: {type(error).__name__}")
        finally:
            self._watched.discard(attempt)

    async def _read(
        self,
        response: httpx.Response,
        assembler: Assembler,
        deliver: Deliver,
        attempt: _WatchedAttempt,
    ) -> AttemptEnd:
        """Read and deliver chunks until the answer is complete or breaks off."""
        partial_line, chunks = b"", ChunkCount()
        useless_bytes = 0
        async for data in response.aiter_raw():
            attempt.last_data_at = trio.current_time()
            offset = assembler.offset
            *lines, partial_line = (partial_line + data).split(b"\n")
            end = await self._process_lines(lines, assembler, deliver)
            if end is not None:
                return end
            chunks.add(len(data))
            useless_bytes = 0 if assembler.offset != offset else useless_bytes + len(data)
            if useless_bytes > MAX_USELESS_BYTES or chunks.are_tiny:
                raise ValueError("the stream brings nothing new, or comes in tiny chunks")
        return Lost(assembler.offset, "the stream ended early")

    async def _process_lines(
        self, lines: list[bytes], assembler: Assembler, deliver: Deliver
    ) -> AttemptEnd | None:
        """Deliver the pieces that arrived together as one batch, which adds no delay."""
        pieces: list[Piece] = []
        end: AttemptEnd | None = None
        for line in lines:
            result = assembler.feed(msgspec.json.decode(line, type=Chunk))
            match result:
                case Piece():
                    pieces.append(result)
                case Ignored(reason=reason):
                    self._counters.count(f"chunk.ignored.{reason.replace(' ', '_')}")
                case Gap():
                    self._counters.count("chunk.gap")
                    end = Lost(assembler.offset, "the stream skipped chunks")
                case Complete(tokens=tokens):
                    end = Completed(tokens)
            if end is not None:
                break
        if pieces:
            await deliver(pieces)
        return end

    async def call(self, target: Target, body: dict) -> httpx.Response:
        """Call a plain service once, on a new connection."""
        url = f"http://{target.host}:{target.port}/v1/call"
        response = await fetch(
            self._single_use, "POST", url, self._responses, msgspec.json.encode(body)
        )
        self._apply_back_off(target, response)
        return response

    def _apply_back_off(self, target: Target, response: httpx.Response) -> None:
        """Record the back-off that a rejection with Retry-After asks for."""
        if response.status_code not in BACK_OFF_STATUSES:
            return
        seconds = parse_decimal(response.headers.get("Retry-After"))
        if seconds is None:
            return
        self._counters.count("back_off.asked")
        logger.info("server {} asked for a back-off of {} s", target.server, seconds)
        start = (target.server, target.incarnation)
        self._back_offs.add(start, seconds * 1000, time.monotonic() * 1000)

    async def cancel(
        self, target: Target, request: str, attempt: int, unless_began: bool = False
    ) -> str | None:
        """Cancel an attempt and return its state, or None if the state is unknown.

        The answer of another incarnation proves nothing about the attempts of this one.
        """
        body = AttemptRequest(request=request, attempt=attempt, unless_began=unless_began)
        answer = await self.post(target, "/v1/cancel", body)
        if answer is None or answer.get("incarnation") != target.incarnation:
            return None
        return answer.get("state")

    async def post(
        self, target: Target, path: str, body, seconds: float = EXCHANGE_TIMEOUT_SECONDS
    ) -> dict | None:
        """Send a small request with a timeout; return None unless it gets a valid answer."""
        url = f"http://{target.host}:{target.port}{path}"
        with trio.move_on_after(seconds):
            try:
                response = await fetch(
                    self._control,
                    "POST",
                    url,
                    self._responses,
                    msgspec.json.encode(body),
                    MAX_EXCHANGE_BYTES,
                )
                if response.status_code == 200:
                    return msgspec.json.decode(response.content, type=dict)
            except (httpx.HTTPError, msgspec.MsgspecError):
                self._counters.count("backend.exchange_failed")
        return None

    async def refuses_connections(self, target: Target) -> bool:
        """Return whether connections are refused, as they are when the process is dead.

        A middlebox may accept them for it, and then closes them without an answer.
        """
        with trio.move_on_after(EXCHANGE_TIMEOUT_SECONDS):
            try:
                await fetch_head(self._single_use, f"http://{target.host}:{target.port}/")
            except httpx.HTTPError as error:
                if is_closed_without_answer(error) or is_connection_refused(error):
                    return True
                # Other errors do not prove that the process is dead.
                self._counters.count("backend.exchange_failed")
        return False

    async def answers(self, target: Target, seconds: float) -> bool:
        """Return whether a server answers anything on a new connection within a time."""
        with trio.move_on_after(seconds):
            try:
                await fetch_head(self._single_use, f"http://{target.host}:{target.port}/")
                return True
            except httpx.HTTPError:
                self._counters.count("backend.probe_failed")
        return False

    async def cache_events(self, target: Target, after: int) -> CacheEvents | None:
        """Fetch the cache events of a server after a sequence number."""
        url = f"http://{target.host}:{target.port}/v1/cache-events?after={after}"
        with trio.move_on_after(EXCHANGE_TIMEOUT_SECONDS):
            try:
                response = await fetch(
                    self._control, "GET", url, self._responses, max_bytes=MAX_EXCHANGE_BYTES
                )
                return msgspec.json.decode(response.content, type=CacheEvents)
            except (httpx.HTTPError, msgspec.MsgspecError):
                self._counters.count("backend.exchange_failed")
        return None


def _end_without_stream(response: httpx.Response, assembler: Assembler) -> AttemptEnd | None:
    """Return the end of an attempt that was answered without a stream, or None for a stream."""
    match response.status_code:
        case 200:
            return None
        case 409:
            return NotBegun("refused by the server", reached=True)
        case 404:
            return Unknown()
        case status:
            return Lost(assembler.offset, f"status {status}")


__all__ = [
    "AttemptEnd",
    "Backend",
    "CancelState",
    "Completed",
    "Lost",
    "NotBegun",
    "Unknown",
    "connection_failed",
]
