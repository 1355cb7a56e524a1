"""Simulate overloaded engines with and without waiting at the entry VMs, in virtual time.

The queue of waiting requests, the forecast of room, the placement and its work table are the
product's; engines, callers and the delay of updates between VMs are modelled.

Usage: python -m siskinspoke.bench.admission_bench [SEEDS [LOAD-PREFIX [POLICY ...]]]

Prints a table of the loads and policies.
"""

import heapq
import math
import sys
from collections import defaultdict, deque
from collections.abc import Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from functools import partial
from typing import NamedTuple

from siskinspoke.bench.pass_bench import (
    RETRY_DELAY_MS,
    Prompt,
    PromptKind,
    Simulation,
    make_load,
)
from siskinspoke.coordination.admission import (
    MAX_OVERTAKEN,
    AdmissionQueue,
    PlaceNow,
    Refuse,
    Wait,
    Waiter,
    retry_after_ms,
    useful_time_ms,
)
from siskinspoke.coordination.placement import Place, Placement
from siskinspoke.coordination.room_forecast import (
    LARGE_GROUP,
    SHORTAGE_RATIO,
    YIELDING_FIRST_SHARE,
    RoomForecast,
    first_token_limit_ms,
    job_cost_ms,
)
from siskinspoke.coordination.routes import EngineCosts
from siskinspoke.coordination.work_table import Job, Work

ENGINE_A = EngineCosts(6, 382_500, 57, 0.85, 0.0085, 0.00285, 177.0, 0.184)
SHORT = PromptKind("short", 5_000, 0.9, 23_800, 33, 300, 250, 1.3, 0.33)
MIDDLE = PromptKind("middle", 45_000, 0.5, 110_000, 20, 1_500, 600, 4.2, 1.0)
LONG = PromptKind("long", 300_000, 0.45, 1_000_000, 16, 8_000, 1_000, 26.0, 6.5)
KINDS = (SHORT, MIDDLE, LONG)
# Requests a second of each kind that keep one engine busy.
RATES_PER_ENGINE = (0.95, 0.12, 0.028)
# Factors of the rates in the two phases of the mix of deployment A, which last PHASE_MS each.
PHASES = ((2.4, 1.0, 0.05), (0.35, 1.0, 2.8))
PHASE_MS = 9_500.0
DEADLINE_MS = 30_000.0
SECONDS = 19.0
VMS = 8
WRONG_CHECK_MS = 200.0
# Delay of an admission for each request of another VM that is ahead.
STEP_MS = 4.0
MAX_STEPS = 10
FORECAST_MS = 25.0


class Callers(NamedTuple):
    """What the callers of a load do; shares are of all requests."""

    ranked: bool = False
    big_customer: float = 0.1
    impatient: float = 0.0
    retriers: float = 0.0


class OverloadLoad(NamedTuple):
    """A load that may exceed what the engines serve; ``factor`` is relative to their capacity."""

    name: str
    factor: float
    callers: Callers = Callers()
    engines: int = 26
    planned_engines: int = 26


LOADS = (
    OverloadLoad("mixes at 0.6", 0.6),
    OverloadLoad("mixes at 1.0", 1.0),
    OverloadLoad("mixes at 1.3", 1.3),
    OverloadLoad("mixes at 1.7", 1.7),
    OverloadLoad("mixes at 2.5", 2.5),
    OverloadLoad("half by one customer, 1.7", 1.7, Callers(big_customer=0.5)),
    OverloadLoad("three priorities, 1.7", 1.7, Callers(ranked=True)),
    OverloadLoad("a third retries at once, 1.7", 1.7, Callers(retriers=1 / 3)),
    OverloadLoad("a third leaves, 1.7", 1.7, Callers(impatient=1 / 3)),
    OverloadLoad("a third of engines lost, 1.0", 1.0, engines=17),
)


class Policy(NamedTuple):
    """How requests are admitted.

    ``waits``: at the entry VM; otherwise a request without a place is refused.
    ``streams_per_slot``: how many streams an engine may hold.  ``max_wait``: the longest expected
    wait at an engine with which a place is taken, in units of the target.  ``view``: which waiting
    requests a VM knows.
    """

    name: str
    waits: bool
    streams_per_slot: float
    order: str = "product"
    view: str = "shared"
    wait_targets: float = math.inf
    limited: bool = True
    always_limited: bool = False
    large_group: int = LARGE_GROUP
    max_overtaken: float = MAX_OVERTAKEN
    forecast: str = "table"
    yielding_share: float = YIELDING_FIRST_SHARE
    urgent_wait_targets: float = 0.0


