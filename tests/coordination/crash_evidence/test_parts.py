"""Tests of the verdicts on parts of prompts that crash servers."""

import time

import pytest

from siskinspoke.coordination.crash_evidence.parts import (
    MAX_ANSWERED_PARTS,
    MAX_PART_CHARACTERS,
    MAX_PARTS,
    PartLedger,
    usable_parts,
)
from siskinspoke.coordination.crash_evidence.trials import FIRST_TRIAL_MS, TRIAL_FACTOR
from siskinspoke.coordination.crashes import Clear, CrashLedger, Probation, Quarantined, Suspect

SHARED, BAD, OTHER = "shared", "bad", "other"
RAN_MS = 100.0
SERVERS = 20


class World:
    """A ledger in which servers crash one after the other."""

    def __init__(self) -> None:
        self.now = 10_000.0
        self.ledger = CrashLedger()
        self.parts = PartLedger(self.ledger)
        self.number = 0

    def crash(self, *runs: tuple[str, tuple[str, ...]], pause_ms: float = 400.0) -> tuple:
        """Have a server crash under requests, each given by its fingerprint and parts."""
        self.now += pause_ms
        self.number += 1
        start = (f"s{self.number}", 1)
        suspects = [Suspect(name * 10, self.now - RAN_MS, parts) for name, parts in runs]
        self.ledger.record_crash(start, "m", SERVERS, self.now, suspects)
        return start

    def answer(self, *parts: str) -> None:
        """Have a request with these parts answered."""
        for part in parts:
            self.parts.record_answer(part, self.now)

    def judge(self, *parts: str):
        """Return the verdict on a request with these parts."""
        return self.parts.judge(parts, self.now)


class TestBlame:
    """Guards against a part that crashes a server for each request that holds it."""

    def test_part_of_different_requests_is_blamed_after_three_crashes(self):
        world = World()
        for name in ("r1", "r1"):
            world.crash((name, (SHARED, BAD)))
            world.answer(SHARED)
        assert isinstance(world.judge(SHARED, BAD), Clear)
        world.crash(("r2", (SHARED, BAD)))
        world.answer(SHARED)
        assert isinstance(world.judge(SHARED, BAD), Quarantined)
        assert isinstance(world.judge(SHARED, OTHER), Clear)
        assert isinstance(world.judge(BAD), Quarantined)

    def test_one_request_is_left_to_its_own_quarantine(self):
        """Otherwise all requests that share a part with it would be refused."""
        world = World()
        for _ in range(6):
            world.crash(("r1", (SHARED, BAD)), ("r2", (SHARED,)))
        assert isinstance(world.judge(SHARED, BAD), Clear)
        assert isinstance(world.judge(SHARED), Clear)

    def test_neighbours_of_the_crashing_requests_are_not_blamed(self):
        world = World()
        for number in range(4):
            world.crash((f"r{number}", (SHARED, BAD)), (f"n{number}", (SHARED, OTHER)))
            world.answer(SHARED, OTHER)
        assert isinstance(world.judge(SHARED, BAD), Quarantined)
        assert isinstance(world.judge(SHARED, OTHER), Clear)

    def test_request_that_is_answered_elsewhere_is_no_other_explanation(self):
        """Guards against a part that goes unnoticed beside a frequent request."""
        world = World()
        for number in range(4):
            world.crash((f"r{number}", (SHARED, BAD)), ("frequent", (SHARED,)))
            world.ledger.record_answer("frequent" * 10, world.now)
            world.answer(SHARED)
        assert isinstance(world.judge(SHARED, BAD), Quarantined)

    def test_parts_that_always_came_together_are_blamed_together(self):
        world = World()
        for number in range(3):
            world.crash((f"r{number}", (OTHER, BAD)))
        assert isinstance(world.judge(OTHER, BAD), Quarantined)
        assert isinstance(world.judge(OTHER), Clear)
        assert isinstance(world.judge(BAD), Clear)

    def test_answer_to_one_of_them_leaves_the_other(self):
        world = World()
        for number in range(3):
            world.crash((f"r{number}", (OTHER, BAD)))
        world.answer(OTHER)
        assert isinstance(world.judge(OTHER), Clear)
        assert isinstance(world.judge(BAD), Quarantined)

    def test_answer_ends_the_quarantine(self):
        world = World()
        for number in range(3):
            world.crash((f"r{number}", (BAD,)))
        assert isinstance(world.judge(BAD), Quarantined)
        assert world.parts.record_answer(BAD, world.now)
        assert isinstance(world.judge(BAD), Clear)

    def test_part_that_was_answered_before_needs_more_crashes(self):
        """Guards against a refusal of common parts when servers are restarted in series."""
        world = World()
        world.answer(BAD)
        for number in range(4):
            world.crash((f"r{number}", (BAD,)))
        assert isinstance(world.judge(BAD), Clear)
        world.crash(("r9", (BAD,)))
        assert isinstance(world.judge(BAD), Quarantined)

    def test_servers_that_are_lost_together_are_one_observation(self):
        world = World()
        for number in range(8):
            world.crash((f"r{number}", (BAD,)), pause_ms=5.0)
        assert isinstance(world.judge(BAD), Clear)

    def test_refuted_crash_is_no_evidence(self):
        world = World()
        starts = [world.crash((f"r{number}", (BAD,))) for number in range(3)]
        assert isinstance(world.judge(BAD), Quarantined)
        world.ledger.refute(starts[0], world.now)
        assert isinstance(world.judge(BAD), Clear)

    def test_verdict_stands_when_servers_crash_for_other_reasons(self):
        """Guards against a part that is let through again as soon as servers are restarted."""
        world = World()
        for number in range(3):
            world.crash((f"r{number}", (BAD,)))
        for other in range(6):
            world.crash((f"x{other}", (f"own{other}",)), pause_ms=60.0)
        assert isinstance(world.judge(BAD), Quarantined)

    def test_crashes_without_the_part_weaken_the_evidence(self):
        world = World()
        for number in range(3):
            world.crash((f"r{number}", (BAD,)))
            for other in range(15):
                world.crash((f"x{number}{other}", (f"own{number}{other}",)), pause_ms=20.0)
        assert isinstance(world.judge(BAD), Clear)


