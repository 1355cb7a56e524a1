"""Fixtures that run whole sites as real processes on loopback addresses."""

import itertools
from contextlib import ExitStack

import pytest

from siskinspoke.testing.running_site import start_running_site

# Each site has a network number of its own, so that a port of an ended one cannot linger.
_nets = itertools.count(20)


@pytest.fixture
def make_site(tmp_path):
    """Return a function that starts a site; it ends with the test."""
    with ExitStack() as stack:

        def make(**changes):
            return start_running_site(stack, tmp_path / "site", next(_nets), **changes)

        yield make
