"""Registries and gateways as real processes on loopback addresses, ended by their ids."""

import json
import os
import shutil
import signal
import subprocess
import sys
from pathlib import Path

import httpx

from siskinspoke.testing.fleet import STOP_SECONDS, wait_until
from siskinspoke.testing.networks import networks

OPERATORS_PORT, PUBLIC_PORT, READY_PORT = 8_229, 8_227, 8_220
INTERNAL_PORTS = [7_340, 7_355]


class GroupSite:
    """Own the processes of one site, each known by the name of its VM.

    All such sites of a run lie in one network; ``net`` is the third octet of this one.
    """

    def __init__(self, folder: Path, net: int):
        self.folder = folder
        self._net = f"127.{networks().groups[0]}.{net}"
        self._processes: dict[str, subprocess.Popen] = {}
        self.seeds = [self.host_of(f"c{number}") for number in (1, 2, 3)]
        folder.mkdir(parents=True, exist_ok=True)

    def host_of(self, name: str) -> str:
        """Return the address of a VM: registries are c1, c2 and so on, gateways g1 and so on."""
        offset = 0 if name.startswith("c") else 100
        return f"{self._net}.{offset + int(name[1:])}"

    def start(self, name: str, found: bool = False, mutant: str | None = None) -> None:
        """Start a registry or gateway, optionally with one of ``siskinspoke.testing.mutants``."""
        host = self.host_of(name)
        document = {
            "name": name,
            "host": host,
            "failure_domain": "a",
            "seeds": [f"{seed}:{OPERATORS_PORT}" for seed in self.seeds],
            "internal_ports": INTERNAL_PORTS,
            "found": found,
            "internal_key": "test",
        }
        if name.startswith("c"):
            command = "registry"
            document["operators"] = f"{host}:{OPERATORS_PORT}"
            document["data_folder"] = str(self.folder / f"data-{name}")
        else:
            command = "gateway"
            document["public"] = f"{host}:{PUBLIC_PORT}"
            document["ready"] = f"{host}:{READY_PORT}"
        program = ["siskinspoke"] if mutant is None else ["siskinspoke.testing.mutants", mutant]
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(document))
        with (self.folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-m", *program, command, f"--vm_file={path}"],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=os.environ | {"PYTHONUNBUFFERED": "1"},
            )

    def survives(self, name: str, number: int) -> bool:
        """Tell whether a process handles or ignores a signal that would otherwise end it.

        The interpreter takes 20 to 100 ms, longer on a busy machine, to come to our first line;
        until then no program can help ending.
        """
        status = Path(f"/proc/{self.pid(name)}/status").read_text()
        masks = dict(line.split(":\t") for line in status.splitlines() if line.startswith("Sig"))
        bit = 1 << (number - 1)
        return any(int(masks[mask], 16) & bit for mask in ("SigCgt", "SigIgn"))

    def exit_code(self, name: str) -> int | None:
        """Return how a process ended, minus the signal's number; None while it runs."""
        return self._processes[name].poll()

    def signal(self, name: str, number: int) -> None:
        """Send a signal to one process."""
        self._processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        process = self._processes.pop(name)
        process.kill()
        process.wait(STOP_SECONDS)

    def pid(self, name: str) -> int:
        """Return the id of a process."""
        return self._processes[name].pid

    def alive(self, name: str) -> bool:
        """Tell whether a process still runs."""
        return self._processes[name].poll() is None

    def empty_disk(self, name: str) -> None:
        """Remove what a registry that is down has on its disk."""
        shutil.rmtree(self.folder / f"data-{name}", ignore_errors=True)

    def close(self) -> None:
        """End everything."""
        for process in self._processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self._processes.values():
            process.wait(STOP_SECONDS)

    def call(self, name: str, method: str, path: str, body: object = None) -> tuple[int, object]:
        """Call a registry; the status is 0 where nobody answers."""
        url = f"http://{self.host_of(name)}:{OPERATORS_PORT}{path}"
        try:
            response = httpx.request(method, url, json=body, timeout=1.0, trust_env=False)
        except httpx.HTTPError:
            return 0, None
        return response.status_code, response.json() if response.content else None

    def until(self, name: str, method: str, path: str, body: object = None) -> object:
        """Call a registry until it answers with success, as operators do; return the body."""
        found: list[object] = []

        def succeeds() -> bool:
            status, answer = self.call(name, method, path, body)
            found[:] = [answer]
            return status == 200

        wait_until(succeeds, f"{method} {path} at {name}")
        return found[0]

    def status(self, gateway: str, path: str, host: str) -> int:
        """Return the status that a client gets from a gateway; 0 where nobody answers."""
        url = f"http://{self.host_of(gateway)}:{PUBLIC_PORT}{path}"
        headers = {"Host": host, "Request-Id": "t1", "Deadline-Ms": "1000"}
        try:
            return httpx.get(url, headers=headers, timeout=2.0, trust_env=False).status_code
        except httpx.HTTPError:
            return 0

    def wait_status(self, gateway: str, path: str, host: str, status: int) -> None:
        """Wait until clients of a gateway get a status."""
        wait_until(
            lambda: self.status(gateway, path, host) == status, f"{status} for {path} at {gateway}"
        )
