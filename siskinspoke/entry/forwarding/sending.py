"""Forward a caller's request to peers, one after the other, until one serves it."""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import NamedTuple

import httpx
import msgspec
import trio
from loguru import logger
from quart import Response

from siskinspoke.conf.settings import EntryVM
from siskinspoke.coordination.forwarding.peer_choice import (
    OTHER_PEER_CODES,
    ForwardingRecord,
    PeerState,
    back_off_ms,
    choose_peer,
)
from siskinspoke.core.codes import Failure, ResultCode
from siskinspoke.entry.backend import connection_failed
from siskinspoke.entry.context import EntryContext, now_ms
from siskinspoke.protocol.events import EventSplitter, InvalidStreamError
from siskinspoke.protocol.forwarding import (
    FORWARD_HEADER,
    RESULT_HEADER,
    ForwardedRequest,
    digest_of,
    encode_forwarded,
)
from siskinspoke.transport.http import make_client

MAX_FORWARDS = 4
# Of a large fleet, this many peers are considered for a request.
MAX_CONSIDERED_PEERS = 16
# Added to the elapsed time, so that the peer's final answer arrives before this VM's deadline.
HOP_MARGIN_SECONDS = 0.02
# A peer that is waited for is asked for its health this often, and has as long to answer.
HEALTH_CHECK_SECONDS = 1.0
BODY_CHUNKS = 64
EVENT_STREAM = "text/event-stream"
PASSED_ON_HEADERS = ("Retry-After", "Cache-Control", "X-Request-Id")


class CallerRequest(NamedTuple):
    """A caller's request as it arrived; ``deadline`` is when this VM must have answered."""

    target: str
    body: bytes
    headers: dict[str, str]
    service: str
    arrived_at: float
    deadline: float


@dataclass(frozen=True)
class PeerAnswer:
    """The head of a peer's answer."""

    status: int
    headers: httpx.Headers

    @property
    def is_stream(self) -> bool:
        """Return whether the body is a stream of events."""
        return self.headers.get("Content-Type", "").startswith(EVENT_STREAM)


