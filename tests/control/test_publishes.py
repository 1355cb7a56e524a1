"""Tests of publishing configurations through the replica task."""

import trio

from siskinspoke.coordination.state_machine import PUBLISH, PublishRequest
from siskinspoke.protocol.replication import Committed
from tests.control.slow_group import SlowGroup, run_slow_group


class TestPublishedConfigurations:
    """Publishes to the leader: notification, the commit record, and detection of repeats."""

    def test_own_publish_wakes_waiters_and_records_commit(self):
        """Guards against a publish that notifies no waiters or whose commit is not recorded."""

        async def scenario(group: SlowGroup) -> tuple[float, int, int]:
            group.start()
            await group.publish(1, 10)
            leader = group.leader()
            before = trio.current_time()
            group.nursery.start_soon(group.publish, 2, 10)
            await leader.wait_for_version(1, 5)
            waited = trio.current_time() - before
            await leader.wait_for_version(2, 1)
            disk = group.disks[leader.replica.name]
            commits = [item.index for item in disk.records if isinstance(item, Committed)]
            return waited, max(commits), leader.replica.commit

        waited, recorded, committed = run_slow_group(1, scenario)
        assert waited < 1
        assert recorded == committed

    def test_repeat_of_an_accepted_publish_needs_no_leader(self):
        """Guards against refusing an already accepted configuration when no leader is known."""

        async def scenario(group: SlowGroup) -> list[bool]:
            group.start()
            await group.publish(2, 10)
            await trio.sleep(0.5)
            group.kill("r0", "r1")
            await trio.sleep(5)
            requests = [PublishRequest(version, {"version": version}) for version in (1, 2, 3)]
            answers = [await group.tasks["r2"].execute(PUBLISH, request, 1) for request in requests]
            return [answer.value is not None for answer in answers]

        assert run_slow_group(1, scenario) == [True, True, False]

    def test_different_document_with_same_version_is_appended(self):
        """Guards against detecting repeated publishes by version alone."""

        async def scenario(group: SlowGroup) -> int:
            group.start()
            await group.publish(1, 10)
            group.sync_seconds = 1.0
            leader = group.leader()
            last_index = leader.replica.log.last_index
            for document in ({"version": 2}, {"version": 2, "other": 1}):
                request = PublishRequest(2, document)
                group.nursery.start_soon(leader.execute, PUBLISH, request, 5)
                await trio.sleep(0.01)
            await leader.wait_for_version(1, 5)
            assert leader.machine.document == {"version": 2}
            return leader.replica.log.last_index - last_index

        assert run_slow_group(1, scenario) == 2
