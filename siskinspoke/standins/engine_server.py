"""HTTP server that runs an engine model in real time behind the backend protocol."""

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
from siskinspoke.protocol.prefix import count_tokens, prefix_hashes
from siskinspoke.standins.engine_model import Attempt, AttemptKey, EngineModel, EngineParameters
from siskinspoke.transport.http import json_response, make_app

PRIORITY_RANKS = 16
MAX_BODY_BYTES = 64_000_000
IDLE_POLL_SECONDS = 0.05
# Exit code after a prompt that crashes the engine.
CRASH_EXIT_CODE = 70


class EngineIdentity(NamedTuple):
    """Identity and addresses of a stand-in server."""

    server: str
    failure_domain: str
    host: str
    port: int
    service: str
    incarnation: int
    fencing: bool = True
    advertised_host: str = ""


def token_text(request_id: str, index: int) -> str:
    """Return the text of one token, derived from the request so that clients can verify it."""
    return f"{xxhash.xxh32_intdigest(f'{request_id}:{index}'.encode()):08x} "


def expected_text(request_id: str, tokens: int) -> str:
    """Return the complete response expected for a request."""
    return "".join(token_text(request_id, index) for index in range(tokens))


def now_ms() -> float:
    """Return the monotonic time in milliseconds."""
    return time.monotonic() * 1000


class EngineServer:
    """Run an engine model and stream its output to readers."""

    def __init__(
        self,
        identity: EngineIdentity,
        parameters: EngineParameters,
        slow: float = 1.0,
        deadly_text: str = "",
    ):
        self.identity = identity
        self._crash_text = deadly_text
        self._crashing_attempts: list[Attempt] = []
        self.model = EngineModel(parameters)
        self.fence = 0
        self.orders: list[dict] = []
        self.order_seconds = 0.0
        self.start_counts: dict[str, int] = {}
        self._slowdown = slow
        self._step_finished = trio.Event()
        self._work_available = trio.Event()

    async def run(self) -> None:
        """Run steps while there is work, and wait for work otherwise."""
        while True:
            plan = self.model.begin_step(now_ms())
            if plan is None:
                self._work_available = trio.Event()
                with trio.move_on_after(IDLE_POLL_SECONDS):
                    await self._work_available.wait()
                continue
            await trio.sleep(plan.duration_ms * self._slowdown / 1000)
            self.model.finish_step(plan, now_ms())
            self._notify_readers()
            if any(attempt.emitted for attempt in self._crashing_attempts):
                # Exits as if killed: nothing is closed and no one is notified.
                os._exit(CRASH_EXIT_CODE)

    def _notify_readers(self) -> None:
        step_finished, self._step_finished = self._step_finished, trio.Event()
        step_finished.set()

    def make_announcement(self, seq: int, leaving: bool) -> Announcement:
        """Return an announcement of the current state."""
        identity, model = self.identity, self.model
        return Announcement(
            identity.server,
            identity.incarnation,
            seq,
            identity.failure_domain,
            identity.advertised_host or identity.host,
            identity.port,
            "model",
            identity.service,
            leaving,
            identity.fencing,
            model.parameters.memory_tokens,
            model.free_tokens,
            model.running,
            model.queued_prefill_tokens(PRIORITY_RANKS),
            model.parameters.prefill_rate / self._slowdown,
            model.accepted,
        )

    def start(self, body: GenerateRequest) -> Attempt | None:
        """Start an attempt, or return it if it is already running; None if it is refused."""
        key = AttemptKey(body["request"], body["attempt"])
        prompt = body["prompt"]
        attempt = Attempt(
            key,
            max(1, count_tokens(prompt) - body.get("prefilled", 0)),
            body["max_tokens"],
            body["priority"],
            prefix_hashes(prompt),
            body["offset"],
            body.get("reservation", ""),
            body["lease_ms"],
        )
        if not self.model.start(attempt, now_ms()):
            return None
        self.start_counts[key.request] = self.start_counts.get(key.request, 0) + 1
        self._work_available.set()
        if self._crash_text and self._crash_text in prompt:
            self._crashing_attempts.append(self.model.attempts[key])
        return self.model.attempts[key]

    async def stream(self, attempt: Attempt, offset: int):
        """Yield the chunks of an attempt from ``offset`` on, as newline-delimited JSON."""
        attempt.readers += 1
        try:
            while True:
                step_finished = self._step_finished
                if offset < attempt.emitted:
                    text = "".join(
                        token_text(attempt.key.request, index)
                        for index in range(offset, attempt.emitted)
                    )
                    yield self._line(attempt, offset, attempt.emitted - offset, text, False)
                    offset = attempt.emitted
                if not attempt.active:
                    break
                await step_finished.wait()
            if attempt.emitted >= attempt.max_tokens:
                yield self._line(attempt, offset, 0, "", True)
        finally:
            attempt.readers -= 1
            attempt.unread_since = now_ms()

    def _line(self, attempt: Attempt, offset: int, tokens: int, text: str, done: bool) -> bytes:
        chunk = Chunk(*attempt.key, self.identity.incarnation, offset, tokens, text, done)
        return msgspec.json.encode(chunk) + b"\n"


def engine_app(server: EngineServer):
    """Return the HTTP application of a stand-in engine."""
    app = make_app("engine", MAX_BODY_BYTES, 60)
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
        server._notify_readers()
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
                "began": server.start_counts,
                "reservations": len(model.reservations),
                "orders": server.orders,
            }
        )

    return app
