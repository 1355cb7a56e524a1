"""Tests of when an answer is overdue and which servers are probed."""

from siskinspoke.coordination.liveness import (
    LOSS_ALERT_MS,
    MAX_CONNECT_TIMEOUT_MS,
    MIN_CONNECT_TIMEOUT_MS,
    MIN_EVENT_TIMEOUT_MS,
    NORMAL_TIMEOUT_FACTOR,
    PROBE_RETRY_MS,
    PROBE_SUCCESS_TTL_MS,
    ConnectTimeout,
    ProbeTracker,
    answer_timeout_ms,
    event_timeout_ms,
    first_token_timeout_ms,
)

ENGINE = ("e1", 7)


class TestOverdue:
    """An overdue answer leaves time for a retry within the target."""

    def test_short_prompt_can_still_be_in_time(self):
        """An idle engine returns a short prompt's first token in about 70 ms; the target is 300."""
        found_out = first_token_timeout_ms(110.0) + MIN_CONNECT_TIMEOUT_MS
        assert found_out + 110.0 < 300.0

    def test_stream_of_a_medium_prompt_resumes_within_its_pause(self):
        found_out = event_timeout_ms(60.0) + MIN_CONNECT_TIMEOUT_MS
        assert found_out + 250.0 < 600.0

    def test_usual_pauses_are_not_overdue(self):
        assert event_timeout_ms(44.0) == MIN_EVENT_TIMEOUT_MS
        assert event_timeout_ms(100.0) > 150.0
        assert answer_timeout_ms(60.0) > 100.0


class TestTimeoutFactor:
    """A probe costs a connection, and finds nothing if all servers are healthy."""

    def test_usual_delays_cause_no_probe_without_losses(self):
        """Half of all first tokens are later than expected, 98 % within 1.7 times that time."""
        assert ProbeTracker().timeout_factor(1_000.0) == NORMAL_TIMEOUT_FACTOR

    def test_factor_after_a_loss(self):
        """A failure domain loses power: 39 engines become silent, and each VM uses some of them."""
        looks = ProbeTracker()
        looks.record_loss(1_000.0)
        assert looks.timeout_factor(1_000.0 + LOSS_ALERT_MS / 2) == 1.0
        assert looks.timeout_factor(1_000.0 + LOSS_ALERT_MS) == NORMAL_TIMEOUT_FACTOR


class TestConnectTimer:
    """The connection timeout adapts to how long connections take."""

    def test_initial_timeout(self):
        assert ConnectTimeout().connect_timeout_ms == MAX_CONNECT_TIMEOUT_MS

    def test_fast_links(self):
        timer = ConnectTimeout()
        for number in range(40):
            timer.record(3.0 + number % 3)
        assert timer.connect_timeout_ms == MIN_CONNECT_TIMEOUT_MS

    def test_congested_links(self):
        """SYN packets wait behind configurations of 100 KB on a link of 10 Mbit/s.

        With a timeout that suits an idle link, healthy servers are taken for lost and their streams
        moved.
        """
        timer = ConnectTimeout()
        for number in range(80):
            timer.record(85.0 if number % 8 == 0 else 4.0)
        assert timer.connect_timeout_ms > 85.0

    def test_maximum_timeout(self):
        timer = ConnectTimeout()
        for _ in range(40):
            timer.record(900.0)
        assert timer.connect_timeout_ms == MAX_CONNECT_TIMEOUT_MS


class TestLooks:
    """Only one probe at a time, and none without new information."""

    def test_no_concurrent_probes(self):
        looks = ProbeTracker()
        assert looks.should_probe(ENGINE, 0.0)
        looks.start(ENGINE, 0.0)
        assert not looks.should_probe(ENGINE, 10_000.0)

    def test_next_probe_after_success_and_failure(self):
        looks = ProbeTracker()
        for reached, wait in ((True, PROBE_SUCCESS_TTL_MS), (False, PROBE_RETRY_MS)):
            looks.start(ENGINE, 0.0)
            looks.finish(ENGINE, reached, 0.0)
            assert not looks.should_probe(ENGINE, wait - 1)
            assert looks.should_probe(ENGINE, wait)

    def test_new_incarnation_is_another_server(self):
        looks = ProbeTracker()
        looks.start(ENGINE, 0.0)
        assert looks.should_probe(("e1", 8), 0.0)

    def test_cancelled_probe(self):
        looks = ProbeTracker()
        looks.start(ENGINE, 0.0)
        looks.cancel(ENGINE)
        assert looks.should_probe(ENGINE, 1.0)
