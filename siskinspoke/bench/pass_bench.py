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

from siskinspoke.coordination.cell_offers import ASKED_CELLS, best_offer, lacks_room
from siskinspoke.coordination.cost_model import DecodingStream, pass_ms, prefill_ms
from siskinspoke.coordination.placement import Candidate, Place, Placement
from siskinspoke.coordination.routes import EngineCosts
from siskinspoke.coordination.work_table import Job, Work, WorkTable

SMALL = EngineCosts(8, 315_000, 51, 0.85, 0.0085, 0.00285, 177.0, 0.184)
LARGE = EngineCosts(6, 267_750, 57, 0.85, 0.0085, 0.00285, 177.0, 0.184)
HUGE = EngineCosts(5, 315_000, 80, 0.85, 0.0085, 0.00285, 177.0, 0.184)
SLOW_STEPS = EngineCosts(8, 232_000, 43, 1.02, 0.00452, 0.00431, 206.0, 0.138)
# Maximum number of prompt tokens that one step of a pass prefills.
MAX_STEP_PREFILL_TOKENS = 2_048
# Weight of an output token relative to a prompt token in the size of a request.
OUTPUT_TOKEN_WEIGHT = 10
MAX_SIZE = 4.0
# A caller abandons its prompt and retries once if it has received nothing for its patience: the
# longest of this, four times the target for the first token and eight times the allowed pause.
MIN_PATIENCE_MS = 2_000.0
# A rejected caller retries once, after this time.
RETRY_DELAY_MS = 500.0
# Entry VMs that start together receive their configuration within this time of each other.
STARTUP_SPREAD_MS = 60.0


class PromptKind(NamedTuple):
    """A class of prompts.

    ``value_on_time`` and ``value_late`` are the values of an answer that meets its target and of
    one that misses it.
    """

    name: str
    mean_tokens: float
    log_std_dev: float
    max_tokens: int
    mean_events: float
    target_ms: float
    pause_ms: float
    value_on_time: float
    value_late: float

    @property
    def patience_ms(self) -> float:
        """Return how long a caller waits for the first token before it abandons the prompt."""
        return max(MIN_PATIENCE_MS, 4 * self.target_ms, 8 * self.pause_ms)


SHORT = PromptKind("short", 5_000, 0.9, 23_800, 33, 300, 250, 1.3, 0.33)
MIDDLE = PromptKind("middle", 45_000, 0.5, 110_000, 20, 1_500, 600, 4.2, 1.0)
LONG = PromptKind("long", 154_000, 0.55, 700_000, 16, 3_000, 1_000, 21.0, 5.2)


class Load(NamedTuple):
    """A fleet and its arrival rates, in prompts per second of each kind.

    ``lag_ms`` is the delay of updates to the table of assigned work.  ``backlog`` is the number of
    short prompts that have been waiting and arrive together at the start.
    """

    name: str
    costs: EngineCosts
    engines: int
    rates: tuple[tuple[PromptKind, float], ...]
    lag_ms: float = 3.0
    backlog: int = 0


def make_load(
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
    make_load("calm", SMALL, 23, 23.5, 1.2, 0.72),
    make_load("burst of shorts", SMALL, 23, 59.0, 1.2, 0.72),
    make_load("burst of longs", SMALL, 23, 23.5, 1.6, 1.9),
    make_load("a third of the engines lost", SMALL, 15, 28.0, 1.4, 0.9),
    make_load("large fleet", LARGE, 78, 63.0, 4.0, 1.7),
    make_load("large fleet, burst of shorts", LARGE, 78, 150.0, 4.0, 1.7, lag_ms=5.0),
    make_load("large fleet, burst of longs", LARGE, 78, 70.0, 5.2, 4.6, lag_ms=5.0),
    make_load("195 engines", HUGE, 195, 135.0, 9.9, 4.5, lag_ms=3.0),
    make_load("195 engines, burst of shorts", HUGE, 195, 330.0, 9.9, 4.5, lag_ms=5.0),
    make_load("195 engines, burst of longs", HUGE, 195, 135.0, 12.0, 12.0, lag_ms=5.0),
    make_load("195 engines, a third lost", HUGE, 130, 150.0, 11.0, 5.0, lag_ms=5.0),
    make_load("slow steps, calm", SLOW_STEPS, 18, 19.2, 1.05, 0.88),
    make_load("slow steps, burst of shorts", SLOW_STEPS, 18, 48.0, 1.05, 0.88, lag_ms=5.0),
    make_load("slow steps, a third lost", SLOW_STEPS, 12, 24.0, 1.2, 0.9, lag_ms=5.0),
    make_load(
        "slow steps, after a loss of all", SLOW_STEPS, 18, 30.0, 1.05, 0.6, lag_ms=6.0, backlog=45
    ),
    make_load("overload", SMALL, 23, 75.0, 1.6, 1.2, lag_ms=5.0),
    make_load("heavy overload", SMALL, 23, 95.0, 1.6, 1.2, lag_ms=5.0),
    make_load("overload with a third lost", SMALL, 16, 60.0, 1.6, 1.2, lag_ms=5.0),
)
# Limits to compare for rejecting a prompt on arrival: the expected wait, in units of its target.
MAX_WAIT_FACTORS = (math.inf, 3.0, 2.0, 1.5, 1.0, 0.7)


