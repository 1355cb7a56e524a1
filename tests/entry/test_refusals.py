"""Tests of what an entry VM of the product's own interface makes of servers that refuse."""

import random
from types import SimpleNamespace

import pytest
import trio

from siskinspoke.bench.slopes import announcement
from siskinspoke.coordination.directory import Directory
from siskinspoke.core.counters import Counters
from siskinspoke.entry.context import now_ms, target_of
from siskinspoke.entry.crashes import note_refusal


class TestRefusals:
    """A server that refuses has crashed, unless all of its failure domain refuse."""

    @pytest.mark.parametrize("all_refuse", [False, True])
    def test_cut_that_refuses_is_no_crash(self, all_refuse):
        """Each server behind such a cut was noted as crashed, with who was open there."""
        directory = Directory(4_800)
        for number in range(4):
            directory.hear(announcement(number, 3, "sala-a"), now_ms())
        first, *_ = directory.live(now_ms())
        crashed = []

        async def refuses(target):
            return all_refuse or target == target_of(first)

        context = SimpleNamespace(
            directory=directory,
            rng=random.Random(1),
            crashes=SimpleNamespace(has_crashed=lambda start: False),
            backend=SimpleNamespace(refuses=refuses),
            counters=Counters(),
            crashed=crashed.append,
        )
        trio.run(note_refusal, context, target_of(first))
        assert crashed == ([] if all_refuse else [target_of(first)])
