"""Detects stalls of this process, to estimate when requests read afterwards arrived.

A process that is frozen or gets no CPU reads a request only when it resumes, but the caller's
timeout starts when it sends. The request does not say when it arrived; a clock that is read
regularly tells since when it may have been waiting. Times are in seconds of a monotonic clock.
"""

import math

import trio

TICK_SECONDS = 0.05
# A tick later than this is a stall; on a busy VM timers fire a few milliseconds late.
STALL_SECONDS = 0.1
# A request that arrived during a stall is accepted, read and parsed a few event loop iterations
# after the stall has ended.
READ_DELAY_SECONDS = 0.2
# Half-life of the recorded lateness of timers.
LATENESS_HALF_LIFE_SECONDS = 2.0


class StallDetector:
    """The last stall of this process and the lateness of its timers, derived from ticks."""

    def __init__(self, now: float):
        self._ticked_at = now
        self._stall_began = -math.inf
        self._stall_ended = -math.inf
        self._lateness = 0.0

    def tick(self, now: float) -> None:
        """Record that the process is running; must be called every ``TICK_SECONDS``."""
        late = now - self._ticked_at - TICK_SECONDS
        if late > STALL_SECONDS:
            # A request may have waited through two stalls in quick succession, so merge them.
            is_continuation = self._ticked_at - self._stall_ended <= READ_DELAY_SECONDS
            self._stall_began = self._stall_began if is_continuation else self._ticked_at
            self._stall_ended = now
        decayed = self._lateness * 0.5 ** ((now - self._ticked_at) / LATENESS_HALF_LIFE_SECONDS)
        self._lateness = max(late, decayed)
        self._ticked_at = now

    def earliest_arrival(self, now: float) -> float:
        """Return the earliest time at which a request that is read now may have arrived."""
        if now - self._ticked_at - TICK_SECONDS > STALL_SECONDS:
            return self._ticked_at
        if now - self._stall_ended <= READ_DELAY_SECONDS:
            return self._stall_began
        return now

    @property
    def timer_lateness(self) -> float:
        """Return the recent maximum lateness of timers, which is never negative."""
        return max(0.0, self._lateness)


async def tick_forever(standstill: StallDetector) -> None:
    while True:
        standstill.tick(trio.current_time())
        await trio.sleep(TICK_SECONDS)
