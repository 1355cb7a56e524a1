"""Tests in virtual time of permits for a rate-limited server, with several VMs and faults."""

import random
from types import SimpleNamespace

import pytest
import trio
import trio.testing

from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.coordination.rate_limits import RateLimits
from siskinspoke.core.counters import Counters
from siskinspoke.gateway.permits import Permit, Permits
from siskinspoke.protocol.announcements import Announcement
from siskinspoke.protocol.feed import EntryPeer
from siskinspoke.protocol.peers import PermitReply, PermitRequest
from siskinspoke.testing.server_account import ServerAccount

SERVER = Announcement("i-1", 1, 1, "a", "10.9.9.9", 1, "", "m", False, False, 0, 0, 0, [], 0, 0)
RECORD = ServerRecord(SERVER, 0.0)
PERMIT_TIMEOUT_SECONDS = 0.05
WARM_UP_SECONDS = 6.0
SECONDS = 30.0


class Simulation:
    """A simulation of VMs that ask each other for permits, and of the server they send to."""

    def __init__(self, vms: int, rate: float, demand: float, seed: int):
        self.rng = random.Random(seed)
        self.rate = rate
        self.demand = demand
        self.hosts = [f"10.0.{number // 200}.{number % 200}" for number in range(vms)]
        self.domains = {host: "abc"[number % 3] for number, host in enumerate(self.hosts)}
        self.account = ServerAccount("i-1")
        self.permits = {host: self._start(host) for host in self.hosts}
        self.frozen: set[str] = set()
        self.partitioned: set[str] = set()
        self.sent = 0
        self.permit_requests = 0

    def _start(self, host: str) -> Permits:
        peers = [EntryPeer(other, 1, self.domains[other]) for other in self.hosts if other != host]
        limits = RateLimits()
        limits.record(RECORD.start, self.rate, 0.0)
        return Permits(
            EntryPeer(host, 1, self.domains[host]),
            lambda: peers,
            lambda: 1,
            lambda: self._has_quorum(host),
            lambda other, ms: False,
            limits,
            Counters(),
        )

    def _has_quorum(self, host: str) -> bool:
        side = (
            len(self.partitioned)
            if host in self.partitioned
            else len(self.hosts) - len(self.partitioned)
        )
        return 2 * side > len(self.hosts)

    def limiter(self) -> str:
        """Return the first limiter of the server."""
        return self.permits[self.hosts[0]]._limiters("i-1", "a")[0]

    def restart(self, host: str) -> None:
        """Restart a VM, which keeps none of its state except the rate limit."""
        self.permits[host] = self._start(host)

    def queries(self, host: str):
        """Return the transport of a VM's permit requests."""
        world = self

        class Queries:
            async def request_permit(
                self, question: PermitRequest, other: str
            ) -> PermitReply | None:
                world.permit_requests += 1
                await trio.sleep(world.rng.uniform(0.001, 0.004))
                if other in world.frozen or (other in world.partitioned) != (
                    host in world.partitioned
                ):
                    await trio.sleep(PERMIT_TIMEOUT_SECONDS)
                    return None
                return world.permits[other].answer(question._replace(host=host))

        return Queries()

    async def _tick_forever(self) -> None:
        while True:
            for host, permits in self.permits.items():
                if host not in self.frozen:
                    permits.tick(["i-1"])
            await trio.sleep(1.0)

    async def _send_forever(self, host: str, share: float) -> None:
        queries = self.queries(host)
        while True:
            await trio.sleep(self.rng.expovariate(self.demand * share))
            limits = self.permits[host]._limits
            if host in self.frozen or limits.blocked_until(RECORD.start) > _now_ms():
                continue
            limit = limits.find(RECORD.start)
            patience_ms = self.rng.choice((0.0, 150.0))
            found, _ = await self.permits[host].obtain(queries, RECORD, limit, patience_ms)
            if isinstance(found, Permit) and host not in self.frozen:
                await trio.sleep(self.rng.uniform(0.0, 0.02))
                self.sent += 1
                self.account.record_answer(host, trio.current_time(), self.rate)
                self.account.record_request(host, trio.current_time())

    async def run(self, faults) -> None:
        """Let the VMs send for a while, each with an uneven share of the clients."""
        weights = [self.rng.uniform(0.05, 1.0) ** 3 for _ in self.hosts]
        for host in self.hosts:
            self.account.record_answer(host, -1.0, self.rate)
        with trio.move_on_after(WARM_UP_SECONDS + SECONDS):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._tick_forever)
                for host, weight in zip(self.hosts, weights, strict=True):
                    nursery.start_soon(self._send_forever, host, weight / sum(weights))
                await trio.sleep(WARM_UP_SECONDS)
                self.sent = self.permit_requests = 0
                await faults(self)


def _now_ms() -> float:
    return trio.current_time() * 1000


async def no_faults(world: Simulation) -> None:
    """Inject no faults."""


async def frozen_limiter(world: Simulation) -> None:
    """Freeze the limiter three times, for longer each time."""
    for seconds in (0.5, 3.0, 6.0):
        host = world.limiter()
        world.frozen.add(host)
        await trio.sleep(seconds)
        world.frozen.discard(host)
        await trio.sleep(4.0)


