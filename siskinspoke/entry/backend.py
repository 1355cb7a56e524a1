"""Calls to backend servers, with what each outcome proves about the attempt."""

import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass

import httpx
import msgspec
import trio
from loguru import logger

from siskinspoke.coordination.back_off import BackOffs
from siskinspoke.core.counters import Counters
from siskinspoke.protocol.assembly import Assembler, Complete, Gap, Ignored, Piece
from siskinspoke.protocol.claims import Target
from siskinspoke.protocol.decimals import decimal
from siskinspoke.protocol.engine import AttemptRequest, CacheEvents, CancelState, Chunk
from siskinspoke.transport.http import make_client

CANCEL_SECONDS = 1.0
SILENCE_SECONDS = 0.5
# With these a server may say when it wants requests of this VM again.
TURNED_AWAY_STATUSES = frozenset({429, 503})
# Why no byte left, where a machine answers and no process listens there.
REFUSED = httpx.ConnectError.__name__
# No server has counted so many cache events, so a question for later ones has a short answer.
NO_EVENTS_AFTER = 2**62


@dataclass(frozen=True)
class Completed:
    """The whole answer came."""

    tokens: int


@dataclass(frozen=True)
class NotBegun:
    """No byte of the dispatch left, or the server said that it will not run it."""

    reason: str
    reached: bool


@dataclass(frozen=True)
class Unknown:
    """The server has no such attempt to resume."""


@dataclass(frozen=True)
class Lost:
    """The dispatch left and the answer broke off at ``offset``."""

    offset: int
    reason: str


AttemptEnd = Completed | NotBegun | Unknown | Lost

Deliver = Callable[[list[Piece]], Awaitable[None]]
Accepted = Callable[[int], None]
IsAlive = Callable[[], bool]


def connection_failed(error: httpx.HTTPError) -> bool:
    """Tell whether an error proves that no byte of the request left."""
    return isinstance(error, httpx.ConnectError | httpx.ConnectTimeout | httpx.PoolTimeout)


@dataclass(eq=False, slots=True)
class _Reading:
    """One attempt that waits for its server, for the watchdog."""

    target: Target
    scope: trio.CancelScope
    is_alive: IsAlive
    heard_at: float
    asked: bool = False


