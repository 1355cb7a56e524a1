"""Run an engine model in real time behind the backend protocol."""

import math
import os
import time
from typing import NamedTuple

import msgspec
import trio
import xxhash
from quart import Response, request

from siskinspoke.protocol.announcements import Announcement
from siskinspoke.protocol.engine import AttemptRequest, Chunk, GenerateRequest, ReserveRequest
from siskinspoke.protocol.prefix import count_tokens, prefix_blocks
from siskinspoke.standins.engine_model import Attempt, AttemptKey, EngineModel, EngineParameters
from siskinspoke.transport.http import json_response, make_app

RANKS = 16
MAX_BODY = 64_000_000
IDLE_SECONDS = 0.05
# Exit code of an engine that a deadly prompt has ended.
DEADLY_EXIT = 70


class EngineIdentity(NamedTuple):
    """Who a stand-in engine is and where it listens."""

    server: str
    failure_domain: str
    host: str
    port: int
    service: str
    incarnation: int
    fencing: bool = True
    advertised_host: str = ""


def token_text(request_id: str, index: int) -> str:
    """Return the text of one token; a function of the request, so that callers can check it."""
    return f"{xxhash.xxh32_intdigest(f'{request_id}:{index}'.encode()):08x} "


def expected_text(request_id: str, tokens: int) -> str:
    """Return the whole answer that a request must receive."""
    return "".join(token_text(request_id, index) for index in range(tokens))


def now_ms() -> float:
    """Return the monotonic clock in milliseconds."""
    return time.monotonic() * 1000


class EngineServer:
    """Own an engine model, its clock and its readers."""

    def __init__(
        self,
        identity: EngineIdentity,
        parameters: EngineParameters,
        slow: float = 1.0,
        deadly_text: str = "",
    ):
        self.identity = identity
        self._deadly_text = deadly_text
        self._deadly: list[Attempt] = []
        self.model = EngineModel(parameters)
        self.fence = 0
        self.orders: list[dict] = []
        self.order_seconds = 0.0
        self.began: dict[str, int] = {}
        self._slow = slow
        self._tick = trio.Event()
        self._work = trio.Event()

    async def run(self) -> None:
        """Compute steps for as long as there is work."""
        while True:
            plan = self.model.begin_step(now_ms())
            if plan is None:
                self._work = trio.Event()
                with trio.move_on_after(IDLE_SECONDS):
                    await self._work.wait()
                continue
            await trio.sleep(plan.duration_ms * self._slow / 1000)
            self.model.finish_step(plan, now_ms())
            self._announce_tick()
            if any(attempt.emitted for attempt in self._deadly):
                # As a process ends that the system kills: nothing is closed, nobody is told.
                os._exit(DEADLY_EXIT)

    def _announce_tick(self) -> None:
        tick, self._tick = self._tick, trio.Event()
        tick.set()

    def report(self, seq: int, leaving: bool) -> Announcement:
        """Return the announcement of this moment."""
        who, model = self.identity, self.model
        return Announcement(
            who.server,
            who.incarnation,
            seq,
            who.failure_domain,
            who.advertised_host or who.host,
            who.port,
            "model",
            who.service,
            leaving,
            who.fencing,
            model.parameters.memory_tokens,
            model.free_tokens,
            model.running,
            model.queued(RANKS),
            model.parameters.prefill_rate / self._slow,
            model.accepted,
        )

    def start(self, body: GenerateRequest) -> Attempt | None:
        """Start an attempt, or return the one that runs already."""
        key = AttemptKey(body["request"], body["attempt"])
        prompt = body["prompt"]
        attempt = Attempt(
            key,
            max(1, count_tokens(prompt) - body.get("prefilled", 0)),
            body["max_tokens"],
            body["priority"],
            prefix_blocks(prompt),
            body["offset"],
            body.get("reservation", ""),
            body["lease_ms"],
        )
        if not self.model.start(attempt, now_ms()):
            return None
        self.began[key.request] = self.began.get(key.request, 0) + 1
        self._work.set()
        if self._deadly_text and self._deadly_text in prompt:
            self._deadly.append(self.model.attempts[key])
        return self.model.attempts[key]

    async def stream(self, attempt: Attempt, offset: int):
        """Yield the chunks of an attempt from ``offset`` on, as lines of JSON."""
        attempt.readers += 1
        try:
            while True:
                tick = self._tick
                if offset < attempt.emitted:
                    text = "".join(
                        token_text(attempt.key.request, index)
                        for index in range(offset, attempt.emitted)
                    )
                    yield self._line(attempt, offset, attempt.emitted - offset, text, False)
                    offset = attempt.emitted
                if not attempt.active:
                    break
                await tick.wait()
            if attempt.emitted >= attempt.max_tokens:
                yield self._line(attempt, offset, 0, "", True)
        finally:
            attempt.readers -= 1
            attempt.silent_since = now_ms()

    def _line(self, attempt: Attempt, offset: int, tokens: int, text: str, done: bool) -> bytes:
        chunk = Chunk(*attempt.key, self.identity.incarnation, offset, tokens, text, done)
        return msgspec.json.encode(chunk) + b"\n"


