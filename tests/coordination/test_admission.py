"""Tests of the order and the decision of admission, in virtual time."""

import math
import random

import pytest

from siskinspoke.coordination.admission import (
    MAX_OVERTAKEN,
    UNKNOWN_ROOM_MS,
    AdmissionQueue,
    PlaceNow,
    Refuse,
    Wait,
    Waiter,
    retry_after_ms,
    useful_time_ms,
)


def waiter(name: str, **changes) -> Waiter:
    """Return a short prompt that arrived at 0."""
    fields = {
        "rank": 0,
        "customer": "acme",
        "arrived_at": 0.0,
        "target_at": 300.0,
        "leaves_at": 2_000.0,
        "cost_ms": 300.0,
        "value": 1.6,
    }
    return Waiter(name, **{**fields, **changes})


def names(queue: AdmissionQueue, now: float = 0.0) -> list[str]:
    return [item.name for item in queue.ordered(now)]


class TestDecision:
    """A request is placed, waits only while that is of use, or is refused with the truth."""

    def decide(self, item: Waiter, room_in_ms: float, now: float = 0.0):
        return AdmissionQueue().decide(item, False, room_in_ms, now, random.Random(1))

    def test_place_is_taken(self):
        queue = AdmissionQueue()
        found = queue.decide(waiter("a"), True, 0.0, 0.0, random.Random(1))
        assert found == PlaceNow()

    def test_room_in_time_is_waited_for(self):
        found = self.decide(waiter("a"), 60.0)
        assert isinstance(found, Wait)
        assert 0.0 < found.until <= 150.0

    def test_hopeless_request_is_refused_at_once(self):
        """Held until its deadline, a request would be refused when no retry can help any more."""
        found = self.decide(waiter("a"), 900.0)
        assert isinstance(found, Refuse)
        assert 900.0 <= found.retry_after_ms <= 1_350.0

    def test_waiting_request_is_refused_when_the_forecast_worsens(self):
        """The engine that was expected to become free is lost while requests wait for it."""
        assert isinstance(self.decide(waiter("a"), 40.0, now=50.0), Wait)
        assert isinstance(self.decide(waiter("a"), math.inf, now=50.0), Refuse)

    @pytest.mark.parametrize("leaves_at", [200.0, 2_000.0])
    def test_never_held_for_more_than_half_of_its_time(self, leaves_at):
        item = waiter("a", target_at=8_000.0, leaves_at=leaves_at)
        assert isinstance(self.decide(item, 0.0, now=leaves_at / 2 - 1.0), Wait)
        assert isinstance(self.decide(item, 0.0, now=leaves_at / 2), Refuse)

    def test_retry_after_without_a_forecast(self):
        found = self.decide(waiter("a"), math.inf)
        assert UNKNOWN_ROOM_MS <= found.retry_after_ms <= 1.5 * UNKNOWN_ROOM_MS

    def test_useful_time_ends_with_the_deadline(self):
        assert useful_time_ms(300.0, 200.0, 30_000.0) == 2_000.0
        assert useful_time_ms(8_000.0, 1_000.0, 30_000.0) == 32_000.0 - 2_000.0
        assert useful_time_ms(300.0, 1_000.0, 30_000.0) == 8_000.0


class TestOrder:
    """Which of several waiting requests gets room first."""

    def test_rank_comes_first(self):
        queue = AdmissionQueue()
        queue.add(waiter("late", rank=1, target_at=100.0))
        queue.add(waiter("urgent", rank=0, target_at=900.0))
        assert names(queue) == ["urgent", "late"]

    def test_return_after_refusal_goes_before_an_equal_request(self):
        queue = AdmissionQueue()
        queue.add(waiter("a"))
        queue.add(waiter("b", returned=True))
        assert names(queue) == ["b", "a"]

    def test_ahead_is_the_order_seen_by_one_request(self):
        queue = AdmissionQueue()
        for number in range(5):
            queue.add(waiter(f"w{number}", target_at=300.0 + number))
        assert len(queue.ahead(waiter("w3", target_at=303.0), 0.0)) == 3
        assert len(queue.ahead(waiter("new", target_at=302.5), 0.0)) == 3

    def test_customer_with_most_requests_gets_no_more_than_its_share(self):
        """One customer sends ten times the requests of another; both wait all the time."""
        queue, placed, number = AdmissionQueue(), {"big": 0, "small": 0}, 0
        for step in range(400):
            now = step * 10.0
            for customer, count in (("big", 10), ("small", 1)):
                while sum(item.customer == customer for item in queue.ordered(now)) < count:
                    number += 1
                    item = waiter(
                        f"w{number}", customer=customer, arrived_at=now, target_at=now + 300.0
                    )
                    queue.add(item)
            first = queue.ordered(now)[0]
            placed[first.customer] += 1
            queue.place(first, now)
        assert 0.9 < placed["big"] / placed["small"] < 1.1

    def test_overtaking_is_bounded(self):
        """Urgent requests arrive without end; a less urgent one must not starve."""
        queue = AdmissionQueue()
        queue.add(waiter("patient", rank=2))
        overtaken = 0
        while "patient" in queue and overtaken < 1_000:
            queue.add(waiter(f"u{overtaken}", arrived_at=1.0 + overtaken))
            queue.place(queue.ordered(0.0)[0], 0.0)
            overtaken += 1
        assert overtaken == MAX_OVERTAKEN + 1


