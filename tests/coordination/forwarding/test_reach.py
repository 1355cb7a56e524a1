"""Tests of the record of servers that a VM can reach."""

from siskinspoke.coordination.forwarding.reach import (
    ANSWER_WINDOW_MS,
    FAILURE_WINDOW_MS,
    Area,
    Reach,
)

NOW = 0.0
AREAS = [Area("m", "a"), Area("m", "b"), Area("p", "a")]


class TestReach:
    """Guards against forwarding while a server is in reach, and against a cut that never ends."""

    def test_one_answer_keeps_an_area_in_reach(self):
        reach = Reach()
        assert not reach.record_probes(AREAS[0], [False, True])
        assert not reach.is_out_of_reach("m", AREAS, NOW)

    def test_service_is_out_of_reach_in_all_its_areas(self):
        reach = Reach()
        assert reach.record_probes(AREAS[0], [False, False])
        assert not reach.is_out_of_reach("m", AREAS, NOW)
        reach.record_probes(AREAS[1], [False])
        assert reach.is_out_of_reach("m", AREAS, NOW)
        assert not reach.is_out_of_reach("p", AREAS, NOW)

    def test_one_answer_ends_the_cut(self):
        reach = Reach()
        for area in AREAS:
            reach.record_probes(area, [False])
        assert reach.record_probes(AREAS[1], [True])
        assert not reach.is_out_of_reach("m", AREAS, NOW)

    def test_service_that_answers_requests_is_in_reach(self):
        reach = Reach()
        for area in AREAS:
            reach.record_probes(area, [False])
        reach.record_answer("m", NOW)
        assert not reach.is_out_of_reach("m", AREAS, NOW)
        assert reach.is_out_of_reach("p", AREAS, NOW)
        assert reach.is_out_of_reach("m", AREAS, NOW + ANSWER_WINDOW_MS)

    def test_nothing_is_concluded_without_probes_or_servers(self):
        reach = Reach()
        assert not reach.record_probes(AREAS[0], [])
        assert not reach.is_out_of_reach("m", [], NOW)
        reach.record_probes(AREAS[0], [False])
        reach.retain([])
        assert not reach.unreachable

    def test_failures_expire(self):
        reach = Reach()
        assert not reach.has_failed_recently(0.0)
        reach.record_failure(0.0)
        assert reach.has_failed_recently(1.0)
        assert not reach.has_failed_recently(FAILURE_WINDOW_MS)