def engine_app(server: EngineServer):
    """Return the HTTP application of a stand-in engine."""
    app = make_app("engine", MAX_BODY, 60)
    model = server.model

    @app.post("/v1/generate")
    async def generate() -> Response:
        body = msgspec.json.decode(await request.get_data(), type=GenerateRequest)
        attempt = server.start(body)
        if attempt is None:
            return json_response({"refused": "cancelled or too long"}, 409)
        headers = {"X-Accepted": str(attempt.arrival)}
        return Response(
            server.stream(attempt, body["offset"]),
            200,
            headers,
            content_type="application/x-ndjson",
        )

    @app.post("/v1/resume")
    async def resume() -> Response:
        body = msgspec.json.decode(await request.get_data(), type=AttemptRequest)
        attempt = model.attempts.get(AttemptKey(body["request"], body["attempt"]))
        if attempt is None:
            return json_response({"refused": "unknown"}, 404)
        return Response(
            server.stream(attempt, body.get("offset", 0)), 200, content_type="application/x-ndjson"
        )

    @app.post("/v1/cancel")
    async def cancel() -> Response:
        body = msgspec.json.decode(await request.get_data(), type=AttemptRequest)
        key = AttemptKey(body["request"], body["attempt"])
        state = model.cancel(key, now_ms(), body.get("unless_began", False))
        server._announce_tick()
        return json_response({"state": state, "incarnation": server.identity.incarnation})

    @app.post("/v1/reserve")
    async def reserve() -> Response:
        body = msgspec.json.decode(await request.get_data(), type=ReserveRequest)
        model.expire(now_ms())
        granted = model.reserve(
            body["reservation"], body["owner"], body["tokens"], body["lease_ms"], now_ms()
        )
        return json_response({"granted": granted}, 200 if granted else 409)

    @app.post("/v1/renew")
    async def renew() -> Response:
        body = msgspec.json.decode(await request.get_data(), type=ReserveRequest)
        model.expire(now_ms())
        renewed = model.renew(body["reservation"], body["lease_ms"], now_ms())
        return json_response({"renewed": renewed}, 200 if renewed else 404)

    @app.post("/v1/release")
    async def release() -> Response:
        body = msgspec.json.decode(await request.get_data(), type=ReserveRequest)
        model.release(body["reservation"])
        return json_response({"released": True})

    @app.post("/v1/prefill")
    async def prefill() -> Response:
        body = msgspec.json.decode(await request.get_data(), type=ReserveRequest)
        if body["reservation"] not in model.reservations:
            return json_response({"refused": "no such reservation"}, 409)
        steps = math.ceil(body["tokens"] / model.parameters.chunk_tokens)
        per_step = model.parameters.chunk_tokens / model.parameters.prefill_rate
        await trio.sleep(steps * per_step)
        return json_response({"prefilled": body["tokens"]})

    @app.get("/v1/cache-events")
    async def cache_events() -> Response:
        after = int(request.args.get("after", "0"))
        first = model.events[0][0] if model.events else 0
        found = [event for event in model.events if event[0] > after]
        return json_response({"first": first, "events": found})

    @app.post("/v1/orders")
    async def orders() -> Response:
        body = msgspec.json.decode(await request.get_data())
        if server.identity.fencing and body["fence"] < server.fence:
            return json_response({"refused": "old fencing number", "fence": server.fence}, 409)
        server.fence = max(server.fence, body["fence"])
        if all(known["order"] != body["order"] for known in server.orders):
            server.orders.append(body | {"began_ms": now_ms()})
            await trio.sleep(server.order_seconds)
        return json_response({"carried_out": body["order"]})

    @app.get("/v1/state")
    async def state() -> Response:
        model.expire(now_ms())
        return json_response(
            {
                "free_tokens": model.free_tokens,
                "total_tokens": model.parameters.memory_tokens,
                "running": model.running,
                "began": server.began,
                "reservations": len(model.reservations),
                "orders": server.orders,
            }
        )

    return app
