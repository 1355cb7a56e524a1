"""What the operators' commands share: bounded exchanges with entries and control replicas."""

import time
from typing import NamedTuple

import httpx
import msgspec
from absl import flags

from siskinspoke.conf import Settings

EXCHANGE_SECONDS = 2.0

flags.DEFINE_string("order", "", "Name of the change or order, to send it again if need be.")
flags.DEFINE_float("wait", 3.0, "Seconds to wait until it is in force, or has ended.")


class Reply(NamedTuple):
    """A process's answer; status 0 means that none came."""

    status: int
    document: dict


class Operator:
    """Own the client and the operators' key."""

    def __init__(self, settings: Settings, seconds: float = EXCHANGE_SECONDS):
        self._settings = settings
        self._client = httpx.Client(timeout=seconds, trust_env=False)

    def __enter__(self) -> "Operator":
        return self

    def __exit__(self, *details) -> None:
        self._client.close()

    def exchange(self, method: str, host: str, port: int, path: str, body=None) -> Reply:
        """Send one request and return the reply."""
        headers = {"Authorization": f"Bearer {self._settings.operator_key}"}
        content = None if body is None else msgspec.json.encode(body)
        try:
            response = self._client.request(
                method, f"http://{host}:{port}{path}", content=content, headers=headers
            )
            return Reply(response.status_code, msgspec.json.decode(response.content))
        except (httpx.HTTPError, msgspec.DecodeError):
            return Reply(0, {})

    def entry_status(self, name: str) -> Reply:
        """Ask an entry VM for its status."""
        entry = self._settings.entry(name)
        return self.exchange("GET", entry.host, entry.internal_port, "/v1/status")

    def control_status(self, name: str) -> Reply:
        """Ask a control replica for its status."""
        control = self._settings.control_vm(name)
        return self.exchange("GET", control.host, control.port, "/v1/status")

    def versions(self) -> dict[str, int | None]:
        """Return the configuration version in force at each entry VM; None where none answers."""
        found = {}
        for entry in self._settings.entries:
            reply = self.entry_status(entry.name)
            found[entry.name] = reply.document.get("configuration_version")
        return found

    def wait_in_force(self, version: int, seconds: float) -> list[str]:
        """Wait until every entry VM has a version in force; return those that do not."""
        deadline = time.monotonic() + seconds
        missing = [entry.name for entry in self._settings.entries]
        while missing:
            missing = [name for name in missing if not self._has(name, version)]
            if time.monotonic() >= deadline:
                break
            if missing:
                time.sleep(0.1)
        return missing

    def _has(self, name: str, version: int) -> bool:
        in_force = self.entry_status(name).document.get("configuration_version")
        return in_force is not None and in_force >= version

    def ask_leader(self, path: str, body, seconds: float) -> Reply:
        """Send a change to the replicas until the leader answers it."""
        deadline = time.monotonic() + seconds
        reply = Reply(0, {})
        while time.monotonic() < deadline:
            for control in self._settings.controls:
                reply = self.exchange("POST", control.host, control.port, path, body)
                if reply.status not in (0, 421, 503):
                    return reply
            time.sleep(0.1)
        return reply
