"""Tests of replica groups whose syncs take longer than a heartbeat, in virtual time."""

import pytest
import trio

from tests.control.slow_group import SlowGroup, run_slow_group

SEEDS = range(8)
# Seeds with which three candidates split their votes several times in a row.
SPLIT_VOTE_SEEDS = (305, 316, 338, 580, 766)
FAST_SYNC = 0.005


async def start_with_configuration(group: SlowGroup) -> None:
    """Start a group with fast syncs and publish its first configuration."""
    slow_sync, group.sync_seconds = group.sync_seconds, FAST_SYNC
    group.start()
    assert await group.publish(1, 10) < 10
    group.sync_seconds = slow_sync


class TestSlowSyncs:
    """A slow disk delays only the operations that depend on a sync."""

    @pytest.mark.parametrize("seed", SEEDS)
    def test_leader_is_not_deposed_while_it_syncs(self, seed):
        """Guards against heartbeats that wait for syncs of 0.4 s and miss the election timeout."""

        async def scenario(group: SlowGroup) -> set[int]:
            await start_with_configuration(group)
            for version in range(2, 22):
                assert await group.publish(version, 10) < 2
                await trio.sleep(0.3)
            return {task.replica.term for task in group.tasks.values()}

        assert len(run_slow_group(seed, scenario, sync_seconds=0.4)) == 1

    @pytest.mark.parametrize("seed", SEEDS)
    def test_group_elects_a_leader_after_all_were_killed(self, seed):
        """Guards against endless elections after a simultaneous restart, with syncs of 0.4 s."""

        async def scenario(group: SlowGroup) -> float:
            await start_with_configuration(group)
            group.kill()
            group.start()
            return await group.read(10)

        assert run_slow_group(seed, scenario, sync_seconds=0.4) < 5

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("sync_seconds", [0.6, 0.8])
    def test_elections_outlast_syncs_longer_than_the_timeout(self, seed, sync_seconds):
        """Guards against a timeout that ends each election before the votes are durable."""

        async def scenario(group: SlowGroup) -> float:
            await start_with_configuration(group)
            group.kill()
            group.start()
            return await group.read(30)

        assert run_slow_group(seed, scenario, sync_seconds=sync_seconds) < 10

    @pytest.mark.parametrize("seed", SEEDS)
    def test_disks_become_slow_while_all_start(self, seed):
        """Guards against timeouts that do not keep up as syncs slow down during elections."""

        async def scenario(group: SlowGroup) -> float:
            await start_with_configuration(group)
            group.kill()
            group.sync_seconds = 0.1
            group.start()
            for _ in range(6):
                await trio.sleep(0.5)
                group.sync_seconds += 0.15
            return await group.read(30)

        assert run_slow_group(seed, scenario, sync_seconds=0.1) < 10

    @pytest.mark.parametrize("seed", SEEDS)
    def test_publish_is_confirmed_when_syncs_exceed_the_request_timeout(self, seed):
        """Guards against appending every repeat of a change, with syncs of 1.5 s."""

        async def scenario(group: SlowGroup) -> tuple[float, int]:
            await start_with_configuration(group)
            group.sync_seconds = 1.5
            last_index = group.leader().replica.log.last_index
            elapsed = await group.publish(2, 30)
            return elapsed, group.leader().replica.log.last_index - last_index

        elapsed, appended = run_slow_group(seed, scenario)
        assert elapsed < 6
        assert appended == 1

    def test_reads_do_not_wait_for_the_disk(self):
        """Guards against reads that wait for a sync, with all disks effectively stalled."""

        async def scenario(group: SlowGroup) -> float:
            await start_with_configuration(group)
            await trio.sleep(1)
            await group.publish(2, 1)
            return await group.read(10)

        assert run_slow_group(1, scenario, sync_seconds=60) < 0.1


class TestSlowTurns:
    """Groups whose processes handle events late, as on an overloaded machine."""

    @pytest.mark.parametrize("seed", (*SEEDS, *SPLIT_VOTE_SEEDS))
    def test_leader_is_not_deposed_while_turns_are_slow(self, seed):
        """Guards against a timeout that expires before replies arrive, with turns of 0.3 s."""

        async def scenario(group: SlowGroup) -> tuple[float, int]:
            await start_with_configuration(group)
            group.kill()
            group.turn_seconds = 0.3
            group.start()
            began = trio.current_time()
            with trio.move_on_after(60):
                while not any(task.replica.can_serve_reads() for task in group.tasks.values()):
                    await trio.sleep(0.1)
            elected = trio.current_time() - began
            await trio.sleep(5)
            before = max(task.replica.term for task in group.tasks.values())
            await trio.sleep(30)
            return elected, max(task.replica.term for task in group.tasks.values()) - before

        elected, terms = run_slow_group(seed, scenario)
        assert elected < 20
        assert terms == 0

    @pytest.mark.parametrize("seed", SEEDS)
    def test_publish_is_confirmed_when_turns_exceed_the_request_timeout(self, seed):
        """Guards against publishes that are never confirmed because every answer times out."""

        async def scenario(group: SlowGroup) -> float:
            await start_with_configuration(group)
            group.turn_seconds = 0.3
            await trio.sleep(10)
            return await group.publish(2, 30)

        assert run_slow_group(seed, scenario) < 20

    @pytest.mark.parametrize("seed", SEEDS)
    def test_reads_are_answered_while_turns_are_slow(self, seed):
        """Guards against reads that need more round trips than fit into the request timeout."""

        async def scenario(group: SlowGroup) -> list[float]:
            await start_with_configuration(group)
            group.turn_seconds = 0.2
            await trio.sleep(15)
            return [await group.read(20) for _ in range(5)]

        assert max(run_slow_group(seed, scenario)) < 10