class CellPlacement(Placement):
    """Place each prompt in one of several cells, as an entry VM of that cell would.

    ``widens`` tells whether a cell that lacks room asks ``ASKED_CELLS`` others for offers.
    """

    def __init__(self, work_table: WorkTable, cells: int, widens: bool = True):
        super().__init__(work_table)
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
        local = self._choose_in_cell(own, costs, job, candidates, now, rng)
        if not self._widens or not lacks_room(local, job.target_ms):
            return local
        offers = [self._choose_in_cell(cell, costs, job, candidates, now, rng) for cell in others]
        return best_offer(local, [place for place in offers if place is not None]) or local

    def _choose_in_cell(
        self,
        cell: int,
        costs: EngineCosts,
        job: Job,
        candidates: Sequence[Candidate],
        now: float,
        rng: random.Random,
    ) -> Place | None:
        cell_candidates = candidates[cell :: self._cells]
        return super().choose(costs, job, cell_candidates, now, rng)


@dataclass
class Prompt:
    """One request of the run and its outcome."""

    kind: PromptKind
    job: Job
    events: int
    arrived_at: float
    servers: tuple[str, ...] = ()
    held_tokens: tuple[int, ...] = ()
    parts_left: int = 0
    first_token_ms: float | None = None
    longest_pause: float = 0.0
    last_event_at: float = 0.0
    events_sent: int = 0
    completed: bool = False
    abandoned: bool = False
    rejections: int = 0
    retry: "Prompt | None" = None

    @property
    def size(self) -> float:
        """Return the size relative to the mean of the kind, capped at ``MAX_SIZE``."""
        own = self.job.tokens + OUTPUT_TOKEN_WEIGHT * self.job.max_tokens
        mean = self.kind.mean_tokens + OUTPUT_TOKEN_WEIGHT * self.kind.mean_events * 51
        return min(MAX_SIZE, 0.3 + 0.7 * own / mean)

    @property
    def earned_value(self) -> float:
        """Return the value of the answer that the caller received."""
        if not self.completed:
            retry_completed = self.retry is not None and self.retry.completed
            return self.size * self.kind.value_late if retry_completed else 0.0
        on_time = self.first_token_ms <= self.kind.target_ms
        steady = self.longest_pause <= self.kind.pause_ms
        return self.size * (self.kind.value_on_time if on_time and steady else self.kind.value_late)

    @property
    def value_on_time(self) -> float:
        """Return the value of an answer on time."""
        return self.size * self.kind.value_on_time


