"""Serve an ASGI application with Hypercorn, within limits on connections and bodies.

Hypercorn's connections and the application stay as they are. This module accepts the connections,
so that their number is bounded, and reads each body before the application runs, so that the sum
of all bodies is.
"""

from collections.abc import Awaitable, Callable, Iterable
from functools import partial
from typing import NamedTuple

import msgspec
import trio
from hypercorn.trio.lifespan import Lifespan
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import AppWrapper, ConnectionState
from hypercorn.utils import wrap_app

from siskinspoke.coordination.connection_table import ConnectionState as TrackedState
from siskinspoke.coordination.connection_table import TrackedConnection
from siskinspoke.core.codes import CODE_INFO, Failure, ResultCode
from siskinspoke.transport.client_resources import (
    EVENTS_PER_TURN,
    BodyArrivals,
    ClientResources,
    serve_connections,
)
from siskinspoke.transport.http import JSON_TYPE, HttpServer, failure_headers, make_config

# How much is read after a refusal, and for how long, so that the client reads it.
MAX_DISCARDED_BYTES = 4_194_304
DISCARD_SECONDS = 2.0
FULL_RETRY_AFTER_MS = 1_000

# Key of a request's scope: when its head had arrived, on Trio's clock.
ARRIVED_AT = "siskinspoke.arrived_at"

RequestHeaders = Iterable[tuple[bytes, bytes]]
# Returns the failure with which a request is refused by its path and headers, or None.
HeadCheck = Callable[[str, RequestHeaders], Failure | None]


def find_header(headers: RequestHeaders, name: str) -> str | None:
    """Return the value of a header, whose name is in lower case."""
    found = (value.decode("latin-1") for key, value in headers if key == name.encode())
    return next(found, None)


class ClientGoneError(Exception):
    """The client has disconnected before its request was complete."""


class BodyRules(NamedTuple):
    """Limits on a body in bytes and seconds, and the check of a request before its body."""

    max_bytes: int
    seconds: float
    check_head: HeadCheck = lambda path, headers: None


class LimitedServer(NamedTuple):
    """A server and its limits; ``rules`` returns the current ones, which may change."""

    server: HttpServer
    rules: Callable[[], BodyRules]
    resources: ClientResources


