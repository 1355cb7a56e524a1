"""Run the siskinspoke command line."""

import sys

from siskinspoke.management import execute


def run() -> None:
    """Run the command named on the command line and exit with its code."""
    sys.exit(execute(sys.argv))


if __name__ == "__main__":
    run()