@dataclass
class ModelEngine:
    """The state of one engine: decoding prompts, prompt parts to prefill, and the current pass."""

    name: str
    costs: EngineCosts
    used_slots: int = 0
    slot_queue: list[Prompt] = field(default_factory=list)
    prefill_queue: list[Prompt] = field(default_factory=list)
    decoding: list[Prompt] = field(default_factory=list)
    busy: bool = False

    def begin_pass(self) -> tuple[float, list[Prompt]] | None:
        """Start a pass; return its duration and the prompts whose parts it prefills."""
        if not self.prefill_queue and not self.decoding:
            return None
        budget = MAX_STEP_PREFILL_TOKENS * self.costs.pass_steps
        # Parts of prompts that other engines decode take precedence over the engine's own prompts.
        self.prefill_queue.sort(key=lambda item: item.servers[0] == self.name)
        prefills: list[Prompt] = []
        for prompt in self.prefill_queue:
            tokens = prompt.job.tokens / len(prompt.servers)
            if prefills and tokens > budget:
                break
            budget -= tokens
            prefills.append(prompt)
        self.prefill_queue = [item for item in self.prefill_queue if item not in prefills]
        duration = sum(
            prefill_ms(self.costs, item.job.tokens, len(item.servers)) for item in prefills
        )
        unsplit = [item for item in prefills if len(item.servers) == 1]
        streams = [DecodingStream(item.job.tokens) for item in (*self.decoding, *unsplit)]
        return duration + pass_ms(self.costs, streams), prefills


