"""Run stand-in servers that send without end in a process of their own, and print their ports.

``python -m tests.integration.endless_servers FORM COUNT``.  In the process of a test, they would
take the processor from the sound servers and clients there.
"""

import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager

import trio

from siskinspoke.testing.fleet import STOP_SECONDS
from tests.platform.standin_server import Endless, StandinServer


@contextmanager
def endless_servers(form: str, count: int) -> Iterator[list[int]]:
    """Run servers while the context is open; yield their ports."""
    command = [sys.executable, "-m", __spec__.name, form, str(count)]
    with subprocess.Popen(command, stdout=subprocess.PIPE, stdin=subprocess.DEVNULL) as process:
        try:
            yield [int(process.stdout.readline()) for _ in range(count)]
        finally:
            process.kill()
            process.wait(STOP_SECONDS)


async def _serve(form: str, count: int) -> None:
    async with trio.open_nursery() as nursery:
        for number in range(count):
            server = StandinServer(f"endless{number}")
            server.script.append(Endless(form))
            await nursery.start(server.serve)
            print(server.port, flush=True)


if __name__ == "__main__":
    trio.run(_serve, sys.argv[1], int(sys.argv[2]))
