"""Run a control replica on a VM with persistent storage."""

import trio
from absl import flags

from siskinspoke.conf import settings_from
from siskinspoke.control.daemon import run_control
from siskinspoke.core.codes import Failure, FailureError
from siskinspoke.core.logs import configure_logs
from siskinspoke.management.base import fail

FLAGS = flags.FLAGS


def handle(_arguments: list[str]) -> int:
    """Run until SIGTERM; on a failure, such as of the disk, return its exit code."""
    settings = settings_from(FLAGS.base, FLAGS.overlay)
    configure_logs(FLAGS.name)
    failures = []
    try:
        trio.run(run_control, settings, FLAGS.name)
    except* FailureError as group:
        failures.append(_first_failure(group))
    return fail(failures[0]) if failures else 0


def _first_failure(group: BaseExceptionGroup) -> Failure:
    """Return the first failure in nested exception groups."""
    error = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error.failure
