"""Regression tests of admission under overload, in virtual time."""

from siskinspoke.bench.admission_bench import LOADS, POLICIES, run_one, summarize

BY_NAME = {load.name: load for load in LOADS}
POLICY_BY_NAME = {policy.name: policy for policy in POLICIES}
SEEDS = (1, 2, 3)


def summary(load: str, policy: str):
    return summarize([run_one(BY_NAME[load], POLICY_BY_NAME[policy], seed) for seed in SEEDS])


class TestAdmission:
    """Engines that queue all that comes are late for nearly all of it under overload."""

    def test_waiting_earns_more_than_the_queues_of_engines(self):
        assert (
            summary("mixes at 1.7", "wait").value > summary("mixes at 1.7", "engines").value + 0.1
        )

    def test_nothing_is_lost_where_there_is_room(self):
        found = summary("mixes at 0.6", "wait")
        assert found.value >= summary("mixes at 0.6", "engines").value - 0.01
        assert all(share > 0.99 for share in found.served.values())

    def test_more_urgent_kinds_are_served_no_less_often(self):
        """Less urgent requests took room that urgent ones could not wait for."""
        served = summary("three priorities, 1.7", "wait").served
        assert served["short"] >= served["middle"] - 0.05
        assert served["middle"] >= served["long"] - 0.05
        assert min(served.values()) >= 0.25

    def test_largest_prompts_are_served_nearly_as_often_as_the_rest_of_their_kind(self):
        """The limit on the first token shut out the largest prompts of a kind under overload."""
        assert summary("mixes at 1.7", "wait").large >= 0.8
