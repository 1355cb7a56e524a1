"""Allocate loopback networks to runs of the tests, the demonstration and the benchmarks.

Concurrent runs on one machine must not listen on the same addresses.  The environment variable
``SISKINSPOKE_FIRST_NET`` (an integer, 10 by default) sets the first network of a run; only this
module reads it.  A network is identified by the second octet of an address in 127.0.0.0/8.  A run
uses 70 networks:

* first + 0: the demonstration.
* first + 1: sites of registries and gateways, distinguished by their third octets.
* first + 2 and 3: the benchmarks.
* first + 4 to 9: unused, so that test sites start at a round number.
* first + 10 to 69: test sites, 20 for each of the 3 workers that ``scripts/test`` starts.

The fault proxy of a site listens in the site's own network, at higher third octets.  A run has to
stay within 127.1 to 127.254, so the first network is 1 to 185.  Three concurrent runs fit, starting
at 10, 80 and 150.
"""

import itertools
import os
import re
from collections.abc import Callable, Mapping
from typing import NamedTuple

from siskinspoke.core.checks import Fault

FIRST_NET = "SISKINSPOKE_FIRST_NET"
WORKER = "PYTEST_XDIST_WORKER"
DEFAULT_FIRST = 10
LOWEST_NET, HIGHEST_NET = 1, 254
WORKERS = 3


class Allocation(NamedTuple):
    """How octets of one kind are allocated to test workers: the first, and the count for each."""

    first: int
    per_worker: int


# Second octets, as offsets from the first network of the run.
SITES = Allocation(10, 20)
NETS_PER_RUN = SITES.first + SITES.per_worker * WORKERS

# Third octets within the network that all sites of registries and gateways share.
SOAKS = Allocation(60, 3)
FEED_SLOPES = 88
MANUAL_SOAK_NETS = range(90, 140)
GROUPS = Allocation(150, 10)


class NetworksError(Exception):
    """An environment variable asks for networks that are not available."""


class Networks(NamedTuple):
    """The first network of a run, and the networks that its workers share, as second octets."""

    first: int
    demonstration: range
    groups: range
    bench: range


def networks_from(environment: Mapping[str, str]) -> Networks:
    """Return the networks of a run; raise NetworksError if its variable is invalid."""
    first = _first_net(environment)
    return Networks(
        first,
        demonstration=range(first, first + 1),
        groups=range(first + 1, first + 2),
        bench=range(first + 2, first + 4),
    )


def networks() -> Networks:
    """Return the networks of the run that this process belongs to."""
    return networks_from(os.environ)


def site_nets(environment: Mapping[str, str] = os.environ) -> range:
    """Return the second octets for a worker's test sites."""
    return _allocated(SITES, networks_from(environment).first, environment)


def group_nets(environment: Mapping[str, str] = os.environ) -> range:
    """Return the third octets for a worker's sites of registries and gateways."""
    return _allocated(GROUPS, 0, environment)


def soak_nets(environment: Mapping[str, str] = os.environ) -> range:
    """Return the third octets for a worker's soak tests."""
    return _allocated(SOAKS, 0, environment)


def net_cycle(nets: Callable[[], range]) -> Callable[[], int]:
    """Return a function that cycles through a worker's networks.

    Successive sites use different networks, so that a port still held by a stopped site does not
    collide with the next.  ``nets`` is evaluated on each call, so that an invalid environment
    fails only the tests that need a network.
    """
    counter = itertools.count()

    def next_net() -> int:
        available = nets()
        return available[next(counter) % len(available)]

    return next_net


def _first_net(environment: Mapping[str, str]) -> int:
    text = environment.get(FIRST_NET, str(DEFAULT_FIRST))
    highest = HIGHEST_NET - NETS_PER_RUN + 1
    hint = f"{LOWEST_NET} to {highest}; 10, 80 and 150 do not overlap"
    if not re.fullmatch(r"[0-9]+", text):
        raise _error(FIRST_NET, "E001", f"{text!r} is not a non-negative integer", hint)
    if not LOWEST_NET <= int(text) <= highest:
        message = (
            f"a run uses {NETS_PER_RUN} networks; starting at {text}, they are not all within "
            "127.1 to 127.254"
        )
        raise _error(FIRST_NET, "E002", message, hint)
    return int(text)


def _allocated(allocation: Allocation, first: int, environment: Mapping[str, str]) -> range:
    """Return the octets allocated to a worker; without pytest-xdist there is one worker."""
    worker = int(environment.get(WORKER, "gw0").removeprefix("gw"))
    if worker >= WORKERS:
        message = f"worker {worker} has no networks; a run has some for workers 0 to {WORKERS - 1}"
        raise _error(WORKER, "E003", message, f"--numprocesses={WORKERS} or less")
    begin = first + allocation.first + worker * allocation.per_worker
    return range(begin, begin + allocation.per_worker)


def _error(variable: str, number: str, message: str, hint: str) -> NetworksError:
    return NetworksError(Fault(f"networks.{number}", variable, message, hint))
