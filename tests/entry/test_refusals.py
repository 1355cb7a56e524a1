"""Handling of refused connections at an entry VM of the product's own interface."""

import random
from types import SimpleNamespace

import pytest
import trio

from siskinspoke.bench.slopes import announcement
from siskinspoke.coordination.directory import Directory
from siskinspoke.core.counters import Counters
from siskinspoke.entry.context import now_ms, target_of
from siskinspoke.entry.crashes import handle_connection_refused


class TestRefusedConnections:
    """A server that refuses connections has crashed, unless its whole failure domain refuses."""

    @pytest.mark.parametrize("all_refuse", [False, True])
    def test_partition_is_not_a_crash(self, all_refuse):
        """Guards against recording each server behind a partition as crashed, with suspects."""
        directory = Directory(4_800)
        for number in range(4):
            directory.apply(announcement(number, 3, "sala-a"), now_ms())
        first, *_ = directory.live(now_ms())
        recorded_crashes = []

        async def refuses(target):
            return all_refuse or target == target_of(first)

        context = SimpleNamespace(
            directory=directory,
            rng=random.Random(1),
            crashes=SimpleNamespace(has_crashed=lambda start: False),
            backend=SimpleNamespace(refuses_connections=refuses),
            counters=Counters(),
            record_crash=recorded_crashes.append,
        )
        trio.run(handle_connection_refused, context, target_of(first))
        assert recorded_crashes == ([] if all_refuse else [target_of(first)])
