"""Tests of orders to evacuate a failure domain through the replica tasks, in virtual time."""

from typing import Any

import msgspec
import trio

from siskinspoke.control.replica_task import ReplicaTask
from siskinspoke.coordination.evacuations import EvacuationAnswer, EvacuationOrder
from siskinspoke.coordination.state_machine import EVACUATE
from siskinspoke.protocol.replication import Entry
from siskinspoke.state.replica_store import open_store
from siskinspoke.testing.replica_group import Disk
from tests.control.slow_group import SlowGroup, run_slow_group

ACK_SECONDS = 5.0
TRY_SECONDS = 0.9


async def order(task: ReplicaTask, domain: str, begin: bool) -> EvacuationAnswer | None:
    """Give an order to one VM; return its answer, None if the outcome is unknown."""
    request = EvacuationOrder(domain, begin, task.replica.name)
    pending = await task.execute(EVACUATE, request, TRY_SECONDS)
    return None if pending.value is None else msgspec.convert(pending.value, EvacuationAnswer)


async def order_until_accepted(tasks: list[ReplicaTask], domain: str, begin: bool) -> float:
    """Give an order to some VMs in turn, as operators do; return the seconds taken."""
    began = trio.current_time()
    with trio.fail_after(30):
        while True:
            for task in tasks:
                if await order(task, domain, begin) is not None:
                    return trio.current_time() - began
                await trio.sleep(0.05)


async def ready_group(group: SlowGroup) -> ReplicaTask:
    """Start a group, wait until a configuration is accepted, and return the leader."""
    group.start()
    await group.publish(1, 10)
    await trio.sleep(0.5)
    return group.leader()


def states(group: SlowGroup) -> set[tuple]:
    """Return the different tables of the running replicas."""
    tables = [task.machine.evacuations for task in group.tasks.values()]
    return {(table.revision, tuple(table.evacuations)) for table in tables}


def evacuated(group: SlowGroup) -> list[list[str]]:
    """Return the evacuated failure domains of each running replica."""
    return [sorted(task.machine.evacuations.domains) for task in group.tasks.values()]


def others(group: SlowGroup, task: ReplicaTask) -> list[ReplicaTask]:
    """Return the running tasks without one of them."""
    return [item for item in group.tasks.values() if item is not task]


def appended(task: ReplicaTask) -> int:
    """Return how many orders the log of a replica holds."""
    log = task.replica.log
    return sum(item.kind == EVACUATE for item in log.between(1, log.last_index))


class TestAcknowledgement:
    """When an order is acknowledged, and what is on disk by then."""

    def test_order_to_any_vm(self):
        """Guards against an answer that is lost on its way back from the leader."""

        async def scenario(group: SlowGroup) -> list[tuple[float, Any]]:
            await ready_group(group)
            seen = []
            for number, task in enumerate(group.tasks.values()):
                began = trio.current_time()
                answer = await order(task, f"d{number}", True)
                seen.append((trio.current_time() - began, answer.changed))
            return seen

        for seconds, changed in run_slow_group(1, scenario, sync_seconds=0.15):
            assert seconds < 1
            assert changed

    def test_acknowledged_order_survives_the_leader(self):
        """Guards against an acknowledgement before a majority has the order on disk."""

        async def scenario(group: SlowGroup) -> list[list[str]]:
            leader = await ready_group(group)
            group.sync_seconds = 0.2
            assert await order(leader, "a", True) is not None
            name = leader.replica.name
            group.kill(name)
            group.empty_disk(name)
            await trio.sleep(5)
            return evacuated(group)

        assert run_slow_group(2, scenario) == [["a"], ["a"]]

    def test_leader_lost_between_acceptance_and_acknowledgement(self):
        """The order is in the log of the leader only, or of a majority, when the leader is lost."""

        async def scenario(group: SlowGroup, delay: float) -> tuple[float, set, list]:
            leader = await ready_group(group)
            group.sync_seconds = 0.1
            group.nursery.start_soon(order, leader, "a", True)
            await trio.sleep(delay)
            group.kill(leader.replica.name)
            seconds = await order_until_accepted(list(group.tasks.values()), "a", True)
            group.start(leader.replica.name)
            await trio.sleep(3)
            return seconds, states(group), evacuated(group)

        for seed, delay in enumerate((0.0005, 0.05, 0.12, 0.2)):
            seconds, found, domains = run_slow_group(
                seed, lambda group, delay=delay: scenario(group, delay)
            )
            assert seconds < ACK_SECONDS
            assert len(found) == 1
            assert domains == [["a"]] * 3


class TestPartitions:
    """Orders while the control group is partitioned."""

    def test_begin_during_a_partition(self):
        """Guards against an acknowledgement by a leader that is cut off from the majority."""

        async def scenario(group: SlowGroup) -> tuple[Any, float, set, list]:
            leader = await ready_group(group)
            group.isolated = {leader.replica.name}
            refused = await order(leader, "a", True)
            seconds = await order_until_accepted(others(group, leader), "b", True)
            group.isolated = set()
            await trio.sleep(5)
            return refused, seconds, states(group), evacuated(group)

        refused, seconds, found, domains = run_slow_group(3, scenario)
        assert refused is None
        assert seconds < ACK_SECONDS
        assert len(found) == 1
        assert domains == [["b"]] * 3

    def test_repeat_at_a_deposed_leader(self):
        """Guards against an order acknowledged as in force that another leader has withdrawn."""

        async def scenario(group: SlowGroup) -> Any:
            leader = await ready_group(group)
            await order(leader, "a", True)
            group.isolated = {leader.replica.name}
            async with trio.open_nursery() as nursery:
                nursery.start_soon(order_until_accepted, others(group, leader), "a", False)
                repeated = await order(leader, "a", True)
            return repeated

        assert run_slow_group(4, scenario) is None

    def test_crossing_orders(self):
        """Guards against replicas that end up with different states after crossing orders."""

        async def scenario(group: SlowGroup) -> tuple[float, set, list]:
            await ready_group(group)
            group.sync_seconds = 0.05
            for _ in range(10):
                async with trio.open_nursery() as nursery:
                    for number, task in enumerate(group.tasks.values()):
                        nursery.start_soon(order, task, "a", number % 2 == 0)
            seconds = await order_until_accepted(list(group.tasks.values()), "a", True)
            await trio.sleep(1)
            return seconds, states(group), evacuated(group)

        seconds, found, domains = run_slow_group(5, scenario)
        assert seconds < ACK_SECONDS
        assert len(found) == 1
        assert domains == [["a"]] * 3


