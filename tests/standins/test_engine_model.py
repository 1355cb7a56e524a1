"""Tests of the stand-in engine: memory, priorities, leases and tombstones."""

from siskinspoke.protocol.engine import CancelState
from siskinspoke.standins.engine_model import Attempt, AttemptKey, EngineModel, EngineParameters

MEMORY = 10_000


def model():
    """Return an engine with little memory."""
    return EngineModel(EngineParameters(memory_tokens=MEMORY))


def attempt(name, prompt=1_000, output=4, priority=0, **options):
    """Return an attempt with a reader."""
    return Attempt(AttemptKey(name, 1), prompt, output, priority, [], readers=1, **options)


def run(engine, now=0.0):
    """Run steps until there is no work; return the names in the order of their first tokens."""
    first_token_order = []
    while (plan := engine.begin_step(now)) is not None:
        now += plan.duration_ms
        for item in engine.finish_step(plan, now):
            if item.key.request not in first_token_order:
                first_token_order.append(item.key.request)
    return first_token_order


class TestOrder:
    """The order in which attempts are computed."""

    def test_lower_priority_number_goes_first(self):
        engine = model()
        engine.start(attempt("late", 3_000, priority=5), 0)
        engine.start(attempt("soon", 3_000, priority=1), 0)
        assert run(engine) == ["soon", "late"]

    def test_attempt_waits_until_it_fits_into_memory(self):
        engine = model()
        engine.start(attempt("first", 9_000), 0)
        engine.start(attempt("second", 9_000), 0)
        assert run(engine) == ["first", "second"]
        assert engine.free_tokens == MEMORY


class TestMemory:
    """Held memory is released when its lease expires."""

    def test_unread_attempt_ends_with_its_lease(self):
        engine = model()
        unread = attempt("gone", lease_ms=100)
        unread.readers = 0
        engine.start(unread, 0)
        engine.begin_step(0)
        engine.expire(101)
        assert engine.free_tokens == MEMORY

    def test_reservation_ends_with_its_lease(self):
        engine = model()
        assert engine.reserve("r", "entry", 8_000, 100, 0)
        assert not engine.reserve("q", "entry", 8_000, 100, 50)
        engine.expire(100)
        assert engine.reserve("q", "entry", 8_000, 100, 101)

    def test_resumed_owner_cannot_use_an_expired_reservation(self):
        """A VM is suspended until its reservation expires, and dispatches when it resumes."""
        engine = model()
        engine.reserve("r", "entry", 8_000, 100, 0)
        engine.expire(200)
        assert not engine.start(attempt("late", 8_000, reservation="r"), 201)


class TestCancel:
    """A cancellation may arrive before the start of its attempt."""

    def test_tombstone_prevents_the_start(self):
        engine = model()
        assert engine.cancel(AttemptKey("r", 1), 0) == CancelState.NEVER_BEGAN
        assert not engine.start(attempt("r"), 1)

    def test_unless_began_keeps_a_running_attempt(self):
        engine = model()
        engine.start(attempt("r"), 0)
        state = engine.cancel(AttemptKey("r", 1), 1, unless_began=True)
        assert (state, run(engine)) == (CancelState.RUNNING, ["r"])
