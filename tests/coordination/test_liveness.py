"""Tests of when an answer is overdue and who is worth a look."""

from siskinspoke.coordination.liveness import (
    ALARM_MS,
    CALM_PATIENCE,
    LEAST_CONNECT_MS,
    LEAST_EVENT_MS,
    MOST_CONNECT_MS,
    REACHED_MS,
    UNREACHED_MS,
    ConnectTimer,
    Looks,
    event_due_ms,
    first_due_ms,
    whole_due_ms,
)

ENGINE = ("e1", 7)


class TestOverdue:
    """What is overdue leaves time for another try within the target."""

    def test_short_prompt_can_still_be_in_time(self):
        """An idle engine gives a short prompt's first token in about 70 ms; the target is 300."""
        found_out = first_due_ms(110.0) + LEAST_CONNECT_MS
        assert found_out + 110.0 < 300.0

    def test_stream_of_a_middle_prompt_goes_on_within_its_pause(self):
        found_out = event_due_ms(60.0) + LEAST_CONNECT_MS
        assert found_out + 250.0 < 600.0

    def test_usual_pauses_are_not_overdue(self):
        assert event_due_ms(44.0) == LEAST_EVENT_MS
        assert event_due_ms(100.0) > 150.0
        assert whole_due_ms(60.0) > 100.0


class TestPatience:
    """A look costs a connection, and where all servers are well it shows nothing."""

    def test_usual_delays_cause_no_look_while_all_is_well(self):
        """Half of all first tokens come after the time expected, 98 of 100 within 1.7 times."""
        assert Looks().patience(1_000.0) == CALM_PATIENCE

    def test_losses_come_several_at_a_time(self):
        """A failure domain loses its power: 39 engines are silent, and each VM uses some."""
        looks = Looks()
        looks.alarm(1_000.0)
        assert looks.patience(1_000.0 + ALARM_MS / 2) == 1.0
        assert looks.patience(1_000.0 + ALARM_MS) == CALM_PATIENCE


class TestConnectTimer:
    """How long a connection is waited for follows how long connections take."""

    def test_nothing_known_yet(self):
        assert ConnectTimer().give_up_ms == MOST_CONNECT_MS

    def test_fast_links(self):
        timer = ConnectTimer()
        for number in range(40):
            timer.took(3.0 + number % 3)
        assert timer.give_up_ms == LEAST_CONNECT_MS

    def test_links_that_fill_up(self):
        """Opening packets wait behind configurations of 100 KB on a link of 10 Mbit/s.

        Looked for with a bound that suits an empty link, sound servers are taken for lost and
        their streams moved.
        """
        timer = ConnectTimer()
        for number in range(80):
            timer.took(85.0 if number % 8 == 0 else 4.0)
        assert timer.give_up_ms > 85.0

    def test_never_for_long(self):
        timer = ConnectTimer()
        for _ in range(40):
            timer.took(900.0)
        assert timer.give_up_ms == MOST_CONNECT_MS


class TestLooks:
    """One look at a time, and none that teaches nothing."""

    def test_not_twice_at_once(self):
        looks = Looks()
        assert looks.wanted(ENGINE, 0.0)
        looks.began(ENGINE, 0.0)
        assert not looks.wanted(ENGINE, 10_000.0)

    def test_reached_and_unreached_are_looked_at_again_later(self):
        looks = Looks()
        for reached, wait in ((True, REACHED_MS), (False, UNREACHED_MS)):
            looks.began(ENGINE, 0.0)
            looks.ended(ENGINE, reached, 0.0)
            assert not looks.wanted(ENGINE, wait - 1)
            assert looks.wanted(ENGINE, wait)

    def test_a_new_start_is_another_server(self):
        looks = Looks()
        looks.began(ENGINE, 0.0)
        assert looks.wanted(("e1", 8), 0.0)

    def test_look_that_was_broken_off(self):
        looks = Looks()
        looks.began(ENGINE, 0.0)
        looks.drop(ENGINE)
        assert looks.wanted(ENGINE, 1.0)
