"""Plain calls through several entry VMs to servers with few places, in virtual time."""

import heapq
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from siskinspoke.coordination.admission import AdmissionQueue, Refuse, Wait, Waiter
from siskinspoke.coordination.place_queue import (
    REFUSED_PAUSE_MS,
    PlaceChoice,
    PlaceQueue,
    TakePlace,
)
from siskinspoke.coordination.retries import SharedRetryBudget
from siskinspoke.coordination.server_places import ServerLoad, ServerPlaces

CROSSING_MS = 1.0
REPORT_INTERVAL_MS = 1_000.0
EJECTION_MS = 150.0
MAX_REFUSALS = 4
SAMPLE_MS = 5.0


@dataclass
class Server:
    """A server that refuses calls beyond its slots; ``lost_at`` is when it stops answering."""

    name: str
    slots: int = 6
    running: int = 0
    lost_at: float = math.inf

    @property
    def start(self) -> tuple[str, int]:
        return self.name, 1


@dataclass
class Call:
    """One call, and what became of it."""

    name: str
    at: float
    target_ms: float
    rank: int = 0
    sends: int = 0
    refusals: int = 0
    waited: bool = False
    served_at: float = math.inf
    refused_at: float = math.inf
    retry_after_ms: float = 0.0

    @property
    def on_time(self) -> bool:
        return self.served_at - self.at <= self.target_ms

    @property
    def patient_until(self) -> float:
        return self.at + 0.5 * self.target_ms


@dataclass
class VM:
    """An entry VM; ``reported_at`` is when it last sent its open calls to its cell."""

    host: str
    places: ServerPlaces = field(default_factory=ServerPlaces)
    queue: PlaceQueue = field(default_factory=lambda: PlaceQueue(AdmissionQueue()))
    waiting: dict[str, Call] = field(default_factory=dict)
    ejected: dict[str, float] = field(default_factory=dict)
    open_calls: dict[str, int] = field(default_factory=dict)
    reported_at: float = -math.inf
    send_now: bool = False
    cut_off: bool = False
    messages: int = 0