POLICIES = (
    Policy("engines", False, 1.5, limited=False),
    Policy("refuse", False, 1.5),
    Policy("wait", True, 1.5, wait_targets=0.3),
    Policy("wait, own", True, 1.5, view="own", wait_targets=0.3),
)
# Variants of single decisions, and the load on which each is compared.
VARIANTS = (
    (
        "mixes at 0.6",
        Policy("wait, always limited", True, 1.5, always_limited=True, wait_targets=0.3),
    ),
    (
        "mixes at 1.7",
        Policy("wait, always limited", True, 1.5, always_limited=True, wait_targets=0.3),
    ),
    ("mixes at 1.7", Policy("wait, large 12", True, 1.5, large_group=12, wait_targets=0.3)),
    ("mixes at 1.7", Policy("wait, large 4", True, 1.5, large_group=4, wait_targets=0.3)),
    (
        "half by one customer, 1.7",
        Policy("wait, no share", True, 1.5, "no share", wait_targets=0.3),
    ),
    (
        "three priorities, 1.7",
        Policy("wait, unbounded", True, 1.5, max_overtaken=math.inf, wait_targets=0.3),
    ),
    ("mixes at 1.7", Policy("wait, by target", True, 1.5, "target", wait_targets=0.3)),
    ("mixes at 1.7", Policy("wait, by arrival", True, 1.5, "fifo", wait_targets=0.3)),
    ("mixes at 1.7", Policy("wait, one per slot", True, 1.0, wait_targets=0.3)),
    ("mixes at 1.7", Policy("wait, longer", True, 1.5, wait_targets=0.5)),
    ("mixes at 1.7", Policy("wait, strict", True, 1.5, view="strict", wait_targets=0.3)),
    ("mixes at 1.7", Policy("wait, grant", True, 1.5, view="grant", wait_targets=0.3)),
    ("mixes at 1.7", Policy("refuse, no limit", False, 1.0, limited=False)),
    (
        "three priorities, 1.7",
        Policy("wait, large 12", True, 1.5, large_group=12, wait_targets=0.3),
    ),
    (
        "three priorities, 1.7",
        Policy(
            "wait, urgent longer",
            True,
            1.5,
            wait_targets=0.3,
            yielding_share=0.6,
            urgent_wait_targets=0.5,
        ),
    ),
)


class OrderedQueue(AdmissionQueue):
    """A queue whose order within a rank is replaced by a variant."""

    def __init__(self, policy: Policy):
        super().__init__(policy.max_overtaken)
        self._order, self._wait_targets = policy.order, policy.wait_targets
        self._urgent_wait_targets = max(policy.wait_targets, policy.urgent_wait_targets)

    def decide(self, waiter, has_place, room_in_ms, now, rng):
        if has_place:
            return PlaceNow()
        wait_targets = self._wait_targets if waiter.rank else self._urgent_wait_targets
        last = waiter.arrived_at + wait_targets * (waiter.target_at - waiter.arrived_at)
        if now + room_in_ms >= last and not self.is_alone(waiter.arrived_at, now):
            return Refuse(retry_after_ms(room_in_ms, rng), "late")
        alone = self.is_alone(waiter.arrived_at, now)
        found = super().decide(waiter, has_place, room_in_ms, now, rng, math.inf)
        if alone or isinstance(found, Refuse):
            return found
        return Wait(min(last, found.until), found.ahead)

    def _key(self, waiter: Waiter, over_share: set[str]) -> tuple:
        match self._order:
            case "product":
                return super()._key(waiter, over_share)
            case "fifo":
                return (waiter.rank, waiter.arrived_at, waiter.name)
            case "target":
                return (waiter.rank, waiter.target_at, waiter.name)
            case "no share":
                return (waiter.rank, -waiter.value / waiter.cost_ms, waiter.name)
        raise ValueError(self._order)


@dataclass
class Caller(Prompt):
    """A prompt with its caller, and what admission did with it."""

    name: str = ""
    vm: int = 0
    rank: int = 0
    customer: str = ""
    leaves_after_ms: float = math.inf
    tries: int = 2
    retry_at_once: bool = False
    waiting_since: float | None = None
    waited_ms: float = 0.0
    refused_at: list[float] = field(default_factory=list)
    wrongly_refused: bool = False
    in_vain: bool = False
    late_try: float = -1.0
    decides_at: float = 0.0


