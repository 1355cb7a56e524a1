"""Tests of the estimate of free places, and of the calls that wait for one."""

import math
import random
import statistics
from collections.abc import Callable

import pytest

from siskinspoke.coordination.admission import AdmissionQueue, Refuse, Wait, Waiter
from siskinspoke.coordination.place_queue import FULL, LATE, PlaceChoice, PlaceQueue, TakePlace
from siskinspoke.coordination.server_places import (
    DEFAULT_DURATION_MS,
    FULL_DURATIONS,
    PlaceEstimate,
    ServerLoad,
    ServerPlaces,
    expected_wait_ms,
)
from tests.coordination.plain_world import World

START = ("s1", 1)
SEEDS = range(4)
FULL_MS = FULL_DURATIONS * DEFAULT_DURATION_MS


def estimate(places: ServerPlaces, now: float, slots: int = 6) -> PlaceEstimate:
    """Return the estimate of one server that announced its slots at time 0."""
    return places.estimate(START, slots, 0.0, now)


def refused_places(now: float) -> ServerPlaces:
    """Return the places of a VM whose call a full server has just refused."""
    places = ServerPlaces()
    places.begin("s1")
    places.record_load(START, ServerLoad(6, 0, 6), True, now)
    places.end("s1", False, 0.0)
    return places


class TestInputs:
    """The estimate follows from slots, stated loads, own calls and reports of other VMs."""

    def test_server_without_slots_is_never_full(self):
        """A server that states no slots must not be refused calls by a guess."""
        places = ServerPlaces()
        for _ in range(50):
            places.begin("s1")
        assert not estimate(places, 10.0, slots=0).is_full
        assert expected_wait_ms([estimate(places, 10.0, slots=0)], 9) == 0.0

    def test_own_calls_fill_a_server(self):
        places = ServerPlaces()
        for _ in range(6):
            places.begin("s1")
        assert estimate(places, 10.0).is_full
        places.end("s1", False, 0.0)
        assert estimate(places, 10.0).free == 1

    def test_stated_load_contains_own_calls(self):
        """Own calls are in the stated load; counted twice, half a server would look full."""
        places = ServerPlaces()
        for _ in range(3):
            places.begin("s1")
        places.record_load(START, ServerLoad(4, 0, 6), False, 100.0)
        assert estimate(places, 100.0).others == 1

    def test_answers_are_read_in_another_order(self):
        """The load of an answer read last counts a call whose answer was read before."""
        places = ServerPlaces()
        places.begin("s1")
        places.begin("s1")
        places.record_load(START, ServerLoad(1, 0, 6), False, 100.0)
        places.end("s1", True, 101.0)
        places.record_load(START, ServerLoad(2, 0, 6), False, 102.0)
        assert estimate(places, 102.0).others == 0

    def test_refusal_without_a_load_shows_a_full_server(self):
        places = ServerPlaces()
        places.begin("s1")
        places.record_refusal(START, 6, 100.0)
        places.end("s1", False, 0.0)
        assert estimate(places, 101.0).is_full

    def test_server_that_leaves_out_the_answered_call(self):
        """A server states its load without the call that it answers."""
        places = ServerPlaces()
        places.begin("s1")
        places.record_load(START, ServerLoad(0, 0, 6), False, 100.0)
        places.record_load(START, ServerLoad(3, 0, 6), False, 110.0)
        assert estimate(places, 110.0).others == 3

    def test_old_load_leaves_places(self):
        """Reports are old: a server that was full long ago must get calls again."""
        places = refused_places(100.0)
        assert estimate(places, 100.0 + FULL_MS).is_full
        later = estimate(places, 101.0 + FULL_MS)
        assert not later.is_full
        assert later.load_age_ms == 1.0 + FULL_MS

    def test_load_of_an_earlier_start_is_ignored(self):
        places = refused_places(100.0)
        assert not places.estimate(("s1", 2), 6, 0.0, 101.0).is_full

    def test_reports_of_other_vms(self):
        """Reports fill a server, grow old, and end with the VM that sent them."""
        places = ServerPlaces()
        places.record_peer("vm2", "s1", 4, 100.0)
        places.record_peer("vm3", "s1", 2, 100.0)
        assert estimate(places, 110.0).is_full
        places.drop_peer("vm3")
        assert estimate(places, 110.0).free == 2
        old = estimate(places, 900.0)
        assert old.others == 0
        assert old.peers_age_ms == 800.0

    def test_inputs_that_are_missing_have_no_age(self):
        empty = ServerPlaces().estimate(START, 0, 0.0, 500.0)
        assert empty[-3:] == (math.inf, math.inf, math.inf)

    def test_changed_counts_are_taken_once(self):
        places = ServerPlaces()
        places.begin("s1")
        places.begin("s2")
        places.end("s2", False, 0.0)
        assert places.take_unsent() == [("s1", 1), ("s2", 0)]
        assert places.take_unsent() == []

    def test_turns_between_full_and_free(self):
        places = ServerPlaces()
        assert not places.has_turned("s1", estimate(places, 0.0))
        for _ in range(6):
            places.begin("s1")
        assert places.has_turned("s1", estimate(places, 0.0))
        assert not places.has_turned("s1", estimate(places, 0.0))
        places.end("s1", False, 0.0)
        assert places.has_turned("s1", estimate(places, 0.0))

    def test_gone_servers_are_forgotten(self):
        places = refused_places(100.0)
        places.begin("s2")
        places.prune([])
        assert not estimate(places, 101.0).is_full
        assert places.has_open_call("s2")