class Backend:
    """Own the clients that talk to backend servers."""

    def __init__(self, counters: Counters, local_host: str | None = None):
        self._counters = counters
        self._back_offs = BackOffs()
        self._stack = AsyncExitStack()
        self._streams = make_client(local_host=local_host)
        self._single_use = make_client(keep_alive=False, local_host=local_host)
        self._control = make_client(local_host=local_host)
        self._readings: set[_Reading] = set()

    @property
    def back_offs(self) -> BackOffs:
        """Return what servers have asked for."""
        return self._back_offs

    async def watch_forever(self) -> None:
        """Give up attempts whose server is silent and no longer announces itself.

        A frozen server keeps its connections open and sends nothing: only the lapse of its
        announcement tells it from one that is busy with a long prefill.
        """
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(SILENCE_SECONDS)
                for reading in self._readings:
                    if self._is_doubtful(reading) and not reading.asked:
                        reading.asked = True
                        nursery.start_soon(self._give_up_unless_answered, reading)

    def _is_doubtful(self, reading: _Reading) -> bool:
        quiet_since = trio.current_time() - SILENCE_SECONDS
        return reading.heard_at < quiet_since and not reading.is_alive()

    async def _give_up_unless_answered(self, reading: _Reading) -> None:
        """Ask a silent server something small, and end its attempt if no answer comes.

        Its announcements also lapse when the VM dies to which it sent them, and a busy server
        may then be silent between two tokens; its stream would be cut though it is well.
        """
        answer = await self.cache_events(reading.target, NO_EVENTS_AFTER)
        reading.asked = False
        if answer is None and self._is_doubtful(reading):
            reading.scope.cancel()

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
        """Run one attempt and deliver its pieces until it is whole or breaks off."""
        client = self._single_use if single_use else self._streams
        url = f"http://{target.host}:{target.port}{path}"
        content = msgspec.json.encode(body)
        reading = _Reading(target, trio.CancelScope(), is_alive, trio.current_time())
        self._readings.add(reading)
        try:
            with reading.scope:
                async with client.stream("POST", url, content=content) as response:
                    self._hear_back_off(target, response)
                    refusal = _refusal(response, assembler)
                    if refusal is not None:
                        return refusal
                    accepted(int(response.headers.get("X-Accepted", "0")))
                    return await self._read(response, assembler, deliver, reading)
            return Lost(assembler.offset, "server fell silent")
        except httpx.HTTPError as error:
            if connection_failed(error):
                return NotBegun(type(error).__name__, reached=False)
            return Lost(assembler.offset, type(error).__name__)
        except (msgspec.MsgspecError, ValueError) as error:
            # A server that speaks nonsense costs its own attempt and nothing else.
            self._counters.count("backend.nonsense")
            return Lost(assembler.offset, f"nonsense: {type(error).__name__}")
        finally:
            self._readings.discard(reading)

    async def _read(
        self,
        response: httpx.Response,
        assembler: Assembler,
        deliver: Deliver,
        reading: _Reading,
    ) -> AttemptEnd:
        """Read and deliver chunks until the answer is whole or breaks off."""
        buffered = b""
        async for data in response.aiter_raw():
            reading.heard_at = trio.current_time()
            *whole, buffered = (buffered + data).split(b"\n")
            end = await self._feed(whole, assembler, deliver)
            if end is not None:
                return end
        return Lost(assembler.offset, "stream ended early")

    async def _feed(
        self, lines: list[bytes], assembler: Assembler, deliver: Deliver
    ) -> AttemptEnd | None:
        """Deliver what has arrived together as one batch, which delays nothing."""
        pieces: list[Piece] = []
        end: AttemptEnd | None = None
        for line in lines:
            step = assembler.feed(msgspec.json.decode(line, type=Chunk))
            match step:
                case Piece():
                    pieces.append(step)
                case Ignored(reason=reason):
                    self._counters.count(f"chunk.ignored.{reason.replace(' ', '_')}")
                case Gap():
                    self._counters.count("chunk.gap")
                    end = Lost(assembler.offset, "chunks are missing")
                case Complete(tokens=tokens):
                    end = Completed(tokens)
            if end is not None:
                break
        if pieces:
            await deliver(pieces)
        return end

    async def call(self, target: Target, body: dict) -> httpx.Response:
        """Call a plain service once, on a connection of its own."""
        url = f"http://{target.host}:{target.port}/v1/call"
        response = await self._single_use.post(url, content=msgspec.json.encode(body))
        self._hear_back_off(target, response)
        return response

    def _hear_back_off(self, target: Target, response: httpx.Response) -> None:
        """Take in that a server turns a request away and wants nothing of this VM for a time."""
        if response.status_code not in TURNED_AWAY_STATUSES:
            return
        seconds = decimal(response.headers.get("Retry-After"))
        if seconds is None:
            return
        self._counters.count("back_off.asked")
        logger.info("server {} wants nothing for {} s", target.server, seconds)
        start = (target.server, target.incarnation)
        self._back_offs.ask(start, seconds * 1000, time.monotonic() * 1000)

    async def cancel(
        self, target: Target, request: str, attempt: int, unless_began: bool = False
    ) -> str | None:
        """Cancel an attempt and return its state, or None where nothing is known.

        The answer of another incarnation proves nothing about this one's attempts.
        """
        body = AttemptRequest(request=request, attempt=attempt, unless_began=unless_began)
        answer = await self.post(target, "/v1/cancel", body)
        if answer is None or answer.get("incarnation") != target.incarnation:
            return None
        return answer.get("state")

    async def post(
        self, target: Target, path: str, body, seconds: float = CANCEL_SECONDS
    ) -> dict | None:
        """Send one small bounded exchange; None where no proper answer came."""
        url = f"http://{target.host}:{target.port}{path}"
        with trio.move_on_after(seconds):
            try:
                response = await self._control.post(url, content=msgspec.json.encode(body))
                if response.status_code == 200:
                    return msgspec.json.decode(response.content, type=dict)
            except (httpx.HTTPError, msgspec.MsgspecError):
                self._counters.count("backend.exchange_failed")
        return None

    async def refuses(self, target: Target) -> bool:
        """Tell whether a server's machine refuses connections, as it does for a dead process."""
        with trio.move_on_after(CANCEL_SECONDS):
            try:
                await self._control.get(f"http://{target.host}:{target.port}/")
            except httpx.ConnectError:
                return True
            except httpx.HTTPError:
                # It listens, or says nothing; neither is a dead process.
                self._counters.count("backend.exchange_failed")
        return False

    async def cache_events(self, target: Target, after: int) -> CacheEvents | None:
        """Fetch a server's cache events after a sequence number."""
        url = f"http://{target.host}:{target.port}/v1/cache-events?after={after}"
        with trio.move_on_after(CANCEL_SECONDS):
            try:
                response = await self._control.get(url)
                return msgspec.json.decode(response.content, type=CacheEvents)
            except (httpx.HTTPError, msgspec.MsgspecError):
                self._counters.count("backend.exchange_failed")
        return None


def _refusal(response: httpx.Response, assembler: Assembler) -> AttemptEnd | None:
    """Return how an attempt ended that gave no stream, or None where it streams."""
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
