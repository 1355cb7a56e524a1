"""State shared by the tasks of an entry daemon."""

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
from siskinspoke.coordination.forwarding.reach import Reach
from siskinspoke.coordination.retries import RetryBudget
from siskinspoke.coordination.routing import Router
from siskinspoke.core.codes import Failure
from siskinspoke.core.counters import Counters
from siskinspoke.core.stall_detector import StallDetector
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
    """The components of one entry daemon; each component owns its state."""

    vm: EntryVM
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
    stall_detector: StallDetector
    open_requests: int = 0
    draining: bool = False
    reach: Reach = field(default_factory=Reach)
    drain_begun: trio.Event = field(default_factory=trio.Event)
    drained: trio.Event = field(default_factory=trio.Event)
    limit_listeners: list[Callable[[Limits], None]] = field(default_factory=list)
    _requests: int = 0

    def apply_limits(self) -> None:
        """Pass the limits in force to all components that keep a copy."""
        limits = self.holder.current.configuration.limits
        self.retries.set_share(limits.retry_share)
        self.shares.set_window(limits.fair_window_ms)
        for listener in self.limit_listeners:
            listener(limits)

    def next_request_id(self) -> str:
        """Return a request id that is unique across VMs and restarts."""
        self._requests += 1
        return f"{self.vm.name}.{self.incarnation:x}.{self._requests}"

    def refuse(self, failure: Failure) -> Failure:
        """Count a refusal by its code and return it."""
        self.counters.count(f"refused.{failure.code.name.lower()}")
        return failure

    def is_alive(self, target: Target) -> bool:
        """Return whether a server still announces this incarnation, or announced that it leaves."""
        record = self.directory.find(target.server, target.incarnation)
        if record is None:
            return False
        if record.announcement.leaving:
            return True
        return now_ms() - record.heard_at < self.settings.announcement_lease_ms

    def suspend(self, target: Target) -> None:
        """Stop sending new work to a server that could not be connected to."""
        now = now_ms()
        self.directory.suspend(target.server, target.incarnation, now)
        self.reach.record_failure(now)

    def record_crash(self, target: Target) -> None:
        """Record that a server has crashed."""
        record = self.directory.latest(target.server)
        service = record.announcement.service if record is not None else ""
        start, now = (target.server, target.incarnation), now_ms()
        servers = len(self.directory.routable(service, now))
        self.crashes.record_restart(start, service, servers, now)

    def request_opened(self) -> None:
        """Increment the number of open requests."""
        self.open_requests += 1
        self.counters.gauge("open_requests", self.open_requests)

    def request_closed(self) -> None:
        """Decrement the number of open requests; the last one completes a drain."""
        self.open_requests -= 1
        self.counters.gauge("open_requests", self.open_requests)
        if self.draining and not self.open_requests:
            self.drained.set()

    def begin_drain(self) -> None:
        """Refuse new requests; ``drained`` is set when no request is open."""
        self.draining = True
        self.drain_begun.set()
        if not self.open_requests:
            self.drained.set()


def target_of(record: ServerRecord) -> Target:
    """Return the address and incarnation of a server."""
    announcement = record.announcement
    return Target(
        announcement.server, announcement.incarnation, announcement.host, announcement.port
    )
