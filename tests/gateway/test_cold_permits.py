"""Tests in virtual time of permits for a cold server, with several VMs and faults.

Each VM has a view of the fleet and of the control VMs of its own, which lags behind its faults.
"""

import itertools
import math
import random
import time

import pytest
import trio
import trio.testing

from siskinspoke.coordination.cold_limiters import cold_budget
from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.core.counters import Counters
from siskinspoke.gateway import cold_permits
from siskinspoke.gateway.cold_permits import ColdPermits
from siskinspoke.gateway.permits import Permit
from siskinspoke.protocol.announcements import Announcement
from siskinspoke.protocol.feed import EntryPeer
from siskinspoke.testing.server_account import ServerAccount

RECORD = ServerRecord(
    Announcement("i-1", 1, 1, "a", "10.9.9.9", 1, "", "m", False, False, 0, 0, 0, [], 0, 0), 0.0
)
RATE, OVERSHOOT, SLACK = 14.0, 1.5, 5.0
PERMIT_TIMEOUT_SECONDS = 0.05
# A VM notices within this time that it has lost the control VMs.
CONTROL_LAG_SECONDS = 1.35
WARM_UP_SECONDS = 4.0
SECONDS = 20.0
FLEETS = [2, 12, 65, 420]
# Large fleets run with fewer seeds, since they take longer.
RUNS = [(2, 1), (2, 2), (2, 3), (12, 1), (12, 2), (12, 3), (65, 1), (65, 2), (420, 1)]


def virtual_clock_ms() -> float:
    """Return the clock for leases and permits of all simulated VMs."""
    return trio.current_time() * 1000


