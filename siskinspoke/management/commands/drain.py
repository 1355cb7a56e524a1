"""Stop an entry VM once its open requests have finished; new ones are refused."""

from absl import flags

from siskinspoke.conf import settings_from
from siskinspoke.core.codes import Failure, ResultCode
from siskinspoke.management.base import emit, fail
from siskinspoke.management.operators import OperatorClient

FLAGS = flags.FLAGS


def handle(_arguments: list[str]) -> int:
    """Start draining the VM given by --name."""
    settings = settings_from(FLAGS.base, FLAGS.overlay)
    entry = settings.entry(FLAGS.name)
    with OperatorClient(settings) as operator:
        reply = operator.request("POST", entry.host, entry.internal_port, "/v1/drain", {})
    if reply.status != 200:
        return fail(Failure(ResultCode.UNREACHABLE, f"{entry.name} does not answer"))
    text = f"{entry.name} is draining, {reply.document['open_requests']} open requests"
    emit(reply.document, text)
    return 0
