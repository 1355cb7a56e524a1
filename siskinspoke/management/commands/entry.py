"""Run the daemon of an entry VM."""

import trio
from absl import flags

from siskinspoke.conf import settings_from
from siskinspoke.core.logs import configure_logs
from siskinspoke.entry.daemon import run_entry

FLAGS = flags.FLAGS


def handle(_arguments: list[str]) -> int:
    """Run until SIGTERM, then drain."""
    settings = settings_from(FLAGS.base, FLAGS.overlay)
    configure_logs(FLAGS.name)
    trio.run(run_entry, settings, FLAGS.name)
    return 0
