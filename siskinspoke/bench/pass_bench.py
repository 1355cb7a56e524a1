"""Simulate placement onto engines that compute in passes, in virtual time.

The placement and its table of assigned work are the product's; engines, arrivals and the delay of
updates to the table are modelled.

Usage: python -m siskinspoke.bench.pass_bench

Prints a table of all loads.
"""

import heapq
import itertools
import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from siskinspoke.coordination.books import Books, Job, Work
from siskinspoke.coordination.passes import Writer, pass_ms, read_ms
from siskinspoke.coordination.placement import Candidate, Place, Placement
from siskinspoke.coordination.routes import EngineCosts
from siskinspoke.coordination.widening import ASKED_CELLS, best_offer, is_short

SMALL = EngineCosts(8, 315_000, 51, 0.85, 0.0085, 0.00285, 177.0, 0.184)
LARGE = EngineCosts(6, 267_750, 57, 0.85, 0.0085, 0.00285, 177.0, 0.184)
HUGE = EngineCosts(5, 315_000, 80, 0.85, 0.0085, 0.00285, 177.0, 0.184)
SLOW_STEPS = EngineCosts(8, 232_000, 43, 1.02, 0.00452, 0.00431, 206.0, 0.138)
# Maximum number of prompt tokens that one step of a pass prefills.
CHUNK_TOKENS = 2_048
# Weight of an output token relative to a prompt token in the size of a request.
ANSWER_WEIGHT = 10
MOST_SIZE = 4.0
# A caller disconnects and retries once if it has received nothing for its patience, which is the
# longest of this, four times the target for the first token and eight times the allowed pause.
LEAST_PATIENCE_MS = 2_000.0
# A rejected caller retries once, after this time.
COME_BACK_MS = 500.0
# Entry VMs that start together receive their configuration within this time of each other.
BACKLOG_MS = 60.0


class Kind(NamedTuple):
    """A class of prompts.

    ``tokens`` and ``events`` are means; ``on_time`` and ``late`` are the values of an answer that
    meets its target and of one that misses it.
    """

    name: str
    tokens: float
    spread: float
    most_tokens: int
    events: float
    target_ms: float
    pause_ms: float
    on_time: float
    late: float

    @property
    def patience_ms(self) -> float:
        """Return how long a caller waits for the first token before it disconnects."""
        return max(LEAST_PATIENCE_MS, 4 * self.target_ms, 8 * self.pause_ms)


SHORT = Kind("short", 5_000, 0.9, 23_800, 33, 300, 250, 1.3, 0.33)
MIDDLE = Kind("middle", 45_000, 0.5, 110_000, 20, 1_500, 600, 4.2, 1.0)
LONG = Kind("long", 154_000, 0.55, 700_000, 16, 3_000, 1_000, 21.0, 5.2)


class Load(NamedTuple):
    """A fleet and its arrival rates, in prompts per second of each kind.

    ``lag_ms`` is the delay of updates to the table of assigned work.  ``backlog`` is the number of
    short prompts that have been waiting and arrive together at the start.
    """

    name: str
    costs: EngineCosts
    engines: int
    rates: tuple[tuple[Kind, float], ...]
    lag_ms: float = 3.0
    backlog: int = 0


def load(
    name: str,
    costs: EngineCosts,
    engines: int,
    *rates: float,
    lag_ms: float = 3.0,
    backlog: int = 0,
) -> Load:
    """Return a load with rates of short, middle and long prompts per second."""
    kinds = tuple(zip((SHORT, MIDDLE, LONG), rates, strict=True))
    return Load(name, costs, engines, kinds, lag_ms, backlog)


