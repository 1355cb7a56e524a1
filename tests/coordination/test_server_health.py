"""Tests of the ejection of failing servers, and of the shared retry budget."""

import pytest

from siskinspoke.coordination.retries import SharedRetryBudget
from siskinspoke.coordination.server_health import MAX_EJECTION_MS, FailureKind, ServerHealth


class TestEjection:
    """Only outcomes count, and never are all servers ejected."""

    def test_timeout_ejects_at_once_and_longer_each_time(self):
        standing = ServerHealth()
        standing.record_failure("a", FailureKind.SILENT, 0.0)
        assert standing.available(["a", "b"], 1.0) == ["b"]
        assert standing.available(["a", "b"], 700.0) == ["a", "b"]
        standing.record_failure("a", FailureKind.SILENT, 700.0)
        assert standing.available(["a", "b"], 1_500.0) == ["b"]

    def test_unreachable_until_reached(self):
        """Whether a lost server is back is detected by probes, not by requests."""
        standing = ServerHealth()
        standing.record_failure("a", FailureKind.UNREACHABLE, 0.0)
        assert standing.available(["a", "b"], 60_000.0) == ["b"]
        assert standing.record_connection("a")
        assert standing.available(["a", "b"], 60_001.0) == ["a", "b"]

    def test_connection_does_not_end_other_ejections(self):
        """A server accepts connections but fails the requests on them."""
        standing = ServerHealth()
        standing.record_failure("a", FailureKind.SILENT, 0.0)
        assert not standing.record_connection("a")
        assert standing.is_ejected("a", 1.0)

    def test_one_error_does_not_eject(self):
        standing = ServerHealth()
        standing.record_failure("a", FailureKind.ERROR, 0.0)
        assert not standing.is_ejected("a", 1.0)

    def test_frequent_errors_eject(self):
        """A server passes its health check but fails four requests in ten."""
        standing = ServerHealth()
        for at in range(4):
            standing.record_failure("a", FailureKind.ERROR, float(at))
        assert standing.is_ejected("a", 5.0)

    def test_at_most_half_are_ejected(self):
        """All servers fail because of a fault elsewhere; the last must not take the whole load."""
        standing = ServerHealth()
        names = list("abcd")
        for name in names:
            standing.record_failure(name, FailureKind.UNREACHABLE, 0.0)
        assert len(standing.available(names, 1.0)) == 2

    def test_maximum_ejection_time(self):
        standing = ServerHealth()
        for _ in range(20):
            standing.record_failure("a", FailureKind.SILENT, 0.0)
        assert not standing.is_ejected("a", MAX_EJECTION_MS + 1)

    def test_success_ends_the_ejection(self):
        standing = ServerHealth()
        standing.record_failure("a", FailureKind.UNREACHABLE, 0.0)
        standing.record_success("a", 50.0, 1.0)
        assert not standing.is_ejected("a", 2.0)


class TestLoad:
    """The expected time is longer at slow and busy servers."""

    def test_slow_server_costs_more(self):
        standing = ServerHealth()
        standing.record_success("slow", 400.0, 0.0)
        standing.record_success("fast", 80.0, 0.0)
        assert standing.expected_ms("slow", 1.0, 80.0) > standing.expected_ms("fast", 1.0, 80.0)

    def test_old_latency_is_ignored(self):
        standing = ServerHealth()
        standing.record_success("slow", 400.0, 0.0)
        assert standing.expected_ms("slow", 60_000.0, 80.0) == 80.0

    def test_open_requests_count(self):
        standing = ServerHealth()
        standing.request_started("a")
        assert standing.expected_ms("a", 0.0, 80.0) > standing.expected_ms("b", 0.0, 80.0)


class TestCommonBudget:
    """All VMs together retry at most a share of requests plus a burst."""

    @pytest.mark.parametrize("vms", [1, 7, 68])
    def test_the_burst_is_shared(self, vms):
        budget = SharedRetryBudget(0.2, 100)
        budget.set_vms(vms)
        taken = 0
        while budget.spend("s", 0.0):
            taken += 1
        assert taken * vms <= 100

    def test_the_share_of_requests(self):
        budget = SharedRetryBudget(0.2, 0)
        taken = 0
        for _ in range(1_000):
            budget.first_attempt("s", 0.0)
            taken += budget.spend("s", 0.0)
        assert taken <= 200

    def test_one_vm_may_use_more_than_an_equal_share(self):
        """All servers that one of 68 VMs uses are cut off, and the other VMs retry nothing."""
        budget = SharedRetryBudget(0.2, 212)
        budget.set_vms(68, 68)
        assert sum(budget.spend("s", 0.0) for _ in range(50)) >= 6

    def test_all_vms_stay_within_the_budget(self):
        """Every VM retries as much as it can, and hears from the others 0.2 s late."""
        budgets = [SharedRetryBudget(0.2, 212) for _ in range(68)]
        for budget in budgets:
            budget.set_vms(68, 68)
        repeats = requests = 0
        for step in range(50):
            now = step * 200.0
            news = []
            for budget in budgets:
                budget.first_attempt("s", now)
                requests += 1
                while budget.spend("s", now):
                    repeats += 1
                news.append(budget.take_unsent())
            for number, told in enumerate(news):
                for other, budget in enumerate(budgets):
                    if other != number:
                        for calls in told:
                            budget.add_remote(calls, now + 199)
        assert repeats <= 0.2 * requests + 212

    def test_both_sides_of_a_partition_stay_within_the_budget(self):
        """A third of the VMs is cut off; each side hears only its own members."""
        taken = 0
        for size in (23, 45):
            budgets = [SharedRetryBudget(0.2, 212) for _ in range(size)]
            for budget in budgets:
                budget.set_vms(68, size)
            for budget in budgets:
                while budget.spend("s", 0.0):
                    taken += 1
                told = budget.take_unsent()
                for other in budgets:
                    if other is not budget:
                        for calls in told:
                            other.add_remote(calls, 0.0)
        assert taken <= 212

    def test_the_window_slides(self):
        budget = SharedRetryBudget(0.2, 20)
        while budget.spend("s", 0.0):
            pass
        assert not budget.spend("s", 9_000.0)
        assert budget.spend("s", 10_600.0)

    def test_services_do_not_share(self):
        budget = SharedRetryBudget(0.2, 10)
        while budget.spend("a", 0.0):
            pass
        assert budget.spend("b", 0.0)
