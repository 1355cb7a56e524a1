"""Flags common to the stand-in commands."""

import time
from pathlib import Path

from absl import flags

from siskinspoke.standins.engine_server import EngineIdentity

FLAGS = flags.FLAGS

flags.DEFINE_string("server", "server-1", "Name of the backend server.")
flags.DEFINE_string("domain", "", "Failure domain of the backend server.")
flags.DEFINE_string("host", "127.0.0.1", "Address to listen on.")
flags.DEFINE_string("advertise_host", "", "Address to announce, if different from --host.")
flags.DEFINE_integer("port", 0, "Port to listen on.")
flags.DEFINE_string("service", "", "Service that the server provides.")
flags.DEFINE_list("announce", [], "Entry VMs behind the load balancer, as HOST:PORT.")
flags.DEFINE_bool("fencing", True, "Whether to reject orders with an outdated fencing token.")
flags.DEFINE_string("key_file", "", "File with the key that authenticates announcements.")


def announce_addresses() -> list[tuple[str, int]]:
    """Return the destination addresses of announcements."""
    pairs = (address.rsplit(":", 1) for address in FLAGS.announce)
    return [(host, int(port)) for host, port in pairs]


def identity() -> EngineIdentity:
    """Return the identity of the stand-in; its incarnation is its start time in milliseconds."""
    return EngineIdentity(
        FLAGS.server,
        FLAGS.domain,
        FLAGS.host,
        FLAGS.port,
        FLAGS.service,
        time.time_ns() // 1_000_000,
        FLAGS.fencing,
        FLAGS.advertise_host or FLAGS.host,
    )


def read_key() -> bytes:
    """Return the key that authenticates announcements."""
    return Path(FLAGS.key_file).read_text().strip().encode()