LOADS = (
    load("calm", SMALL, 23, 23.5, 1.2, 0.72),
    load("burst of shorts", SMALL, 23, 59.0, 1.2, 0.72),
    load("burst of longs", SMALL, 23, 23.5, 1.6, 1.9),
    load("a third of the engines lost", SMALL, 15, 28.0, 1.4, 0.9),
    load("large fleet", LARGE, 78, 63.0, 4.0, 1.7),
    load("large fleet, burst of shorts", LARGE, 78, 150.0, 4.0, 1.7, lag_ms=5.0),
    load("large fleet, burst of longs", LARGE, 78, 70.0, 5.2, 4.6, lag_ms=5.0),
    load("195 engines", HUGE, 195, 135.0, 9.9, 4.5, lag_ms=3.0),
    load("195 engines, burst of shorts", HUGE, 195, 330.0, 9.9, 4.5, lag_ms=5.0),
    load("195 engines, burst of longs", HUGE, 195, 135.0, 12.0, 12.0, lag_ms=5.0),
    load("195 engines, a third lost", HUGE, 130, 150.0, 11.0, 5.0, lag_ms=5.0),
    load("slow steps, calm", SLOW_STEPS, 18, 19.2, 1.05, 0.88),
    load("slow steps, burst of shorts", SLOW_STEPS, 18, 48.0, 1.05, 0.88, lag_ms=5.0),
    load("slow steps, a third lost", SLOW_STEPS, 12, 24.0, 1.2, 0.9, lag_ms=5.0),
    load(
        "slow steps, after a loss of all", SLOW_STEPS, 18, 30.0, 1.05, 0.6, lag_ms=6.0, backlog=45
    ),
    load("overload", SMALL, 23, 75.0, 1.6, 1.2, lag_ms=5.0),
    load("heavy overload", SMALL, 23, 95.0, 1.6, 1.2, lag_ms=5.0),
    load("overload with a third lost", SMALL, 16, 60.0, 1.6, 1.2, lag_ms=5.0),
)
# Limits to compare for rejecting a prompt on arrival: the expected wait, in units of its target.
MOST_WAITS = (math.inf, 3.0, 2.0, 1.5, 1.0, 0.7)


class CellPlacement(Placement):
    """Place each prompt in one of several cells, as an entry VM of that cell would.

    ``widens`` tells whether a cell that lacks room asks ``ASKED_CELLS`` others for offers.
    """

    def __init__(self, books: Books, cells: int, widens: bool = True):
        super().__init__(books)
        self._cells = cells
        self._widens = widens

    def choose(
        self,
        costs: EngineCosts,
        job: Job,
        candidates: Sequence[Candidate],
        now: float,
        rng: random.Random,
    ) -> Place | None:
        """Return the place for a job that arrives at a random cell."""
        own, *others = rng.sample(range(self._cells), 1 + ASKED_CELLS)
        found = self._in_cell(own, costs, job, candidates, now, rng)
        if not self._widens or not is_short(found, job.target_ms):
            return found
        offers = [self._in_cell(cell, costs, job, candidates, now, rng) for cell in others]
        return best_offer(found, [place for place in offers if place is not None]) or found

    def _in_cell(
        self,
        cell: int,
        costs: EngineCosts,
        job: Job,
        candidates: Sequence[Candidate],
        now: float,
        rng: random.Random,
    ) -> Place | None:
        mine = candidates[cell :: self._cells]
        return super().choose(costs, job, mine, now, rng)


@dataclass
class Prompt:
    """One request of the run and its outcome."""

    kind: Kind
    job: Job
    events: int
    at: float
    servers: tuple[str, ...] = ()
    held: tuple[int, ...] = ()
    parts_left: int = 0
    first_ms: float | None = None
    longest_pause: float = 0.0
    last_event: float = 0.0
    written: int = 0
    ended: bool = False
    gone: bool = False
    refusals: int = 0
    again: "Prompt | None" = None

    @property
    def size(self) -> float:
        """Return the size relative to the mean of the kind, capped at ``MOST_SIZE``."""
        own = self.job.tokens + ANSWER_WEIGHT * self.job.max_tokens
        mean = self.kind.tokens + ANSWER_WEIGHT * self.kind.events * 51
        return min(MOST_SIZE, 0.3 + 0.7 * own / mean)

    @property
    def earned(self) -> float:
        """Return the value of the answer that the caller received."""
        if not self.ended:
            came_back = self.again is not None and self.again.ended
            return self.size * self.kind.late if came_back else 0.0
        on_time = self.first_ms <= self.kind.target_ms
        steady = self.longest_pause <= self.kind.pause_ms
        return self.size * (self.kind.on_time if on_time and steady else self.kind.late)

    @property
    def owed(self) -> float:
        """Return the value of an answer on time."""
        return self.size * self.kind.on_time