class Simulation:
    """VMs that ask each other for permits, and the cold server to which they send."""

    def __init__(self, vms: int, seed: int = 1, rate: float = RATE, demand: float = 100.0):
        self.rng = random.Random(seed)
        self.demand = demand
        self.budget = cold_budget(rate, OVERSHOOT, SLACK)
        self.hosts = [f"10.0.{number // 200}.{number % 200}" for number in range(vms)]
        self.domains = {host: "abc"[number % 3] for number, host in enumerate(self.hosts)}
        self.account = ServerAccount("i-1")
        self.account.record_cold(math.inf, rate * OVERSHOOT + SLACK)
        self.paused: dict[str, trio.Event] = {}
        self.cut: set[str] = set()
        self.dead: set[str] = set()
        self.lost_control_at: dict[str, float] = {}
        self.changes = dict.fromkeys(self.hosts, 0)
        self.hidden: dict[str, set[str]] = {host: set() for host in self.hosts}
        self.scopes: dict[str, trio.CancelScope] = {}
        self.sent: list[tuple[float, str]] = []
        self.messages = 0
        self.waits_ms: list[float] = []
        self.permits: dict[str, ColdPermits] = {}

    def _create(self, host: str) -> ColdPermits:
        permits = ColdPermits(
            EntryPeer(host, 1, self.domains[host]),
            lambda: [
                EntryPeer(other, 1, self.domains[other])
                for other in self.hosts
                if other != host and other not in self.hidden[host]
            ],
            lambda: self.changes[host],
            lambda: self._reaches_control(host),
            Counters(),
            random.Random(self.rng.random()),
        )
        observe = permits._limiter.observe

        def observe_unless_paused(has_quorum: bool, now: float) -> None:
            if host not in self.paused:
                observe(has_quorum, now)

        permits._limiter.observe = observe_unless_paused
        return permits

    def _reaches_control(self, host: str) -> bool:
        """Return whether a VM believes that it reaches most control VMs."""
        lost_at = self.lost_control_at.get(host)
        return lost_at is None or trio.current_time() - lost_at < CONTROL_LAG_SECONDS

    def granter(self) -> str:
        """Return the VM that holds the lease of the server, or its first limiter."""
        now = virtual_clock_ms()
        for host in self.hosts:
            if self.permits[host]._limiter.holds_lease("i-1", now):
                return host
        return self.permits[self.hosts[0]]._limiters("i-1", "a")[0]

    def holders(self) -> list[str]:
        """Return the VMs that hold a lease; a paused one cannot use its own."""
        now = virtual_clock_ms()
        return [
            host
            for host in self.hosts
            if self.permits[host]._limiter._leases
            and host not in self.dead
            and self.permits[host]._limiter.holds_lease("i-1", now)
        ]

    def queries(self, host: str):
        """Return the transport of a VM's queries."""
        world = self

        class Queries:
            async def request_permit(self, question, other: str):
                with trio.move_on_after(PERMIT_TIMEOUT_SECONDS):
                    return await self._exchange(question._replace(host=host), other)
                return None

            async def _exchange(self, question, other: str):
                await world.wait_running(host)
                world.messages += 1
                await trio.sleep(world.rng.uniform(0.0005, 0.003))
                await world.wait_running(other)
                if other in world.dead or (other in world.cut) != (host in world.cut):
                    await trio.sleep_forever()
                reply = world.permits[other].answer(question)
                world.messages += 1
                await trio.sleep(world.rng.uniform(0.0005, 0.003))
                await world.wait_running(host)
                return reply

        return Queries()

    async def wait_running(self, host: str) -> None:
        """Wait until a VM is not paused."""
        while host in self.paused:
            await self.paused[host].wait()

    async def start(self, host: str, nursery: trio.Nursery) -> None:
        """Start a VM, which has no state."""
        self.permits[host] = self._create(host)
        self.scopes[host] = scope = trio.CancelScope()
        nursery.start_soon(self._run_vm, host, scope)
        self.dead.discard(host)

    async def _run_vm(self, host: str, scope: trio.CancelScope) -> None:
        with scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._run_limiter, host)
                nursery.start_soon(self._send_forever, host)

    async def _run_limiter(self, host: str) -> None:
        def is_needed() -> bool:
            return True

        await self.permits[host].run(self.queries(host), is_needed)

    async def _send_forever(self, host: str) -> None:
        queries, share = self.queries(host), self.shares[host]
        blocked_until = 0.0
        async with trio.open_nursery() as nursery:

            async def send() -> None:
                nonlocal blocked_until
                began = trio.current_time()
                found, _ = await self.permits[host].obtain(
                    queries,
                    RECORD,
                    self.budget,
                    self.rng.choice((0.0, 75.0)),
                    urgent=self.rng.random() < 0.5,
                )
                await self.wait_running(host)
                if not isinstance(found, Permit):
                    blocked_until = found.until
                    return
                self.waits_ms.append((trio.current_time() - began) * 1000)
                # A connection is made before the permit is looked at for the last time.
                await trio.sleep(self.rng.choice((0.0, 0.02, 0.25)))
                await self.wait_running(host)
                if virtual_clock_ms() < found.until:
                    self.sent.append((trio.current_time(), host))
                    self.account.record_request(host, trio.current_time())

            while True:
                await trio.sleep(self.rng.expovariate(self.demand * share))
                await self.wait_running(host)
                if blocked_until <= virtual_clock_ms():
                    nursery.start_soon(send)

    async def kill(self, host: str) -> None:
        """Kill a VM."""
        self.scopes[host].cancel()
        self.dead.add(host)
        await trio.sleep(0)

    async def pause(self, host: str, seconds: float) -> None:
        """Pause a VM for some time."""
        event = self.paused[host] = trio.Event()
        await trio.sleep(seconds)
        del self.paused[host]
        event.set()

    def cut_off(self, hosts: set[str]) -> None:
        """Cut VMs off from the others and from the control VMs."""
        self.cut = set(hosts)
        self.lost_control_at = dict.fromkeys(hosts, trio.current_time())

    def hide(self, hosts: set[str], viewers: set[str]) -> None:
        """Remove VMs from the views of others."""
        for viewer in viewers:
            self.hidden[viewer] = set(hosts)
            self.changes[viewer] += 1

    def heal(self) -> None:
        """End all partitions; the views follow at different times."""
        self.cut = set()
        self.lost_control_at = {}

    async def show_all(self) -> None:
        """Let each VM learn of all others, one after another within 0.2 s."""
        for viewer in self.rng.sample(self.hosts, len(self.hosts)):
            self.hidden[viewer] = set()
            self.changes[viewer] += 1
            await trio.sleep(0.2 / len(self.hosts))

    async def run(self, faults) -> None:
        """Let the VMs send for a while, each with an uneven share of the clients."""
        weights = {host: self.rng.uniform(0.05, 1.0) ** 3 for host in self.hosts}
        total = sum(weights.values())
        self.shares = {host: weight / total for host, weight in weights.items()}
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            for host in self.hosts:
                await self.start(host, nursery)
            nursery.start_soon(self._check_holders)
            await trio.sleep(WARM_UP_SECONDS)
            self.messages = 0
            self.waits_ms.clear()
            began = trio.current_time()
            await faults(self)
            await trio.sleep(max(0.0, began + SECONDS - trio.current_time()))
            self.ended = trio.current_time()
            nursery.cancel_scope.cancel()

    async def _check_holders(self) -> None:
        """Check that no two VMs hold the lease at the same time."""
        while True:
            assert len(self.holders()) <= 1, self.holders()
            await trio.sleep(0.02)

    def longest_gap(self, since: float) -> float:
        """Return the longest time without a request, in seconds."""
        times = [at for at, _ in self.sent if at >= since]
        gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
        return max(gaps, default=SECONDS)

    def count(self, since: float, until: float) -> int:
        """Return how many requests were sent in an interval."""
        return sum(since <= at < until for at, _ in self.sent)


