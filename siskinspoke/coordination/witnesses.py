"""Tell a server that crashed from a failure domain that is cut off.

A firewall before a failure domain may reset the connections that cross it and refuse new ones, and
a rack that loses its power does the same while its machines start.  To one VM each server there
looks like a dead process: it ended the connection and now refuses.  What tells the two apart is
the others of the domain.  Where one of them takes connections, the server alone has crashed.
Answers load pattern: all servers of a failure domain end and refuse in the same moment.
"""

import random
from collections.abc import Callable, Iterable, Sequence

from siskinspoke.coordination.crashes import Start
from siskinspoke.coordination.directory import ServerRecord

# So many others of the failure domain are asked.  That both of them have just crashed as well is
# unlikely; where it happens, others are asked again.
WITNESSES = 2
# Where nobody can tell, the question is asked again after this time, so many times: the evidence is
# late then, but not lost.  Seconds.
ASK_AGAIN_SECONDS = 0.25
ASK_AGAIN = 4


def choose_witnesses(others: Sequence[str], rng: random.Random) -> list[str]:
    """Return who is asked among the other servers of a failure domain."""
    return rng.sample(others, min(WITNESSES, len(others)))


def witnesses_of(
    server: str,
    domain: str,
    live: Iterable[ServerRecord],
    has_crashed: Callable[[Start], bool],
    rng: random.Random,
) -> list[ServerRecord]:
    """Return who is asked about a server: some of its domain, but none known to have crashed."""
    others = {
        record.announcement.server: record
        for record in live
        if record.announcement.failure_domain == domain
        and record.announcement.server != server
        and not has_crashed(record.start)
    }
    return [others[name] for name in choose_witnesses(sorted(others), rng)]


def speaks_for_cut(reached: Sequence[bool]) -> bool:
    """Tell whether a refusal is the domain's rather than the server's, by who was reached.

    A server that is the only one of its domain has no witness, and has crashed as far as anybody
    can tell.
    """
    return bool(reached) and not any(reached)
