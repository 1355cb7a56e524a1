"""Tests for the selection of the VM that polls an engine, and of the engines polled."""

from siskinspoke.coordination.work_table import Job, Work, WorkTable
from siskinspoke.gateway.reports import PollAssignment, is_poller, needs_polling

HOSTS = [f"10.0.0.{number}" for number in range(7)]


class TestPollingVm:
    """Each engine is polled by one VM, regardless of the number of VMs."""

    def test_exactly_one_vm_polls(self):
        for number in range(50):
            server = f"i-{number}"
            pollers = [me for me in HOSTS if is_poller(me, [h for h in HOSTS if h != me], server)]
            assert len(pollers) == 1

    def test_polling_is_distributed(self):
        counts = [sum(is_poller(me, HOSTS, f"i-{number}") for number in range(200)) for me in HOSTS]
        assert min(counts) > 10

    def test_single_vm_polls_all(self):
        assert all(is_poller("10.0.0.1", [], f"i-{number}") for number in range(20))

    def test_assignment_follows_changes(self):
        assignment = PollAssignment(HOSTS[0])
        servers = [f"i-{number}" for number in range(40)]
        alone = assignment.update([], servers)
        assert alone == frozenset(servers)
        shared = assignment.update(HOSTS[1:], servers)
        assert shared == {name for name in servers if is_poller(HOSTS[0], HOSTS[1:], name)}
        assert assignment.update(HOSTS[1:], servers[:20]) == shared & set(servers[:20])


class TestPolledEngines:
    """Most engines of a large fleet are idle, and polling them costs connections."""

    def test_idle_engines_are_not_polled(self):
        work_table = WorkTable()
        assert not needs_polling(work_table, "e1")
        work_table.add("w", Work(Job(5_000, 900, 300, 250), ("e1",), 0.0))
        assert needs_polling(work_table, "e1")

    def test_slow_engines_are_polled_until_recovered(self):
        """A slow engine that has lost its work would be considered slow forever if not polled."""
        work_table = WorkTable()
        work_table.engine("e1").slowdown = 5.0
        assert needs_polling(work_table, "e1")
