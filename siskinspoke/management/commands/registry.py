"""Run a control VM that discovers its group through seeds, with the platform's API."""

import trio
from absl import flags

from siskinspoke.control.group_daemon import AppFactory, ControlDaemon
from siskinspoke.core.decisions import DecisionLog
from siskinspoke.management.vm_files import settings_reader

FLAGS = flags.FLAGS


def load_app() -> AppFactory:
    """Return the application that serves the platform's API, and its body limits."""
    from siskinspoke.platform.control_app import BOUNDS, ControlApp

    return ControlApp, BOUNDS


def handle(_arguments: list[str]) -> int:
    """Run until SIGTERM."""
    read_settings = settings_reader(FLAGS.vm_file)
    log = DecisionLog(read_settings().name)
    trio.run(ControlDaemon(read_settings, log).run, load_app, FLAGS.metrics_port)
    log.close()
    return 0
