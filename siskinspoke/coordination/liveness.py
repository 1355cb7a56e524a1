"""When an awaited answer is overdue, and which servers are worth a look because of it.

A server that has lost its power, or that a cut has parted from this VM, says nothing: each
request there waits until its own patience ends, a second or more, and so does each request of
each other VM.  A look is a new connection, which a sound server's machine accepts within some
milliseconds however busy the server is, so it tells the two apart within a twentieth of a second.
"""

import math
from dataclasses import dataclass

# A first token is overdue at the time at which it was expected: then there is time for another try.
LEAST_FIRST_MS = 60.0
# An event is overdue after so many passes of its engine, and at least after this time: passes
# take 50 ms with short prompts alone, and twice that when a long one is read beside them.
PASSES_DUE = 1.7
LEAST_EVENT_MS = 90.0
# A whole answer is overdue after so many times what is usual at its service.
USUAL_DUE = 2.0
LEAST_WHOLE_MS = 80.0
# A look, or a connection for a request, that came about proves a server sound for so long: those
# that several requests ask for at once are one.
REACHED_MS = 50.0
# One answer that is overdue causes a look this often.
OVERDUE_AGAIN_MS = 250.0
# One that could not be is looked at again after this time, until it can be.
UNREACHED_MS = 500.0

# A connection within a site takes 3 to 5 ms; a lost opening packet is sent again after a second.
LEAST_CONNECT_MS = 50.0
MOST_CONNECT_MS = 200.0
# Gains of the mean and of the mean deviation, and deviations beyond the mean, as TCP has them for
# its retransmissions, but for twice as many deviations: to give up wrongly costs a whole prompt.
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATIONS = 8.0


def first_due_ms(expected_ms: float) -> float:
    """Return how long after its sending a first token is overdue."""
    return max(LEAST_FIRST_MS, expected_ms)


def event_due_ms(pass_ms: float) -> float:
    """Return how long after an event the next one is overdue; a pass writes one."""
    return max(LEAST_EVENT_MS, PASSES_DUE * pass_ms)


def whole_due_ms(usual_ms: float) -> float:
    """Return how long after its sending a whole answer is overdue."""
    return max(LEAST_WHOLE_MS, USUAL_DUE * usual_ms)


class ConnectTimer:
    """Learn how long connections take, and from when on one will not come; in milliseconds.

    On links that are slow or full an opening packet waits behind what is being sent, 80 ms behind
    one configuration at 10 Mbit/s, and sound servers would be taken for lost.  The time is the mean
    and a multiple of the mean deviation, as for a retransmission.
    """

    def __init__(self) -> None:
        self._mean: float | None = None
        self._deviation = 0.0

    def took(self, ms: float) -> None:
        """Note how long a connection has taken."""
        if self._mean is None:
            self._mean, self._deviation = ms, ms / 2
            return
        error = ms - self._mean
        self._mean += MEAN_GAIN * error
        self._deviation += DEVIATION_GAIN * (abs(error) - self._deviation)

    @property
    def give_up_ms(self) -> float:
        """Return how long a connection is waited for."""
        if self._mean is None:
            return MOST_CONNECT_MS
        wanted = self._mean + DEVIATIONS * self._deviation
        return min(MOST_CONNECT_MS, max(LEAST_CONNECT_MS, wanted))


# While no server was found lost for a time, what is overdue is waited for so many times as long.
# Where all servers are well nearly all first tokens come within this time, and a look costs a
# connection.  Losses come several at a time: the first is found a little later for this, and those
# beside it as soon as before.
CALM_PATIENCE = 1.7
ALARM_MS = 10_000.0


@dataclass(slots=True)
class _Look:
    at: float
    under_way: bool = True
    reached: bool = True


class Looks:
    """Remember who was looked at, by server and start; times are in milliseconds."""

    def __init__(self) -> None:
        self._looks: dict[tuple[str, int], _Look] = {}
        self._alarmed_at = -math.inf

    def alarm(self, now: float) -> None:
        """Note that a server was found lost, by this VM or another one."""
        self._alarmed_at = now

    def patience(self, now: float) -> float:
        """Return how many times the time in which an answer is due to wait for it."""
        return 1.0 if now - self._alarmed_at < ALARM_MS else CALM_PATIENCE

    def wanted(self, start: tuple[str, int], now: float) -> bool:
        """Tell whether a look at a server would teach anything now."""
        look = self._looks.get(start)
        if look is None:
            return True
        wait = REACHED_MS if look.reached else UNREACHED_MS
        return not look.under_way and now - look.at >= wait

    def began(self, start: tuple[str, int], now: float) -> None:
        """Note that a look is under way."""
        self._looks[start] = _Look(now)

    def ended(self, start: tuple[str, int], reached: bool, now: float) -> None:
        """Note what a look has shown."""
        self._looks[start] = _Look(now, under_way=False, reached=reached)

    def drop(self, start: tuple[str, int]) -> None:
        """Forget a look that was broken off."""
        self._looks.pop(start, None)

    def forget(self, now: float) -> None:
        """Drop looks that are too old to matter."""
        for start, look in list(self._looks.items()):
            if not look.under_way and now - look.at > UNREACHED_MS:
                del self._looks[start]
