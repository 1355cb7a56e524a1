"""Run the transparent gateway of an entry VM, using the platform's wire format."""

import trio
from absl import flags

from siskinspoke.core.decisions import DecisionLog
from siskinspoke.gateway.daemon import GatewayDaemon
from siskinspoke.management.vm_files import settings_reader
from siskinspoke.platform.calls import PlatformWire

FLAGS = flags.FLAGS


def handle(_arguments: list[str]) -> int:
    """Run until SIGTERM, then drain."""
    read_settings = settings_reader(FLAGS.vm_file)
    log = DecisionLog(read_settings().name)
    trio.run(GatewayDaemon(read_settings, PlatformWire(), log).run, FLAGS.metrics_port)
    log.close()
    return 0
