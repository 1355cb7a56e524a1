"""Interrupted answers for which no engine is available at first."""

import random
from types import SimpleNamespace

import trio
from expression import Error, Ok

from siskinspoke.bench.slopes import announcement
from siskinspoke.coordination.crash_watch import CrashWatch
from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.coordination.forwarding.reach import Reach
from siskinspoke.coordination.retries import RetryBudget
from siskinspoke.coordination.routing import Choice
from siskinspoke.core.codes import Failure, ResultCode
from siskinspoke.core.counters import Counters
from siskinspoke.core.stall_detector import StallDetector
from siskinspoke.entry.backend import Completed, Lost
from siskinspoke.entry.completions import CompletionJob
from siskinspoke.entry.requests import Caller, Completion
from siskinspoke.protocol.assembly import Piece
from tests.feeds.test_follower import NullDecisionLog

FULL = Failure(ResultCode.OVERLOADED, "every engine is full", 400)


class FakeBackend:
    """Break off the first attempt after two tokens and complete all later ones."""

    def __init__(self) -> None:
        self.servers: list[str] = []

    async def stream(self, target, path, body, assembler, deliver, *_more):
        self.servers.append(target.server)
        if len(self.servers) == 1:
            await deliver([Piece(0, 2, "a b ")])
            return Lost(2, "the connection broke")
        await deliver([Piece(2, 1, "c ")])
        return Completed(3)


class FakeRouter:
    """Return scripted choices in turn and repeat the last one; None stands for a full fleet."""

    def __init__(self, *servers: int | None) -> None:
        self._servers = list(servers)
        self.prefixes = SimpleNamespace(stored=lambda *_: None)

    def choose(self, work, now, rng):
        server = self._servers.pop(0) if len(self._servers) > 1 else self._servers[0]
        return Error(FULL) if server is None else Ok(make_choice(server))

    def dispatched(self, *_):
        return None

    def ended(self, ticket):
        return None


class SingleEngineRouter(FakeRouter):
    """Return the only engine unless the request excludes it."""

    def choose(self, work, now, rng):
        chosen = super().choose(work, now, rng)
        server = chosen.ok.servers[0].announcement.server
        return Error(FULL) if server in work.excluded else chosen


def make_choice(number: int) -> Choice:
    """Return a choice of one engine."""
    return Choice((ServerRecord(announcement(number, 1, "sala-a"), 0.0),), 50.0, 0)


def make_job(router: FakeRouter, retries: RetryBudget, seconds: float) -> CompletionJob:
    """Return a job with a deadline after ``seconds``."""
    limits = SimpleNamespace(reader_timeout_ms=1_000, short_tokens=4_000, long_tokens=64_000)
    configuration = SimpleNamespace(limits=limits)
    context = SimpleNamespace(
        holder=SimpleNamespace(current=SimpleNamespace(configuration=configuration)),
        backend=FakeBackend(),
        router=router,
        retries=retries,
        counters=Counters(),
        directory=SimpleNamespace(),
        suspend=lambda target: None,
        reach=Reach(),
        janitor=SimpleNamespace(add=lambda _: None),
        crashes=CrashWatch(lambda news: None, Counters(), NullDecisionLog()),
        is_alive=lambda target: False,
        request_opened=lambda: None,
        request_closed=lambda: None,
        rng=random.Random(1),
        stall_detector=StallDetector(0.0),
    )
    completion = Completion(
        "m", "x" * 40, 4, stream=True, timeout_ms=seconds * 1000, idempotent=True, key=None
    )
    deadline = trio.current_time() + seconds
    return CompletionJob(context, Caller("acme", 1.0, 5), completion, "r", deadline)


class TestInterruptedAnswer:
    """An answer that broke off continues as soon as an engine is available."""

    def test_waits_for_free_engine(self):
        """Guards against ENGINE_LOST while there is time left before the deadline.

        An engine dies in the middle of an answer while all others are full, and a slot becomes
        free shortly after.
        """

        async def run() -> CompletionJob:
            job = make_job(FakeRouter(None, None, 2), RetryBudget(0.1), 5)
            await job.run(make_choice(1))
            return job

        job = trio.run(run)
        assert job.failure is None
        assert job.tokens == 3

    def test_waits_for_retry_budget(self):
        """Many engines die at once, and retries of other answers have spent the budget."""

        async def run() -> CompletionJob:
            retries = RetryBudget(1.0)
            while retries.spend():
                pass
            job = make_job(FakeRouter(2), retries, 5)
            job._context.retries = SimpleNamespace(spend=retries.spend, first_attempt=lambda: None)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(job.run, make_choice(1))
                await trio.sleep(0.3)
                assert job.tokens == 2
                assert job.failure is None
                retries.first_attempt()
            return job

        job = trio.run(run)
        assert job.failure is None
        assert job.tokens == 3

    def test_returns_to_recovered_engine(self):
        """A short partition separates a VM from its only engine, which could finish the answer."""

        async def run() -> CompletionJob:
            job = make_job(SingleEngineRouter(1), RetryBudget(0.1), 5)
            await job.run(make_choice(1))
            return job

        job = trio.run(run)
        assert job.failure is None
        assert job.tokens == 3

    def test_ends_at_deadline(self):
        """No engine becomes free: the request fails at its deadline and not later."""

        async def run() -> CompletionJob:
            job = make_job(FakeRouter(None), RetryBudget(0.1), 0.6)
            with trio.fail_after(0.8):
                await job.run(make_choice(1))
            return job

        job = trio.run(run)
        assert job.failure.code is ResultCode.DEADLINE_PASSED
        assert job.tokens == 2
