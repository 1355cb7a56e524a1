"""The loopback networks of one run of the tests, the demonstration or the benches.

Two runs on one machine must not listen at the same addresses, so one environment variable,
``SISKINSPOKE_FIRST_NET`` (a whole number, 10 where it is not set), moves all that a run takes.
It is read here and nowhere else.  A network is a second octet of 127.0.0.0/8; a run needs 70:

* first + 0: the demonstration.
* first + 1: sites of registries and gateways; each has a third octet of its own.
* first + 2 and 3: the benches.
* first + 4 to 9: nothing, so that test sites keep round numbers.
* first + 10 to 69: test sites, 20 for each of the 3 workers that ``scripts/test`` starts.

The fault proxy of a site listens in the site's own network, at higher third octets.  As a run
stays within 127.1 to 127.254, the first network is 1 to 185, and three runs have room side by
side: 10, 80 and 150.
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


class Share(NamedTuple):
    """How the networks of one kind are dealt out: where they begin, and how many a worker has."""

    first: int
    per_worker: int


# Counted from the first network of the run.
SITES = Share(10, 20)
NETS_PER_RUN = SITES.first + SITES.per_worker * WORKERS

# Third octets within the one network of the sites of registries and gateways.
SOAKS = Share(60, 3)
FEED_SLOPES = 88
SOAK_BY_HAND = range(90, 140)
GROUPS = Share(150, 10)


class NetworksError(Exception):
    """The environment asks for networks that a run cannot have."""


class Networks(NamedTuple):
    """The second octets of what all workers of a run share, and the first of the run."""

    first: int
    demonstration: range
    groups: range
    bench: range


def networks_from(environment: Mapping[str, str]) -> Networks:
    """Return the networks of a run; raise NetworksError where its variable is no good."""
    first = _first_from(environment)
    return Networks(
        first,
        demonstration=range(first, first + 1),
        groups=range(first + 1, first + 2),
        bench=range(first + 2, first + 4),
    )


def networks() -> Networks:
    """Return the networks of this process's run."""
    return networks_from(os.environ)


def site_nets(environment: Mapping[str, str] = os.environ) -> range:
    """Return the second octets of a worker's test sites."""
    return _dealt(SITES, networks_from(environment).first, environment)


def group_nets(environment: Mapping[str, str] = os.environ) -> range:
    """Return the third octets of a worker's sites of registries and gateways."""
    return _dealt(GROUPS, 0, environment)


def soak_nets(environment: Mapping[str, str] = os.environ) -> range:
    """Return the third octets of a worker's soaks."""
    return _dealt(SOAKS, 0, environment)


def in_turn(nets: Callable[[], range]) -> Callable[[], int]:
    """Return a function that gives a worker's networks one after the other, over and over.

    Each site has a network of its own, so that a port of an ended one cannot linger.  They are
    worked out when one is asked for: a fault then fails the tests that need a network, no others.
    """
    turns = itertools.count()

    def take() -> int:
        mine = nets()
        return mine[next(turns) % len(mine)]

    return take


def _first_from(environment: Mapping[str, str]) -> int:
    text = environment.get(FIRST_NET, str(DEFAULT_FIRST))
    highest = HIGHEST_NET - NETS_PER_RUN + 1
    hint = f"{LOWEST_NET} to {highest}; 10, 80 and 150 do not overlap"
    if not re.fullmatch(r"[0-9]+", text):
        raise _error(FIRST_NET, "E001", f"{text!r} is not a whole number", hint)
    if not LOWEST_NET <= int(text) <= highest:
        message = f"a run needs {NETS_PER_RUN} networks from {text} on, within 127.1 to 127.254"
        raise _error(FIRST_NET, "E002", message, hint)
    return int(text)


def _dealt(share: Share, first: int, environment: Mapping[str, str]) -> range:
    """Return what a worker has of a share; outside of pytest-xdist there is one worker."""
    worker = int(environment.get(WORKER, "gw0").removeprefix("gw"))
    if worker >= WORKERS:
        message = f"worker {worker} of a run that has networks for workers 0 to {WORKERS - 1}"
        raise _error(WORKER, "E003", message, f"--numprocesses={WORKERS} or less")
    begin = first + share.first + worker * share.per_worker
    return range(begin, begin + share.per_worker)


def _error(variable: str, number: str, message: str, hint: str) -> NetworksError:
    return NetworksError(Fault(f"networks.{number}", variable, message, hint))
