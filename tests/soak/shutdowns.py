"""Faults for the soak test around shutdowns, and answers without end.

Gateways with grace periods of several lengths are stopped one over the other, with further signals
in series until each is gone, while clients keep using their connections.  Servers send bytes
without end at random.
"""

from __future__ import annotations

import random
import signal
from pathlib import Path
from typing import TYPE_CHECKING

import trio

from tests.platform.standin_server import ENDLESS_FORMS, Endless

if TYPE_CHECKING:
    from tests.soak.soak import Soak

GRACE_SECONDS = (1.0, 2.5, 5.0, 8.0)
# Time for a process to exit, beyond its grace period, on a busy machine.
EXIT_SECONDS = 1.0
SIGNALS = (signal.SIGTERM, signal.SIGHUP, signal.SIGINT)
ENDLESS_SHARE = 0.08
# An answer without framing is complete when a proxy closes its connection.
UNFRAMED = b"Connection: close"
ENDLESS_FORMS_USED = sorted(
    form for form, (begin, _) in ENDLESS_FORMS.items() if not begin.startswith(UNFRAMED)
)
MEMORY_MB = 300
POLL_SECONDS = 0.05


class ShutdownFaults:
    """Stop gateways in series, and have servers send without end."""

    def __init__(self, soak: Soak, rng: random.Random):
        self._soak = soak
        self._rng = rng
        self._grace: dict[str, float] = {}
        # The requests that gateways must answer, with gateway and times of sending and end.
        self._unanswered: list[tuple[str, str, float, float]] = []
        # When a gateway was killed, or resumed after a pause.
        self._disturbances: list[tuple[str, float]] = []

    def settings(self, gateway: str) -> dict[str, float]:
        """Return settings for the next start of a gateway."""
        self._grace[gateway] = self._rng.choice(GRACE_SECONDS)
        return {"shutdown_seconds": self._grace[gateway], "memory_mb": MEMORY_MB}

    def choose_endless(self) -> Endless | None:
        """Return an answer without end for a share of the requests."""
        if self._rng.random() >= ENDLESS_SHARE:
            return None
        return Endless(self._rng.choice(ENDLESS_FORMS_USED), pause=0.001)

    def record_disturbance(self, gateway: str) -> None:
        """Record that a gateway was killed or paused, or has been resumed."""
        self._disturbances.append((gateway, trio.current_time()))

    def record_unanswered(self, request_id: str, gateway: str, sent_at: float) -> None:
        """Record a plain call that got no complete answer."""
        self._unanswered.append((request_id, gateway, sent_at, trio.current_time()))

    async def inject_forever(self) -> None:
        """Stop gateways; several stops may overlap."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self._rng.uniform(0.5, 2.5))
                nursery.start_soon(self._stop, self._rng.choice(self._soak.gateways))

    async def _stop(self, name: str) -> None:
        """Stop a gateway with signals in series, and start it again once it is gone."""
        soak, site = self._soak, self._soak.site
        if name in soak.down or not site.is_running(name):
            return
        if not site.survives_signal(name, signal.SIGTERM):
            return
        soak.down.add(name)
        grace = self._grace[name]
        soak.record_fault(f"stop {name} in series, grace period {grace}")
        with trio.CancelScope(shield=True):
            polls = round((grace + EXIT_SECONDS) / POLL_SECONDS)
            site.signal(name, signal.SIGTERM)
            for _ in range(polls):
                await trio.sleep(POLL_SECONDS)
                if not site.is_running(name):
                    break
                if self._rng.random() < 0.1:
                    site.signal(name, self._rng.choice(SIGNALS))
                self._check_memory(name)
        if site.is_running(name):
            soak.violations.append(f"{name} did not stop within {grace} s and {EXIT_SECONDS} s")
            site.kill(name)
            self.record_disturbance(name)
        elif site.exit_code(name) != 0:
            soak.violations.append(f"{name} ended with exit code {site.exit_code(name)}")
        soak.mark_disturbed(name)
        soak.start_process(name)
        soak.down.discard(name)

    def _check_memory(self, name: str) -> None:
        try:
            status = Path(f"/proc/{self._soak.site.pid(name)}/status").read_text()
        except OSError:
            return
        for line in status.splitlines():
            if line.startswith("VmHWM:") and int(line.split()[1]) > MEMORY_MB * 1_000:
                self._soak.violations.append(f"{name} had {line}")

    def check(self, runs: dict[str, int]) -> None:
        """Check that each call that reached a server got an answer from its gateway."""
        for name in self._soak.gateways:
            self._check_memory(name)
        for request_id, gateway, sent_at, ended_at in self._unanswered:
            excused = any(
                name == gateway and sent_at - 0.5 <= at <= ended_at + 0.5
                for name, at in self._disturbances
            )
            if runs.get(request_id) and not excused:
                self._soak.violations.append(
                    f"{request_id} ran, and {gateway} closed its connection without an answer "
                    f"after {ended_at - sent_at:.2f} s"
                )