class TestShortage:
    """Places are limited only while room is short: a calm fleet serves what it always served."""

    def test_a_wait_or_a_refusal_is_a_shortage(self):
        queue = AdmissionQueue()
        assert not queue.is_short(5_000.0)
        queue.decide(waiter("a", arrived_at=5_000.0), True, 0.0, 5_000.0, random.Random(1))
        assert not queue.is_short(5_000.0)
        queue.decide(waiter("b"), False, math.inf, 5_000.0, random.Random(1))
        assert queue.is_short(5_000.0)

    def test_shortage_ends_within_a_second(self):
        """The mix of requests changes; the limits of the last phase must not last into the next."""
        queue = AdmissionQueue()
        queue.note_shortage(5_000.0)
        assert queue.is_short(5_900.0) and not queue.is_short(6_000.0)

    def test_shortage_of_an_urgent_rank_is_seen_by_less_urgent_ones_only(self):
        """Less urgent requests must leave room to urgent ones, and not the other way round."""
        queue = AdmissionQueue()
        item = waiter("a", rank=1, arrived_at=5_000.0)
        queue.decide(item, False, math.inf, 5_000.0, random.Random(1))
        found = [queue.is_short_for_more_urgent(rank, 5_500.0) for rank in (0, 1, 2)]
        assert found == [False, False, True]
        assert not queue.is_short_for_more_urgent(2, 6_000.0)

    def test_overload_is_a_shortage_without_a_break(self):
        """A short peak was taken for an overload, and the largest prompts delayed the others."""
        queue = AdmissionQueue()
        for step in range(7):
            queue.note_shortage(step * 500.0)
        assert queue.is_overloaded(3_100.0) and not queue.is_overloaded(2_900.0)
        queue.note_shortage(4_500.0)
        assert not queue.is_overloaded(4_600.0)

    def test_own_shortage_does_not_count_for_a_request_that_is_alone(self):
        """A request that nobody competes with was refused since it would be late."""
        queue = AdmissionQueue()
        queue.add(waiter("a", arrived_at=5_000.0))
        queue.note_shortage(5_000.0, 0, 5_000.0)
        assert queue.is_alone(5_000.0, 5_100.0)
        assert not queue.is_alone(5_100.0, 5_100.0)

    def test_request_is_not_alone_while_another_waits_or_has_just_been_refused(self):
        """Under overload there are moments in which nobody waits; room is still short then."""
        queue = AdmissionQueue()
        queue.note_shortage(5_000.0, 0, 4_900.0)
        queue.note_shortage(5_010.0, 0, 5_010.0)
        queue.note_shortage(5_020.0, 0, 5_010.0)
        assert not queue.is_alone(5_010.0, 5_900.0)
        assert queue.is_alone(5_010.0, 6_000.0)
        queue.add(waiter("b", arrived_at=5_950.0))
        assert not queue.is_alone(5_010.0, 6_000.0)


class TestRemoval:
    """Requests of a VM that has died must not stand in the way of others."""

    def test_requests_of_a_lost_vm_are_removed(self):
        queue = AdmissionQueue()
        queue.add(waiter("10.0.0.1/a/1"))
        queue.add(waiter("10.0.0.1/a/2"))
        queue.add(waiter("10.0.0.2/b/1"))
        assert queue.remove_with_prefix("10.0.0.1/a/") == 2
        assert names(queue) == ["10.0.0.2/b/1"]

    def test_removal_of_an_unknown_request_is_ignored(self):
        assert AdmissionQueue().remove("gone") is None


class TestRetryAfter:
    """The time that a refusal names."""

    def test_forecast_and_none(self):
        """Guards against callers that return every 0.2 s while no room is forecast at all."""
        rng = random.Random(1)
        assert 500 <= retry_after_ms(500.0, rng) <= 750
        assert 1_000 <= retry_after_ms(math.inf, rng) <= 1_500