@dataclass
class ModelEngine:
    """The state of one engine: decoding prompts, prompt parts to prefill, and the current pass."""

    name: str
    costs: EngineCosts
    slots_taken: int = 0
    queue: list[Prompt] = field(default_factory=list)
    waiting: list[Prompt] = field(default_factory=list)
    writers: list[Prompt] = field(default_factory=list)
    kept_tokens: dict[int, int] = field(default_factory=dict)
    busy: bool = False

    def begin_pass(self) -> tuple[float, list[Prompt]] | None:
        """Start a pass; return its duration and the prompts whose parts it prefills."""
        if not self.waiting and not self.writers:
            return None
        budget = CHUNK_TOKENS * self.costs.pass_steps
        # Parts of prompts that other engines decode take precedence over the engine's own prompts.
        self.waiting.sort(key=lambda item: item.servers[0] == self.name)
        reads: list[Prompt] = []
        for prompt in self.waiting:
            tokens = prompt.job.tokens / len(prompt.servers)
            if reads and tokens > budget:
                break
            budget -= tokens
            reads.append(prompt)
        self.waiting = [item for item in self.waiting if item not in reads]
        length = sum(read_ms(self.costs, item.job.tokens, len(item.servers)) for item in reads)
        alone = [item for item in reads if len(item.servers) == 1]
        streams = [Writer(item.job.tokens) for item in (*self.writers, *alone)]
        return length + pass_ms(self.costs, streams), reads


class Run:
    """One simulation run of a load with a placement policy."""

    def __init__(
        self,
        load: Load,
        seed: int,
        placement: Callable[[Books], Placement] = Placement,
        most_wait: float = math.inf,
    ):
        self._load = load
        self._most_wait = most_wait
        self._rng = random.Random(seed)
        self._books = Books()
        self._placement = placement(self._books)
        self._engines = {
            name: ModelEngine(name, load.costs)
            for name in (f"e{number:03}" for number in range(load.engines))
        }
        self._offered = [Candidate(name) for name in self._engines]
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = itertools.count()
        self.prompts: list[Prompt] = []
        self.now = 0.0

    def _after(self, delay: float, act: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self._events, (self.now + delay, next(self._order), act, args))

    def play(self, seconds: float) -> list[Prompt]:
        """Generate arrivals for ``seconds``, run until all prompts have ended and return them."""
        for _ in range(self._load.backlog):
            self._after(self._rng.uniform(0, BACKLOG_MS), self._arrive, SHORT)
        for kind, rate in self._load.rates:
            at = 0.0
            while (at := at + self._rng.expovariate(rate / 1000)) < seconds * 1000:
                self._after(at, self._arrive, kind)
        while self._events:
            self.now, _, act, args = heapq.heappop(self._events)
            act(*args)
        return self.prompts

    def _draw(self, kind: Kind) -> tuple[int, int]:
        def drawn(mean: float, spread: float) -> float:
            return mean * math.exp(self._rng.gauss(-spread * spread / 2, spread))

        tokens = int(min(kind.most_tokens, max(200, drawn(kind.tokens, kind.spread))))
        return tokens, max(2, round(min(2.5 * kind.events, drawn(kind.events, 0.7))))

    def _arrive(self, kind: Kind) -> None:
        tokens, events = self._draw(kind)
        costs = self._load.costs
        job = Job(tokens, events * costs.pass_steps, kind.target_ms, kind.pause_ms)
        prompt = Prompt(kind, job, events, self.now)
        self.prompts.append(prompt)
        self._try(prompt)
        self._after(kind.patience_ms, self._leave, prompt)

    def _leave(self, prompt: Prompt) -> None:
        """Disconnect a caller that has received nothing; its first attempt is retried once."""
        if prompt.first_ms is not None or prompt.gone:
            return
        prompt.gone = True
        for name in prompt.servers:
            engine = self._engines[name]
            if prompt in engine.waiting:
                engine.waiting.remove(prompt)
        if prompt.servers:
            self._free(self._engines[prompt.servers[0]], prompt)
        if prompt in self.prompts:
            prompt.again = Prompt(prompt.kind, prompt.job, prompt.events, self.now)
            self._try(prompt.again)
            self._after(prompt.kind.patience_ms, self._leave, prompt.again)

    def _free(self, head: ModelEngine, prompt: Prompt) -> None:
        """Release a prompt's slot and admit the next prompt in the queue."""
        self._after(self._load.lag_ms, self._books.end, str(id(prompt)))
        if prompt in head.queue:
            head.queue.remove(prompt)
            return
        head.slots_taken -= 1
        if head.queue:
            self._admit(head.queue.pop(0))

    def _wait_of(self, prompt: Prompt, place: Place) -> float:
        """Return the expected time to first token without the prompt's own prefill."""
        return place.first_token_ms - read_ms(
            self._load.costs, prompt.job.tokens, len(place.servers)
        )

    def _try(self, prompt: Prompt) -> None:
        costs, now = self._load.costs, self.now
        place = self._placement.choose(costs, prompt.job, self._offered, now, self._rng)
        if prompt.gone:
            return
        hopeless = place is not None and (
            self._wait_of(prompt, place) > self._most_wait * prompt.kind.target_ms
        )
        if place is None or hopeless:
            prompt.refusals += 1
            prompt.gone = prompt.refusals > 1
            self._after(COME_BACK_MS, self._try, prompt)
            return
        prompt.servers, prompt.held = place.servers, place.held
        name = str(id(prompt))
        work = Work(prompt.job, place.servers, now, place.held)
        self._after(self._load.lag_ms, self._books.begin, name, work)
        head = self._engines[place.servers[0]]
        prompt.parts_left = len(place.servers)
        if head.slots_taken >= costs.slots:
            head.queue.append(prompt)
            return
        self._admit(prompt)

    def _admit(self, prompt: Prompt) -> None:
        self._engines[prompt.servers[0]].slots_taken += 1
        for name in prompt.servers:
            engine = self._engines[name]
            engine.waiting.append(prompt)
            self._wake(engine)

    def _wake(self, engine: ModelEngine) -> None:
        if engine.busy:
            return
        started = engine.begin_pass()
        if started is None:
            return
        engine.busy = True
        length, reads = started
        self._after(length, self._end_pass, engine, reads)

    def _end_pass(self, engine: ModelEngine, reads: Sequence[Prompt]) -> None:
        engine.busy = False
        for prompt in list(engine.writers):
            self._event(engine, prompt)
        for prompt in reads:
            if prompt.gone:
                continue
            prompt.parts_left -= 1
            if prompt.parts_left == 0:
                head = self._engines[prompt.servers[0]]
                head.writers.append(prompt)
                if len(prompt.servers) == 1:
                    self._event(engine, prompt)
                self._wake(head)
        self._wake(engine)

    def _event(self, engine: ModelEngine, prompt: Prompt) -> None:
        prompt.written += 1
        if prompt.first_ms is None:
            prompt.first_ms = self.now - prompt.at
            self._after(self._load.lag_ms, self._books.wrote, str(id(prompt)))
        else:
            prompt.longest_pause = max(prompt.longest_pause, self.now - prompt.last_event)
        prompt.last_event = self.now
        if prompt.written < prompt.events:
            return
        prompt.ended = True
        engine.writers.remove(prompt)
        self._free(engine, prompt)


