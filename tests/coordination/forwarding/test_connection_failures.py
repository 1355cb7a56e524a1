"""Tests of the detection that many servers may be out of reach."""

from siskinspoke.coordination.forwarding.connection_failures import (
    FAILURE_WINDOW_MS,
    SURVEY_INTERVAL_MS,
    ConnectionFailures,
)


class TestConnectionFailures:
    """Guards against a VM that tries one unreachable server after the other."""

    def test_one_failed_server_calls_for_no_survey(self):
        failures = ConnectionFailures()
        assert not any(failures.record_failure("s1", float(at)) for at in range(5))

    def test_two_failed_servers_call_for_a_survey(self):
        failures = ConnectionFailures()
        failures.record_failure("s1", 0.0)
        assert failures.record_failure("s2", 1.0)

    def test_server_reached_in_between_calls_for_none(self):
        failures = ConnectionFailures()
        failures.record_failure("s1", 0.0)
        failures.record_success()
        assert not failures.record_failure("s2", 1.0)

    def test_failures_far_apart_are_unrelated(self):
        failures = ConnectionFailures()
        failures.record_failure("s1", 0.0)
        assert not failures.record_failure("s2", FAILURE_WINDOW_MS + 1)

    def test_surveys_are_not_repeated_at_once(self):
        failures = ConnectionFailures()
        failures.record_failure("s1", 0.0)
        assert failures.record_failure("s2", 1.0)
        assert not failures.record_failure("s3", 2.0)
        assert failures.record_failure("s4", 1.0 + SURVEY_INTERVAL_MS)
