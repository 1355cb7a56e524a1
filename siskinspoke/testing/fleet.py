"""Run a complete site as separate processes on loopback addresses.

Only tests, benchmarks and demonstrations use this: no process of the system starts another.
Processes are stopped by their ids.
"""

import os
import secrets
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import httpx
import msgspec

from siskinspoke.conf import Settings, settings_from

READY_TIMEOUT_SECONDS = 30.0
STOP_SECONDS = 15.0
POLL_INTERVAL_SECONDS = 0.05


class ServerSpec(NamedTuple):
    """A stand-in backend server to start; ``flags`` are appended to its command line."""

    name: str
    failure_domain: str
    host: str
    port: int
    service: str
    flags: tuple[str, ...] = ()
    command: str = "standin-engine"
    advertise_host: str = ""


class FleetError(Exception):
    """A process did not reach the expected state in time."""


def wait_until(
    condition: Callable[[], bool], description: str, seconds: float = READY_TIMEOUT_SECONDS
) -> None:
    """Poll a condition until it holds; raise FleetError after ``seconds``."""
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise FleetError(f"timed out after {seconds} s waiting for: {description}")
        time.sleep(POLL_INTERVAL_SECONDS)


def is_port_open(host: str, port: int) -> bool:
    """Return whether a TCP port accepts connections."""
    with socket.socket() as probe:
        probe.settimeout(0.2)
        return probe.connect_ex((host, port)) == 0


def write_keys(folder: Path) -> None:
    """Create the key files named by the settings, unless they exist."""
    folder.mkdir(parents=True, exist_ok=True)
    for name in ("internal.key", "operator.key"):
        path = folder / name
        if not path.exists():
            path.write_text(secrets.token_hex(32))
            path.chmod(0o600)