class World:
    """Virtual time; ``uses_places`` False is the choice by this VM's own open calls."""

    def __init__(
        self,
        vms: int,
        servers: int = 3,
        seed: int = 1,
        duration_ms: float = 60.0,
        uses_places: bool = True,
        states_load: bool = True,
        announces_slots: bool = True,
        reports: bool = True,
    ):
        self.rng = random.Random(seed)
        self.vms = [VM(f"vm{number}") for number in range(vms)]
        self.servers = {f"s{number}": Server(f"s{number}") for number in range(servers)}
        self.duration_ms = duration_ms
        self.uses_places = uses_places
        self.states_load = states_load
        self.announces_slots = announces_slots
        self.reports = reports
        self.budget = SharedRetryBudget(0.2, 100)
        self.now = 0.0
        self.calls: list[Call] = []
        self.free_samples: list[tuple[float, int]] = []
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._numbers = count()

    def at(self, time: float, action: Callable, *args) -> None:
        """Run an action at a time."""
        heapq.heappush(self._events, (time, next(self._numbers), action, args))

    def run(self, until: float) -> None:
        """Run all actions up to a time."""
        self.at(0.0, self._sample)
        while self._events and self._events[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)

    def arrivals(self, rate_per_s: float, begin: float, end: float) -> None:
        """Add calls of two targets at random times to random VMs."""
        time = begin
        while (time := time + self.rng.expovariate(rate_per_s / 1000)) < end:
            vm = self.rng.choice(self.vms)
            self.at(time, self.arrive, vm, self.rng.choice((150.0, 300.0)))

    def arrive(self, vm: VM, target_ms: float, rank: int = 0) -> Call:
        """Add a call now."""
        call = Call(f"c{len(self.calls)}", self.now, target_ms, rank)
        self.calls.append(call)
        self.budget.first_attempt("plain", self.now)
        self._decide(vm, call)
        return call

    def _sample(self) -> None:
        free = sum(
            server.slots - server.running
            for server in self.servers.values()
            if self.now < server.lost_at
        )
        self.free_samples.append((self.now, free))
        self.at(self.now + SAMPLE_MS, self._sample)

    def _alive(self, vm: VM) -> list[Server]:
        """Return the servers that a VM may use: a loss is detected after 100 ms."""
        return [item for item in self.servers.values() if self.now < item.lost_at + 100.0]

    def choices(self, vm: VM) -> list[PlaceChoice]:
        """Return the servers with the places that a VM estimates."""
        found = []
        for server in self._alive(vm):
            slots = server.slots if self.announces_slots else 0
            estimate = vm.places.estimate(server.start, slots, 0.0, self.now)
            key = estimate.own + estimate.others + 0.1 * self.rng.random()
            found.append(PlaceChoice(server.name, estimate, False, key))
        return found

    def _decide(self, vm: VM, call: Call) -> None:
        if not self.uses_places:
            self._choose_by_own_calls(vm, call)
            return
        waiter = Waiter(
            call.name,
            call.rank,
            "",
            call.at,
            call.at if call.refusals else call.at + call.target_ms,
            call.at + 1_500.0,
            self.duration_ms,
            1.0,
        )
        decision = vm.queue.decide(
            waiter, self.choices(vm), True, call.patient_until, 1_000, self.now, self.rng
        )
        match decision:
            case TakePlace(server=server):
                vm.waiting.pop(call.name, None)
                if not self._may_send(call):
                    return
                vm.places.begin(server)
                self._note_turn(vm, server)
                self._send(vm, call, self.servers[server])
            case Wait(until=until):
                call.waited = True
                vm.waiting[call.name] = call
                self.at(until, self._decide_again, vm, call)
            case Refuse(retry_after_ms=retry_after):
                vm.waiting.pop(call.name, None)
                call.refused_at, call.retry_after_ms = self.now, retry_after

    def _decide_again(self, vm: VM, call: Call) -> None:
        if call.name in vm.waiting:
            self._decide(vm, call)

    def _wake(self, vm: VM) -> None:
        for call in list(vm.waiting.values()):
            self._decide_again(vm, call)

    def _choose_by_own_calls(self, vm: VM, call: Call) -> None:
        alive = [server.name for server in self._alive(vm)]
        alive.sort(key=lambda name: vm.ejected.get(name, 0.0))
        usable = [name for name in alive if vm.ejected.get(name, 0.0) <= self.now]
        usable = usable if len(usable) >= 2 else alive[:2]
        if call.refusals >= min(MAX_REFUSALS, len(alive)):
            call.refused_at, call.retry_after_ms = self.now, 400.0
            return
        if not self._may_send(call):
            return
        name = min(usable, key=lambda name: (vm.open_calls.get(name, 0), self.rng.random()))
        vm.open_calls[name] = vm.open_calls.get(name, 0) + 1
        self._send(vm, call, self.servers[name])

    def _may_send(self, call: Call) -> bool:
        """Spend a retry for a call that was sent before; refuse it if there is none."""
        if call.sends and not self.budget.spend("plain", self.now):
            call.refused_at, call.retry_after_ms = self.now, 400.0
            return False
        return True

    def _send(self, vm: VM, call: Call, server: Server) -> None:
        call.sends += 1
        self.at(self.now + CROSSING_MS, self._reach, vm, call, server)

    def _reach(self, vm: VM, call: Call, server: Server) -> None:
        if self.now >= server.lost_at:
            self.at(server.lost_at + 100.0, self._end, vm, call, server, None, 0.0)
            return
        if server.running >= server.slots:
            load = ServerLoad(server.running, 0, server.slots)
            self.at(self.now + CROSSING_MS, self._end, vm, call, server, load, 0.0)
            return
        server.running += 1
        took = self.duration_ms * self.rng.uniform(0.5, 1.5)
        self.at(self.now + took, self._finish, vm, call, server, took)

    def _finish(self, vm: VM, call: Call, server: Server, took: float) -> None:
        load = ServerLoad(server.running, 0, server.slots)
        server.running -= 1
        if self.now >= server.lost_at:
            self.at(server.lost_at + 100.0, self._end, vm, call, server, None, 0.0)
            return
        self.at(self.now + CROSSING_MS, self._end, vm, call, server, load, took)

    def _end(
        self, vm: VM, call: Call, server: Server, load: ServerLoad | None, took: float
    ) -> None:
        refused = load is not None and not took
        if self.uses_places:
            if load is not None and self.states_load:
                vm.places.record_load(server.start, load, refused, self.now)
            elif refused:
                vm.places.record_refusal(server.start, server.slots, self.now)
            if took:
                vm.places.record_duration(server.name, took)
            vm.places.end(server.name, took > 0.0, self.now)
        else:
            vm.open_calls[server.name] -= 1
        if took:
            call.served_at = self.now
        elif load is None:
            call.refused_at = self.now
        else:
            call.refusals += 1
            vm.ejected[server.name] = self.now + EJECTION_MS
            pause_ms = REFUSED_PAUSE_MS if self.uses_places else 0.0
            self.at(self.now + pause_ms, self._decide, vm, call)
        if self.uses_places:
            self._wake(vm)
            self._note_turn(vm, server.name)

    def _note_turn(self, vm: VM, name: str) -> None:
        """Report at once that a server became full or free, as far as the interval allows."""
        server = self.servers[name]
        slots = server.slots if self.announces_slots else 0
        estimate = vm.places.estimate(server.start, slots, 0.0, self.now)
        if not vm.places.has_turned(name, estimate) or not self.reports or vm.send_now:
            return
        vm.send_now = True
        self.at(max(self.now, vm.reported_at + REPORT_INTERVAL_MS), self._report, vm)

    def _report(self, vm: VM) -> None:
        vm.send_now = False
        counts = vm.places.take_unsent()
        if not counts or vm.cut_off:
            return
        vm.reported_at = self.now
        vm.messages += 1
        for other in self.vms:
            if other is not vm and not other.cut_off:
                self.at(self.now + CROSSING_MS, self._hear, other, vm.host, counts)

    def _hear(self, vm: VM, host: str, counts: list[tuple[str, int]]) -> None:
        for server, number in counts:
            vm.places.record_peer(host, server, number, self.now)
        self._wake(vm)

    def summary(self, begin: float = 0.0, end: float = math.inf) -> dict[str, float]:
        """Return shares of the calls that arrived in a time."""
        calls = [call for call in self.calls if begin <= call.at < end]
        refused = [call for call in calls if call.refused_at < math.inf]
        waited = [call for call in calls if call.waited]
        vain = [call for call in waited if call.refused_at < math.inf]
        free = [time for time, places in self.free_samples if places > 0]
        wrong = [
            call
            for call in refused
            if any(call.refused_at <= time <= call.patient_until for time in free)
        ]
        number = len(calls)
        return {
            "calls": number,
            "on_time": sum(call.on_time for call in calls) / number,
            "refused": len(refused) / number,
            "waited": len(waited) / number,
            "vain": len(vain) / number,
            "wrong": len(wrong) / number,
            "refusals_by_servers": sum(call.refusals for call in calls) / number,
        }
