"""Run a control VM that finds its group through seeds, with the adapter to the platform."""

import trio
from absl import flags

from siskinspoke.control.group_daemon import GroupDaemon
from siskinspoke.core.decisions import DecisionLog
from siskinspoke.management.vm_files import settings_reader
from siskinspoke.platform.control_app import BOUNDS, ControlApp

FLAGS = flags.FLAGS


def handle(_arguments: list[str]) -> int:
    """Run until SIGTERM."""
    read = settings_reader(FLAGS.vm_file)
    log = DecisionLog(read().name)
    trio.run(GroupDaemon(read, log).run, ControlApp, BOUNDS, FLAGS.metrics_port)
    log.close()
    return 0
