"""Limits the new connections that a VM reads while its processor cannot keep up.

The load pattern behind this is most new connections of a failure domain at one VM. Each request
that is read takes processor time from those that were read before, so a VM that reads all of them
answers none in time. Connections beyond the limit are closed unread, and their clients retry at
other VMs. The limit follows how late the VM's timers fire; times are in milliseconds.
"""

import math

# Length of an interval for which the limit holds.
INTERVAL_MS = 50.0
# The event loop is overloaded if timers are later than this, and has time left below the other.
OVERLOADED_LATE_MS = 60.0
IDLE_LATE_MS = 30.0
# Consecutive overloaded intervals after which connections are limited: a pause of the process is
# one, and the start of all VMs may cause a few.
OVERLOADED_INTERVALS = 3
DECREASE = 0.8
INCREASE = 0.5
# Consecutive intervals with fewer connections than the limit after which there is none.
CALM_INTERVALS = 20


class ConnectionLimit:
    """How many new connections may be read in each interval."""

    def __init__(self) -> None:
        self._limit = math.inf
        self._admitted = 0
        self._offered = 0
        self._overloaded = 0
        self._calm = 0

    @property
    def is_limited(self) -> bool:
        """Return whether connections beyond the limit are closed unread."""
        return self._limit < math.inf

    @property
    def per_interval(self) -> float:
        """Return the limit of an interval, which may be infinite."""
        return self._limit

    def admit(self, waiting: int) -> int:
        """Return how many of the waiting connections are read in this interval."""
        admitted = waiting
        if self.is_limited:
            admitted = min(waiting, max(0, int(self._limit) - self._admitted))
        self._offered += waiting
        self._admitted += admitted
        return admitted

    def end_interval(self, late_ms: float) -> None:
        """Adjust the limit to how late the timer at the end of an interval fired."""
        self._overloaded = self._overloaded + 1 if late_ms > OVERLOADED_LATE_MS else 0
        if self.is_limited:
            self._adjust(late_ms)
        elif self._overloaded >= OVERLOADED_INTERVALS and self._admitted > 1:
            self._limit = max(1.0, DECREASE * self._admitted)
            self._calm = 0
        self._admitted = self._offered = 0

    def _adjust(self, late_ms: float) -> None:
        is_calm = late_ms < IDLE_LATE_MS and self._offered < self._limit
        self._calm = self._calm + 1 if is_calm else 0
        if self._calm >= CALM_INTERVALS:
            self._limit = math.inf
        elif late_ms > OVERLOADED_LATE_MS:
            self._limit = max(1.0, DECREASE * self._limit)
        elif late_ms < IDLE_LATE_MS:
            self._limit += INCREASE