class Simulation:
    """One simulation run of a load with a placement policy."""

    def __init__(
        self,
        load: Load,
        seed: int,
        placement: Callable[[WorkTable], Placement] = Placement,
        max_wait_factor: float = math.inf,
    ):
        self._load = load
        self._max_wait_factor = max_wait_factor
        self._rng = random.Random(seed)
        self._books = WorkTable()
        self._placement = placement(self._books)
        self._engines = {
            name: ModelEngine(name, load.costs)
            for name in (f"e{number:03}" for number in range(load.engines))
        }
        self._candidates = [Candidate(name) for name in self._engines]
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = itertools.count()
        self.prompts: list[Prompt] = []
        self.now = 0.0

    def _schedule(self, delay: float, callback: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self._events, (self.now + delay, next(self._sequence), callback, args))

    def run(self, seconds: float) -> list[Prompt]:
        """Generate arrivals for ``seconds``, run until all prompts have ended and return them."""
        for _ in range(self._load.backlog):
            self._schedule(self._rng.uniform(0, STARTUP_SPREAD_MS), self._arrive, SHORT)
        for kind, rate in self._load.rates:
            at = 0.0
            while (at := at + self._rng.expovariate(rate / 1000)) < seconds * 1000:
                self._schedule(at, self._arrive, kind)
        while self._events:
            self.now, _, callback, args = heapq.heappop(self._events)
            callback(*args)
        return self.prompts

    def _sample_size(self, kind: PromptKind) -> tuple[int, int]:
        def sample(mean: float, spread: float) -> float:
            return mean * math.exp(self._rng.gauss(-spread * spread / 2, spread))

        tokens = int(min(kind.max_tokens, max(200, sample(kind.mean_tokens, kind.log_std_dev))))
        return tokens, max(2, round(min(2.5 * kind.mean_events, sample(kind.mean_events, 0.7))))

    def _arrive(self, kind: PromptKind) -> None:
        tokens, events = self._sample_size(kind)
        costs = self._load.costs
        job = Job(tokens, events * costs.pass_steps, kind.target_ms, kind.pause_ms)
        prompt = Prompt(kind, job, events, self.now)
        self.prompts.append(prompt)
        self._place(prompt)
        self._schedule(kind.patience_ms, self._abandon, prompt)

    def _abandon(self, prompt: Prompt) -> None:
        """Abandon a prompt whose caller has received nothing; the first attempt is retried once."""
        if prompt.first_token_ms is not None or prompt.abandoned:
            return
        prompt.abandoned = True
        for name in prompt.servers:
            engine = self._engines[name]
            if prompt in engine.prefill_queue:
                engine.prefill_queue.remove(prompt)
        if prompt.servers:
            self._release_slot(self._engines[prompt.servers[0]], prompt)
        if prompt in self.prompts:
            prompt.retry = Prompt(prompt.kind, prompt.job, prompt.events, self.now)
            self._place(prompt.retry)
            self._schedule(prompt.kind.patience_ms, self._abandon, prompt.retry)

    def _release_slot(self, head: ModelEngine, prompt: Prompt) -> None:
        """Release a prompt's slot and admit the next prompt in the queue."""
        self._schedule(self._load.lag_ms, self._books.remove, str(id(prompt)))
        if prompt in head.slot_queue:
            head.slot_queue.remove(prompt)
            return
        head.used_slots -= 1
        if head.slot_queue:
            self._admit(head.slot_queue.pop(0))

    def _expected_wait_ms(self, prompt: Prompt, place: Place) -> float:
        """Return the expected time to first token without the prompt's own prefill."""
        return place.first_token_ms - prefill_ms(
            self._load.costs, prompt.job.tokens, len(place.servers)
        )

    def _place(self, prompt: Prompt) -> None:
        costs, now = self._load.costs, self.now
        place = self._placement.choose(costs, prompt.job, self._candidates, now, self._rng)
        if prompt.abandoned:
            return
        exceeds_wait_limit = place is not None and (
            self._expected_wait_ms(prompt, place) > self._max_wait_factor * prompt.kind.target_ms
        )
        if place is None or exceeds_wait_limit:
            prompt.rejections += 1
            prompt.abandoned = prompt.rejections > 1
            self._schedule(RETRY_DELAY_MS, self._place, prompt)
            return
        prompt.servers, prompt.held_tokens = place.servers, place.held
        name = str(id(prompt))
        work = Work(prompt.job, place.servers, now, place.held)
        self._schedule(self._load.lag_ms, self._books.add, name, work)
        head = self._engines[place.servers[0]]
        prompt.parts_left = len(place.servers)
        if head.used_slots >= costs.slots:
            head.slot_queue.append(prompt)
            return
        self._admit(prompt)

    def _admit(self, prompt: Prompt) -> None:
        self._engines[prompt.servers[0]].used_slots += 1
        for name in prompt.servers:
            engine = self._engines[name]
            engine.prefill_queue.append(prompt)
            self._start_pass(engine)

    def _start_pass(self, engine: ModelEngine) -> None:
        if engine.busy:
            return
        started = engine.begin_pass()
        if started is None:
            return
        engine.busy = True
        duration, prefills = started
        self._schedule(duration, self._end_pass, engine, prefills)

    def _end_pass(self, engine: ModelEngine, prefills: Sequence[Prompt]) -> None:
        engine.busy = False
        for prompt in list(engine.decoding):
            self._send_event(engine, prompt)
        for prompt in prefills:
            if prompt.abandoned:
                continue
            prompt.parts_left -= 1
            if prompt.parts_left == 0:
                head = self._engines[prompt.servers[0]]
                head.decoding.append(prompt)
                if len(prompt.servers) == 1:
                    self._send_event(engine, prompt)
                self._start_pass(head)
        self._start_pass(engine)

    def _send_event(self, engine: ModelEngine, prompt: Prompt) -> None:
        prompt.events_sent += 1
        if prompt.first_token_ms is None:
            prompt.first_token_ms = self.now - prompt.arrived_at
            self._schedule(self._load.lag_ms, self._books.mark_first_token, str(id(prompt)))
        else:
            prompt.longest_pause = max(prompt.longest_pause, self.now - prompt.last_event_at)
        prompt.last_event_at = self.now
        if prompt.events_sent < prompt.events:
            return
        prompt.completed = True
        engine.decoding.remove(prompt)
        self._release_slot(engine, prompt)


class Outcome(NamedTuple):
    """Earned fractions of the value owed, in total and by kind, and engines per long prompt."""

    earned_fraction: float
    earned_fraction_by_kind: dict[str, float]
    engines_per_long_prompt: float


def outcome_of(prompts: Sequence[Prompt]) -> Outcome:
    """Return the outcome of a set of prompts."""

    def share(chosen: Sequence[Prompt]) -> float:
        return sum(item.earned_value for item in chosen) / max(
            1e-9, sum(item.value_on_time for item in chosen)
        )

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
        for max_wait_factor in MAX_WAIT_FACTORS:
            runs = [Simulation(item, seed, max_wait_factor=max_wait_factor) for seed in (1, 2, 3)]
            found = outcome_of([prompt for run in runs for prompt in run.run(20.0)])
            kinds = "  ".join(
                f"{name} {value:.3f}" for name, value in found.earned_fraction_by_kind.items()
            )
            print(f"{item.name:32} {max_wait_factor:4} {found.earned_fraction:.3f}  {kinds}")


if __name__ == "__main__":
    main()
