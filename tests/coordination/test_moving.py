"""Tests of when a stream leaves an engine that is about to read a long prompt."""

from siskinspoke.coordination.books import Books, Job, Work
from siskinspoke.coordination.moving import Prospect, leaves
from siskinspoke.coordination.placement import Placement
from siskinspoke.coordination.routes import EngineCosts

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


def prospect(silent=20.0, reads=1_960.0, best=110.0, margin=30.0) -> Prospect:
    """Return what lies ahead of a short stream."""
    return Prospect(silent, reads, PAUSE_MS, best, margin)


class TestLeaves:
    """A stream leaves where that keeps its pause, and only there."""

    def test_engine_reads_for_two_seconds(self):
        """Seven streams stood still for 1.5 s each, and went on elsewhere then."""
        assert leaves(prospect())

    def test_short_reading_is_waited_for(self):
        assert not leaves(prospect(reads=200.0))

    def test_not_where_the_pause_is_over_anyway(self):
        """All other engines are taken: to move would cost them, and help nobody."""
        assert not leaves(prospect(best=240.0))
        assert not leaves(prospect(silent=150.0))

    def test_not_without_another_engine(self):
        assert not leaves(prospect(best=None))


class TestReading:
    """How long an engine still reads, by the books."""

    def test_counts_what_others_have_to_read(self):
        books = Books()
        job = Job(383_283, 900, 4_000.0, 1_000.0)
        books.begin("long", Work(job, tuple(f"e{number}" for number in range(8)), 0.0))
        books.begin("mine", Work(Job(5_000, 900, 300.0, PAUSE_MS), ("e3",), 0.0))
        books.wrote("mine")
        placement = Placement(books)
        began = placement.reading_ms(COSTS, "e3", 0.0)
        assert 1_500.0 < began < 2_500.0
        assert placement.reading_ms(COSTS, "e3", began / 2) == began / 2
        assert placement.reading_ms(COSTS, "e3", 2 * began) == 0.0
        assert placement.reading_ms(COSTS, "e9", 0.0) == 0.0
