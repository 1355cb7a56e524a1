"""Run a control VM that finds its group through seeds, with the adapter to the platform."""

import trio
from absl import flags

from siskinspoke.control.group_daemon import AppFactory, GroupDaemon
from siskinspoke.core.decisions import DecisionLog
from siskinspoke.management.vm_files import settings_reader

FLAGS = flags.FLAGS


def load_app() -> AppFactory:
    """Return what answers the platform's calls, and how large they may be."""
    from siskinspoke.platform.control_app import BOUNDS, ControlApp

    return ControlApp, BOUNDS


def handle(_arguments: list[str]) -> int:
    """Run until SIGTERM."""
    read = settings_reader(FLAGS.vm_file)
    log = DecisionLog(read().name)
    trio.run(GroupDaemon(read, log).run, load_app, FLAGS.metrics_port)
    log.close()
    return 0
