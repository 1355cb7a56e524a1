"""Run the siskinspoke command line."""

import signal
import sys

# Loading a daemon takes half a second.  Until its SIGHUP handler is installed, the signal for
# changed settings would terminate it; the settings are read later anyway, so it is ignored.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# Accepts connections from clients while the remaining modules are loaded.
from siskinspoke.transport.early import listen_early  # noqa: E402  (SIGHUP is ignored first)

if sys.argv[1:2] == ["gateway"]:
    listen_early(sys.argv[2:])

from siskinspoke.management import execute  # noqa: E402  (the listener is opened first)


def run() -> None:
    """Run the given command and exit with its code."""
    sys.exit(execute(sys.argv))


if __name__ == "__main__":
    run()