class OverloadSimulation(Simulation):
    """One run of an overload with an admission policy."""

    def __init__(self, load: OverloadLoad, seed: int, policy: Policy):
        rates = (0.0, 0.0, 0.0)
        super().__init__(
            make_load(load.name, ENGINE_A, load.engines, *rates),
            seed,
            placement=partial(Placement, streams_per_slot=policy.streams_per_slot),
        )
        self._overload, self._policy = load, policy
        self._servers = [item.server for item in self._candidates]
        self._queues = [OrderedQueue(policy) for _ in range(VMS)]
        self._own: list[dict[str, Caller]] = [{} for _ in range(VMS)]
        self._sequence_number = 0
        self._placed: deque[tuple[float, float]] = deque()
        self._forecast = RoomForecast(self._load.costs, self._books, self._servers, -math.inf)
        self.idle_ms: list[float] = []
        self.messages = 0

    def run(self, seconds: float = SECONDS) -> list[Caller]:
        """Generate the arrivals, run until all prompts have ended and return them."""
        scale = self._overload.factor * self._overload.planned_engines
        for kind, rate, *factors in zip(KINDS, RATES_PER_ENGINE, *PHASES, strict=True):
            at, highest = 0.0, max(factors)
            while (
                at := at + self._rng.expovariate(rate * scale * highest / 1000)
            ) < seconds * 1000:
                phase = int(at / PHASE_MS) % len(PHASES)
                if self._rng.random() < factors[phase] / highest:
                    self._schedule(at, self._arrive_caller, kind, self._draw(kind))
        while self._events:
            self.now, _, callback, args = self._pop()
            callback(*args)
        return self.prompts

    def _pop(self):
        return heapq.heappop(self._events)

    def _draw(self, kind: PromptKind) -> tuple:
        """Draw all traits of a caller in advance, so that all policies get the same load."""
        callers, rng = self._overload.callers, self._rng
        tokens, events = self._sample_size(kind)
        big = rng.random() < callers.big_customer
        customer = "big" if big else f"c{rng.randrange(9)}"
        leaves = 1_500.0 if rng.random() < callers.impatient else math.inf
        at_once = rng.random() < callers.retriers
        rank = KINDS.index(kind) if callers.ranked else 0
        return tokens, events, customer, leaves, at_once, rank, rng.randrange(VMS)

    def _arrive_caller(self, kind: PromptKind, traits: tuple) -> None:
        tokens, events, customer, leaves, at_once, rank, vm = traits
        costs = self._load.costs
        job_tokens = events * costs.pass_steps
        job = Job(tokens, job_tokens, kind.target_ms, kind.pause_ms)
        self._sequence_number += 1
        prompt = Caller(
            kind,
            job,
            events,
            self.now,
            name=f"{vm}/{self._sequence_number}",
            vm=vm,
            rank=rank,
            customer=customer,
            leaves_after_ms=leaves,
            tries=4 if at_once else 2,
            retry_at_once=at_once,
        )
        self.prompts.append(prompt)
        self._place(prompt)
        self._schedule(min(leaves, kind.patience_ms), self._abandon, prompt)

    def _abandon(self, prompt: Caller) -> None:
        if prompt.first_token_ms is not None or prompt.abandoned:
            return
        self._stop_waiting(prompt, in_vain=True)
        prompt.abandoned = True
        for name in prompt.servers:
            engine = self._engines[name]
            if prompt in engine.prefill_queue:
                engine.prefill_queue.remove(prompt)
        if prompt.servers:
            self._release_slot(self._engines[prompt.servers[0]], prompt)

    def _release_slot(self, head, prompt: Prompt) -> None:
        super()._release_slot(head, prompt)
        if self._policy.waits:
            freed = self.now
            self._schedule(self._load.lag_ms + 0.01, self._wake_all, freed)

    def _wake_all(self, freed: float) -> None:
        for vm in range(VMS):
            if self._own[vm]:
                self._wake(vm, freed)

    def _waiter(self, prompt: Caller) -> Waiter:
        kind, at = prompt.kind, prompt.arrived_at
        leaves = at + useful_time_ms(kind.target_ms, kind.pause_ms, DEADLINE_MS)
        return Waiter(
            prompt.name,
            prompt.rank,
            prompt.customer,
            at,
            at + kind.target_ms,
            leaves,
            job_cost_ms(self._load.costs, prompt.job),
            prompt.job.weight,
            bool(prompt.rejections),
        )

    def _choose(self, prompt: Caller) -> Place | None:
        left = prompt.kind.target_ms - (self.now - prompt.arrived_at)
        job = prompt.job
        if job.short and left >= 40.0:
            job = job._replace(target_ms=min(job.target_ms, left))
        place = self._placement.choose(self._load.costs, job, self._candidates, self.now, self._rng)
        if place is None:
            return None
        if self._policy.limited:
            queue = self._queues[self._queue_of(prompt.vm)]
            limit = first_token_limit_ms(
                self._load.costs,
                prompt.job,
                left,
                self._policy.large_group,
                queue.is_short_for_more_urgent(prompt.rank, self.now),
                queue.is_overloaded(self.now),
                self._policy.yielding_share,
            )
            is_short = self._policy.always_limited or queue.is_short(self.now)
            is_alone = queue.is_alone(prompt.arrived_at, self.now)
            if place.first_token_ms > limit and is_short and not is_alone:
                return None
            if place.first_token_ms > limit * SHORTAGE_RATIO:
                queue.note_shortage(self.now, prompt.rank, prompt.arrived_at)
        return place

    def _place(self, prompt: Caller) -> None:
        if prompt.abandoned:
            return
        if not self._policy.waits:
            place = self._choose(prompt)
            if place is None:
                self._queues[prompt.vm].note_shortage(self.now, prompt.rank, prompt.arrived_at)
                self._refuse(prompt, RETRY_DELAY_MS)
            else:
                self._book(prompt, place)
            return
        self._decide(prompt, math.nan)

    def _decide(self, prompt: Caller, freed: float) -> bool:
        """Decide on a prompt; return whether it was placed."""
        queue, waiter = self._queues[self._queue_of(prompt.vm)], self._waiter(prompt)
        ahead = queue.ahead(waiter, self.now)
        remote = [item for item in ahead if item.name not in self._own[prompt.vm]]
        blocked = self._policy.view == "strict" and remote
        place = None
        if not blocked and not (prompt.waiting_since is None and ahead):
            place = self._choose(prompt)
        forecast = math.inf
        if place is None and not math.isnan(freed):
            return False
        if place is None:
            if self.now - self._forecast.made_at > FORECAST_MS:
                self._forecast = RoomForecast(
                    self._load.costs, self._books, self._servers, self.now
                )
            forecast = self._forecast.room_in_ms(prompt.job, ahead)
            if self._policy.forecast == "both" and ahead:
                while self._placed and self.now - self._placed[0][0] > 1_000.0:
                    self._placed.popleft()
                rate = max(1.0, sum(cost for _, cost in self._placed)) / 1_000.0
                forecast = max(forecast, sum(item.cost_ms for item in ahead) / rate)
        match queue.decide(waiter, place is not None, forecast, self.now, self._rng):
            case PlaceNow():
                self._announce(prompt, waiter, "place")
                self._stop_waiting(prompt)
                if not math.isnan(freed):
                    self.idle_ms.append(self.now - freed)
                self._book(prompt, place)
                return True
            case Wait(until=until):
                if prompt.waiting_since is None:
                    prompt.waiting_since = self.now
                    self._own[prompt.vm][prompt.name] = prompt
                    self._announce(prompt, waiter, "add")
                    if ahead:
                        self._schedule(0.0, self._wake, prompt.vm, math.nan)
                if math.isnan(freed):
                    prompt.decides_at = max(self.now + 0.5, until)
                    self._schedule(prompt.decides_at - self.now, self._recheck, prompt)
            case Refuse(retry_after_ms=retry_after):
                self._stop_waiting(prompt, in_vain=True)
                self._refuse(prompt, retry_after)
        return False

    def _queue_of(self, vm: int) -> int:
        return 0 if self._policy.view == "grant" else vm

    def _recheck(self, prompt: Caller) -> None:
        if prompt.waiting_since is not None and self.now >= prompt.decides_at:
            self._decide(prompt, math.nan)

    def _announce(self, prompt: Caller, waiter: Waiter, action: str) -> None:
        """Apply a change to the own queue now, and to those of other VMs after the delay."""
        own = self._queue_of(prompt.vm)

        def apply(queue: AdmissionQueue) -> None:
            match action:
                case "add":
                    queue.add(waiter)
                    queue.note_shortage(self.now, waiter.rank, waiter.arrived_at)
                case "place":
                    queue.place(waiter, self.now)
                case _:
                    queue.remove(waiter.name)

        if action == "place":
            self._placed.append((self.now, waiter.cost_ms))
            if prompt.waiting_since is None:
                self._queues[own].place(waiter, self.now)
                return
        apply(self._queues[own])
        if self._policy.view in ("shared", "strict"):
            self.messages += 1
            for vm, queue in enumerate(self._queues):
                if vm != own:
                    self._schedule(self._load.lag_ms, apply, queue)

    def _wake(self, vm: int, freed: float) -> None:
        """Give the waiting requests of a VM a chance, in order."""
        queue, own = self._queues[self._queue_of(vm)], self._own[vm]
        remote, failed_tokens, tried = 0, math.inf, 0
        for waiter in queue.ordered(self.now):
            prompt = own.get(waiter.name)
            if prompt is None:
                remote += 1
                if self._policy.view == "strict":
                    return
                continue
            if prompt.job.tokens >= failed_tokens:
                continue
            if remote and self._policy.view == "shared":
                at = self.now + STEP_MS * min(remote, MAX_STEPS)
                if prompt.late_try <= self.now:
                    prompt.late_try = at
                    self._schedule(at - self.now, self._late_try, prompt, freed)
                return
            tried += 1
            if self._decide(prompt, freed):
                self._schedule(self._load.lag_ms + 0.02, self._wake, vm, freed)
                return
            failed_tokens = prompt.job.tokens
            if tried >= 6:
                return

    def _late_try(self, prompt: Caller, freed: float) -> None:
        if prompt.waiting_since is not None and self._decide(prompt, freed):
            self._schedule(self._load.lag_ms + 0.02, self._wake, prompt.vm, freed)

    def _stop_waiting(self, prompt: Caller, in_vain: bool = False) -> None:
        if prompt.waiting_since is None:
            return
        prompt.waited_ms += self.now - prompt.waiting_since
        prompt.waiting_since = None
        prompt.in_vain = prompt.in_vain or in_vain
        waiter = self._waiter(prompt)
        self._own[prompt.vm].pop(prompt.name, None)
        if in_vain:
            self._announce(prompt, waiter, "remove")

    def _book(self, prompt: Caller, place: Place) -> None:
        prompt.servers, prompt.held_tokens = place.servers, place.held
        delay = 2 * self._load.lag_ms if self._policy.view == "grant" else 0.0
        name = str(id(prompt))
        work = Work(prompt.job, place.servers, self.now, place.held)
        self._schedule(
            0.0 if self._policy.view == "grant" else self._load.lag_ms, self._books.add, name, work
        )
        prompt.parts_left = len(place.servers)
        self._schedule(delay, self._start, prompt)

    def _start(self, prompt: Caller) -> None:
        if prompt.abandoned:
            return
        head = self._engines[prompt.servers[0]]
        if head.used_slots >= self._load.costs.slots:
            head.slot_queue.append(prompt)
            return
        self._admit(prompt)

    def _refuse(self, prompt: Caller, retry_after: float) -> None:
        prompt.rejections += 1
        prompt.refused_at.append(self.now)
        if self._overload.factor:
            self._schedule(WRONG_CHECK_MS, self._check_refusal, prompt, self.now)
        if prompt.rejections >= prompt.tries:
            prompt.abandoned = True
            return
        left = prompt.kind.patience_ms - (self.now - prompt.arrived_at)
        usable = retry_after <= left / 3 and not prompt.retry_at_once
        delay = retry_after if usable else RETRY_DELAY_MS * (0.1 if prompt.retry_at_once else 1)
        prompt.vm = self._rng.randrange(VMS)
        self._schedule(delay, self._place, prompt)

    def _check_refusal(self, prompt: Caller, refused: float) -> None:
        """Mark a refusal as wrong if there is room, for nobody else, while it is still of use."""
        last = prompt.arrived_at + prompt.kind.patience_ms / 2
        if self.now > last or prompt.wrongly_refused or (prompt.servers and not prompt.abandoned):
            return
        if not any(self._own) and self._choose(prompt) is not None:
            prompt.wrongly_refused = True
            return
        self._schedule(WRONG_CHECK_MS, self._check_refusal, prompt, refused)


