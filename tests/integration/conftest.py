"""Fixtures that run complete sites as separate processes on loopback addresses."""

from contextlib import ExitStack

import pytest

from siskinspoke.testing.networks import net_cycle, site_nets
from siskinspoke.testing.running_site import start_running_site

_next_net = net_cycle(site_nets)


@pytest.fixture
def make_site(tmp_path):
    """Return a function that starts a site, which is stopped at the end of the test."""
    with ExitStack() as stack:

        def make(**changes):
            return start_running_site(stack, tmp_path / "site", _next_net(), **changes)

        yield make