def choice(
    server: str, is_full: bool, avoided: bool = False, load_age_ms: float = 10.0
) -> PlaceChoice:
    """Return a server with six slots and durations of 60 ms."""
    known = PlaceEstimate(6, 0, 6.0 if is_full else 2.0, is_full, 60.0, load_age_ms=load_age_ms)
    return PlaceChoice(server, known, avoided, 10.0)


def waiter(name: str, rank: int = 0, target_at: float = 300.0) -> Waiter:
    return Waiter(name, rank, "", 0.0, target_at, 1_500.0, 60.0, 1.0)


class TestQueue:
    """Calls take places in their order, wait only where it helps, and are refused at once."""

    def decide(self, queue: PlaceQueue, call: Waiter, choices, may_repeat=True, **changes):
        values = {"last_at": 150.0, "capacity": 10, "now": 0.0, **changes}
        return queue.decide(call, choices, may_repeat, rng=random.Random(1), **values)

    def test_place_is_taken(self):
        queue = PlaceQueue(AdmissionQueue())
        found = self.decide(queue, waiter("a"), [choice("s1", True), choice("s2", False)])
        assert found == TakePlace("s2", True, 0.0, 0)

    def test_call_waits_until_a_place_is_free(self):
        queue = PlaceQueue(AdmissionQueue())
        assert isinstance(self.decide(queue, waiter("a"), [choice("s1", True)]), Wait)
        assert len(queue) == 1
        found = self.decide(queue, waiter("a"), [choice("s1", False)], now=30.0)
        assert found == TakePlace("s1", True, 30.0, 0)
        assert len(queue) == 0

    def test_call_that_would_be_late_is_refused_at_once(self):
        """All servers are full: 18 calls are ahead, and a place is expected every 10 ms."""
        queue = PlaceQueue(AdmissionQueue())
        for number in range(18):
            self.decide(queue, waiter(f"w{number}"), [choice("s1", True)], last_at=1_000.0)
        found = self.decide(queue, waiter("z"), [choice("s1", True)])
        assert isinstance(found, Refuse)
        assert found.reason == LATE
        assert 200.0 <= found.retry_after_ms <= 300.0
        assert len(queue) == 18

    def test_no_call_waits_beyond_its_time(self):
        queue = PlaceQueue(AdmissionQueue())
        first = self.decide(queue, waiter("a"), [choice("s1", True)])
        assert first.until <= 150.0
        assert isinstance(self.decide(queue, waiter("a"), [choice("s1", True)], now=150.0), Refuse)
        assert len(queue) == 0

    def test_old_knowledge_loses_no_call(self):
        """The server was full 80 ms ago: the call is tried there once before it is refused."""
        queue = PlaceQueue(AdmissionQueue())
        old = [choice("s1", True, load_age_ms=80.0)]
        assert isinstance(self.decide(queue, waiter("a"), old), Wait)
        assert isinstance(self.decide(queue, waiter("a"), old, now=150.0), TakePlace)
        assert isinstance(self.decide(queue, waiter("a"), old, now=155.0), Refuse)

    def test_capacity_limits_the_calls_that_wait(self):
        queue = PlaceQueue(AdmissionQueue())
        found = self.decide(queue, waiter("a"), [choice("s1", True)], capacity=0)
        assert found.reason == FULL

    def test_urgent_call_takes_the_only_place(self):
        queue = PlaceQueue(AdmissionQueue())
        for name, rank in (("low", 2), ("high", 0)):
            self.decide(queue, waiter(name, rank), [choice("s1", True)])
        one = PlaceEstimate(6, 0, 5.0, False, 60.0)
        free = [PlaceChoice("s1", one, False, 10.0)]
        assert isinstance(self.decide(queue, waiter("low", 2), free), Wait)
        assert isinstance(self.decide(queue, waiter("high"), free), TakePlace)

    def test_call_whose_client_left_is_removed(self):
        queue = PlaceQueue(AdmissionQueue())
        self.decide(queue, waiter("a"), [choice("s1", True)])
        queue.leave("a")
        assert len(queue) == 0

    def test_at_most_once_call_waits_rather_than_fail(self):
        """A payment must not go to an unreachable server while a full one ends a call soon."""
        servers = [choice("s1", True), choice("gone", False, avoided=True)]
        queue = PlaceQueue(AdmissionQueue())
        assert isinstance(self.decide(queue, waiter("a"), servers, may_repeat=False), Wait)
        assert self.decide(queue, waiter("b"), servers).server == "gone"
        alone = [choice("gone", False, avoided=True)]
        assert self.decide(queue, waiter("c"), alone, may_repeat=False).server == "gone"