class Exchange:
    """One request to a peer, run by a task that owns its connection."""

    def __init__(
        self,
        client: httpx.AsyncClient,
        peer: EntryVM,
        request: httpx.Request,
        deadline: float,
        on_end: Callable[[], None],
    ):
        self.is_complete = False
        self.may_have_run = True
        self._client = client
        self._peer = peer
        self._request = request
        self._on_end = on_end
        self._scope = trio.CancelScope(deadline=deadline)
        self._head_sender, self._head = trio.open_memory_channel[PeerAnswer](1)
        self._body_sender, self._body = trio.open_memory_channel[bytes](BODY_CHUNKS)

    async def run(self) -> None:
        """Send the request and pass on the answer until it ends or the exchange is cancelled."""
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._watch)
                    await self._read()
                    nursery.cancel_scope.cancel()
        except* Exception as errors:
            # An uncaught exception would cancel all other requests of the VM.
            self.may_have_run = not all(
                isinstance(error, httpx.HTTPError) and connection_failed(error)
                for error in errors.exceptions
            )
            logger.info("forward.failed {}", {"peer": self._peer.name, "why": repr(errors)})
        finally:
            self._head_sender.close()
            self._body_sender.close()
            self._on_end()

    async def _read(self) -> None:
        response = await self._client.send(self._request, stream=True)
        try:
            await self._head_sender.send(PeerAnswer(response.status_code, response.headers))
            async for data in response.aiter_raw():
                await self._body_sender.send(data)
            self.is_complete = True
        finally:
            with trio.CancelScope(shield=True):
                await response.aclose()

    async def _watch(self) -> None:
        """Cancel the exchange once the peer stops responding: it may be frozen."""
        url = f"http://{self._peer.host}:{self._peer.port}/healthz"
        while True:
            await trio.sleep(HEALTH_CHECK_SECONDS)
            with trio.move_on_after(HEALTH_CHECK_SECONDS) as timeout:
                try:
                    await self._client.get(url)
                except httpx.HTTPError:
                    self._scope.cancel()
            if timeout.cancelled_caught:
                self._scope.cancel()

    async def head(self) -> PeerAnswer | None:
        """Return the head of the answer, or None if the peer broke off before."""
        try:
            return await self._head.receive()
        except trio.EndOfChannel:
            return None

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives."""
        async for data in self._body:
            yield data

    def cancel(self) -> None:
        """End the exchange; the peer sees that its connection is closed."""
        self._scope.cancel()


class Forwarder:
    """Forwards requests; owns the HTTP client for peers."""

    def __init__(self, local_host: str):
        self._client = make_client(keep_alive=False, local_host=local_host)
        self._record = ForwardingRecord()

    async def __aenter__(self) -> "Forwarder":
        await self._client.__aenter__()
        return self

    async def __aexit__(self, *details) -> None:
        await self._client.__aexit__(*details)

    async def forward(
        self, context: EntryContext, request: CallerRequest
    ) -> Response | Failure | None:
        """Return the answer of a peer, or None if none has sent the request to a server.

        A failure is returned if a peer broke off that may have done so.
        """
        if not self._record.may_forward(request.service, now_ms()):
            return None
        refused_domains: set[str] = set()
        codes: set[ResultCode | None] = set()
        refusal: Response | None = None
        may_have_run = False
        with trio.move_on_at(request.deadline) as limit:
            for _ in range(MAX_FORWARDS):
                peer = self._choose(context, refused_domains)
                if peer is None:
                    break
                found = await self._ask(context, request, peer)
                if isinstance(found, Response):
                    return found
                refused_domains.add(peer.failure_domain)
                codes.add(found.code)
                refusal = found.response or refusal
                may_have_run = may_have_run or found.may_have_run
            if codes == {ResultCode.NOT_REACHABLE_NOW}:
                self._record.record_unserved(request.service, now_ms())
        if limit.cancelled_caught or may_have_run:
            return Failure(ResultCode.FATE_UNKNOWN, "a peer may have run it, and is gone")
        return refusal

    def _choose(self, context: EntryContext, refused_domains: set[str]) -> EntryVM | None:
        """Return the next peer; those in failure domains whose VMs refused come last."""
        peers = {item.host: item for item in context.settings.entries if item != context.vm}
        hosts = [host for host in peers if self._record.may_ask(host, now_ms())]
        if len(hosts) > MAX_CONSIDERED_PEERS:
            hosts = context.rng.sample(hosts, MAX_CONSIDERED_PEERS)
        states = [
            PeerState(
                host,
                peers[host].failure_domain,
                self._record.open_requests(host),
                frozenset(),
                peers[host].failure_domain not in refused_domains,
            )
            for host in hosts
        ]
        chosen = choose_peer(states, context.vm.failure_domain, frozenset(), context.rng)
        return None if chosen is None else peers[chosen.host]

    async def _ask(
        self, context: EntryContext, request: CallerRequest, peer: EntryVM
    ) -> "Response | Refused":
        """Send the request to one peer and return its answer, or that it did not serve it."""
        context.counters.count("forward.sent")
        self._record.begin(peer.host)
        context.request_opened()

        def ended() -> None:
            self._record.end(peer.host)
            context.request_closed()

        sealed = self._request(context, request, peer)
        exchange = Exchange(self._client, peer, sealed, request.deadline, ended)
        context.nursery.start_soon(exchange.run)
        is_streaming = False
        try:
            head = await exchange.head()
            if head is None or RESULT_HEADER.decode() not in head.headers:
                return self._refused(context, peer, None, None, exchange.may_have_run)
            headers = {
                name: head.headers[name] for name in PASSED_ON_HEADERS if name in head.headers
            }
            kind = head.headers.get("Content-Type")
            if head.is_stream:
                is_streaming = True
                events = relay_events(exchange)
                return Response(events, head.status, headers, content_type=kind)
            body = b"".join([data async for data in exchange.chunks()])
            if not exchange.is_complete:
                return self._refused(context, peer, None, None, exchange.may_have_run)
            response = Response(body, head.status, headers, content_type=kind)
            code = _result_code(body) if head.status >= 400 else ResultCode.OK
            if code in OTHER_PEER_CODES:
                is_for_caller = code is not ResultCode.UNKNOWN_PEER
                return self._refused(context, peer, code, response if is_for_caller else None)
            context.counters.count("forward.passed_on")
            return response
        finally:
            if not is_streaming:
                exchange.cancel()

    def _refused(
        self,
        context: EntryContext,
        peer: EntryVM,
        code: ResultCode | None,
        response: Response | None,
        may_have_run: bool = False,
    ) -> "Refused":
        self._record.record_failure(peer.host, now_ms(), back_off_ms(code))
        reason = "broken" if code is None else code.name.lower()
        context.counters.count(f"forward.{reason}")
        logger.info("request.not_forwarded {}", {"peer": peer.name, "reason": reason})
        return Refused(code, response, may_have_run)

    def _request(
        self, context: EntryContext, request: CallerRequest, peer: EntryVM
    ) -> httpx.Request:
        elapsed = trio.current_time() - request.arrived_at + HOP_MARGIN_SECONDS
        origin = ForwardedRequest(
            context.vm.name,
            context.holder.current.version,
            elapsed * 1000,
            digest_of("POST", request.target, request.body),
        )
        sealed = encode_forwarded(context.settings.internal_key, origin)
        headers = request.headers | {FORWARD_HEADER.decode(): sealed.decode()}
        url = f"http://{peer.host}:{peer.port}{request.target}"
        return self._client.build_request("POST", url, content=request.body, headers=headers)


@dataclass(frozen=True)
class Refused:
    """A peer did not serve the request; ``response`` is its refusal, if it is for the caller."""

    code: ResultCode | None
    response: Response | None
    may_have_run: bool


async def relay_events(exchange: Exchange) -> AsyncIterator[bytes]:
    """Yield whole events; a stream that breaks off ends with a failure."""
    splitter = EventSplitter()
    try:
        is_valid = True
        async for data in exchange.chunks():
            try:
                events = splitter.feed(data)
            except InvalidStreamError as error:
                logger.info("forward.invalid {}", {"why": str(error)})
                is_valid = False
                break
            if events:
                yield b"".join(events)
        if not is_valid or not exchange.is_complete or splitter.incomplete:
            failure = Failure(ResultCode.ENGINE_LOST, "the peer that served the stream is gone")
            yield b"data: " + msgspec.json.encode(failure.to_document()) + b"\n\n"
    finally:
        exchange.cancel()


def _result_code(body: bytes) -> ResultCode | None:
    try:
        return ResultCode(msgspec.json.decode(body, type=dict)["error"]["code"])
    except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
        return None
