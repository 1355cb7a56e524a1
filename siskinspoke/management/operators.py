"""Client for operators' commands: requests with timeouts to entry VMs and control replicas."""

import time
from typing import NamedTuple

import httpx
import msgspec
from absl import flags

from siskinspoke.conf import Settings

REQUEST_TIMEOUT_SECONDS = 2.0

flags.DEFINE_string(
    "order", "", "Idempotency key of the change or order; reuse it to repeat the command."
)
flags.DEFINE_float(
    "wait", 3.0, "Seconds to wait until the change is in force or the order has ended."
)


class Reply(NamedTuple):
    """A response; status 0 means that there was none."""

    status: int
    document: dict


class OperatorClient:
    """Send authenticated requests to the processes of a site."""

    def __init__(self, settings: Settings, timeout_seconds: float = REQUEST_TIMEOUT_SECONDS):
        self._settings = settings
        self._client = httpx.Client(timeout=timeout_seconds, trust_env=False)

    def __enter__(self) -> "OperatorClient":
        return self

    def __exit__(self, *details) -> None:
        self._client.close()

    def request(self, method: str, host: str, port: int, path: str, body=None) -> Reply:
        """Send a request and return the reply."""
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
        """Return the status of an entry VM."""
        entry = self._settings.entry(name)
        return self.request("GET", entry.host, entry.internal_port, "/v1/status")

    def control_status(self, name: str) -> Reply:
        """Return the status of a control replica."""
        control = self._settings.control_vm(name)
        return self.request("GET", control.host, control.port, "/v1/status")

    def versions(self) -> dict[str, int | None]:
        """Return the configuration version of each entry VM, or None if it does not answer."""
        versions = {}
        for entry in self._settings.entries:
            reply = self.entry_status(entry.name)
            versions[entry.name] = reply.document.get("configuration_version")
        return versions

    def wait_until_applied(self, version: int, seconds: float) -> list[str]:
        """Wait until every entry VM has applied a version; return the names of those that lag."""
        deadline = time.monotonic() + seconds
        missing = [entry.name for entry in self._settings.entries]
        while missing:
            missing = [name for name in missing if not self._has_version(name, version)]
            if time.monotonic() >= deadline:
                break
            if missing:
                time.sleep(0.1)
        return missing

    def _has_version(self, name: str, version: int) -> bool:
        in_force = self.entry_status(name).document.get("configuration_version")
        return in_force is not None and in_force >= version

    def post_to_leader(self, path: str, body, seconds: float) -> Reply:
        """Send a change to the replicas in turn until the leader answers."""
        deadline = time.monotonic() + seconds
        reply = Reply(0, {})
        while time.monotonic() < deadline:
            for control in self._settings.controls:
                reply = self.request("POST", control.host, control.port, path, body)
                if reply.status not in (0, 421, 503):
                    return reply
            time.sleep(0.1)
        return reply