class Summary(NamedTuple):
    """The results of a load with a policy, over all seeds; all fractions are of the requests."""

    value: float
    by_kind: dict[str, float]
    served: dict[str, float]
    on_time: dict[str, float]
    big_customer: float
    large: float
    wrong_refusals: float
    in_vain: float
    idle_ms: float
    messages: float


def _value(prompts: Iterable[Caller]) -> float:
    prompts = list(prompts)
    owed = sum(item.value_on_time for item in prompts)
    return sum(item.earned_value for item in prompts) / max(1e-9, owed)


def _share(prompts: Sequence[Caller], test) -> float:
    return sum(map(bool, map(test, prompts))) / max(1, len(prompts))


def run_one(load: OverloadLoad, policy: Policy, seed: int):
    """Run one simulation; return it in a form that other processes can receive."""
    run = OverloadSimulation(load, seed, policy)
    prompts = run.run()
    for item in prompts:
        item.retry = None
    return prompts, run.idle_ms, run.messages


def summarize(results) -> Summary:
    """Return the summary of the runs of a load with a policy."""
    prompts = [item for result in results for item in result[0]]
    groups = defaultdict(list)
    for item in prompts:
        groups[item.kind.name].append(item)

    def large_ratio() -> float:
        """Return how often the largest tenth of a kind is served, relative to the rest."""
        ratios = []
        for items in groups.values():
            items = sorted(items, key=lambda item: item.job.tokens)
            cut = len(items) * 9 // 10
            rest = _share(items[:cut], lambda item: item.completed)
            ratios.append(_share(items[cut:], lambda item: item.completed) / max(1e-9, rest))
        return min(ratios)

    idle = sorted(value for result in results for value in result[1]) or [0.0]
    return Summary(
        _value(prompts),
        {name: _value(items) for name, items in groups.items()},
        {name: _share(items, lambda item: item.completed) for name, items in groups.items()},
        {
            name: _share(
                items,
                lambda item: item.completed and item.first_token_ms <= item.kind.target_ms,
            )
            for name, items in groups.items()
        },
        _share([i for i in prompts if i.customer == "big"], lambda i: i.completed)
        / max(1e-9, _share([i for i in prompts if i.customer != "big"], lambda i: i.completed)),
        large_ratio(),
        _share(prompts, lambda item: item.wrongly_refused),
        _share(prompts, lambda item: item.in_vain),
        idle[len(idle) // 2],
        sum(result[2] for result in results) / len(results) / SECONDS,
    )


def format_row(load: OverloadLoad, policy: Policy, found: Summary) -> str:
    """Return a row of the table."""
    kinds = [kind.name for kind in KINDS]
    value = " ".join(f"{found.by_kind[name]:.3f}" for name in kinds)
    on_time = " ".join(f"{found.on_time[name]:.3f}" for name in kinds)
    served = " ".join(f"{found.served[name]:.3f}" for name in kinds)
    return (
        f"| {load.name} | {policy.name} | {found.value:.3f} | {value} | {served} | {on_time} "
        f"| {found.big_customer:.2f} | {found.large:.2f} | {found.wrong_refusals:.3f} "
        f"| {found.in_vain:.3f} | {found.idle_ms:.0f} "
        f"| {found.messages:.0f} |"
    )


def main(arguments: Sequence[str]) -> None:
    """Print the table of the chosen loads and policies."""
    seeds = range(1, 1 + int(arguments[0] if arguments else 8))
    prefix = arguments[1] if len(arguments) > 1 else ""
    names = arguments[2:]
    print(
        "| load | policy | value | of short middle long | served short middle long | on time "
        "| big customer | largest tenth | wrong refusals | in vain | idle ms | messages/s |"
    )
    print("|---|---|---|---|---|---|---|---|---|---|---|---|")
    with ProcessPoolExecutor(3) as pool:
        by_name = {load.name: load for load in LOADS}
        pairs = [(load, policy) for load in LOADS for policy in POLICIES]
        pairs += [(by_name[name], policy) for name, policy in VARIANTS]
        for load, policy in pairs:
            if not load.name.startswith(prefix) or (names and policy.name not in names):
                continue
            results = list(pool.map(partial(run_one, load, policy), seeds))
            print(format_row(load, policy, summarize(results)), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
