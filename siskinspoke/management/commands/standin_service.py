"""Run a stand-in plain service, for demonstrations and tests."""

import time

import trio
from absl import flags

from siskinspoke.management.standins import announce_addresses, read_key
from siskinspoke.standins.engine_server import EngineIdentity
from siskinspoke.standins.runner import run_standin
from siskinspoke.standins.service_server import ServiceServer, service_app

FLAGS = flags.FLAGS

flags.DEFINE_float("delay_ms", 20.0, "Time one call takes.")
flags.DEFINE_string("run_log", "", "File that records each call that ran.")


def handle(_arguments: list[str]) -> int:
    """Run the service until SIGTERM."""
    identity = EngineIdentity(
        FLAGS.server,
        FLAGS.domain,
        FLAGS.host,
        FLAGS.port,
        FLAGS.service,
        time.time_ns() // 1_000_000,
    )
    server = ServiceServer(identity, FLAGS.delay_ms, FLAGS.run_log)
    app = service_app(server)
    trio.run(run_standin, app, identity, announce_addresses(), read_key(), server.report)
    return 0
