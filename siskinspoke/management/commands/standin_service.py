"""Run a stand-in plain service, for demonstrations and tests."""

import trio
from absl import flags

from siskinspoke.management.standins import announce_addresses, identity, read_key
from siskinspoke.standins.runner import run_standin
from siskinspoke.standins.service_server import ServiceServer, service_app

FLAGS = flags.FLAGS

flags.DEFINE_float("delay_ms", 20.0, "Duration of a call.")
flags.DEFINE_string("run_log", "", "File in which every call that ran is recorded.")


def handle(_arguments: list[str]) -> int:
    """Run the service until SIGTERM."""
    engine_identity = identity()
    server = ServiceServer(engine_identity, FLAGS.delay_ms, FLAGS.run_log)
    app = service_app(server)
    trio.run(
        run_standin,
        app,
        engine_identity,
        announce_addresses(),
        read_key(),
        server.make_announcement,
    )
    return 0
