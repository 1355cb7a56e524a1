"""Tests in virtual time of requests that wait for room at several VMs of a cell."""

import random

import trio
import trio.testing

from siskinspoke.coordination.admission import Waiter
from siskinspoke.core.counters import Counters
from siskinspoke.core.latencies import Latencies
from siskinspoke.gateway.waiting import Search, WaitingRequests
from tests.feeds.test_follower import NullDecisionLog

LAG_SECONDS = 0.002


class Room:
    """Slots that all VMs of a cell see at once, and a forecast."""

    def __init__(self, free: int = 0, forecast_ms: float = 30.0):
        self.free = free
        self.forecast_ms = forecast_ms
        self.taken: list[str] = []
        self.released: list[str] = []

    def search(self, name: str, refused: str = "") -> Search:
        def find():
            if not self.free:
                return None
            self.free -= 1
            self.taken.append(name)
            return name

        return Search(
            find, self.released.append, lambda ahead: self.forecast_ms, lambda: refused, 0.5
        )


class Cell:
    """VMs that announce their waiting requests to each other, unless they are cut off."""

    def __init__(self, vms: int, nursery: trio.Nursery, capacity: int = 8):
        self.nursery = nursery
        self.cut: set[int] = set()
        self.counters = [Counters() for _ in range(vms)]
        self.vms = [self._start(vm, capacity) for vm in range(vms)]

    def _start(self, vm: int, capacity: int) -> WaitingRequests:
        def tell(method: str, *arguments) -> None:
            for other, waiting in enumerate(self.vms):
                if other != vm and not self.cut & {vm, other}:
                    self.nursery.start_soon(self._deliver, waiting, method, arguments)

        return WaitingRequests(
            capacity,
            self.counters[vm],
            Latencies(),
            NullDecisionLog(),
            random.Random(vm),
            lambda item: tell("add_remote", f"{vm}/", [item]),
            lambda number: tell("remove_remote", f"{vm}/", [number]),
            lambda number: f"{vm}/{number}",
        )

    @staticmethod
    async def _deliver(waiting: WaitingRequests, method: str, arguments: tuple) -> None:
        await trio.sleep(LAG_SECONDS)
        getattr(waiting, method)(*arguments)
        waiting.room_changed()

    def free(self, room: Room, slots: int = 1) -> None:
        """Free some slots; all VMs notice."""
        room.free += slots
        for waiting in self.vms:
            waiting.room_changed()


def waiter(name: str, rank: int = 0, target_ms: float = 400.0) -> Waiter:
    now = trio.current_time() * 1000
    return Waiter(name, rank, "acme", now, now + target_ms, now + 2_000.0, 300.0, 1.6)


def run(scenario, vms: int = 2, **traits) -> None:
    async def main():
        async with trio.open_nursery() as nursery:
            with trio.fail_after(30):
                await scenario(Cell(vms, nursery, **traits), nursery)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.0))


class TestWaiting:
    """Room is used at once, in the order of the cell, and never left idle."""

    def test_room_is_taken_at_once(self):
        async def scenario(cell, _nursery):
            outcome = await cell.vms[0].admit("m", waiter("a"), Room(1).search("a"))
            assert outcome.place == "a" and outcome.waited_ms == 0.0

        run(scenario)

    def test_freed_room_is_used_within_milliseconds(self):
        async def scenario(cell, nursery):
            room, outcomes = Room(), []

            async def ask():
                outcomes.append(await cell.vms[0].admit("m", waiter("a"), room.search("a")))

            nursery.start_soon(ask)
            await trio.sleep(0.05)
            cell.free(room)
            await trio.sleep(0.001)
            assert outcomes[0].place == "a" and 49.0 < outcomes[0].waited_ms < 52.0

        run(scenario)

    def test_urgent_request_of_another_vm_goes_first(self):
        """Without a shared order each VM serves its own first, whatever waits elsewhere."""

        async def scenario(cell, nursery):
            room = Room()
            nursery.start_soon(cell.vms[0].admit, "m", waiter("low", 1), room.search("low"))
            await trio.sleep(0.01)
            nursery.start_soon(cell.vms[1].admit, "m", waiter("high", 0), room.search("high"))
            await trio.sleep(0.02)
            cell.free(room)
            await trio.sleep(0.03)
            cell.free(room)
            await trio.sleep(0.03)
            assert room.taken == ["high", "low"]

        run(scenario)

    def test_room_that_the_first_does_not_take_is_not_left_idle(self):
        """A long prompt of another VM stands first but does not fit the room that is free."""

        async def scenario(cell, nursery):
            big, room = Room(), Room()
            nursery.start_soon(cell.vms[0].admit, "m", waiter("long", 0), big.search("long"))
            await trio.sleep(0.01)
            nursery.start_soon(cell.vms[1].admit, "m", waiter("short", 1), room.search("short"))
            await trio.sleep(0.02)
            cell.free(room)
            await trio.sleep(0.01)
            assert room.taken == ["short"] and not big.taken

        run(scenario)

    def test_full_vm_refuses(self):
        async def scenario(cell, nursery):
            room = Room()
            for number in range(8):
                nursery.start_soon(cell.vms[0].admit, "m", waiter(f"w{number}"), room.search("w"))
            await trio.sleep(0.01)
            outcome = await cell.vms[0].admit("m", waiter("x"), room.search("x"))
            assert outcome.refusal.reason == "full"
            assert outcome.waited_ms == 0.0

        run(scenario)

    def test_wait_ends_before_half_of_the_useful_time(self):
        async def scenario(cell, _nursery):
            outcome = await cell.vms[0].admit("m", waiter("a"), Room().search("a"))
            assert outcome.refusal.reason == "late"
            assert 150.0 <= outcome.waited_ms <= 200.0

        run(scenario)


