"""Apply the services, customers, priorities and limits of the settings at every entry VM.

The change replaces one configuration version by the next. If two operators replace the same
version, the second is refused. The command is idempotent for a given --order.
"""

import getpass
import secrets

from absl import flags

from siskinspoke.conf import settings_from
from siskinspoke.coordination.state_machine import ConfigureRequest
from siskinspoke.core.codes import CODE_INFO, Failure, ResultCode
from siskinspoke.management.base import emit, fail
from siskinspoke.management.operators import OperatorClient

FLAGS = flags.FLAGS

flags.DEFINE_integer("expect", -1, "Configuration version to replace; -1 means the latest.")

ACCEPT_TIMEOUT_SECONDS = 6.0


def handle(_arguments: list[str]) -> int:
    """Submit the change, wait until it is in force, and list the VMs that have not applied it."""
    settings = settings_from(FLAGS.base, FLAGS.overlay)
    order = FLAGS.order or secrets.token_hex(8)
    with OperatorClient(settings) as operator:
        expect = FLAGS.expect
        if expect < 0:
            expect = _latest_version(operator, settings)
        change = ConfigureRequest(order, getpass.getuser(), expect, settings.configuration_document)
        reply = operator.post_to_leader(
            "/v1/configuration", change._asdict(), ACCEPT_TIMEOUT_SECONDS
        )
        failure = _failure(reply, order)
        if failure is not None:
            return fail(failure)
        version = reply.document["version"]
        missing = operator.wait_until_applied(version, FLAGS.wait)
    text = f"version {version} accepted (order {order})"
    code = ResultCode.OK
    if missing:
        code = ResultCode.NOT_IN_FORCE
        text += f"; not confirmed by: {', '.join(missing)}"
    else:
        text += "; in force at every entry VM"
    emit({"version": version, "order": order, "missing": missing, "code": int(code)}, text)
    return CODE_INFO[code].exit_code


def _latest_version(operator: OperatorClient, settings) -> int:
    """Return the highest configuration version reported by a replica."""
    replies = [operator.control_status(control.name) for control in settings.controls]
    return max((reply.document.get("configuration_version", 0) for reply in replies), default=0)


def _failure(reply, order: str) -> Failure | None:
    """Return why a change was not accepted, or None if it was."""
    if reply.status == 200:
        code, version = ResultCode(reply.document["code"]), reply.document["version"]
        if code is ResultCode.OK:
            return None
        return Failure(code, f"the current version is {version}; review it and apply again")
    if reply.status in (0, 421, 503):
        message = (
            f"no quorum answered and the change may still be accepted; "
            f"run the command again with --order={order} to find out"
        )
        return Failure(ResultCode.NO_QUORUM, message)
    error = reply.document.get("error", {})
    return Failure(ResultCode(error.get("code", 6002)), error.get("message", "refused"))
