"""Run the siskinspoke command line."""

import signal
import sys

# A daemon takes half a second to load.  Until it listens for SIGHUP, one that says that its
# settings have changed would end it; it reads them after this anyway.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# Callers may connect from now on, while the rest is loaded.
from siskinspoke.transport.early import listen_early  # noqa: E402  (the signal comes first)

if sys.argv[1:2] == ["gateway"]:
    listen_early(sys.argv[2:])

from siskinspoke.management import execute  # noqa: E402  (the listener comes first)


def run() -> None:
    """Run the command named on the command line and exit with its code."""
    sys.exit(execute(sys.argv))


if __name__ == "__main__":
    run()
