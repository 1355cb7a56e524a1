"""Run registries and gateways as separate processes on loopback addresses.

Processes are stopped by their ids.
"""

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
    """The processes of one site, addressed by the names of their VMs.

    All such sites of a run share one network; ``net`` is the third octet of this site's addresses.
    """

    def __init__(self, folder: Path, net: int):
        self.folder = folder
        self._net = f"127.{networks().groups[0]}.{net}"
        self._processes: dict[str, subprocess.Popen] = {}
        self.seeds = [self.host_of(f"c{number}") for number in (1, 2, 3)]
        folder.mkdir(parents=True, exist_ok=True)

    def host_of(self, name: str) -> str:
        """Return the address of a VM; registries are named c1, c2, ..., gateways g1, g2, ..."""
        offset = 0 if name.startswith("c") else 100
        return f"{self._net}.{offset + int(name[1:])}"

    def start(
        self, name: str, found: bool = False, mutant: str | None = None, **settings: object
    ) -> None:
        """Start a registry or gateway, optionally with a mutant of ``siskinspoke.testing.mutants``.

        ``found`` is the setting that lets a registry create the group; ``settings`` are added to
        the VM's settings file.
        """
        host = self.host_of(name)
        document = {
            "name": name,
            "host": host,
            "failure_domain": "a",
            "seeds": [f"{seed}:{OPERATORS_PORT}" for seed in self.seeds],
            "internal_ports": INTERNAL_PORTS,
            "found": found,
            "internal_key": "test",
            **settings,
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
                env=os.environ
                | {"PYTHONUNBUFFERED": "1", "SISKINSPOKE_LINKS_FOLDER": str(self.folder)},
            )

    def survives_signal(self, name: str, number: int) -> bool:
        """Return whether a process handles or ignores a signal that is fatal by default.

        The interpreter takes 20 to 100 ms, more on a busy machine, to reach the program's first
        line; no program can install a handler before that.
        """
        status = Path(f"/proc/{self.pid(name)}/status").read_text()
        masks = dict(line.split(":\t") for line in status.splitlines() if line.startswith("Sig"))
        bit = 1 << (number - 1)
        return any(int(masks[mask], 16) & bit for mask in ("SigCgt", "SigIgn"))

    def exit_code(self, name: str) -> int | None:
        """Return the exit code of a process, -N if signal N killed it, or None while it runs."""
        return self._processes[name].poll()

    def signal(self, name: str, number: int) -> None:
        """Send a signal to one process."""
        self._processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait for it to exit."""
        process = self._processes.pop(name)
        process.kill()
        process.wait(STOP_SECONDS)

    def pid(self, name: str) -> int:
        """Return the id of a process."""
        return self._processes[name].pid

    def is_running(self, name: str) -> bool:
        """Return whether a process is still running."""
        return self._processes[name].poll() is None

    def wipe_disk(self, name: str) -> None:
        """Delete the data folder of a stopped registry."""
        shutil.rmtree(self.folder / f"data-{name}", ignore_errors=True)

    def close(self) -> None:
        """Kill all processes, including suspended ones."""
        for process in self._processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self._processes.values():
            process.wait(STOP_SECONDS)

    def call(self, name: str, method: str, path: str, body: object = None) -> tuple[int, object]:
        """Send a request to a registry; return status and body, status 0 if there is no answer."""
        url = f"http://{self.host_of(name)}:{OPERATORS_PORT}{path}"
        try:
            response = httpx.request(method, url, json=body, timeout=1.0, trust_env=False)
        except httpx.HTTPError:
            return 0, None
        return response.status_code, response.json() if response.content else None

    def call_until_success(self, name: str, method: str, path: str, body: object = None) -> object:
        """Retry a request to a registry until it succeeds, as operators do; return the body."""
        answers: list[object] = []

        def succeeds() -> bool:
            status, answer = self.call(name, method, path, body)
            answers[:] = [answer]
            return status == 200

        wait_until(succeeds, f"{method} {path} at {name}")
        return answers[0]

    def status(self, gateway: str, path: str, host: str) -> int:
        """Return the status that a client gets from a gateway, or 0 if there is no answer."""
        response = self.ask(gateway, path, host)
        return 0 if response is None else response.status_code

    def ask(self, gateway: str, path: str, host: str) -> httpx.Response | None:
        """Return the answer that a client gets from a gateway, or None if there is none."""
        url = f"http://{self.host_of(gateway)}:{PUBLIC_PORT}{path}"
        headers = {"Host": host, "Request-Id": "t1", "Deadline-Ms": "1000"}
        try:
            return httpx.get(url, headers=headers, timeout=2.0, trust_env=False)
        except httpx.HTTPError:
            return None

    def wait_status(self, gateway: str, path: str, host: str, status: int) -> None:
        """Wait until a gateway answers its clients with a given status."""
        wait_until(
            lambda: self.status(gateway, path, host) == status, f"{status} for {path} at {gateway}"
        )
