"""Tests of the detection of unreachable failure domains."""

from siskinspoke.coordination.domains import FAILURE_WINDOW_MS, PARTITION_TTL_MS, DomainMonitor


class TestDomains:
    """A domain is cut off once several servers failed and none was reached since."""

    def test_one_unreachable_server_is_not_a_partition(self):
        domains = DomainMonitor()
        for at in range(5):
            assert not domains.record_failure("a", "s1", float(at))
        assert not domains.is_cut_off("a", 5.0)

    def test_two_unreachable_servers_are_a_partition(self):
        """Otherwise each request would wait for every server of the unreachable domain."""
        domains = DomainMonitor()
        domains.record_failure("a", "s1", 0.0)
        assert domains.record_failure("a", "s2", 1.0)
        assert domains.is_cut_off("a", 2.0)
        assert domains.cut_off(2.0) == ["a"]

    def test_failures_far_apart_are_unrelated(self):
        domains = DomainMonitor()
        domains.record_failure("a", "s1", 0.0)
        assert not domains.record_failure("a", "s2", FAILURE_WINDOW_MS + 1)

    def test_success_ends_the_partition(self):
        domains = DomainMonitor()
        domains.record_failure("a", "s1", 0.0)
        domains.record_failure("a", "s2", 1.0)
        assert domains.record_success("a")
        assert not domains.is_cut_off("a", 2.0)

    def test_partition_expires(self):
        domains = DomainMonitor()
        domains.record_failure("a", "s1", 0.0)
        domains.record_failure("a", "s2", 1.0)
        assert not domains.is_cut_off("a", PARTITION_TTL_MS + 2)
