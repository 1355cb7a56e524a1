"""The memory that whole answers may take up on a VM."""

import random

import pytest

from siskinspoke.coordination.read_budget import (
    MIN_EVICTED_BYTES,
    ReadBudget,
)

CAPACITY = 10 * MIN_EVICTED_BYTES


def opened(budget: ReadBudget, evicted: list[int], number: int = 0):
    """Return an answer whose eviction is added to a list."""
    return budget.open(lambda: evicted.append(number))


class TestEviction:
    """The largest answer that is being read ends if there is too little room."""

    def test_single_answer_may_take_up_all(self):
        """Guards against cutting a long answer where there is room for it."""
        evicted = []
        budget = ReadBudget(CAPACITY)
        response = opened(budget, evicted)
        response.add(CAPACITY)
        assert not evicted
        response.add(1)
        assert evicted == [0]
        assert response.is_evicted
        assert budget.held == 0

    def test_largest_is_evicted(self):
        """Guards against dropping a short answer for one without end."""
        evicted = []
        budget = ReadBudget(CAPACITY)
        short, endless = opened(budget, evicted, 1), opened(budget, evicted, 2)
        endless.add(CAPACITY - MIN_EVICTED_BYTES)
        short.add(2 * MIN_EVICTED_BYTES)
        assert evicted == [2]
        assert budget.held == short.size

    def test_complete_answers_count_until_they_are_released(self):
        """Guards against answers that wait for slow clients and are not counted."""
        evicted = []
        budget = ReadBudget(CAPACITY)
        complete, reading = opened(budget, evicted, 1), opened(budget, evicted, 2)
        complete.add(CAPACITY - MIN_EVICTED_BYTES)
        complete.finish()
        reading.add(MIN_EVICTED_BYTES + 1)
        assert evicted == [2]
        complete.release()
        complete.release()
        assert budget.held == 0

    def test_short_answers_are_never_evicted(self):
        """Guards against dropping sound answers while slow clients hold much."""
        evicted = []
        budget = ReadBudget(CAPACITY)
        for number in range(30):
            opened(budget, evicted, number).add(MIN_EVICTED_BYTES - 1)
        assert not evicted

    @pytest.mark.parametrize("seed", range(5))
    def test_any_order(self, seed):
        """Guards against bytes that are counted twice, or for ever."""
        rng, budget, responses = random.Random(seed), ReadBudget(CAPACITY), []
        for _ in range(2_000):
            if not responses or rng.random() < 0.1:
                responses.append(budget.open(lambda: None))
            response = rng.choice(responses)
            if response.is_evicted or rng.random() < 0.05:
                response.finish()
                response.release()
                responses.remove(response)
                continue
            response.add(rng.randrange(MIN_EVICTED_BYTES))
            small = sum(item.size for item in responses if item.size < MIN_EVICTED_BYTES)
            assert budget.held == sum(item.size for item in responses)
            assert budget.held <= CAPACITY + small
        for response in responses:
            response.release()
        assert budget.held == 0


class TestCrowds:
    """Random crowds whose bodies arrive together."""

    @pytest.mark.parametrize("seed", range(20))
    def test_small_bodies_arrive(self, seed):
        """Guards against a small body that gives way to the large ones of a crowd."""
        rng = random.Random(seed)
        evicted: list[int] = []
        budget = ReadBudget(CAPACITY, min_evicted=4_096)
        count = rng.randint(20, 120)
        # A body of this size is never the largest where the sum exceeds the capacity.
        small = CAPACITY // count
        sizes = [rng.choice((small, rng.randint(1, CAPACITY))) for _ in range(count)]
        bodies = [opened(budget, evicted, number) for number in range(count)]
        left = dict(enumerate(sizes))
        while left:
            number = rng.choice(list(left))
            size = min(left[number], rng.randint(1, 16_384))
            bodies[number].add(size)
            left[number] -= size
            if not left[number] or bodies[number].is_evicted:
                del left[number]
            assert budget.held <= CAPACITY + count * 4_096
        assert not [number for number in evicted if sizes[number] <= small]
