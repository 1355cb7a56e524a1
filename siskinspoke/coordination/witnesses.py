"""Distinguishes a crashed server from a failure domain that is cut off.

A firewall in front of a failure domain may reset the connections that cross it and refuse new ones,
and so does a rack that loses power while its machines boot. To one VM each server there looks like
a crashed process: it closed the connection and now refuses. The other servers of the domain, its
witnesses, tell the two apart: if one of them accepts connections, only the server itself has
crashed. Otherwise all servers of a failure domain that fail together would be recorded as crashed.
"""

import random
from collections.abc import Callable, Iterable, Sequence

from siskinspoke.coordination.crashes import Start
from siskinspoke.coordination.directory import ServerRecord

# The number of other servers of the failure domain that are probed. It is unlikely that both have
# just crashed as well; if they have, other witnesses are probed later.
WITNESS_COUNT = 2
# If the witnesses are inconclusive, the check is repeated after this time, at most this many times.
# The crash evidence is then delayed, but not lost.
RECHECK_SECONDS = 0.25
MAX_RECHECKS = 4


def choose_witnesses(others: Sequence[str], rng: random.Random) -> list[str]:
    """Return a random sample of the other servers of a failure domain."""
    return rng.sample(others, min(WITNESS_COUNT, len(others)))


def witnesses_of(
    server: str,
    domain: str,
    live: Iterable[ServerRecord],
    has_crashed: Callable[[Start], bool],
    rng: random.Random,
) -> list[ServerRecord]:
    """Return the witnesses for a server: some live ones of its domain not known to have crashed.

    A server that is alone in its domain has witnesses in others: if those cannot be reached either,
    this VM may be partitioned from all servers.
    """
    others = {
        record.announcement.server: record
        for record in live
        if record.announcement.server != server and not has_crashed(record.start)
    }
    near = [name for name in others if others[name].announcement.failure_domain == domain]
    return [others[name] for name in choose_witnesses(sorted(near or others), rng)]


def indicates_partition(reached: Sequence[bool]) -> bool:
    """Return whether the domain, rather than the server, is unreachable, given the probe results.

    Without any other server there is no witness, so the server counts as crashed.
    """
    return bool(reached) and not any(reached)
