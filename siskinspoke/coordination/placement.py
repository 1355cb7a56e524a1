"""Choose the engines that read and write a prompt, from books that all entry VMs share.

An engine computes in passes: whatever it reads makes the pass
longer for every stream that it writes.  So a long prompt is read in thin parts by several
engines, preferably by those that write nothing that would suffer, and short prompts gather on
engines that write short streams already, which leaves others free for long ones.
"""

import random
from collections.abc import Sequence
from typing import NamedTuple

from siskinspoke.coordination.books import Books, Job, Stage
from siskinspoke.coordination.passes import Writer, pass_ms, read_ms
from siskinspoke.coordination.routes import EngineCosts

# Most other engines that may read parts of one prompt.
MAX_HELPERS = 16
GROUP_SIZES = (1, 2, 3, 4, 6, 8, 12, 17)
# A stream's pauses should stay within this share of what they may last: passes are estimated.
PAUSE_SHARE = 0.8
# Milliseconds by which a short prompt's first token may be later for joining an engine that
# writes short streams, rather than opening one that writes none.
GATHER_MS = 45.0
# A short prompt that waits less than this for its pass is soon enough: among such engines the one
# with the most streams is taken, each being worth PACK_MS, unless fewer than so many of its slots
# are free.  What stays free reads long prompts without stopping anybody's stream.
SOON_ENOUGH_MS = 160.0
PACK_MS = 8.0
SLOTS_LEFT = 2
# In a large fleet each short prompt looks at so many engines, drawn by lot: VMs that know the same
# would all choose the one engine that is best in the whole fleet.
DRAWN_ENGINES = 12
# Milliseconds by which an engine looks worse when its last slot is taken, rising from this share
# of its slots on, and a random part of every choice: VMs that learn of each other's work some
# milliseconds late would otherwise fill the same engine at once.
CROWD_MS = 80.0
CROWDED_FROM = 0.8
JITTER_MS = 10.0
# Prompts that an engine has still to read, beyond so many, make it look worse by this for each:
# whoever is behind a pile of them is late.
UNREAD_FREE = 2
UNREAD_MS = 30.0
# The herd grows with the fleet, whose VMs all choose within the delay of one datagram.  With few
# engines that care is worth less than keeping some free for long prompts, so it is left out up to
# the first number of engines and counts in full from the second.
NO_HERD_ENGINES = 24
FULL_HERD_ENGINES = 64
# Cost of each further engine in a group, in the same units: any of them may fail.
HELPER_COST = 0.004
# Share of the memory believed to be free that a part of a prompt may take: the books lag, and
# streams grow as they are written.
HOLD_SHARE = 0.8
# Part of its target at which a first token begins to count as late, and what is lost at it.
LATE_FROM = 0.35
LATE_AT_TARGET = 0.75
# An engine with all its slots taken ends a stream every fifth of a second; some may wait there
# rather than beside a prompt that is read for seconds.  In units of its slots.
QUEUE_SHARE = 1.5


class Candidate(NamedTuple):
    """An engine that may take work; ``penalty`` is in milliseconds."""

    server: str
    penalty: float = 0.0


class Place(NamedTuple):
    """The engines chosen, the writing one first, and the first token expected.

    ``held`` are the tokens that each engine after the first must keep; empty where the first
    keeps all.  ``considered`` engines could have taken work, ``idle`` of them wrote nothing.
    """

    servers: tuple[str, ...]
    first_token_ms: float
    held: tuple[int, ...] = ()
    considered: int = 0
    idle: int = 0


class _View(NamedTuple):
    """One engine as a new job would find it; times in milliseconds."""

    server: str
    pass_ms: float
    waiting_ms: float
    tightest_ms: float
    units: float
    streams: int
    short_streams: int
    unread: int
    free_tokens: int
    penalty: float
    pace: float


