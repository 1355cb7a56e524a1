"""Know that this process stood still, and what that says of the requests it reads next.

A process that is frozen, or gets no processor, reads a request only when it goes on.  Its caller
counts from the sending.  Nothing in the request tells when it came, but a clock that is looked at
often tells since when it may have been waiting.  Times are in seconds of one monotonic clock.
"""

import math

import trio

TICK_SECONDS = 0.05
# A tick that is later than this is a standstill; timers of a busy VM fire some milliseconds late.
LATE_SECONDS = 0.1
# A request that came meanwhile is accepted, read and parsed some turns of the loop after its end.
READ_SECONDS = 0.2
# Half of the lateness of timers that is remembered fades in this time.
FADE_SECONDS = 2.0


class Standstill:
    """When this process last stood still, and how late its timers are, from the ticks it had."""

    def __init__(self, now: float):
        self._ticked_at = now
        self._began = -math.inf
        self._ended = -math.inf
        self._lateness = 0.0

    def tick(self, now: float) -> None:
        """Note that the process runs; this is to be called every ``TICK_SECONDS``."""
        late = now - self._ticked_at - TICK_SECONDS
        if late > LATE_SECONDS:
            # Two standstills with a moment between them are one for whoever has waited since.
            is_one = self._ticked_at - self._ended <= READ_SECONDS
            self._began = self._began if is_one else self._ticked_at
            self._ended = now
        faded = self._lateness * 0.5 ** ((now - self._ticked_at) / FADE_SECONDS)
        self._lateness = max(late, faded)
        self._ticked_at = now

    def arrival(self, now: float) -> float:
        """Return the earliest time at which a request that is read now may have come."""
        if now - self._ticked_at - TICK_SECONDS > LATE_SECONDS:
            return self._ticked_at
        if now - self._ended <= READ_SECONDS:
            return self._began
        return now

    @property
    def lateness(self) -> float:
        """Return by how much timers were late at most, of late; never negative."""
        return max(0.0, self._lateness)


async def tick_forever(standstill: Standstill) -> None:
    """Tick forever."""
    while True:
        standstill.tick(trio.current_time())
        await trio.sleep(TICK_SECONDS)