class TestFaults:
    """Faults while requests wait."""

    def test_lost_vm_does_not_block_others(self):
        """A VM dies with a waiting request; until it is known, others lose only milliseconds."""

        async def scenario(cell, nursery):
            room, dead = Room(), Room()
            scope = trio.CancelScope()

            async def die():
                with scope:
                    await cell.vms[0].admit("m", waiter("dead"), dead.search("dead"))

            nursery.start_soon(die)
            await trio.sleep(0.01)
            cell.cut.add(0)
            scope.cancel()
            nursery.start_soon(cell.vms[1].admit, "m", waiter("low", 1), room.search("low"))
            await trio.sleep(0.02)
            cell.free(room)
            await trio.sleep(0.01)
            assert room.taken == ["low"]
            cell.vms[1].remove_vm("0/")
            assert not cell.vms[1].anybody_waits()

        run(scenario)

    def test_partition_between_vms(self):
        """VMs that do not hear each other both go on, each in its own order."""

        async def scenario(cell, nursery):
            cell.cut.add(0)
            room = Room()
            for vm in (0, 1):
                nursery.start_soon(cell.vms[vm].admit, "m", waiter("w", vm), room.search(f"w{vm}"))
            await trio.sleep(0.02)
            cell.free(room, 2)
            await trio.sleep(0.01)
            assert sorted(room.taken) == ["w0", "w1"]

        run(scenario)

    def test_late_work_table_is_rechecked(self):
        """The end of a stream is never heard; the room is found at the next decision."""

        async def scenario(cell, nursery):
            room = Room()
            nursery.start_soon(cell.vms[0].admit, "m", waiter("a"), room.search("a"))
            await trio.sleep(0.01)
            room.free = 1
            await trio.sleep(0.04)
            assert room.taken == ["a"]

        run(scenario)

    def test_client_leaves_while_its_request_waits(self):
        async def scenario(cell, nursery):
            room, scope = Room(), trio.CancelScope()

            async def leave():
                with scope:
                    await cell.vms[0].admit("m", waiter("a"), room.search("a"))

            nursery.start_soon(leave)
            await trio.sleep(0.01)
            scope.cancel()
            await trio.sleep(0.01)
            cell.free(room)
            assert not room.taken and not any(vm.anybody_waits() for vm in cell.vms)

        run(scenario)

    def test_client_leaves_in_the_tick_in_which_room_is_found(self):
        """The place would stay taken for 20 s, until the work table drops it."""

        async def scenario(cell, nursery):
            room, scope = Room(), trio.CancelScope()

            async def leave():
                with scope:
                    await cell.vms[0].admit("m", waiter("a"), room.search("a"))

            nursery.start_soon(leave)
            await trio.sleep(0.01)
            scope.cancel()
            cell.free(room)
            await trio.sleep(0.01)
            assert room.taken == room.released

        run(scenario)

    def test_draining_vm_refuses_waiting_requests(self):
        async def scenario(cell, _nursery):
            outcome = await cell.vms[0].admit("m", waiter("a"), Room(1).search("a", "draining"))
            assert outcome.refusal.reason == "draining"

        run(scenario)

    def test_lost_engine_ends_the_wait(self):
        """The engine that was expected to become free is lost: nothing is held until its limit."""

        async def scenario(cell, nursery):
            room, outcomes = Room(), []

            async def ask():
                outcomes.append(await cell.vms[0].admit("m", waiter("a"), room.search("a")))

            nursery.start_soon(ask)
            await trio.sleep(0.02)
            room.forecast_ms = 5_000.0
            await trio.sleep(0.05)
            assert outcomes[0].refusal.reason == "late"
            assert outcomes[0].refusal.retry_after_ms >= 5_000.0

        run(scenario)