class TestTrials:
    """Guards against a wrong verdict that nothing ends, and against trials that crash servers."""

    def blamed(self) -> World:
        world = World()
        for number in range(3):
            world.crash((f"r{number}", (BAD,)))
        return world

    def test_one_request_is_let_through_after_a_while(self):
        world = self.blamed()
        world.now += FIRST_TRIAL_MS
        assert isinstance(world.judge(BAD), Probation)
        assert world.parts.record_trial(frozenset({BAD}), world.now)
        world.now += 100.0
        assert isinstance(world.judge(BAD), Quarantined)

    def test_next_trial_comes_later_if_the_first_crashes_a_server(self):
        world = self.blamed()
        world.now += FIRST_TRIAL_MS
        world.parts.record_trial(frozenset({BAD}), world.now)
        world.crash(("r9", (BAD,)))
        world.now += FIRST_TRIAL_MS * (TRIAL_FACTOR - 1)
        assert isinstance(world.judge(BAD), Quarantined)
        world.now += FIRST_TRIAL_MS
        assert isinstance(world.judge(BAD), Probation)

    def test_trial_without_an_end_is_followed_by_another(self):
        world = self.blamed()
        world.now += FIRST_TRIAL_MS
        world.parts.record_trial(frozenset({BAD}), world.now)
        world.now += FIRST_TRIAL_MS
        assert isinstance(world.judge(BAD), Probation)


class TestBounds:
    """Guards against prompts whose parts take up memory or time."""

    @pytest.mark.parametrize(
        ("names", "count"),
        [
            ([], 0),
            ([""], 0),
            (["a", "a"], 1),
            (["x" * (MAX_PART_CHARACTERS + 1)], 0),
            ([str(number) for number in range(10_000)], MAX_PARTS),
        ],
    )
    def test_parts_of_a_prompt_are_bounded(self, names, count):
        assert len(usable_parts(names)) == count

    def test_many_crashes_take_little_time(self):
        """Guards against a VM that stands still while servers are lost in large numbers."""
        world = World()
        for number in range(1_000):
            runs = [
                (f"r{number}-{run}", (SHARED, f"x{run}", f"u{number}-{run}")) for run in range(8)
            ]
            world.crash(*runs, pause_ms=5.0)
        began = time.process_time()
        world.judge(SHARED, BAD)
        assert time.process_time() - began < 0.2

    def test_answered_parts_are_bounded(self):
        world = World()
        for number in range(2 * MAX_ANSWERED_PARTS):
            world.answer(f"p{number}")
        assert len(world.parts.answered_at) == MAX_ANSWERED_PARTS
