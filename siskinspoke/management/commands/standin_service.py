"""Run a stand-in plain service, for demonstrations and tests."""

import trio
from absl import flags

from siskinspoke.management.standins import announce_addresses, identity, read_key
from siskinspoke.standins.runner import run_standin
from siskinspoke.standins.service_server import ServiceServer, service_app

FLAGS = flags.FLAGS

flags.DEFINE_float("delay_ms", 20.0, "Time one call takes.")
flags.DEFINE_string("run_log", "", "File that records each call that ran.")


def handle(_arguments: list[str]) -> int:
    """Run the service until SIGTERM."""
    who = identity()
    server = ServiceServer(who, FLAGS.delay_ms, FLAGS.run_log)
    app = service_app(server)
    trio.run(run_standin, app, who, announce_addresses(), read_key(), server.report)
    return 0
