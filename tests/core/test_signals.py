"""Signals that stop a process, until it is gone."""

import signal
import subprocess
import sys
import time

import pytest

PROGRAM = """
import atexit, signal, time, trio
from siskinspoke.core.signals import receive_signals

class Finalized:
    def __del__(self):
        # Runs while the interpreter is finalized.
        print("finalizing", flush=True)
        time.sleep(0.3)

async def run():
    with receive_signals(signal.SIGTERM, signal.SIGINT) as signals:
        print("ready", flush=True)
        await anext(signals)

keep = Finalized()
trio.run(run)
print("ended", flush=True)
time.sleep(0.2)
"""


class TestReceiveSignals:
    """A signal after the first one does not end the process."""

    @pytest.mark.parametrize("line", ["ended", "finalizing"])
    def test_process_exits_cleanly(self, line):
        """Guards against a signal in the last milliseconds that changes the exit code."""
        command = [sys.executable, "-c", PROGRAM]
        with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
            assert process.stdout.readline() == "ready\n"
            process.send_signal(signal.SIGTERM)
            while process.stdout.readline() != f"{line}\n":
                assert process.poll() is None
            time.sleep(0.05)
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGINT)
            assert process.wait(5) == 0