def mean(build: Callable[[int], World], begin: float, end: float) -> dict[str, float]:
    """Return the means over all seeds of what became of the calls that arrived in a time."""
    rows = [build(seed).summary(begin, end) for seed in SEEDS]
    return {key: statistics.mean(row[key] for row in rows) for key in rows[0]}


class TestLoads:
    """Loads and failures in virtual time, against the choice by this VM's own calls alone."""

    def steady(self, load: float, vms: int, end: float = 2_500.0, **traits):
        """Return a world that offers ``load`` times what 18 places of 60 ms can serve."""

        def build(seed: int) -> World:
            world = World(vms, seed=seed, **traits)
            world.arrivals(300.0 * load, 0.0, end)
            world.run(end + 800.0)
            return world

        return build

    def test_burst_of_four_times_the_places(self):
        """72 calls arrive at once at 12 VMs; three in four were refused by servers and lost."""

        def build(seed: int, uses_places: bool = True) -> World:
            world = World(12, seed=seed, uses_places=uses_places)
            world.arrivals(60.0, 0.0, 1_000.0)
            for vm in world.vms:
                for _ in range(6):
                    world.at(1_000.0, world.arrive, vm, 300.0)
            world.run(3_000.0)
            return world

        before = mean(lambda seed: build(seed, False), 999.9, 1_000.1)
        after = mean(build, 999.9, 1_000.1)
        assert after["on_time"] > 1.8 * before["on_time"]

    @pytest.mark.parametrize("vms", [4, 12, 24])
    def test_half_load_loses_no_call(self, vms):
        after = mean(self.steady(0.5, vms), 500.0, 2_500.0)
        assert after["on_time"] > 0.997
        assert after["refused"] < 0.002

    @pytest.mark.parametrize(("load", "gain"), [(0.8, 0.04), (1.3, 0.04), (2.5, 0.0)])
    def test_overload_at_few_vms(self, load, gain):
        """All servers are full for long; calls that were refused and lost wait for their turn."""
        before = mean(self.steady(load, 4, uses_places=False), 500.0, 2_500.0)
        after = mean(self.steady(load, 4), 500.0, 2_500.0)
        assert after["on_time"] > before["on_time"] + gain
        assert after["refusals_by_servers"] < before["refusals_by_servers"]

    @pytest.mark.parametrize("load", [0.8, 1.3, 2.5])
    def test_overload_at_many_vms(self, load):
        """With 24 VMs stated loads are mostly old; calls must not be refused because of them."""
        before = mean(self.steady(load, 24, uses_places=False), 500.0, 2_500.0)
        after = mean(self.steady(load, 24), 500.0, 2_500.0)
        assert after["on_time"] > before["on_time"] - 0.02

    @pytest.mark.parametrize(
        "traits", [{"states_load": False}, {"announces_slots": False}, {"reports": False}]
    )
    def test_missing_inputs(self, traits):
        """Servers that state no load or no slots, and VMs that report nothing."""
        after = mean(self.steady(0.5, 12, **traits), 500.0, 2_500.0)
        assert after["on_time"] > 0.997

    def test_server_is_lost_while_calls_wait(self):
        """One of three servers is lost at full load; the others serve what they can."""

        def build(seed: int) -> World:
            world = World(4, seed=seed)
            world.arrivals(300.0, 0.0, 2_500.0)
            world.servers["s1"].lost_at = 1_000.0
            world.run(3_500.0)
            return world

        after = mean(build, 1_200.0, 2_500.0)
        assert after["on_time"] > 0.9 * 2 / 3

    def test_cut_off_vm(self):
        """A VM that hears no other goes by its own calls and the loads that servers state."""

        def build(seed: int) -> World:
            world = World(4, seed=seed)
            world.vms[0].cut_off = True
            return self._run(world)

        assert mean(build, 500.0, 2_500.0)["on_time"] > 0.93

    def _run(self, world: World) -> World:
        world.arrivals(240.0, 0.0, 2_500.0)
        world.run(3_300.0)
        return world

    def test_no_call_is_held_until_its_deadline(self):
        world = self.steady(2.5, 4)(1)
        for call in world.calls:
            if call.refused_at < math.inf:
                assert call.refused_at <= call.patient_until + 20.0
                assert call.retry_after_ms >= 200.0
