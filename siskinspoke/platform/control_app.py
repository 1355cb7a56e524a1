"""The platform's API on a control VM: server heartbeats and operator calls."""

from typing import Any, Literal
from urllib.parse import unquote

import msgspec
from expression import Error, Ok, Result

from siskinspoke.conf.vm import parse_address
from siskinspoke.control.group_daemon import ControlParts
from siskinspoke.coordination.directory import UNKNOWN_INCARNATION
from siskinspoke.core.codes import CODE_INFO, Failure, ResultCode
from siskinspoke.core.supervise import log_fault
from siskinspoke.platform.configuration import decode_configuration, service_names
from siskinspoke.protocol.announcements import Announcement
from siskinspoke.transport.calls import BodyLimits, Call, Reply

# What servers say of themselves is short, and many may speak at once; configurations are long.
ANNOUNCEMENT_BYTES = 65_536
BOUNDS = BodyLimits(
    max_bytes=16_000_000, timeout_seconds=5.0, by_prefix={"/instances/": ANNOUNCEMENT_BYTES}
)
JSON = "application/json"
# A deregistration carries no sequence number; it supersedes every heartbeat of the same process.
DEREGISTRATION_SEQ = 2**60
DRAINING = "draining"


class Beat(msgspec.Struct):
    """The body of a server's heartbeat; unused fields are omitted."""

    service: str
    address: str
    zone: str
    seq: int
    state: Literal["ready", "draining"] = "ready"
    # Start time of the server process as a Unix timestamp in milliseconds, by its own clock. Some
    # deployments omit it and give each process its own server ID.
    born: int = UNKNOWN_INCARNATION
    # How much longer the server is cold, in milliseconds.
    cold_left_ms: float | None = None
    # Requests that the server runs at once; 0 if it does not say.
    slots: int = 0


class Farewell(msgspec.Struct):
    """The body of a deregistration, which may also be empty."""

    born: int | None = None


def announcement_from(server: str, body: bytes) -> Result[Announcement, Failure]:
    """Decode a heartbeat into an announcement."""
    try:
        heartbeat = msgspec.json.decode(body, type=Beat)
        address = parse_address(heartbeat.address)
    except (msgspec.MsgspecError, ValueError) as error:
        return Error(Failure(ResultCode.NOT_JSON, str(error)))
    return Ok(
        _announcement(
            server,
            heartbeat.born,
            heartbeat.seq,
            heartbeat.state == DRAINING,
            service=heartbeat.service,
            failure_domain=heartbeat.zone,
            host=address.host,
            port=address.port,
            cold_ms=None if heartbeat.cold_left_ms is None else round(heartbeat.cold_left_ms),
            slots=heartbeat.slots,
        )
    )


def deregistration_from(
    server: str, body: bytes, latest: Announcement | None
) -> Result[Announcement, Failure]:
    """Decode a deregistration into an announcement that the server is leaving.

    It applies to the server process whose start time it names, or else to the latest known one.
    """
    try:
        deregistration = msgspec.json.decode(body, type=Farewell) if body else Farewell()
    except msgspec.MsgspecError as error:
        return Error(Failure(ResultCode.NOT_JSON, str(error)))
    if latest is None:
        return Ok(
            _announcement(
                server, deregistration.born or UNKNOWN_INCARNATION, DEREGISTRATION_SEQ, leaving=True
            )
        )
    start = latest.incarnation if deregistration.born is None else deregistration.born
    return Ok(latest._replace(incarnation=start, seq=DEREGISTRATION_SEQ, leaving=True))


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


def _reply(document: Any, status: int = 200) -> Reply:
    return Reply(status, msgspec.json.encode(document), JSON)


def _error_reply(failure: Failure, status: int = 400) -> Reply:
    return _reply(failure.to_document(), status)


def _unavailable(message: str) -> Reply:
    return _error_reply(Failure(ResultCode.NO_QUORUM, message), 503)