async def restarted_limiter(world: Simulation) -> None:
    """Restart the limiter repeatedly."""
    for _ in range(8):
        world.restart(world.limiter())
        await trio.sleep(2.0)


async def partitioned_limiter(world: Simulation) -> None:
    """Partition the limiter twice, alone and with others."""
    for count in (1, len(world.hosts) // 3):
        first = world.limiter()
        others = [host for host in world.hosts if host != first]
        world.partitioned = {first, *world.rng.sample(others, count - 1)}
        await trio.sleep(8.0)
        world.partitioned = set()
        await trio.sleep(4.0)


async def mixed_faults(world: Simulation) -> None:
    """Freeze, partition and restart VMs, with overlapping faults."""
    for _ in range(12):
        match world.rng.randrange(3):
            case 0:
                world.frozen = set(world.rng.sample(world.hosts, 2))
            case 1:
                world.partitioned = set(world.rng.sample(world.hosts, len(world.hosts) // 3))
            case 2:
                world.restart(world.rng.choice(world.hosts))
        await trio.sleep(world.rng.uniform(0.2, 3.0))
        if world.rng.random() < 0.5:
            world.frozen, world.partitioned = set(), set()


def simulate(
    vms: int, rate: float, faults, seed: int = 1, demand: float | None = None
) -> Simulation:
    """Run one simulation in virtual time."""
    world = Simulation(vms, rate, 5 * rate + 5 if demand is None else demand, seed)
    trio.run(world.run, faults, clock=trio.testing.MockClock(autojump_threshold=0))
    return world


class TestSumOverVms:
    """The rate limit of a server holds for any number of VMs, and whatever faults they have."""

    @pytest.mark.parametrize("vms", [1, 7, 24, 420])
    @pytest.mark.parametrize("rate", [0.0, 0.5, 1.0, 10.0])
    def test_no_faults(self, vms, rate):
        world = simulate(vms, rate, no_faults)
        assert not world.account.violations
        assert world.sent >= 0.9 * rate * SECONDS - 1

    @pytest.mark.parametrize("vms", [7, 24])
    @pytest.mark.parametrize("rate", [0.5, 1.0, 10.0])
    @pytest.mark.parametrize("seed", [1, 2, 3])
    @pytest.mark.parametrize(
        ("faults", "used"),
        [
            (frozen_limiter, 0.55),
            (restarted_limiter, 0.35),
            (partitioned_limiter, 0.4),
            (mixed_faults, 0.35),
        ],
    )
    def test_faults(self, faults, used, seed, rate, vms):
        """A limiter is frozen, partitioned or restarted; two VMs both granted the whole rate."""
        world = simulate(vms, rate, faults, seed)
        assert not world.account.violations, world.account.violations[:3]
        assert world.sent >= used * rate * SECONDS - 2

    def test_one_vm_has_all_clients(self):
        """Equal shares limited a VM that had all the clients to a seventh of the rate."""
        world = simulate(1, 4.0, no_faults)
        alone = world.sent
        assert alone >= 0.9 * 4.0 * SECONDS

    @pytest.mark.parametrize("vms", [7, 24, 420])
    def test_number_of_permit_requests(self, vms):
        world = simulate(vms, 1.0, no_faults, demand=100.0)
        assert world.permit_requests / SECONDS <= 35


class TestChanges:
    """A rate limit changes while VMs request permits."""

    def test_limiter_knows_newer_limit(self):
        """A VM that did not know the lower limit was granted permits at the old one."""

        async def run():
            world = Simulation(7, 50.0, 1.0, 1)
            with trio.move_on_after(20.0):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(world._tick_forever)
                    await trio.sleep(WARM_UP_SECONDS)
                    first = world.limiter()
                    world.permits[first]._limits.record(RECORD.start, 1.0, _now_ms())
                    other = next(host for host in world.hosts if host != first)
                    limits, granted = world.permits[other]._limits, 0
                    for _ in range(100):
                        limit = limits.find(RECORD.start)
                        found, _ = await world.permits[other].obtain(
                            world.queries(other), RECORD, limit, 0.0
                        )
                        granted += isinstance(found, Permit)
                        await trio.sleep(0.04)
                    assert granted <= 8
                    nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_two_lost_answers_far_apart_are_not_an_outage(self):
        """Two answers lost a long time apart made a VM treat the limiter as dead."""

        async def run():
            world = Simulation(7, 50.0, 1.0, 1)
            first = world.limiter()
            other = next(host for host in world.hosts if host != first)
            permits, limit = world.permits[other], RateLimits()
            limit.record(RECORD.start, 50.0, 0.0)
            seen = []
            decide = Simulation.queries(world, other).request_permit

            async def request_permit(question, host):
                seen.append((host, question.silent_ms))
                return None if host == first else await decide(question, host)

            questions = SimpleNamespace(request_permit=request_permit)
            for _ in range(2):
                await permits.obtain(questions, RECORD, limit.find(RECORD.start), 0.0)
                await trio.sleep(60.0)
            assert all(silent_ms < 1_000 for _, silent_ms in seen)

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
