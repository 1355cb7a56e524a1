"""Fixtures that run whole sites as real processes on loopback addresses."""

import itertools
import os
from contextlib import ExitStack

import pytest

from siskinspoke.testing.running_site import start_running_site

NETS_PER_WORKER = 20
FIRST_NET = 20

# Each site has a network number of its own, so that a port of an ended one cannot linger.
_worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0")[2:])
_nets = itertools.cycle(
    range(FIRST_NET + _worker * NETS_PER_WORKER, FIRST_NET + (_worker + 1) * NETS_PER_WORKER)
)


@pytest.fixture
def make_site(tmp_path):
    """Return a function that starts a site; it ends with the test."""
    with ExitStack() as stack:

        def make(**changes):
            return start_running_site(stack, tmp_path / "site", next(_nets), **changes)

        yield make
