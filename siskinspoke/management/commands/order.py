"""Order an engine to load a model, an adapter or a version, or to change its role.

The command is idempotent for a given --order.
"""

import getpass
import secrets
import time

from absl import flags

from siskinspoke.conf import settings_from
from siskinspoke.coordination.orders import ACTIONS, DONE, PENDING
from siskinspoke.core.codes import CODE_INFO, Failure, ResultCode
from siskinspoke.management.base import emit, fail
from siskinspoke.management.operators import OperatorClient

FLAGS = flags.FLAGS

flags.DEFINE_string("to", "", "Backend server that receives the order.")
flags.DEFINE_enum("action", "load-model", sorted(ACTIONS), "Action to perform.")
flags.DEFINE_string("argument", "", "The model, adapter, version or role.")

ACCEPT_TIMEOUT_SECONDS = 6.0
POLL_INTERVAL_SECONDS = 0.2


def handle(_arguments: list[str]) -> int:
    """Submit the order, wait until it has ended, and print its state."""
    settings = settings_from(FLAGS.base, FLAGS.overlay)
    name = FLAGS.order or secrets.token_hex(8)
    with OperatorClient(settings) as operator:
        server = _find_server(operator, settings, FLAGS.to)
        if server is None:
            return fail(Failure(ResultCode.UNREACHABLE, f"no entry VM lists a server {FLAGS.to!r}"))
        body = {
            "order": name,
            "operator": getpass.getuser(),
            "action": FLAGS.action,
            "argument": FLAGS.argument,
        } | {field: server[field] for field in ("server", "incarnation", "host", "port", "fencing")}
        reply = operator.post_to_leader("/v1/orders", body, ACCEPT_TIMEOUT_SECONDS)
        if reply.status != 200:
            message = (
                f"the order may not have been accepted; repeat it with --order={name} to find out"
            )
            return fail(Failure(ResultCode.NO_QUORUM, message))
        answer = _wait_for_completion(operator, settings, name, reply.document)
    code = ResultCode(answer["code"])
    if code is not ResultCode.OK:
        return fail(Failure(code, f"order name {name} is already used by a different order"))
    text = f"order {name} has number {answer['number']}: {answer['state']} {answer['detail']}"
    emit(answer, text)
    return 0 if answer["state"] == DONE else CODE_INFO[ResultCode.CHECK_FAILED].exit_code


def _find_server(operator: OperatorClient, settings, name: str) -> dict | None:
    """Return the record of a server from the first entry VM that lists it."""
    for entry in settings.entries:
        for server in operator.entry_status(entry.name).document.get("servers", []):
            if server["server"] == name:
                return server
    return None


def _wait_for_completion(operator: OperatorClient, settings, name: str, answer: dict) -> dict:
    """Poll the replicas until the order has ended or --wait has passed."""
    deadline = time.monotonic() + FLAGS.wait
    while answer["state"] == PENDING and time.monotonic() < deadline:
        time.sleep(POLL_INTERVAL_SECONDS)
        for control in settings.controls:
            path = f"/v1/orders/{name}"
            reply = operator.request("GET", control.host, control.port, path)
            if reply.status == 200 and reply.document["state"] != PENDING:
                return reply.document
    return answer
