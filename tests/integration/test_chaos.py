"""Seeded random faults under traffic; the invariants hold throughout."""

import pytest

from siskinspoke.testing.chaos import Chaos
from siskinspoke.testing.fleet import wait_until

RUN_SECONDS = 30
SERVICES = ("despacho-sala-a-1", "despacho-sala-b-1")


class TestChaos:
    """Kills, emptied disks, freezes, network cuts and connection resets under traffic.

    Guards against truncated answers, calls that run twice, "not run" for a request that ran,
    and engine memory that is never released.
    """

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_invariants_hold(self, make_site, seed):
        site = make_site(services=2, entries_per_domain=2)
        chaos = Chaos(site, seed)
        chaos.run(RUN_SECONDS)
        print(chaos.faults, len(chaos.completions), sum(c.is_complete for c in chaos.completions))
        assert chaos.violations(SERVICES) == []
        assert sum(item.is_complete for item in chaos.completions) > len(chaos.completions) / 2
        site.wait_memory_returned(*[name for name in site.specs if name.startswith("engine")])
        wait_until(lambda: site.fleet.leader() is not None, "a leader after the faults")