class ControlApp:
    """Serve the platform's API on a control VM."""

    def __init__(self, parts: ControlParts):
        self._registry = parts.registry
        self._counters = parts.counters
        self._log = parts.log
        self._service_cache: tuple[int, frozenset[str] | None] = (0, None)

    async def answer(self, call: Call) -> Reply:
        """Answer one call; an exception in one must not stop the VM."""
        try:
            return await self._answer(call)
        except Exception as error:
            log_fault(self._log, self._counters, f"{call.method} {call.path[:100]}", error)
            return _error_reply(Failure(ResultCode.INTERNAL, "a fault of this VM"), 500)

    async def _answer(self, call: Call) -> Reply:
        segments = [unquote(word) for word in call.path.split("/")[1:]]
        match (call.method, *segments):
            case ("POST", "instances", server, "heartbeat"):
                return await self._announce(server, call.body)
            case ("POST", "instances", server, "deregister"):
                return await self._deregister(server, call.body)
            case ("POST", "config", "replace"):
                return await self._replace(call.body)
            case ("POST", "evacuation", domain, "begin" | "end" as action):
                return await self._evacuate(domain, action == "begin", call.body)
            case ("GET", "evacuation"):
                return await self._list_evacuations()
            case ("GET", "config", "get"):
                return await self._get()
        return _error_reply(Failure(ResultCode.UNKNOWN_PATH, "no such path or method"), 404)

    def _services(self) -> frozenset[str] | None:
        """Return the services of the current configuration, or None before the first one."""
        current = self._registry.configuration
        if current.document is None:
            return None
        if self._service_cache[0] != current.version:
            self._service_cache = (current.version, service_names(current.document))
        return self._service_cache[1]

    async def _announce(self, server: str, body: bytes) -> Reply:
        registry = self._registry
        decoded = announcement_from(server, body)
        failure = (
            decoded.error
            if decoded.is_error()
            else registry.find_fault(decoded.ok, self._services())
        )
        if failure is not None:
            registry.record_refusal(server, failure)
            return _error_reply(failure)
        return await self._register(decoded.ok)

    async def _deregister(self, server: str, body: bytes) -> Reply:
        decoded = deregistration_from(server, body, self._registry.last_announcement(server))
        if decoded.is_error():
            self._registry.record_refusal(server, decoded.error)
            return _error_reply(decoded.error)
        return await self._register(decoded.ok)

    async def _register(self, announcement: Announcement) -> Reply:
        if not await self._registry.announce(announcement):
            return _unavailable("nobody could be told of the leave; ask another VM")
        return _reply({})

    async def _replace(self, body: bytes) -> Reply:
        decoded = decode_configuration(body)
        if decoded.is_error():
            self._log.note("configuration.refused", reason=decoded.error.message[:300])
            return _error_reply(decoded.error)
        document, table = decoded.ok
        published = await self._registry.publish(table.version, document)
        if not published.accepted:
            return _unavailable("no majority confirmed the configuration in time; send it again")
        return _reply({"version": published.version})

    async def _get(self) -> Reply:
        current = await self._registry.read()
        if current is None or current.document is None:
            return _unavailable("this VM cannot tell which configuration is the newest")
        return _reply(current.document)

    async def _evacuate(self, domain: str, begin: bool, body: bytes) -> Reply:
        if body:
            return _error_reply(Failure(ResultCode.INVALID_FIELD, "the order takes no body"))
        ordered = await self._registry.evacuate(domain, begin)
        if ordered.is_error():
            return _error_reply(ordered.error, CODE_INFO[ordered.error.code].status)
        answer = ordered.ok
        code = ResultCode.OK if answer.changed else ResultCode.NOTHING_CHANGED
        return _reply(
            {
                "domain": domain,
                "evacuated": begin,
                "changed": answer.changed,
                "revision": answer.revision,
                "code": int(code),
                "name": code.name,
            }
        )

    async def _list_evacuations(self) -> Reply:
        """Return the evacuations, and whether they are known to be the newest.

        A VM that is cut off from the majority still says what it knows.
        """
        current = await self._registry.are_evacuations_current()
        return _reply(
            {
                "current": current,
                "revision": self._registry.evacuations.revision,
                "evacuations": self._registry.list_evacuations(),
            }
        )
