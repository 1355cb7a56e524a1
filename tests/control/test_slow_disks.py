"""Tests of replica groups whose syncs take longer than a heartbeat, in virtual time."""

import pytest
import trio

from tests.control.slow_group import SlowGroup, run_slow_group

SEEDS = range(8)
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

    def test_reads_do_not_wait_for_the_disk(self):
        """Guards against reads that wait for a sync, with all disks effectively stalled."""

        async def scenario(group: SlowGroup) -> float:
            await start_with_configuration(group)
            await trio.sleep(1)
            await group.publish(2, 1)
            return await group.read(10)

        assert run_slow_group(1, scenario, sync_seconds=60) < 0.1
