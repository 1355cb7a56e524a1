"""A stand-in plain service whose calls may not be repeated; it logs what ran."""

import time
from pathlib import Path

import msgspec
import trio
from quart import Response, request

from siskinspoke.protocol.announcements import Announcement
from siskinspoke.protocol.engine import AttemptRequest, CancelState
from siskinspoke.standins.engine_server import EngineIdentity
from siskinspoke.transport.http import json_response, make_app

MAX_BODY = 16_000_000


class ServiceServer:
    """Own the record of what ran, in memory and, where a file is given, on disk."""

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
        """Record that a call runs; False if a tombstone forbids it."""
        if (request_id, attempt) in self.tombstones:
            return False
        self.accepted += 1
        self.ran.append([request_id, attempt, subject])
        if self._run_log is not None:
            with self._run_log.open("a") as file:
                file.write(f"{time.time():.3f} {request_id} {attempt} {subject}\n")
        return True

    def cancel(self, request_id: str, attempt: int) -> str:
        """Answer what is known of a call; one that never began never will."""
        key = (request_id, attempt)
        if key in self.finished:
            return CancelState.FINISHED
        if any(item[0] == request_id and item[1] == attempt for item in self.ran):
            return CancelState.RUNNING
        self.tombstones.add(key)
        return CancelState.NEVER_BEGAN

    def report(self, seq: int, leaving: bool) -> Announcement:
        """Return the announcement of this moment."""
        who = self.identity
        return Announcement(
            who.server,
            who.incarnation,
            seq,
            who.failure_domain,
            who.advertised_host or who.host,
            who.port,
            "plain",
            who.service,
            leaving,
            who.fencing,
            0,
            0,
            self.running,
            [],
            0.0,
            self.accepted,
        )


def service_app(server: ServiceServer):
    """Return the HTTP application of a stand-in plain service."""
    app = make_app("service", MAX_BODY, 60)

    @app.post("/v1/call")
    async def call() -> Response:
        body = msgspec.json.decode(await request.get_data())
        if not server.begin(body["request"], body["attempt"], body.get("subject", "")):
            return json_response({"refused": "cancelled"}, 409)
        server.running += 1
        # What a service has begun, like a letter in the post, goes on when its caller is gone.
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