class TestRepeats:
    """Repeated orders, which change nothing."""

    def test_repeats_are_acknowledged_without_new_entries(self):
        """Guards against a log that grows with each repeat on a disk that is slow already."""

        async def scenario(group: SlowGroup) -> tuple[list, int]:
            leader = await ready_group(group)
            answers = [await order(leader, "a", True)]
            for task in group.tasks.values():
                answers.append(await order(task, "a", True))
                answers.append(await order(task, "b", False))
            return answers, appended(leader)

        (first, *repeats), entries = run_slow_group(6, scenario)
        assert first.changed
        assert repeats == [(False, first.revision)] * 6
        assert entries == 1

    def test_repeat_while_the_first_order_is_written(self):
        async def scenario(group: SlowGroup) -> tuple[int, list]:
            leader = await ready_group(group)
            group.sync_seconds = 0.4
            async with trio.open_nursery() as nursery:
                for _ in range(4):
                    nursery.start_soon(order, leader, "a", True)
                    await trio.sleep(0.01)
            return appended(leader), evacuated(group)

        entries, domains = run_slow_group(7, scenario)
        assert entries == 1
        assert ["a"] in domains

    def test_order_after_a_pending_one_of_the_other_kind(self):
        """Guards against a begin that joins a pending begin although an end follows that one."""

        async def scenario(group: SlowGroup, kinds: tuple[bool, ...]) -> tuple[list, int]:
            leader = await ready_group(group)
            group.sync_seconds = 0.2
            async with trio.open_nursery() as nursery:
                for begin in kinds:
                    nursery.start_soon(order, leader, "a", begin)
                    await trio.sleep(0.01)
            await trio.sleep(1)
            return evacuated(group), appended(leader)

        for kinds, expected in (((True, False, True), ["a"]), ((True, False), [])):
            domains, entries = run_slow_group(8, lambda group, kinds=kinds: scenario(group, kinds))
            assert domains == [expected] * 3
            assert entries == len(kinds)


class TestRestarts:
    """Evacuations after the loss of all VMs and of disks."""

    def test_all_vms_killed(self):
        """Guards against a group that serves no evacuations until it has elected a leader."""

        async def scenario(group: SlowGroup) -> tuple[list, list]:
            leader = await ready_group(group)
            await order(leader, "a", True)
            await trio.sleep(0.5)
            group.kill()
            group.start("r0")
            await trio.sleep(0.01)
            alone = evacuated(group)
            group.start("r1", "r2")
            await trio.sleep(5)
            return alone, evacuated(group)

        alone, together = run_slow_group(9, scenario)
        assert alone == [["a"]]
        assert together == [["a"]] * 3

    def test_replaced_disk_and_snapshot(self):
        """Guards against a snapshot for a replaced disk that lacks the evacuations."""

        async def scenario(group: SlowGroup) -> list[list[str]]:
            await ready_group(group)
            await order_until_accepted(list(group.tasks.values()), "a", True)
            for version in range(2, 60):
                await group.publish(version, 10)
            group.kill("r2")
            group.empty_disk("r2")
            group.start("r2")
            await trio.sleep(10)
            return evacuated(group)

        assert run_slow_group(10, scenario) == [["a"]] * 3

    def test_waiters_are_notified(self):
        """Guards against an evacuation that is published only with the next configuration."""

        async def scenario(group: SlowGroup) -> float:
            leader = await ready_group(group)
            began = trio.current_time()
            group.nursery.start_soon(order, leader, "a", True)
            await leader.wait_for_change(leader.machine.version, 0, 10)
            return trio.current_time() - began

        assert run_slow_group(11, scenario) < 0.5

    def test_data_folder_of_an_earlier_build(self, tmp_path):
        """Guards against a data folder whose snapshot has no evacuations."""

        async def scenario(group: SlowGroup) -> Disk:
            leader = await ready_group(group)
            for version in range(2, 40):
                await group.publish(version, 10)
            return group.disks[leader.replica.name]

        disk = run_slow_group(12, scenario)
        document = {**disk.snapshot.document}
        del document["evacuations"]
        store, _ = open_store(str(tmp_path), "r0").ok
        store.save_identity(disk.identity._replace(name="r0"))
        entries = [item for item in disk.records if isinstance(item, Entry)]
        store.save_snapshot(disk.snapshot._replace(document=document), entries)
        store.close()
        _, restored = open_store(str(tmp_path), "r0").ok

        async def restart(group: SlowGroup) -> tuple[int, list]:
            group.disks["r0"].snapshot = restored.snapshot
            group.start("r0")
            await trio.sleep(0.01)
            task = group.tasks["r0"]
            return task.machine.version, task.machine.evacuations.evacuations

        version, evacuations = run_slow_group(13, restart)
        assert version > 1
        assert evacuations == []
