"""Start a whole site as separate processes on loopback addresses, and end them by id.

Only demonstrations and tests use this: no process of the system starts another.
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

READY_SECONDS = 30.0
STOP_SECONDS = 15.0
POLL_SECONDS = 0.05


class EngineSpec(NamedTuple):
    """A stand-in engine to start; ``flags`` go to its command line."""

    name: str
    failure_domain: str
    host: str
    port: int
    service: str
    flags: tuple[str, ...] = ()
    command: str = "standin-engine"
    advertise_host: str = ""


class FleetError(Exception):
    """A process did not do what the test needs of it."""


def wait_until(condition: Callable[[], bool], what: str, seconds: float = READY_SECONDS) -> None:
    """Wait for a condition; raise FleetError when it does not come true."""
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise FleetError(f"not within {seconds} s: {what}")
        time.sleep(POLL_SECONDS)


def port_open(host: str, port: int) -> bool:
    """Tell whether something listens."""
    with socket.socket() as probe:
        probe.settimeout(0.2)
        return probe.connect_ex((host, port)) == 0


def write_keys(folder: Path) -> None:
    """Make the keys that the settings name, where they are missing."""
    folder.mkdir(parents=True, exist_ok=True)
    for name in ("internal.key", "operator.key"):
        path = folder / name
        if not path.exists():
            path.write_text(secrets.token_hex(32))
            path.chmod(0o600)


class Fleet:
    """Own the processes of one site, each known by the name of its VM or server."""

    def __init__(self, folder: Path, base: Path, overlay: Path, program: tuple[str, ...] = ()):
        self.folder = folder
        self.base = base
        self.overlay = overlay
        self.settings: Settings = settings_from(str(base), str(overlay))
        self._program = program or (sys.executable, "-m", "siskinspoke")
        self._processes: dict[str, subprocess.Popen] = {}
        self._frozen: set[str] = set()
        self.mutant = ""
        (folder / "logs").mkdir(parents=True, exist_ok=True)

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *details) -> None:
        self.close()

    def start(self, name: str, *arguments: str) -> None:
        """Start one process; its output goes to a file of its name."""
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
        """Return the settings of one VM; behind the proxy each sees the others elsewhere."""
        view = self.folder / f"view-{name}.json"
        overlay = view if view.exists() else self.overlay
        return f"--base={self.base}", f"--overlay={overlay}"

    def start_entry(self, name: str) -> None:
        """Start the daemon of one entry VM."""
        self.start(name, "entry", *self._settings_flags(name), f"--name={name}")

    def start_control(self, name: str) -> None:
        """Start one control replica."""
        self.start(name, "control", *self._settings_flags(name), f"--name={name}")

    def start_site(self, specs: list[EngineSpec]) -> None:
        """Start everything and wait until it serves."""
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
        """Return the replica that says it leads the highest term, if any does."""
        found = []
        for control in self.settings.controls:
            if self.running(control.name) and control.name not in self._frozen:
                try:
                    status = self.control_status(control.name)
                except httpx.HTTPError:
                    continue
                if status["role"] == "leader":
                    found.append((status["term"], control.name))
        return max(found)[1] if found else None

    def wait_leader(self, other_than: str = "") -> str:
        """Wait for a leader and return its name."""
        wait_until(lambda: self.leader() not in (None, other_than), "a leader")
        return self.leader()

    def wait_caught_up(self, name: str) -> None:
        """Wait until a replica that was started again holds all that its leader has committed.

        To stop the next one of three sooner leaves one alone, and no claim is granted until
        this one is up: a leader that still answers is no sign that it may be stopped too.
        """

        def is_caught_up() -> bool:
            try:
                leader = self.leader()
                if leader is None:
                    return False
                mine, theirs = self.control_status(name), self.control_status(leader)
            except httpx.HTTPError:
                return False
            return mine["admitted"] and mine["commit"] >= theirs["commit"]

        wait_until(is_caught_up, f"{name} caught up with its leader")

    def start_server(self, spec: EngineSpec, announce: list[tuple[str, int]] | None = None) -> None:
        """Start a stand-in backend server; it announces to its own failure domain."""
        if announce is None:
            announce = [
                (entry.host, entry.internal_port)
                for entry in self.settings.entries
                if entry.failure_domain == spec.failure_domain
            ]
        addresses = ",".join(f"{host}:{port}" for host, port in announce)
        key = self.folder / "announce.key"
        if not key.exists() or key.read_bytes() != self.settings.internal_key:
            # Not written anew: a server that starts at this moment would find the file empty, seal
            # its announcements with an empty key, and be heard by nobody.
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
        """Wait until a process listens."""
        wait_until(lambda: port_open(host, port), f"a listener on {host}:{port}")

    def wait_entries(self, names: list[str] | None = None) -> None:
        """Wait until entry daemons answer."""
        for entry in self.settings.entries:
            if names is None or entry.name in names:
                self.wait_listening(entry.host, entry.port)
                self.wait_listening(entry.host, entry.internal_port)

    def wait_servers(self, count: int, names: list[str] | None = None) -> None:
        """Wait until entry daemons know ``count`` backend servers each."""
        for entry in self.settings.entries:
            if names is None or entry.name in names:
                wait_until(
                    lambda name=entry.name: len(self.status(name)["servers"]) >= count,
                    f"{entry.name} knows {count} servers",
                )

    def status(self, name: str) -> dict:
        """Return what an entry VM believes."""
        entry = self.settings.entry(name)
        return self.get(entry.host, entry.internal_port, "/v1/status")

    def control_status(self, name: str) -> dict:
        """Return what a control replica believes."""
        control = self.settings.control_vm(name)
        return self.get(control.host, control.port, "/v1/status")

    def get(self, host: str, port: int, path: str) -> dict:
        """Fetch a JSON document as an operator."""
        headers = {"Authorization": f"Bearer {self.settings.operator_key}"}
        response = httpx.get(
            f"http://{host}:{port}{path}", headers=headers, timeout=2, trust_env=False
        )
        return msgspec.json.decode(response.content)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process that this fleet started."""
        self._processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process without warning and wait for its end."""
        self.thaw(name)
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    def freeze(self, name: str) -> None:
        """Stop a process in its tracks; its connections stay open."""
        self.signal(name, signal.SIGSTOP)
        self._frozen.add(name)

    def thaw(self, name: str) -> None:
        """Let a frozen process go on."""
        if name in self._frozen:
            self._frozen.discard(name)
            self.signal(name, signal.SIGCONT)

    def terminate(self, name: str) -> subprocess.Popen:
        """Ask a process to shut down in good order."""
        process = self._processes[name]
        process.terminate()
        return process

    def running(self, name: str) -> bool:
        """Tell whether a process runs."""
        process = self._processes.get(name)
        return process is not None and process.poll() is None

    def pid(self, name: str) -> int:
        """Return the id of a process."""
        return self._processes[name].pid

    def log(self, name: str) -> str:
        """Return what a process has printed."""
        return (self.folder / "logs" / f"{name}.log").read_text(errors="replace")

    def close(self) -> None:
        """End every process that this fleet started."""
        for name in list(self._frozen):
            self.thaw(name)
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
        for process in self._processes.values():
            process.wait(STOP_SECONDS)
        self._processes.clear()