class Placement:
    """Choose engines for jobs; ``books`` are what it goes by."""

    def __init__(self, books: Books):
        self.books = books

    def _view(self, costs: EngineCosts, candidate: Candidate, now: float) -> _View:
        engine = self.books.engine(candidate.server)
        writers, waiting, tightest, units, used, shorts, streams = [], 0.0, 1e9, 0.0, 0, 0, 0
        tokens_left = unread = 0
        for work in engine.works.values():
            writes = work.servers[0] == candidate.server
            used += work.tokens_at(candidate.server)
            if writes:
                streams += 1
                shorts += work.job.short
                # Also one that is still read will write in the passes to come.
                tightest = min(tightest, work.job.pause_ms)
                units += work.job.units
                tokens_left += work.job.max_tokens
                unread += work.stage is Stage.READING
            if work.stage is Stage.WRITING:
                writers.append(Writer(work.tokens_at(candidate.server)))
            else:
                part = read_ms(costs, work.job.tokens, work.parts)
                waiting += max(part - max(0.0, now - work.began_at - part), part * 0.2)
        one_pass = pass_ms(costs, writers) * engine.pace
        queue_ms = 0.0
        if streams >= costs.slots:
            passes = tokens_left / streams / costs.pass_steps
            # Also where all of them are still read: they will write before a slot is free.
            writing = max(one_pass, costs.pass_steps * costs.step_ms * engine.pace)
            queue_ms = (streams - costs.slots + 1) * passes * writing / costs.slots
        return _View(
            candidate.server,
            one_pass,
            waiting * engine.pace,
            tightest,
            units,
            streams,
            shorts,
            unread,
            costs.memory_tokens - used,
            candidate.penalty + queue_ms,
            engine.pace,
        )

    def _views(
        self, costs: EngineCosts, candidates: Sequence[Candidate], now: float
    ) -> list[_View]:
        """Return the engines that may take more work at all."""
        views = [self._view(costs, item, now) for item in candidates]
        return [view for view in views if view.streams < costs.slots * QUEUE_SHARE]

    def pass_ms(self, costs: EngineCosts, server: str) -> float:
        """Return how long a pass of an engine takes that reads nothing."""
        works = self.books.engine(server).works.values()
        writers = [Writer(work.tokens_at(server)) for work in works]
        least = costs.pass_steps * costs.step_ms
        return max(least, pass_ms(costs, writers)) * self.books.engine(server).pace

    def reading_ms(self, costs: EngineCosts, server: str, now: float) -> float:
        """Return how long an engine still reads the prompts that it has, as the books stand."""
        engine = self.books.engine(server)
        reading = [work for work in engine.works.values() if work.stage is Stage.READING]
        parts = [read_ms(costs, work.job.tokens, work.parts) * engine.pace for work in reading]
        begun = [now - work.began_at for work in reading]
        return sum(max(0.0, part - had) for part, had in zip(parts, begun, strict=True))

    def choose(
        self,
        costs: EngineCosts,
        job: Job,
        candidates: Sequence[Candidate],
        now: float,
        rng: random.Random,
    ) -> Place | None:
        """Return where a job goes, or None where no engine can take it."""
        place, views = self._choose(costs, job, candidates, now, rng)
        if place is None:
            return None
        idle = sum(not view.streams for view in views)
        return place._replace(considered=len(views), idle=idle)

    def _choose(
        self,
        costs: EngineCosts,
        job: Job,
        candidates: Sequence[Candidate],
        now: float,
        rng: random.Random,
    ) -> tuple[Place | None, list[_View]]:
        """Return the place and the engines that were looked at."""
        need = job.tokens + job.max_tokens
        shuffled = rng.sample(candidates, len(candidates))
        herd = _herd_share(len(candidates))
        if job.short:
            drawn = self._views(costs, shuffled[: _drawn_engines(len(shuffled))], now)
            roomy = [view for view in drawn if view.free_tokens >= need]
            if any(view.streams < costs.slots for view in roomy):
                place = self._choose_one(costs, job, roomy, herd, rng)
                # Where all that were drawn would be late, the rest of the fleet is worth a look.
                if place.first_token_ms <= job.target_ms:
                    return place, drawn
        views = self._views(costs, shuffled, now)
        roomy = [view for view in views if view.free_tokens >= need]
        if not roomy:
            return self._choose_holders(costs, job, views), views
        if job.short:
            return self._choose_one(costs, job, roomy, herd, rng), views
        return self._choose_group(costs, job, views, roomy), views

    def _choose_holders(self, costs: EngineCosts, job: Job, views: list[_View]) -> Place | None:
        """Return a group that keeps the prompt together, of the size that loses least."""
        found = [
            place
            for size in GROUP_SIZES
            if 1 < size <= len(views)
            and (place := self._holders_of(costs, job, views, size)) is not None
        ]
        return min(found, key=lambda item: item[0])[1] if found else None

    def _holders_of(
        self, costs: EngineCosts, job: Job, views: list[_View], size: int
    ) -> tuple[float, Place] | None:
        """Return the cost and the place of a group of one size, with as few keepers as possible.

        A step costs the largest part kept, so keepers share evenly; the others only read.
        """
        part = read_ms(costs, job.tokens, size)
        ranked = sorted(views, key=lambda view: self._group_cost(costs, view, part))
        for count in range(2, size + 1):
            share = -(-job.tokens // count)
            room = [view for view in ranked if view.free_tokens * HOLD_SHARE >= share]
            head_share = job.tokens + job.max_tokens - share * (count - 1)
            heads = [view for view in room if view.free_tokens * HOLD_SHARE >= head_share]
            if heads and len(room) >= count:
                break
        else:
            return None
        head = heads[0]
        keepers = [view for view in room if view is not head][: count - 1]
        chosen = [head, *keepers]
        others = [view for view in ranked if view not in chosen][: size - count]
        held = (share,) * (count - 1) + (0,) * len(others)
        return self._weighed(costs, job, [*chosen, *others], held)

    def _first_token_ms(self, costs: EngineCosts, view: _View, part_ms: float) -> float:
        """Return the expected time to the first token at one engine.

        The pass under way must end first, half of it on average; the next one reads, together
        with all that waits, and writes the first event.
        """
        own = costs.pass_steps * costs.step_ms * view.pace
        under_way = (view.pass_ms + view.waiting_ms) / 2 if view.pass_ms else view.waiting_ms
        return under_way + max(view.pass_ms, own) + view.waiting_ms / 2 + part_ms * view.pace

    def _harm(self, view: _View, part_ms: float) -> float:
        """Return the work that would be late at an engine for reading a part there."""
        longest = view.pass_ms + view.waiting_ms + part_ms * view.pace
        allowed = view.tightest_ms * PAUSE_SHARE
        if longest <= allowed:
            return 0.0
        return view.units * min(1.0, longest / allowed - 0.9)

    def _choose_one(
        self, costs: EngineCosts, job: Job, views: list[_View], herd: float, rng: random.Random
    ) -> Place:
        part = read_ms(costs, job.tokens)

        def cost(view: _View) -> float:
            first = self._first_token_ms(costs, view, part) + view.penalty
            late = max(0.0, first - job.target_ms * PAUSE_SHARE)
            gathered = 0.0 if view.short_streams else GATHER_MS
            taken = (view.streams + 1) / costs.slots
            crowd = herd * CROWD_MS * max(0.0, taken - CROWDED_FROM) / (1 - CROWDED_FROM)
            harm = self._harm(view, part)
            own = self._harm_to_self(costs, job, view)
            jitter = herd * rng.uniform(0, JITTER_MS)
            crowd += UNREAD_MS * max(0, view.unread - UNREAD_FREE)
            packed = PACK_MS * view.streams if view.streams <= costs.slots - SLOTS_LEFT else 0.0
            wait = max(first - part, SOON_ENOUGH_MS)
            return wait + gathered + crowd + jitter - packed + 3 * late + 300 * (harm + own)

        best = min(views, key=cost)
        first_ms = self._first_token_ms(costs, best, part) + best.penalty
        return Place((best.server,), first_ms)

    def _harm_to_self(self, costs: EngineCosts, job: Job, view: _View) -> float:
        """Return what the job itself loses if the engine's passes are too long for its pauses."""
        longest = view.pass_ms + costs.pass_steps * costs.stream_step_ms
        return job.units * (longest > job.pause_ms * PAUSE_SHARE)

    def _choose_group(
        self, costs: EngineCosts, job: Job, views: list[_View], roomy: list[_View]
    ) -> Place:
        best: tuple[float, Place] | None = None
        for size in GROUP_SIZES:
            if size > len(views):
                break
            found = self._group_of(costs, job, views, roomy, size)
            if best is None or found[0] < best[0]:
                best = found
        return best[1]

    def _group_of(
        self, costs: EngineCosts, job: Job, views: list[_View], roomy: list[_View], size: int
    ) -> tuple[float, Place]:
        """Return the cost and the place of the best group of one size."""
        part = read_ms(costs, job.tokens, size)

        def cost(view: _View) -> float:
            return self._group_cost(costs, view, part)

        def head_cost(view: _View) -> float:
            # The writing engine keeps the whole prompt; short streams there would pause.
            return cost(view) + 0.5 * view.short_streams + 0.2 * view.streams

        head = min(roomy, key=head_cost)
        others = sorted((view for view in views if view is not head), key=cost)[: size - 1]
        return self._weighed(costs, job, [head, *others], ())

    def _group_cost(self, costs: EngineCosts, view: _View, part_ms: float) -> float:
        """Return what an engine costs a group: work made late there, then the wait."""
        first = self._first_token_ms(costs, view, part_ms) + view.penalty
        return self._harm(view, part_ms) + first / 1000

    def _weighed(
        self, costs: EngineCosts, job: Job, group: list[_View], held: tuple[int, ...]
    ) -> tuple[float, Place]:
        """Return what a group loses altogether, and the place that it is."""
        part = read_ms(costs, job.tokens, len(group))
        harm = sum(self._harm(view, part) for view in group)
        first_ms = max(self._first_token_ms(costs, view, part) + view.penalty for view in group)
        late = job.units * _late_share(first_ms, job.target_ms)
        helpers = HELPER_COST * job.units * (len(group) - 1)
        total = harm + late + helpers + first_ms / 10_000
        return total, Place(tuple(view.server for view in group), first_ms, held)


def _herd_share(engines: int) -> float:
    """Return how much of the care against a herd a fleet of this size needs, from 0 to 1."""
    share = (engines - NO_HERD_ENGINES) / (FULL_HERD_ENGINES - NO_HERD_ENGINES)
    return min(1.0, max(0.0, share))


def _drawn_engines(engines: int) -> int:
    """Return how many engines of a fleet a short prompt looks at."""
    more = max(0, engines - DRAWN_ENGINES)
    return engines - round(more * _herd_share(engines))


def _late_share(first_ms: float, target_ms: float) -> float:
    """Return the share of a job that is lost by when its first token is expected.

    Nothing is well before the target; three quarters at it, since estimates are off by a third;
    all at four times the target, when most callers have left.
    """
    ratio = first_ms / target_ms
    if ratio <= LATE_FROM:
        return 0.0
    if ratio <= 1:
        return LATE_AT_TARGET * (ratio - LATE_FROM) / (1 - LATE_FROM)
    return LATE_AT_TARGET + (1 - LATE_AT_TARGET) * min(1.0, (ratio - 1) / 3)
