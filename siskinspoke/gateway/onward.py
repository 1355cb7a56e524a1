"""Whether another server may take a request over from the one that has it now.

Silence proves nothing: an engine that reads a long prompt writes nothing to its streams meanwhile,
and one that waits for another engine stands still for over a second.  So an attempt is given up
for its silence only if the request can go on elsewhere at that moment.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.coordination.standing import Trouble
from siskinspoke.gateway.attempts import STARTED_AGAIN, UNREACHABLE
from siskinspoke.gateway.context import Gateway, Request, now_ms


class NoMore(Enum):
    """Why no other server is tried."""

    ATTEMPTS = "attempts_used"
    ONCE = "may_not_be_repeated"
    BUDGET = "budget_spent"
    PLACE = "no_place"
    TRIES = "tries_used"


@dataclass
class Progress:
    """What the attempts of one request have used up.

    ``ran`` servers may have worked on it, ``arrivals`` sendings have reached one, ``unreached``
    have not, and ``lost`` servers were found to be gone.
    """

    excluded: set[str] = field(default_factory=set)
    ran: int = 0
    arrivals: int = 0
    unreached: int = 0
    lost: int = 0
    near_only: bool = False


class Onward:
    """Tell, for one attempt, whether the request may leave its server; say why not, once each."""

    def __init__(
        self,
        gateway: Gateway,
        request: Request,
        server: str,
        progress: Progress,
        has_other: Callable[[], bool],
    ):
        self._gateway = gateway
        self._request = request
        self._server = server
        self._progress = progress
        self._has_other = has_other
        self._said: set[NoMore] = set()

    def may_move(self) -> bool:
        """Tell whether another server may be tried and one can take the request now."""
        return self._is_free(self.obstacle or self._obstacle_now())

    def may_move_to_better(self) -> bool:
        """Tell the same where another server is known to be there."""
        return self._is_free(self.obstacle)

    @property
    def obstacle(self) -> NoMore | None:
        """Return what forbids another attempt, whichever servers there are."""
        gateway, route = self._gateway, self._request.route
        if not route.repeatable:
            return NoMore.ONCE
        if self._progress.ran + 1 >= route.max_attempts:
            return NoMore.ATTEMPTS
        if not gateway.budget.has_left(self._request.service, now_ms()):
            return NoMore.BUDGET
        return None

    def _obstacle_now(self) -> NoMore | None:
        return None if self._has_other() else NoMore.PLACE

    def _is_free(self, why: NoMore | None) -> bool:
        if why is not None and why not in self._said:
            self._said.add(why)
            self._note(why)
        return why is None

    def _note(self, why: NoMore) -> None:
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


def has_ended(gateway: Gateway, server: ServerRecord, trouble: Trouble, reason: str) -> bool:
    """Tell whether a server that broke off has surely ended its work on the request.

    One that cannot be reached may work on.  One that has said that it leaves, and then closes the
    connection, has ended: counted as an attempt, two that leave one after the other used up what
    most routes allow, and the stream was cut though other engines were well.
    """
    if reason == STARTED_AGAIN:
        return True
    if trouble is not Trouble.BROKEN or reason == UNREACHABLE:
        return False
    latest = gateway.directory.latest(server.announcement.server)
    return latest is None or latest.announcement.leaving