class Outcome(NamedTuple):
    """Earned fractions of the value owed, in total and by kind, and engines per long prompt."""

    earned: float
    by_kind: dict[str, float]
    engines: float


def outcome_of(prompts: Sequence[Prompt]) -> Outcome:
    """Return the outcome of a set of prompts."""

    def share(chosen: Sequence[Prompt]) -> float:
        return sum(item.earned for item in chosen) / max(1e-9, sum(item.owed for item in chosen))

    by_kind = {
        kind.name: share([item for item in prompts if item.kind is kind])
        for kind in (SHORT, MIDDLE, LONG)
    }
    longs = [item for item in prompts if item.kind is LONG]
    mean = sum(len(item.servers) for item in longs) / max(1, len(longs))
    return Outcome(share(prompts), by_kind, mean)


def main() -> None:
    """Print a table of all loads, with and without rejecting prompts with a long expected wait."""
    for item in LOADS:
        for most_wait in MOST_WAITS:
            runs = [Run(item, seed, most_wait=most_wait) for seed in (1, 2, 3)]
            found = outcome_of([prompt for run in runs for prompt in run.play(20.0)])
            kinds = "  ".join(f"{name} {value:.3f}" for name, value in found.by_kind.items())
            print(f"{item.name:32} {most_wait:4} {found.earned:.3f}  {kinds}")


if __name__ == "__main__":
    main()
