"""The next step of a request whose server is silent or gone, taken before that one is given up.

Silence proves nothing: an engine that reads a long prompt writes nothing to its streams meanwhile,
and one that waits for another engine stands still for over a second.  So an attempt is given up
for its silence only if the request can go on elsewhere, and many that wait for one server do not
all leave it for the one place or the one repeat that is left.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.gateway.attempts import STARTED_AGAIN
from siskinspoke.gateway.context import Gateway, Request, now_ms
from siskinspoke.gateway.placing import Placed
from siskinspoke.gateway.upstream import Broke

# Sendings that reached a server, and tries that reached none.  The latter cost some milliseconds
# each where a server is gone, and after a loss of many they are what finds those that are left.
MOST_TRIES = 6
MOST_UNREACHED = 24
# An attempt that has found no next step asks no sooner again than after this time: whoever looks at
# a failure domain that is cut off asks all attempts there, some ten times a second.  Milliseconds.
LEAST_PAUSE_MS = 150.0


class NoMore(Enum):
    """Why no other server is tried."""

    ATTEMPTS = "attempts_used"
    ONCE = "may_not_be_repeated"
    BUDGET = "budget_spent"
    PLACE = "no_place"
    TRIES = "tries_used"


class Step(NamedTuple):
    """Where a stream goes, and the number of its work in the books."""

    placed: Placed
    work: int | None


@dataclass
class Progress:
    """What the attempts of one request have used up, and what is taken for the next one.

    ``ran`` servers may have worked on it, ``arrivals`` sendings have reached one, ``unreached``
    have not, and ``lost`` servers were found to be gone.  ``failed`` servers get the request no
    more; those that were full or silent, ``put_off``, may once it has waited for room.
    """

    failed: set[str] = field(default_factory=set)
    put_off: set[str] = field(default_factory=set)
    ran: int = 0
    arrivals: int = 0
    unreached: int = 0
    lost: int = 0
    near_only: bool = False
    paid: bool = False
    next: Step | None = None

    @property
    def excluded(self) -> set[str]:
        """Return the servers that are passed over."""
        return self.failed | self.put_off

    def has_tries(self, tried: int) -> bool:
        """Tell whether so many tries, those that reached nobody among them, allow one more."""
        return tried - self.unreached < MOST_TRIES and self.unreached < MOST_UNREACHED

    def pay(self, gateway: Gateway, request: Request) -> bool:
        """Spend a repeat from the budget, unless it is the first sending or one is taken."""
        paid, self.paid = self.paid, False
        return paid or not self.arrivals or gateway.budget.take(request.service, now_ms())


class Onward:
    """Take the next step of a request for one attempt; say why there is none, once each.

    ``take_place`` takes a place at another server, and tells whether there was one.
    """

    def __init__(
        self,
        gateway: Gateway,
        request: Request,
        server: str,
        progress: Progress,
        take_place: Callable[[], bool],
    ):
        self._gateway = gateway
        self._request = request
        self._server = server
        self._progress = progress
        self._take_place = take_place
        self._said: set[NoMore] = set()
        self._ask_at = 0.0

    def move_on(self) -> bool:
        """Take the next step and return True, or return False: the server is still waited for."""
        if self._progress.paid:
            return True
        now = now_ms()
        if now < self._ask_at:
            return False
        why = self.obstacle
        if why is None and not self._take_place():
            why = NoMore.PLACE
        if why is not None:
            self._ask_at = now + LEAST_PAUSE_MS
            self._note(why)
            return False
        self._gateway.budget.take(self._request.service, now)
        self._progress.paid = True
        return True

    @property
    def obstacle(self) -> NoMore | None:
        """Return what forbids another attempt, whichever servers there are."""
        gateway, request, progress = self._gateway, self._request, self._progress
        if not request.route.repeatable:
            return NoMore.ONCE
        if progress.ran + 1 >= request.route.max_attempts:
            return NoMore.ATTEMPTS
        if not progress.has_tries(len(request.tried) + 1):
            return NoMore.TRIES
        if not gateway.budget.has_left(request.service, now_ms()):
            return NoMore.BUDGET
        return None

    def _note(self, why: NoMore) -> None:
        if why in self._said:
            return
        self._said.add(why)
        gateway, request, now = self._gateway, self._request, now_ms()
        record = gateway.directory.latest(self._server)
        gateway.counters.count(f"attempt.waits.{why.value}")
        gateway.log.note(
            "attempt.waits",
            request=request.call.id,
            server=self._server,
            why=why.value,
            events=request.events,
            left=round(request.left_ms(now)),
            leaving=record is None or record.announcement.leaving,
            unreachable=gateway.standing.is_unreachable(self._server),
        )


def has_ended(gateway: Gateway, server: ServerRecord, broke: Broke) -> bool:
    """Tell whether a server that broke off has surely ended its work on the request.

    One that cannot be reached may work on.  One that has said that it leaves, and then closes the
    connection, has ended: counted as an attempt, two that leave one after the other used up what
    most routes allow, and the stream was cut though other engines were well.
    """
    if broke.reason == STARTED_AGAIN:
        return True
    latest = gateway.directory.latest(server.announcement.server)
    return broke.closed and (latest is None or latest.announcement.leaving)
