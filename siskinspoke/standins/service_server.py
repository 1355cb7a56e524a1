"""A stand-in plain service with non-idempotent calls, which it logs."""

import time
from pathlib import Path

import msgspec
import trio
from quart import Response, request

from siskinspoke.protocol.announcements import Announcement
from siskinspoke.protocol.engine import AttemptRequest, CancelState
from siskinspoke.standins.engine_server import EngineIdentity
from siskinspoke.transport.http import json_response, make_app

MAX_BODY_BYTES = 16_000_000


class ServiceServer:
    """Record the calls that ran, in memory and optionally in a file."""

    def __init__(self, identity: EngineIdentity, delay_ms: float, run_log: str = ""):
        self.identity = identity
        self.delay_seconds = delay_ms / 1000
        self.ran: list[list] = []
        self.finished: set[tuple[str, int]] = set()
        self.tombstones: set[tuple[str, int]] = set()
        self.running = 0
        self.accepted = 0
        self._run_log = Path(run_log) if run_log else None

    def begin(self, request_id: str, attempt: int, subject: str) -> bool:
        """Record the start of a call; False if it was cancelled before."""
        if (request_id, attempt) in self.tombstones:
            return False
        self.accepted += 1
        self.ran.append([request_id, attempt, subject])
        if self._run_log is not None:
            with self._run_log.open("a") as file:
                file.write(f"{time.time():.3f} {request_id} {attempt} {subject}\n")
        return True

    def cancel(self, request_id: str, attempt: int) -> str:
        """Return the state of a call; one that has not begun leaves a tombstone."""
        key = (request_id, attempt)
        if key in self.finished:
            return CancelState.FINISHED
        if any(item[0] == request_id and item[1] == attempt for item in self.ran):
            return CancelState.RUNNING
        self.tombstones.add(key)
        return CancelState.NEVER_BEGAN

    def make_announcement(self, seq: int, leaving: bool) -> Announcement:
        """Return an announcement of the current state."""
        identity = self.identity
        return Announcement(
            identity.server,
            identity.incarnation,
            seq,
            identity.failure_domain,
            identity.advertised_host or identity.host,
            identity.port,
            "plain",
            identity.service,
            leaving,
            identity.fencing,
            0,
            0,
            self.running,
            [],
            0.0,
            self.accepted,
        )


def service_app(server: ServiceServer):
    """Return the HTTP application of a stand-in plain service."""
    app = make_app("service", MAX_BODY_BYTES, 60)

    @app.post("/v1/call")
    async def call() -> Response:
        body = msgspec.json.decode(await request.get_data())
        if not server.begin(body["request"], body["attempt"], body.get("subject", "")):
            return json_response({"refused": "cancelled"}, 409)
        server.running += 1
        # A call that has begun continues after its client disconnects.
        with trio.CancelScope(shield=True):
            await trio.sleep(server.delay_seconds)
        server.running -= 1
        server.finished.add((body["request"], body["attempt"]))
        return json_response({"result": f"done {body['request']}"})

    @app.post("/v1/cancel")
    async def cancel() -> Response:
        body = msgspec.json.decode(await request.get_data(), type=AttemptRequest)
        state = server.cancel(body["request"], body["attempt"])
        return json_response({"state": state, "incarnation": server.identity.incarnation})

    @app.get("/v1/state")
    async def state() -> Response:
        return json_response({"ran": server.ran, "running": server.running})

    return app
