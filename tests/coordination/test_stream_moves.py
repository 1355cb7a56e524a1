"""Tests for moving a stream off an engine that is about to prefill a long prompt."""

from siskinspoke.coordination.placement import Placement
from siskinspoke.coordination.routes import EngineCosts
from siskinspoke.coordination.stream_moves import PauseForecast, should_move
from siskinspoke.coordination.work_table import Job, Work, WorkTable

COSTS = EngineCosts(
    slots=8,
    memory_tokens=267_750,
    pass_steps=57,
    step_ms=0.85,
    stream_step_ms=0.0085,
    context_step_ms_per_k=0.00285,
    read_tokens_per_ms=177.0,
    pair_ms_per_million=0.184,
)
PAUSE_MS = 250.0


def forecast(silent=20.0, reads=1_960.0, best=110.0, margin=30.0) -> PauseForecast:
    """Return the forecast of a short stream."""
    return PauseForecast(silent, reads, PAUSE_MS, best, margin)


class TestLeaves:
    """A stream moves only if that keeps its pause acceptable."""

    def test_moves_before_a_prefill_of_two_seconds(self):
        """Without the move, seven streams were silent for 1.5 s each before going on elsewhere."""
        assert should_move(forecast())

    def test_waits_for_a_short_prefill(self):
        assert not should_move(forecast(reads=200.0))

    def test_stays_if_the_pause_is_exceeded_either_way(self):
        """If all other engines are busy, a move adds load and does not shorten the pause."""
        assert not should_move(forecast(best=240.0))
        assert not should_move(forecast(silent=150.0))

    def test_stays_without_another_engine(self):
        assert not should_move(forecast(best=None))


class TestReading:
    """The remaining prefill time of an engine, by the work table."""

    def test_includes_the_prefills_of_other_requests(self):
        table = WorkTable()
        job = Job(383_283, 900, 4_000.0, 1_000.0)
        table.add("long", Work(job, tuple(f"e{number}" for number in range(8)), 0.0))
        table.add("mine", Work(Job(5_000, 900, 300.0, PAUSE_MS), ("e3",), 0.0))
        table.mark_first_token("mine")
        placement = Placement(table)
        initial_ms = placement.remaining_prefill_ms(COSTS, "e3", 0.0)
        assert 1_500.0 < initial_ms < 2_500.0
        assert placement.remaining_prefill_ms(COSTS, "e3", initial_ms / 2) == initial_ms / 2
        assert placement.remaining_prefill_ms(COSTS, "e3", 2 * initial_ms) == 0.0
        assert placement.remaining_prefill_ms(COSTS, "e9", 0.0) == 0.0
