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
from siskinspoke.coordination.left_out import LeftOut
from siskinspoke.coordination.standing import Trouble
from siskinspoke.gateway.attempts import SLOW, STARTED_AGAIN
from siskinspoke.gateway.context import Gateway, Request, now_ms
from siskinspoke.gateway.placing import Placed
from siskinspoke.gateway.upstream import Broke, NotRun

# Sendings that reached a server, and tries that reached none.  The latter cost some milliseconds
# each where a server is gone, and after a loss of many they are what finds those that are left.
MOST_TRIES = 6
MOST_UNREACHED = 24
# An attempt that has found no next step asks no sooner again than after this time: whoever looks at
# a failure domain that is cut off asks all attempts there, some ten times a second.  Milliseconds.
LEAST_PAUSE_MS = 150.0
# A step is used within a tick, unless a slow caller holds its stream up just then; a server that
# leaves must get nothing new after some seconds.  Milliseconds.
STALE_MS = 300.0


class NoMore(Enum):
    """Why no other server is tried."""

    ATTEMPTS = "attempts_used"
    ONCE = "may_not_be_repeated"
    BUDGET = "budget_spent"
    PLACE = "no_place"
    TRIES = "tries_used"
    QUARANTINE = "servers_crash_under_it"


class Step(NamedTuple):
    """Where a stream goes, the number of its work in the books, and when that was decided."""

    placed: Placed
    work: int | None
    at: float

    def is_stale(self, now: float) -> bool:
        """Tell whether the place was taken too long ago: its server may be drained by now."""
        return now - self.at > STALE_MS


@dataclass
class Progress:
    """What the attempts of one request have used up, and what is taken for the next one.

    ``ran`` servers may have worked on it, ``arrivals`` sendings have reached one, ``unreached``
    have not, and ``lost`` servers were found to be gone, or said nothing.  ``paid`` says that the
    repeat of the next sending is taken from the budget, ``next`` where a stream then goes.
    ``open`` attempts are under way: one of a stream, several of a plain call, of which ``refused``
    were not run.
    """

    left_out: LeftOut = field(default_factory=LeftOut)
    ran: int = 0
    arrivals: int = 0
    unreached: int = 0
    lost: int = 0
    near_only: bool = False
    open: int = 1
    refused: int = 0
    paid: bool = False
    next: Step | None = None
    # Whether the last sending was paid for with a repeat.
    spent: bool = False

    def has_tries(self, tried: int) -> bool:
        """Tell whether so many tries, those that reached nobody among them, allow one more."""
        return tried - self.unreached < MOST_TRIES and self.unreached < MOST_UNREACHED

    def count(self, gateway: Gateway, server: ServerRecord, outcome: object) -> None:
        """Count what became of a sending: any outcome but ``NotRun`` and ``Broke`` is an answer."""
        match outcome:
            case NotRun(trouble=Trouble.HELD):
                self.hold_back()
            case NotRun(arrived=arrived):
                self.arrivals += arrived
            case Broke(gone=gone):
                self.arrivals += 1
                self.ran += not has_ended(gateway, server, outcome)
                self.lost += gone or outcome.reason == SLOW
            case _:
                self.arrivals += 1
                self.ran += 1

    def pay(self, gateway: Gateway, request: Request) -> bool:
        """Pay for the next sending with a repeat of the budget, unless it is the first, or paid."""
        self.spent = self.paid
        if not self.paid and self.arrivals:
            self.spent = gateway.budget.take(request.service, now_ms())
            return self.spent
        self.paid = False
        return True

    def hold_back(self) -> None:
        """Take in that a sending was held back; what was paid for it pays for the next one."""
        self.paid = self.paid or self.spent
        self.spent = False

    def use_step(self, gateway: Gateway) -> Step | None:
        """Return the step that was taken for the next attempt, if there is one and it is fresh.

        The repeat that is paid for it pays for any other place as well.
        """
        step = self.next
        if step is None or step.is_stale(now_ms()):
            self._give_back_place(gateway)
            return None
        self.next = None
        self.spent, self.paid = self.paid, False
        return step

    def _give_back_place(self, gateway: Gateway) -> None:
        step, self.next = self.next, None
        if step is not None and step.work is not None:
            gateway.peers.ended(step.work)

    def give_back(self, gateway: Gateway, request: Request) -> None:
        """Give back what was taken for an attempt that is not needed."""
        self._give_back_place(gateway)
        if self.paid:
            gateway.budget.give_back(request.service, now_ms())
        self.paid = False


class Onward:
    """Take the next step of a request for one attempt; say why there is none, once each.

    ``take_place`` finds another server, takes a place there where places are kept in the books,
    and tells whether it found one.
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
        """Take the next step and return True, or return False: the server is still waited for.

        Who is told True gives the server up at once, or gives the step back.
        """
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
        if progress.ran + progress.open >= request.route.max_attempts:
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
        gateway.counters.count(f"attempt.waits.{why.value}")
        gateway.log.note(
            "attempt.waits",
            request=request.call.id,
            server=self._server,
            why=why.value,
            events=request.events,
            left=round(request.left_ms(now)),
            leaving=gateway.directory.has_left(self._server),
            unreachable=gateway.standing.is_unreachable(self._server),
        )


def has_ended(gateway: Gateway, server: ServerRecord, broke: Broke) -> bool:
    """Tell whether a server that broke off has surely ended its work on the request.

    One that cannot be reached may work on.  One that has said that it leaves, and then closes the
    connection, has ended: counted as an attempt, two that leave one after the other used up what
    most routes allow, and the stream was cut though other engines were well.  The same holds for
    the neighbours of a request that crashes one server after the other, and for whoever a cut has
    parted from a whole failure domain: it resets both ends of their connections.
    """
    if broke.reason == STARTED_AGAIN or gateway.crashes.has_crashed(server.start):
        return True
    said = server.announcement
    is_cut = gateway.domains.is_cut(said.failure_domain, now_ms())
    return broke.closed and (is_cut or gateway.directory.has_left(said.server))
