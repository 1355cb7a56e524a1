"""The platform's calls to a control VM: announcements of servers, and the operator's."""

from typing import Literal

import msgspec
from expression import Error, Ok, Result
from quart import Response, request

from siskinspoke.conf.vm import address_from
from siskinspoke.control.group_daemon import ControlParts
from siskinspoke.coordination.directory import UNDATED
from siskinspoke.core.codes import Failure, ResultCode
from siskinspoke.platform.configuration import decode_configuration, services_in
from siskinspoke.protocol.announcements import Announcement
from siskinspoke.transport.http import json_response, make_app

MAX_BODY_BYTES = 16_000_000
BODY_SECONDS = 5.0
# A deregistration has no number; it goes after all that the same start of the server has sent.
LAST_SEQ = 2**60
DRAINING = "draining"


class Beat(msgspec.Struct):
    """What a server says of itself; the fields that nothing needs are left out."""

    service: str
    address: str
    zone: str
    seq: int
    state: Literal["ready", "draining"] = "ready"
    # The Unix millisecond of the server's start, by its own clock; some deployments leave it out
    # and give each start an id of its own.
    born: int = UNDATED


class Farewell(msgspec.Struct):
    """What a server says as it deregisters; the body may also be empty."""

    born: int | None = None


def announcement_from(server: str, body: bytes) -> Result[Announcement, Failure]:
    """Return the announcement that a heartbeat holds."""
    try:
        beat = msgspec.json.decode(body, type=Beat)
        address = address_from(beat.address)
    except (msgspec.MsgspecError, ValueError) as error:
        return Error(Failure(ResultCode.NOT_JSON, str(error)))
    return Ok(
        _announcement(
            server,
            beat.born,
            beat.seq,
            beat.state == DRAINING,
            service=beat.service,
            failure_domain=beat.zone,
            host=address.host,
            port=address.port,
        )
    )


def farewell_from(
    server: str, body: bytes, known: Announcement | None
) -> Result[Announcement, Failure]:
    """Return the leave that a deregistration holds, for the start that it names.

    One that names no start is a word of the latest that is known.
    """
    try:
        said = msgspec.json.decode(body, type=Farewell) if body else Farewell()
    except msgspec.MsgspecError as error:
        return Error(Failure(ResultCode.NOT_JSON, str(error)))
    if known is None:
        return Ok(_announcement(server, said.born or UNDATED, LAST_SEQ, leaving=True))
    start = known.incarnation if said.born is None else said.born
    return Ok(known._replace(incarnation=start, seq=LAST_SEQ, leaving=True))


def _announcement(server: str, incarnation: int, seq: int, leaving: bool, **known) -> Announcement:
    fields = {
        "failure_domain": "",
        "host": "",
        "port": 0,
        "service": "",
        **known,
    }
    return Announcement(
        server=server,
        incarnation=incarnation,
        seq=seq,
        kind="server",
        leaving=leaving,
        fencing=False,
        total_tokens=0,
        free_tokens=0,
        running=0,
        queued=[],
        prefill_rate=0.0,
        accepted_seq=0,
        **fields,
    )


def _refusal(failure: Failure, status: int = 400) -> Response:
    return json_response(failure.to_document(), status)


def _unsure(message: str) -> Response:
    return _refusal(Failure(ResultCode.NO_QUORUM, message), 503)


def control_app(parts: ControlParts):
    """Return the application that serves the platform's calls."""
    app = make_app("control", MAX_BODY_BYTES, BODY_SECONDS)
    registry = parts.registry

    def services() -> frozenset[str] | None:
        document = registry.held.document
        return None if document is None else services_in(document)

    @app.post("/instances/<server>/heartbeat")
    async def heartbeat(server: str) -> Response:
        read = announcement_from(server, await request.get_data())
        fault = read.error if read.is_error() else registry.fault_of(read.ok, services())
        if fault is not None:
            registry.refuse(server, fault)
            return _refusal(fault)
        if not await registry.announce(read.ok):
            return _unsure("nobody could be told of the leave; ask another VM")
        return json_response({})

    @app.post("/instances/<server>/deregister")
    async def deregister(server: str) -> Response:
        read = farewell_from(server, await request.get_data(), registry.known(server))
        if read.is_error():
            registry.refuse(server, read.error)
            return _refusal(read.error)
        if not await registry.announce(read.ok):
            return _unsure("nobody could be told of the leave; ask another VM")
        return json_response({})

    @app.post("/config/replace")
    async def replace() -> Response:
        decoded = decode_configuration(await request.get_data())
        if decoded.is_error():
            parts.log.note("configuration.refused", reason=decoded.error.message[:300])
            return _refusal(decoded.error)
        document, table = decoded.ok
        published = await registry.publish(table.version, document)
        if not published.known:
            return _unsure("no majority confirmed the configuration in time; send it again")
        return json_response({"version": published.version})

    @app.get("/config/get")
    async def get() -> Response:
        held = await registry.read()
        if held is None or held.document is None:
            return _unsure("this VM cannot tell which configuration is the newest")
        return json_response(held.document)

    return app