async def no_faults(world: Simulation) -> None:
    """Inject no faults."""


def simulate(vms: int, faults, seed: int = 1, **more) -> Simulation:
    """Run one simulation in virtual time, and check the bound in every second of it."""
    world = Simulation(vms, seed, **more)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(cold_permits, "lease_clock_ms", virtual_clock_ms)
        trio.run(world.run, faults, clock=trio.testing.MockClock(autojump_threshold=0))
    assert not world.account.violations, world.account.violations[:3]
    return world


class SuspendedMachine:
    """The clocks of a machine, which can be suspended."""

    def __init__(self):
        self.seconds = {time.CLOCK_BOOTTIME: 100.0, time.CLOCK_MONOTONIC: 100.0}

    def read(self, clock: int) -> float:
        """Return the time of a clock."""
        return self.seconds[clock]

    def suspend(self, seconds: float) -> None:
        """Suspend the machine, which stops its monotonic clock."""
        self.seconds[time.CLOCK_BOOTTIME] += seconds


@pytest.fixture
def machine(monkeypatch) -> SuspendedMachine:
    """Return the machine whose clocks the process reads."""
    machine = SuspendedMachine()
    monkeypatch.setattr(time, "clock_gettime", machine.read)
    return machine


class TestClocks:
    """Leases follow the clock of their VM, simulated VMs that of the simulation."""

    def test_clock_advances_while_machine_is_suspended(self, machine):
        """A resumed VM took expired leases for valid."""

        async def read_twice() -> float:
            before = cold_permits.lease_clock_ms()
            machine.suspend(1.0)
            return cold_permits.lease_clock_ms() - before

        elapsed_ms = trio.run(read_twice, clock=trio.testing.MockClock())
        assert elapsed_ms == pytest.approx(1000)

    def test_simulation_ignores_suspension_of_machine(self, machine):
        """All simulated VMs lost their leases when the machine of the test was suspended."""

        async def faults(world):
            await trio.sleep(1.0)
            machine.suspend(1.0)

        world = simulate(12, faults)
        assert world.longest_gap(WARM_UP_SECONDS) <= 1.0