class Fleet:
    """The processes of one site, addressed by the names of their VMs or backend servers."""

    def __init__(self, folder: Path, base: Path, overlay: Path, program: tuple[str, ...] = ()):
        self.folder = folder
        self.base = base
        self.overlay = overlay
        self.settings: Settings = settings_from(str(base), str(overlay))
        self._program = program or (sys.executable, "-m", "siskinspoke")
        self._processes: dict[str, subprocess.Popen] = {}
        self._suspended: set[str] = set()
        self.mutant = ""
        (folder / "logs").mkdir(parents=True, exist_ok=True)

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *details) -> None:
        self.close()

    def start(self, name: str, *arguments: str) -> None:
        """Start one process; its output is appended to ``logs/<name>.log``."""
        log = (self.folder / "logs" / f"{name}.log").open("ab")
        program = self._program
        if self.mutant:
            program = (sys.executable, "-m", "siskinspoke.testing.mutants", self.mutant)
        self._processes[name] = subprocess.Popen(
            [*program, *arguments],
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
            env=os.environ | {"PYTHONUNBUFFERED": "1"},
        )
        log.close()

    def _settings_flags(self, name: str) -> tuple[str, str]:
        """Return the settings flags of one VM.

        Behind the proxy each VM has an overlay of its own, with the others at proxy addresses.
        """
        view = self.folder / f"view-{name}.json"
        overlay = view if view.exists() else self.overlay
        return f"--base={self.base}", f"--overlay={overlay}"

    def start_entry(self, name: str) -> None:
        """Start the daemon of one entry VM."""
        self.start(name, "entry", *self._settings_flags(name), f"--name={name}")

    def start_control(self, name: str) -> None:
        """Start one control replica."""
        self.start(name, "control", *self._settings_flags(name), f"--name={name}")

    def start_site(self, specs: list[ServerSpec]) -> None:
        """Start all processes and wait until the site serves."""
        for control in self.settings.controls:
            self.start_control(control.name)
        for entry in self.settings.entries:
            self.start_entry(entry.name)
        for spec in specs:
            self.start_server(spec)
        self.wait_entries()
        self.wait_servers(len(specs))
        self.wait_leader()

    def leader(self) -> str | None:
        """Return the replica that reports leadership of the highest term, if any."""
        claimants = []
        for control in self.settings.controls:
            if self.running(control.name) and control.name not in self._suspended:
                try:
                    status = self.control_status(control.name)
                except httpx.HTTPError:
                    continue
                if status["role"] == "leader":
                    claimants.append((status["term"], control.name))
        return max(claimants)[1] if claimants else None

    def wait_leader(self, other_than: str = "") -> str:
        """Wait for a leader and return its name."""
        wait_until(lambda: self.leader() not in (None, other_than), "a leader")
        return self.leader()

    def wait_caught_up(self, name: str) -> None:
        """Wait until a restarted replica holds everything that the leader has committed.

        Stopping another of three replicas before that leaves a single one, and no claim is
        granted until the restarted one has caught up.  That the leader still answers does not
        mean that it is safe to stop.
        """

        def is_caught_up() -> bool:
            try:
                leader = self.leader()
                if leader is None:
                    return False
                status, leader_status = self.control_status(name), self.control_status(leader)
            except httpx.HTTPError:
                return False
            return status["admitted"] and status["commit"] >= leader_status["commit"]

        wait_until(is_caught_up, f"{name} caught up with its leader")

    def start_server(self, spec: ServerSpec, announce: list[tuple[str, int]] | None = None) -> None:
        """Start a stand-in backend server.

        By default it announces itself to the entry VMs of its own failure domain.
        """
        if announce is None:
            announce = [
                (entry.host, entry.internal_port)
                for entry in self.settings.entries
                if entry.failure_domain == spec.failure_domain
            ]
        addresses = ",".join(f"{host}:{port}" for host, port in announce)
        key = self.folder / "announce.key"
        if not key.exists() or key.read_bytes() != self.settings.internal_key:
            # The file is not rewritten when unchanged: a server that reads it while it is
            # truncated would seal its announcements with an empty key, and all would be rejected.
            key.write_bytes(self.settings.internal_key)
        self.start(
            spec.name,
            spec.command,
            f"--server={spec.name}",
            f"--domain={spec.failure_domain}",
            f"--host={spec.host}",
            f"--advertise_host={spec.advertise_host or spec.host}",
            f"--port={spec.port}",
            f"--service={spec.service}",
            f"--announce={addresses}",
            f"--key_file={key}",
            *spec.flags,
        )

    def wait_listening(self, host: str, port: int) -> None:
        """Wait until a TCP port accepts connections."""
        wait_until(lambda: is_port_open(host, port), f"a listener on {host}:{port}")

    def wait_entries(self, names: list[str] | None = None) -> None:
        """Wait until entry daemons listen on their public and internal ports."""
        for entry in self.settings.entries:
            if names is None or entry.name in names:
                self.wait_listening(entry.host, entry.port)
                self.wait_listening(entry.host, entry.internal_port)

    def wait_servers(self, count: int, names: list[str] | None = None) -> None:
        """Wait until each entry daemon knows at least ``count`` backend servers."""
        for entry in self.settings.entries:
            if names is None or entry.name in names:
                wait_until(
                    lambda name=entry.name: len(self.status(name)["servers"]) >= count,
                    f"{entry.name} knows {count} servers",
                )

    def status(self, name: str) -> dict:
        """Return the status document of an entry VM."""
        entry = self.settings.entry(name)
        return self.get(entry.host, entry.internal_port, "/v1/status")

    def control_status(self, name: str) -> dict:
        """Return the status document of a control replica."""
        control = self.settings.control_vm(name)
        return self.get(control.host, control.port, "/v1/status")

    def get(self, host: str, port: int, path: str) -> dict:
        """Fetch a JSON document with the operator key."""
        headers = {"Authorization": f"Bearer {self.settings.operator_key}"}
        response = httpx.get(
            f"http://{host}:{port}{path}", headers=headers, timeout=2, trust_env=False
        )
        return msgspec.json.decode(response.content)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process of this fleet."""
        self._processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait for it to exit."""
        self.resume(name)
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    def suspend(self, name: str) -> None:
        """Suspend a process with SIGSTOP; its connections stay open."""
        self.signal(name, signal.SIGSTOP)
        self._suspended.add(name)

    def resume(self, name: str) -> None:
        """Resume a suspended process with SIGCONT."""
        if name in self._suspended:
            self._suspended.discard(name)
            self.signal(name, signal.SIGCONT)

    def terminate(self, name: str) -> subprocess.Popen:
        """Request a graceful shutdown with SIGTERM."""
        process = self._processes[name]
        process.terminate()
        return process

    def running(self, name: str) -> bool:
        """Return whether a process is running."""
        process = self._processes.get(name)
        return process is not None and process.poll() is None

    def pid(self, name: str) -> int:
        """Return the id of a process."""
        return self._processes[name].pid

    def log(self, name: str) -> str:
        """Return the output of a process."""
        return (self.folder / "logs" / f"{name}.log").read_text(errors="replace")

    def close(self) -> None:
        """Kill every process that this fleet started."""
        for name in list(self._suspended):
            self.resume(name)
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
        for process in self._processes.values():
            process.wait(STOP_SECONDS)
        self._processes.clear()
