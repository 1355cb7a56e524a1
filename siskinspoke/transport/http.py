"""HTTP servers (Quart on Hypercorn) and clients (HTTPX) configured for long streams."""

import math
from typing import NamedTuple

import httpcore
import httpx
import msgspec
import trio
from hypercorn.config import Config
from hypercorn.trio import serve as hypercorn_serve
from loguru import logger
from quart import Response
from quart_trio import QuartTrio

from siskinspoke.coordination.read_budget import HeldData, ReadBudget
from siskinspoke.core.codes import CODE_INFO, Failure, ResultCode
from siskinspoke.transport.checked_streams import CheckedBackend
from siskinspoke.transport.chunks import ChunkCount

CONNECT_TIMEOUT_SECONDS = 1.0
KEEP_ALIVE_SECONDS = 30
MAX_HEADER_BYTES = 32_768
JSON_TYPE = "application/json"
# Headers on how a body is coded, which do not hold for one that has been read.
CODING_HEADERS = frozenset((b"content-encoding", b"transfer-encoding", b"content-length"))


class InvalidAnswerError(httpx.HTTPError):
    """An answer is too large, or comes in tiny chunks."""


class HttpServer(NamedTuple):
    """An application, its listening address and its shutdown timeout."""

    app: QuartTrio
    host: str
    port: int
    graceful_seconds: float


def make_app(name: str, max_body_bytes: int, body_seconds: float) -> QuartTrio:
    """Return an application without a limit on the duration of responses.

    Quart's RESPONSE_TIMEOUT would end every response after 60 s, also one that makes progress. The
    deadline of the request limits it instead.
    """
    app = QuartTrio(name)
    app.config["RESPONSE_TIMEOUT"] = None
    app.config["BODY_TIMEOUT"] = body_seconds
    app.config["MAX_CONTENT_LENGTH"] = max_body_bytes
    app.register_error_handler(404, _unknown_path)
    app.register_error_handler(405, _unknown_path)
    app.register_error_handler(413, _too_large)
    app.register_error_handler(408, _body_timeout)
    app.register_error_handler(500, _internal)
    return app


async def _unknown_path(_error) -> Response:
    return failure_response(Failure(ResultCode.UNKNOWN_PATH, "no such path or method"))


async def _too_large(_error) -> Response:
    return failure_response(Failure(ResultCode.BODY_TOO_LARGE, "the body is over the limit"))


async def _body_timeout(_error) -> Response:
    return failure_response(Failure(ResultCode.BODY_TIMEOUT, "the body did not arrive in time"))


async def _internal(error) -> Response:
    logger.error("request failed: {!r}", getattr(error, "original_exception", error))
    return failure_response(Failure(ResultCode.INTERNAL, "internal error of this VM"))


async def serve(server: HttpServer, shutdown: trio.Event, task_status=trio.TASK_STATUS_IGNORED):
    """Serve trusted clients until ``shutdown`` is set, then let open responses finish."""
    config = make_config(server)
    config.backlog = 1024
    await hypercorn_serve(
        server.app, config, shutdown_trigger=shutdown.wait, task_status=task_status
    )


def make_config(server: HttpServer) -> Config:
    """Return the configuration of Hypercorn.

    Its graceful_timeout defaults to 3 s, which would end longer streams at shutdown.
    """
    config = Config()
    config.bind = [f"{server.host}:{server.port}"]
    config.graceful_timeout = server.graceful_seconds
    config.keep_alive_timeout = KEEP_ALIVE_SECONDS
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    # Each stream of a connection would need room of its own.
    config.h2_max_concurrent_streams = 1
    config.accesslog = None
    config.loglevel = "WARNING"
    return config


def make_client(keep_alive: bool = True, local_host: str | None = None) -> httpx.AsyncClient:
    """Return a client without a limit on connections and without default read timeouts.

    With a limit on connections, short requests would wait for long streams; admission limits the
    streams instead. Every caller applies the deadline of its request. Without keep-alive each
    request has a new connection, so none is written to a connection that the server has closed.
    Peers use plain HTTP, so no certificates are loaded, which takes 20 ms per client.
    ``local_host`` is the VM's own address, which identifies it to peers.
    """
    timeout = httpx.Timeout(None, connect=CONNECT_TIMEOUT_SECONDS)
    transport = httpx.AsyncHTTPTransport(verify=False, trust_env=False)
    # HTTPX has no parameter for the network backend of its pool.
    transport._pool = httpcore.AsyncConnectionPool(
        max_connections=None,
        max_keepalive_connections=64 if keep_alive else 0,
        keepalive_expiry=4,
        local_address=local_host,
        network_backend=CheckedBackend(),
    )
    headers = {"Accept-Encoding": "identity"}
    return httpx.AsyncClient(transport=transport, timeout=timeout, trust_env=False, headers=headers)


async def fetch(
    client: httpx.AsyncClient,
    method: str,
    url: str,
    budget: ReadBudget,
    content: bytes | None = None,
    max_bytes: float = math.inf,
) -> httpx.Response:
    """Send a request and return its whole answer, whose body is not decoded.

    Raise InvalidAnswerError if the body exceeds ``max_bytes``, or what there is room for.
    """
    with trio.CancelScope() as scope:
        held = budget.open(scope.cancel)
        try:
            async with client.stream(method, url, content=content) as response:
                return await _read_answer(response, held, max_bytes)
        finally:
            held.release()
    raise InvalidAnswerError("there is no room for the answer")


async def _read_answer(
    response: httpx.Response, held: HeldData, max_bytes: float
) -> httpx.Response:
    body, chunks = bytearray(), ChunkCount()
    async for data in response.aiter_raw():
        body += data
        chunks.add(len(data))
        if len(body) > max_bytes or chunks.are_tiny:
            raise InvalidAnswerError(f"too large, or in tiny chunks: {len(body)} bytes")
        held.add(len(data))
        if held.is_evicted:
            # The scope around this ends at the next checkpoint.
            await trio.lowlevel.checkpoint()
    headers = [item for item in response.headers.raw if item[0].lower() not in CODING_HEADERS]
    return httpx.Response(
        response.status_code, headers=headers, content=bytes(body), request=response.request
    )


async def fetch_head(client: httpx.AsyncClient, url: str) -> None:
    """Send a request and read the head of its answer; raise httpx.HTTPError if none comes."""
    async with client.stream("GET", url):
        return


def json_response(document, status: int = 200, headers: dict | None = None) -> Response:
    """Return a JSON response with any value that msgspec can encode."""
    return Response(msgspec.json.encode(document), status, headers, content_type=JSON_TYPE)


def failure_response(failure: Failure) -> Response:
    """Return the response for a failure, with Retry-After if the failure sets it."""
    headers = failure_headers(failure)
    return json_response(failure.to_document(), CODE_INFO[failure.code].status, headers)


def failure_headers(failure: Failure) -> dict[str, str]:
    """Return the headers of the response for a failure."""
    if failure.retry_after_ms is None:
        return {}
    return {"Retry-After": str(-(-failure.retry_after_ms // 1000))}
