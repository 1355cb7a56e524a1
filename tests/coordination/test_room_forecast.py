"""Tests of the forecast of room at engines."""

import math

from siskinspoke.coordination.admission import Waiter
from siskinspoke.coordination.room_forecast import (
    RoomForecast,
    first_token_limit_ms,
    job_cost_ms,
)
from siskinspoke.coordination.routes import EngineCosts
from siskinspoke.coordination.work_table import Job, Work, WorkTable

COSTS = EngineCosts(6, 382_500, 57, 0.85, 0.0085, 0.00285, 177.0, 0.184)
SHORT = Job(5_000, 1_881, 300.0, 250.0)
LONG = Job(300_000, 900, 8_000.0, 1_000.0)


def full_table(engines: int, began_at: float = 0.0) -> WorkTable:
    """Return a table in which all slots are taken by short prompts."""
    table = WorkTable()
    for engine in range(engines):
        for slot in range(COSTS.slots):
            name = f"{engine}/{slot}"
            table.add(name, Work(SHORT, (f"e{engine}",), began_at + 100.0 * slot))
            table.mark_first_token(name)
    return table


def forecast(table: WorkTable, engines: int, job: Job, ahead: int = 0, now: float = 600.0) -> float:
    names = [f"e{engine}" for engine in range(engines)]
    waiters = [Waiter(str(n), 0, "", 0.0, 300.0, 2_000.0, 300.0, 1.6) for n in range(ahead)]
    return RoomForecast(COSTS, table, names, now).room_in_ms(job, waiters)


class TestRoom:
    """When there is room, for a request and those ahead of it."""

    def test_free_slot_is_room_now(self):
        assert forecast(WorkTable(), 2, SHORT) == 0.0

    def test_first_stream_to_end_makes_room(self):
        found = forecast(full_table(2), 2, SHORT)
        assert 1_000.0 < found < 2_500.0

    def test_requests_ahead_take_room_first(self):
        waits = [forecast(full_table(2), 2, SHORT, ahead) for ahead in (0, 5, 20)]
        assert waits == sorted(waits) and waits[0] < waits[1] < waits[2]

    def test_long_prompt_waits_for_memory(self):
        """A slot is free, but the memory of all engines is taken by long prompts."""
        table = WorkTable()
        for engine in range(2):
            table.add(f"l{engine}", Work(LONG, (f"e{engine}",), 0.0))
        assert forecast(table, 2, SHORT) == 0.0
        assert forecast(table, 2, LONG) > 5_000.0

    def test_no_engine_no_room(self):
        assert forecast(WorkTable(), 0, SHORT) == math.inf

    def test_prompt_for_more_engines_than_there_are(self):
        assert forecast(WorkTable(), 2, Job(1_000_000, 900, 8_000.0, 1_000.0)) == math.inf


class TestLimit:
    """The latest first token with which a place is taken under overload."""

    def test_limit_follows_the_time_left(self):
        assert first_token_limit_ms(COSTS, LONG, 8_000.0) == 0.6 * 8_000.0
        assert first_token_limit_ms(COSTS, LONG, 6_000.0) == 0.6 * 6_000.0

    def test_largest_prompts_are_not_shut_out(self):
        """No place could begin them within the share of the target that suits the others."""
        largest = LONG._replace(tokens=900_000)
        assert first_token_limit_ms(COSTS, largest, 8_000.0) > 8_000.0

    def test_cost_grows_with_the_prompt(self):
        assert job_cost_ms(COSTS, LONG) > 20 * job_cost_ms(COSTS, SHORT)
