"""Faults for the soak test: crowds of clients that exceed limits, at random processes."""

from __future__ import annotations

import random
from contextlib import ExitStack
from pathlib import Path
from typing import TYPE_CHECKING

import trio

from siskinspoke.testing.group_site import (
    INTERNAL_PORTS,
    OPERATORS_PORT,
    PUBLIC_PORT,
    READY_PORT,
)
from tests.crowds.client_crowd import Target, client_crowd
from tests.crowds.group import gateway_headers

if TYPE_CHECKING:
    from tests.soak.soak import Soak

MEMORY_MB = 120
MAX_DESCRIPTORS = 512
GATEWAY_PORTS = (PUBLIC_PORT, INTERNAL_PORTS[0] + 3, READY_PORT)
REGISTRY_PORTS = (OPERATORS_PORT, INTERNAL_PORTS[0], INTERNAL_PORTS[0] + 1)
BODY_FORMS = ("length", "chunks", "small chunks", "announced", "endless", "expected", "frame")
WAITING_FORMS = ("silent", "head")
MAX_BODY_CLIENTS, MAX_WAITING_CLIENTS = 40, 500
MAX_SECONDS = 4.0
POLL_SECONDS = 0.05


class CrowdFaults:
    """Run crowds, two at a time, beside all other faults."""

    def __init__(self, soak: Soak, rng: random.Random):
        self._soak = soak
        self._rng = rng

    def settings(self) -> dict[str, int]:
        """Return the settings of all processes."""
        return {"memory_mb": MEMORY_MB, "max_descriptors": MAX_DESCRIPTORS}

    async def inject_forever(self) -> None:
        """Run one crowd after the other, in two series."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_memory)
            for _ in range(2):
                nursery.start_soon(self._run_crowds)

    async def _run_crowds(self) -> None:
        while True:
            await trio.sleep(self._rng.uniform(0.1, 1.0))
            name = self._rng.choice(("c1", "c2", "c3", *self._soak.gateways))
            is_gateway = name in self._soak.gateways
            port = self._rng.choice(GATEWAY_PORTS if is_gateway else REGISTRY_PORTS)
            form = self._rng.choice((*BODY_FORMS, *WAITING_FORMS))
            most = MAX_WAITING_CLIENTS if form in WAITING_FORMS else MAX_BODY_CLIENTS
            count, seconds = self._rng.randint(1, most), self._rng.uniform(0.5, MAX_SECONDS)
            path = "/again/x" if is_gateway else "/config/replace"
            target = Target(self._soak.site.host_of(name), port, path, gateway_headers())
            self._soak.record_fault(f"{count} clients, {form}, at port {port} of {name}")
            with ExitStack() as stack:
                with trio.CancelScope(shield=True):
                    await trio.to_thread.run_sync(
                        stack.enter_context, client_crowd(target, form, count, settle=False)
                    )
                await trio.sleep(seconds)

    async def _watch_memory(self) -> None:
        while True:
            await trio.sleep(POLL_SECONDS)
            self.check()

    def check(self) -> None:
        """Check that no process had more than its memory."""
        for name in ("c1", "c2", "c3", *self._soak.gateways):
            try:
                status = Path(f"/proc/{self._soak.site.pid(name)}/status").read_text()
            except (OSError, KeyError):
                # The process is between its end and its next start.
                continue
            for line in status.splitlines():
                if line.startswith("VmHWM:") and int(line.split()[1]) > MEMORY_MB * 1_000:
                    self._soak.violations.append(f"{name} had {line}")
