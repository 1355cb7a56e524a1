"""What the tasks of an entry daemon share."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from siskinspoke.conf import Settings
from siskinspoke.conf.settings import EntryVM, Limits
from siskinspoke.coordination.configuration import ConfigurationHolder
from siskinspoke.coordination.crash_watch import CrashWatch
from siskinspoke.coordination.directory import Directory, ServerRecord
from siskinspoke.coordination.fairness import FairShares
from siskinspoke.coordination.retries import RetryBudget
from siskinspoke.coordination.routing import Router
from siskinspoke.core.codes import Failure
from siskinspoke.core.counters import Counters
from siskinspoke.core.standstill import Standstill
from siskinspoke.entry.backend import Backend
from siskinspoke.entry.control_client import ControlClient
from siskinspoke.entry.janitor import Janitor
from siskinspoke.protocol.claims import Target
from siskinspoke.protocol.crashes import CrashNews


def now_ms() -> float:
    """Return the monotonic clock in milliseconds."""
    return time.monotonic() * 1000


@dataclass
class EntryContext:
    """The parts of one entry daemon; each part owns its own state."""

    me: EntryVM
    settings: Settings
    incarnation: int
    holder: ConfigurationHolder
    directory: Directory
    router: Router
    shares: FairShares
    retries: RetryBudget
    counters: Counters
    backend: Backend
    control: ControlClient
    janitor: Janitor
    crashes: CrashWatch
    crash_news: trio.MemoryReceiveChannel[CrashNews]
    rng: random.Random
    nursery: trio.Nursery
    standstill: Standstill
    open_requests: int = 0
    draining: bool = False
    drain_begun: trio.Event = field(default_factory=trio.Event)
    drained: trio.Event = field(default_factory=trio.Event)
    on_limits: list[Callable[[Limits], None]] = field(default_factory=list)
    _requests: int = 0

    def apply_limits(self) -> None:
        """Let everything that keeps a limit of its own take the one in force."""
        limits = self.holder.current.configuration.limits
        self.retries.set_share(limits.retry_share)
        self.shares.set_window(limits.fair_window_ms)
        for take in self.on_limits:
            take(limits)

    def next_request_id(self) -> str:
        """Return a request id that no other VM and no other start of this one gives."""
        self._requests += 1
        return f"{self.me.name}.{self.incarnation:x}.{self._requests}"

    def refuse(self, failure: Failure) -> Failure:
        """Count a refusal by its reason and return it."""
        self.counters.count(f"refused.{failure.code.name.lower()}")
        return failure

    def is_alive(self, target: Target) -> bool:
        """Tell whether a server still announces this incarnation, or left in good order."""
        record = self.directory.find(target.server, target.incarnation)
        if record is None:
            return False
        if record.announcement.leaving:
            return True
        return now_ms() - record.heard_at < self.settings.announcement_lease_ms

    def crashed(self, target: Target) -> None:
        """Take in that a server has crashed."""
        record = self.directory.latest(target.server)
        service = record.announcement.service if record is not None else ""
        start, now = (target.server, target.incarnation), now_ms()
        servers = len(self.directory.believed(service, now))
        self.crashes.started_anew(start, service, servers, now)

    def request_opened(self) -> None:
        """Count a request that is being answered."""
        self.open_requests += 1
        self.counters.gauge("open_requests", self.open_requests)

    def request_closed(self) -> None:
        """Count a request off; the last one of a draining VM ends the drain."""
        self.open_requests -= 1
        self.counters.gauge("open_requests", self.open_requests)
        if self.draining and not self.open_requests:
            self.drained.set()

    def begin_drain(self) -> None:
        """Refuse new requests from now on."""
        self.draining = True
        self.drain_begun.set()
        if not self.open_requests:
            self.drained.set()


def target_of(record: ServerRecord) -> Target:
    """Return the address and incarnation of a server."""
    said = record.announcement
    return Target(said.server, said.incarnation, said.host, said.port)
