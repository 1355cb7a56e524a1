"""Flags that the commands of the stand-ins share."""

from pathlib import Path

from absl import flags

FLAGS = flags.FLAGS

flags.DEFINE_string("server", "server-1", "Name of the backend server.")
flags.DEFINE_string("domain", "", "Failure domain of the backend server.")
flags.DEFINE_string("host", "127.0.0.1", "Address to listen on.")
flags.DEFINE_integer("port", 0, "Port to listen on.")
flags.DEFINE_string("service", "", "Service that the server offers.")
flags.DEFINE_list("announce", [], "Addresses HOST:PORT behind the balancer.")
flags.DEFINE_string("key_file", "", "File with the key that seals announcements.")


def announce_addresses() -> list[tuple[str, int]]:
    """Return the addresses that announcements go to."""
    pairs = (address.rsplit(":", 1) for address in FLAGS.announce)
    return [(host, int(port)) for host, port in pairs]


def read_key() -> bytes:
    """Return the key that seals announcements."""
    return Path(FLAGS.key_file).read_text().strip().encode()
