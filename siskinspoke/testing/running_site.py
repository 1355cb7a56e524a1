"""A test site of real processes behind the fault proxy, with helpers for assertions."""

from collections import Counter
from contextlib import ExitStack
from pathlib import Path

import httpx
import msgspec

from siskinspoke.loadgen.client import ApiClient
from siskinspoke.testing.fleet import Fleet, ServerSpec, wait_until
from siskinspoke.testing.proxy import Endpoint, FaultProxy
from siskinspoke.testing.site import (
    DOMAINS,
    engine,
    plain_service,
    site_document,
    with_proxy_address,
    write_site,
    write_vm_overlays,
)

MEMORY_RETURN_TIMEOUT_SECONDS = 15.0


class RunningSite:
    """The fleet and the fault proxy of one test."""

    def __init__(self, fleet: Fleet, proxy: FaultProxy, specs: list[ServerSpec]):
        self.fleet = fleet
        self.proxy = proxy
        self.specs = {spec.name: spec for spec in specs}

    @property
    def entries(self) -> list[tuple[str, int]]:
        """Return the public addresses of all entry VMs."""
        return [(entry.host, entry.port) for entry in self.fleet.settings.entries]

    def entry_address(self, name: str) -> tuple[str, int]:
        """Return the public address of one entry VM."""
        entry = self.fleet.settings.entry(name)
        return entry.host, entry.port

    def caller(self, *names: str) -> ApiClient:
        """Return a caller that is load balanced over the named entry VMs, or over all."""
        chosen = [self.entry_address(name) for name in names] or self.entries
        return ApiClient(chosen)

    def server_state(self, name: str) -> dict:
        """Return the state document of a stand-in server."""
        spec = self.specs[name]
        response = httpx.get(f"http://{spec.host}:{spec.port}/v1/state", timeout=2, trust_env=False)
        return msgspec.json.decode(response.content)

    def ask_server(self, name: str, path: str, body: dict) -> dict:
        """Post a request to a stand-in server and return its answer."""
        spec = self.specs[name]
        response = httpx.post(
            f"http://{spec.host}:{spec.port}{path}", json=body, timeout=5, trust_env=False
        )
        return msgspec.json.decode(response.content)

    def restart_server(self, name: str) -> None:
        """Start a stopped stand-in server again at the same address."""
        self.fleet.start_server(self.specs[name])
        self.fleet.wait_listening(self.specs[name].host, self.specs[name].port)

    def runs_by_subject(self, *names: str) -> Counter:
        """Count the executions of each call with an idempotency key, from the services' run logs.

        Keys of the counter are ``<customer>/<idempotency key>``.
        """
        counts: Counter = Counter()
        for name in names:
            path = self.fleet.folder / f"{name}.runs"
            lines = path.read_text().splitlines() if path.exists() else []
            counts.update(line.split()[3] for line in lines)
        return counts

    def wait_memory_returned(self, *names: str) -> None:
        """Wait until the engines have no allocated memory and no reservations: nothing leaked."""

        def is_empty(name: str) -> bool:
            state = self.server_state(name)
            return state["free_tokens"] == state["total_tokens"] and not state["reservations"]

        for name in names:
            wait_until(
                lambda name=name: is_empty(name), f"{name} is empty", MEMORY_RETURN_TIMEOUT_SECONDS
            )


def start_running_site(
    stack: ExitStack,
    folder: Path,
    net: int,
    engines_per_domain: int = 1,
    services: int = 1,
    engine_flags: tuple[str, ...] = (),
    service_flags: tuple[str, ...] = (),
    mutant: str = "",
    **changes,
) -> RunningSite:
    """Start a site of three failure domains behind a fault proxy; ``stack`` closes both."""
    files = write_site(net, folder, **changes)
    endpoints = write_vm_overlays(folder, site_document(net, folder, **changes))
    specs = [
        with_proxy_address(engine(net, domain, number, *engine_flags))
        for domain in range(len(DOMAINS))
        for number in range(1, engines_per_domain + 1)
    ]
    for domain in range(services):
        name = plain_service(net, domain, 1).name
        flags = (*service_flags, f"--run_log={folder / name}.runs")
        specs.append(with_proxy_address(plain_service(net, domain, 1, *flags)))
    endpoints += [Endpoint(spec.host, (spec.port,)) for spec in specs]
    proxy = stack.enter_context(FaultProxy(endpoints))
    fleet = stack.enter_context(Fleet(folder, files.base, files.overlay))
    fleet.mutant = mutant
    fleet.start_site(specs)
    return RunningSite(fleet, proxy, specs)