class TrackedStream(trio.abc.HalfCloseableStream):
    """A connection that records when a part of a request has arrived."""

    def __init__(self, stream: trio.SocketStream, tracked: TrackedConnection):
        self._stream = stream
        self._tracked = tracked
        self._fits = True

    @property
    def socket(self):
        """The socket of the connection."""
        return self._stream.socket

    @property
    def fits(self) -> bool:
        """Return whether there was room for the request that arrived last."""
        return self._fits

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive data."""
        data = await self._stream.receive_some(max_bytes)
        if data and self._tracked.state in (TrackedState.SILENT, TrackedState.IDLE):
            self._fits = self._tracked.change(TrackedState.ARRIVING)
        return data

    async def send_all(self, data) -> None:
        """Send data."""
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until data can be sent."""
        await self._stream.wait_send_all_might_not_block()

    async def send_eof(self) -> None:
        """Close the sending side."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()


class LimitedApp:
    """The application as one connection sees it: its requests come with their whole bodies."""

    def __init__(
        self,
        app: AppWrapper,
        rules: Callable[[], BodyRules],
        arrivals: BodyArrivals,
        stream: TrackedStream,
        tracked: TrackedConnection,
    ):
        self._app = app
        self._rules = rules
        self._arrivals = arrivals
        self._stream = stream
        self._tracked = tracked

    async def __call__(self, scope, receive, send, sync_spawn, call_soon) -> None:
        """Run the application, or refuse the request."""
        if scope["type"] != "http":
            await self._app(scope, receive, send, sync_spawn, call_soon)
            return
        scope = {**scope, ARRIVED_AT: trio.current_time()}
        rules = self._rules()
        failure = self._check_head(scope, rules)
        body: bytes | None = None
        with trio.CancelScope() as evicted:
            held = self._arrivals.open(evicted.cancel)
            try:
                if failure is None:
                    body, failure = await self._read_body(receive, rules, held)
                if failure is None:
                    held.finish()
                    self._tracked.change(TrackedState.RUNNING)
                    messages = _with_body(body, receive)
                    await self._app(scope, messages, send, sync_spawn, call_soon)
                    self._tracked.change(TrackedState.IDLE)
                    return
            except ClientGoneError:
                return
            finally:
                held.release()
        if evicted.cancelled_caught:
            failure = Failure(
                ResultCode.TOO_MANY_STREAMS, "the VM holds too many bodies", FULL_RETRY_AFTER_MS
            )
        self._tracked.change(TrackedState.REFUSED)
        self._arrivals.record_refusal(CODE_INFO[failure.code].status, failure.message)
        await self._refuse(receive, send, failure)

    def _check_head(self, scope, rules: BodyRules) -> Failure | None:
        """Return the failure that the head of a request shows, or None."""
        if not self._stream.fits:
            message = "this VM has reached its limit of open requests"
            return Failure(ResultCode.TOO_MANY_STREAMS, message, FULL_RETRY_AFTER_MS)
        failure = rules.check_head(scope["path"], scope["headers"])
        if failure is not None:
            return failure
        lengths = [int(value) for name, value in scope["headers"] if name == b"content-length"]
        return _too_large() if lengths and lengths[0] > rules.max_bytes else None

    async def _read_body(self, receive, rules: BodyRules, held) -> tuple[bytes, Failure | None]:
        """Return a whole body, or the failure that refuses it."""
        body, events = bytearray(), 0
        with trio.move_on_after(rules.seconds):
            while True:
                message = await receive()
                if message["type"] == "http.disconnect":
                    raise ClientGoneError
                body += message["body"]
                if len(body) > rules.max_bytes:
                    return b"", _too_large()
                held.add(len(message["body"]))
                if not message["more_body"]:
                    return bytes(body), None
                events += 1
                if not events % EVENTS_PER_TURN:
                    await self._arrivals.turns.wait()
        return b"", Failure(ResultCode.BODY_TIMEOUT, "the body did not arrive in time")

    async def _refuse(self, receive, send, failure: Failure) -> None:
        """Send a failure, and read on for a while: a reset might discard the answer."""
        body = msgspec.json.encode(failure.to_document())
        headers = [
            *((name.encode(), value.encode()) for name, value in failure_headers(failure).items()),
            (b"content-type", JSON_TYPE.encode()),
            (b"content-length", b"%d" % len(body)),
            (b"connection", b"close"),
        ]
        status = CODE_INFO[failure.code].status
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": body, "more_body": True})
        await _discard(receive)
        await send({"type": "http.response.body", "body": b"", "more_body": False})


def _too_large() -> Failure:
    return Failure(ResultCode.BODY_TOO_LARGE, "the body is over the limit")


async def _discard(receive) -> None:
    """Read the rest of a request, within limits."""
    size = 0
    with trio.move_on_after(DISCARD_SECONDS):
        while size < MAX_DISCARDED_BYTES:
            message = await receive()
            if message["type"] == "http.disconnect" or not message["more_body"]:
                return
            size += len(message["body"])


def _with_body(body: bytes, receive) -> Callable[[], Awaitable[dict]]:
    """Return a channel that yields a whole body, then what follows it."""
    first = [{"type": "http.request", "body": body, "more_body": False}]

    async def receive_next() -> dict:
        return first.pop() if first else await receive()

    return receive_next


async def serve_limited(
    limited: LimitedServer, shutdown: trio.Event, task_status=trio.TASK_STATUS_IGNORED
) -> None:
    """Serve until ``shutdown`` is set, then let open responses finish."""
    server, resources = limited.server, limited.resources
    config = make_config(server)
    app = wrap_app(server.app, config.wsgi_max_body_size, "asgi")
    lifespan = Lifespan(app, config, {})
    context = WorkerContext(None)

    async def serve_one(stream: trio.SocketStream, tracked: TrackedConnection) -> None:
        tracked_stream = TrackedStream(stream, tracked)
        limited_app = LimitedApp(app, limited.rules, resources.arrivals, tracked_stream, tracked)
        await TCPServer(limited_app, config, context, ConnectionState({}), tracked_stream)

    async with trio.open_nursery() as lifespan_nursery:
        await lifespan_nursery.start(lifespan.handle_lifespan)
        await lifespan.wait_for_startup()
        async with trio.open_nursery() as connections:
            try:
                async with trio.open_nursery() as accepting:
                    listeners = await accepting.start(
                        partial(serve_connections, handler_nursery=connections),
                        resources,
                        serve_one,
                        server.host,
                        server.port,
                    )
                    task_status.started(listeners)
                    await shutdown.wait()
                    accepting.cancel_scope.cancel()
            finally:
                await context.terminated.set()
                connections.cancel_scope.deadline = trio.current_time() + server.graceful_seconds
        await lifespan.wait_for_shutdown()
        lifespan_nursery.cancel_scope.cancel()