class TestSteady:
    """The rate is used, and never exceeded, for any number of VMs."""

    @pytest.mark.parametrize("vms", [1, *FLEETS])
    def test_rate_is_used(self, vms):
        """With shares for each VM, those with few clients left most of the rate unused."""
        world = simulate(vms, no_faults)
        assert len(world.sent) >= 0.8 * RATE * SECONDS

    @pytest.mark.parametrize("vms", [65, 420])
    def test_number_of_messages(self, vms):
        """Each VM asked again whenever it had a request, so the limiter was overloaded."""
        world = simulate(vms, no_faults, demand=400.0)
        assert world.messages / SECONDS <= 400

    @pytest.mark.parametrize("rate", [0.5, 2.0, 100.0])
    def test_other_rates(self, rate):
        """The budget was derived for one rate only."""
        world = simulate(12, no_faults, rate=rate, demand=5 * rate + 5)
        assert len(world.sent) >= 0.75 * rate * SECONDS - 1

    def test_delay(self):
        """A permit takes one exchange once its granter is known."""
        world = simulate(12, no_faults, demand=5.0)
        waits = sorted(world.waits_ms)
        assert waits[len(waits) // 2] <= 10


@pytest.mark.parametrize(("vms", "seed"), RUNS)
class TestFaults:
    """The granting VM fails while all VMs want more permits than there are."""

    def test_granter_is_killed(self, vms, seed):
        """The next limiter granted a burst within the same second."""

        async def faults(world):
            for _ in range(1 if vms < 12 else 2):
                await world.kill(world.granter())
                await trio.sleep(5.0)

        world = simulate(vms, faults, seed)
        if vms >= 12:
            assert world.count(world.ended - 7.0, world.ended) >= 0.8 * RATE * 7.0
            assert world.longest_gap(WARM_UP_SECONDS) <= 1.6

    @pytest.mark.parametrize("seconds", [0.5, 1.2, 2.0, 3.0, 30.0])
    def test_granter_is_paused(self, vms, seed, seconds):
        """A granter that resumed still granted permits after another had taken over."""

        async def faults(world):
            for _ in range(3):
                await world.pause(world.granter(), seconds)
                await trio.sleep(2.5)

        world = simulate(vms, faults, seed)
        if vms >= 12:
            assert world.longest_gap(WARM_UP_SECONDS) <= 2.2

    def test_granter_is_cut_off(self, vms, seed):
        """A granter behind a partition granted permits to its side."""

        async def faults(world):
            world.cut_off({world.granter()})
            await trio.sleep(6.0)
            world.heal()
            await trio.sleep(4.0)

        simulate(vms, faults, seed)

    def test_granter_restarts(self, vms, seed):
        """A limiter that had forgotten its promises granted the lease twice."""

        async def faults(world):
            for _ in range(4):
                host = world.granter()
                await world.kill(host)
                await trio.sleep(world.rng.uniform(0.0, 0.3))
                await world.start(host, world.nursery)
                await trio.sleep(world.rng.uniform(0.5, 3.0))

        simulate(vms, faults, seed)

    def test_voters_restart(self, vms, seed):
        """Limiters that restarted at once voted for another VM while the first still granted."""

        async def faults(world):
            for _ in range(4):
                granter = world.granter()
                for host in world.permits[granter]._limiters("i-1", "a"):
                    if host != granter:
                        await world.kill(host)
                        await world.start(host, world.nursery)
                await trio.sleep(2.5)

        simulate(vms, faults, seed)

    def test_failure_domain_is_cut_off(self, vms, seed):
        """Both sides of a partition had limiters of their own in their own views."""

        async def faults(world):
            cut = {host for host in world.hosts if world.domains[host] == "a"}
            rest = set(world.hosts) - cut
            world.cut_off(cut)
            await trio.sleep(8.0)
            world.hide(cut, rest)
            world.hide(rest, cut)
            await trio.sleep(4.0)
            world.heal()
            await trio.sleep(0.1)
            await world.show_all()
            await trio.sleep(4.0)

        simulate(vms, faults, seed)

    def test_granter_is_replaced(self, vms, seed):
        """A new VM displaced the granter in the order before all VMs knew of it."""

        async def faults(world):
            newcomer = world.permits[world.hosts[0]]._limiters("i-1", "a")[0]
            await world.kill(newcomer)
            world.hide({newcomer}, set(world.hosts))
            await trio.sleep(5.0)
            await world.start(newcomer, world.nursery)
            await trio.sleep(0.1)
            await world.show_all()
            await trio.sleep(5.0)

        simulate(vms, faults, seed)

    def test_mixed_faults(self, vms, seed):
        """Faults of different limiters overlap."""

        async def faults(world):
            limiters = world.permits[world.hosts[0]]._limiters("i-1", "a")
            for _ in range(15):
                host = world.rng.choice(limiters)
                match world.rng.randrange(3):
                    case 0 if host not in world.paused:
                        world.nursery.start_soon(
                            world.pause, host, world.rng.choice((0.5, 1.2, 2.0, 3.0))
                        )
                    case 1:
                        world.cut_off({host})
                    case 2:
                        await world.kill(host)
                        await world.start(host, world.nursery)
                await trio.sleep(world.rng.uniform(0.1, 2.0))
                if world.rng.random() < 0.5:
                    world.heal()

        simulate(vms, faults, seed)
