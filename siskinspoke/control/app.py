"""The HTTP interface of a control replica, for entry VMs and operators."""

import msgspec
import trio
from quart import Response, request

from siskinspoke.conf import Settings, configuration_from
from siskinspoke.conf.settings import ControlVM
from siskinspoke.control.replica_task import ReplicaTask
from siskinspoke.coordination.orders import ACTIONS, OrderBody, OrderRequest
from siskinspoke.coordination.state_machine import (
    CLAIM,
    CONFIGURE,
    LOOKUP,
    ORDER,
    SETTLE,
    ConfigureBody,
    ConfigureRequest,
)
from siskinspoke.core.codes import CODE_INFO, Failure, ResultCode
from siskinspoke.core.counters import Counters
from siskinspoke.entry.internal_app import operator_allowed
from siskinspoke.protocol.claims import ClaimRequest, LookupRequest, SettleRequest
from siskinspoke.protocol.sealed_http import SEAL_HEADER, verify_seal
from siskinspoke.transport.http import failure_response, json_response, make_app
from siskinspoke.transport.http_server import BodyRules, RequestHeaders, find_header

MAX_BODY_BYTES = 16_000_000
BODY_TIMEOUT_SECONDS = 10.0
COMMIT_TIMEOUT_SECONDS = 2.0
MAX_WAIT_MS = 30_000
OPERATOR_COMMANDS = (CONFIGURE, ORDER)
SEALED_PATHS = frozenset({"/v1/claim", "/v1/lookup", "/v1/settle"})


class ControlState:
    """The dependencies of a control replica's HTTP interface."""

    def __init__(self, vm: ControlVM, settings: Settings, task: ReplicaTask, counters: Counters):
        self.vm = vm
        self.settings = settings
        self.task = task
        self.counters = counters
        self.last_polls: dict[str, tuple[int, float]] = {}


def control_app(state: ControlState):
    """Return the application of a control replica."""
    app = make_app("control", MAX_BODY_BYTES, BODY_TIMEOUT_SECONDS)
    task = state.task

    @app.before_request
    async def authenticate() -> Response | None:
        """Authenticate entry VMs by the seal of the request and operators by their key."""
        path = request.full_path.rstrip("?")
        if verify_seal(
            state.settings.internal_key,
            path,
            await request.get_data(),
            request.headers.get(SEAL_HEADER),
        ):
            return None
        operator = operator_allowed(
            request.headers.get("Authorization"), state.settings.operator_key
        )
        if operator and request.path not in SEALED_PATHS:
            return None
        state.counters.count("refused.unauthenticated")
        return failure_response(
            Failure(ResultCode.UNAUTHENTICATED, "invalid or missing credentials")
        )

    async def commit(kind: str, item) -> Response:
        """Propose a command and return its answer, or the failure if it was not committed."""
        pending = await task.propose(kind, item, COMMIT_TIMEOUT_SECONDS)
        if not pending.leader:
            return not_leader()
        if pending.value is None:
            state.counters.count("refused.no_quorum")
            message = "no majority confirmed the command in time; it may still be committed"
            return failure_response(Failure(ResultCode.NO_QUORUM, message, 1_000))
        answer = pending.value
        return json_response(answer._asdict() if kind in OPERATOR_COMMANDS else answer)

    def not_leader() -> Response:
        document = Failure(ResultCode.NOT_LEADER, "this replica is not the leader").to_document()
        document["leader"] = task.replica.leader
        return json_response(document, CODE_INFO[ResultCode.NOT_LEADER].status)

    @app.post("/v1/claim")
    async def claim() -> Response:
        return await commit(CLAIM, await _read(ClaimRequest))

    @app.post("/v1/lookup")
    async def lookup() -> Response:
        return await commit(LOOKUP, await _read(LookupRequest))

    @app.post("/v1/settle")
    async def settle() -> Response:
        return await commit(SETTLE, await _read(SettleRequest))

    @app.post("/v1/configuration")
    async def configure() -> Response:
        try:
            body = msgspec.json.decode(await request.get_data(), type=ConfigureBody)
        except msgspec.MsgspecError as error:
            return failure_response(Failure(ResultCode.NOT_JSON, str(error)))
        change = ConfigureRequest(**body)
        checked = configuration_from(change.document)
        if checked.is_error():
            message = "; ".join(str(fault) for fault in checked.error)
            return failure_response(Failure(ResultCode.INVALID_SETTINGS, message))
        if not task.is_leader:
            return not_leader()
        return await commit(CONFIGURE, change)

    @app.post("/v1/orders")
    async def submit_order() -> Response:
        try:
            order = OrderRequest(**msgspec.json.decode(await request.get_data(), type=OrderBody))
        except msgspec.MsgspecError as error:
            return failure_response(Failure(ResultCode.NOT_JSON, str(error)))
        if order.action not in ACTIONS:
            message = f"action must be one of {', '.join(sorted(ACTIONS))}"
            return failure_response(Failure(ResultCode.INVALID_FIELD, message))
        return await commit(ORDER, order)

    @app.get("/v1/orders/<name>")
    async def order_state(name: str) -> Response:
        record = task.machine.orders.find(name)
        if record is None:
            return failure_response(
                Failure(ResultCode.UNKNOWN_PATH, "this replica has no such order")
            )
        return json_response(record._asdict())

    @app.get("/v1/configuration")
    async def configuration() -> Response:
        """Return the changes after version ``after``, waiting up to ``wait_ms`` for one."""
        after = int(request.args.get("after", "0"))
        wait_ms = min(MAX_WAIT_MS, int(request.args.get("wait_ms", "0")))
        name = request.args.get("entry", "")
        if name:
            state.last_polls[name] = (after, trio.current_time())
        await task.wait_for_version(after, wait_ms / 1000)
        machine = task.machine
        patches = machine.patches_since(after)
        whole = machine.version > after and patches is None
        return json_response((machine.version, machine.document if whole else None, patches or []))

    @app.get("/v1/status")
    async def status() -> Response:
        return json_response(control_status(state))

    return app


async def _read(kind: type):
    """Decode a request body sent by another process of the system."""
    return msgspec.json.decode(await request.get_data(), type=kind)


def control_rules(state: ControlState) -> BodyRules:
    """Return the limits of requests; those without credentials are refused by their head."""

    def check_head(path: str, headers: RequestHeaders) -> Failure | None:
        if find_header(headers, SEAL_HEADER.lower()) is not None:
            return None
        authorization = find_header(headers, "authorization")
        if operator_allowed(authorization, state.settings.operator_key):
            return None
        state.counters.count("refused.unauthenticated")
        return Failure(ResultCode.UNAUTHENTICATED, "invalid or missing credentials")

    return BodyRules(MAX_BODY_BYTES, BODY_TIMEOUT_SECONDS, check_head)


def control_status(state: ControlState) -> dict:
    """Return the status document of this replica."""
    replica, machine = state.task.replica, state.task.machine
    now = trio.current_time()
    return {
        "name": state.vm.name,
        "failure_domain": state.vm.failure_domain,
        "role": replica.role.value,
        "role_since_ms": state.task.role_since_ms,
        "term": replica.term,
        "leader": replica.leader,
        "admitted": replica.admitted,
        "incarnation": replica.identity.incarnation if replica.identity else None,
        "commit": replica.commit,
        "last_index": replica.log.last_index,
        "configuration_version": machine.version,
        "claims": len(machine.claims),
        "entries": {
            name: {"version": version, "seen_seconds_ago": round(now - at, 1)}
            for name, (version, at) in state.last_polls.items()
        },
        "counters": state.counters.totals,
    }
