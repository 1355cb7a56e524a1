"""Adaptive timeouts for leader failure detection and elections.

An election succeeds only if the timeout exceeds the time that the election takes, which depends on
the disks and processors of the group. The configured timeout is the minimum. Timeouts increase with
the delays that this replica measures; the election timeout also backs off after each lost election
whose pre-vote had succeeded.
"""

import random

from siskinspoke.coordination.delays import RecentDelays
from siskinspoke.coordination.replica_types import Times

# A reply waits for one event loop iteration on each side, and for an iteration in progress.
LOOP_ITERATIONS_PER_REPLY = 3.0
# A voter's sync may queue behind one in progress, and its disk may be slower than the local one.
SYNCS_PER_VOTE = 3.0
ROUND_TRIPS_PER_REPLY = 2.0
# Bounds the effect of measured delays, as a multiple of the configured timeout: longer delays are
# treated as an outage.
MAX_DELAY_FACTOR = 8.0
MAX_BACKOFF_FACTOR = 8.0


class ElectionTimer:
    """Compute timeouts in milliseconds from the configured times and from measured delays."""

    def __init__(self, times: Times, rng: random.Random):
        self.turn_delays = RecentDelays()
        self.sync_durations = RecentDelays()
        self.round_trips = RecentDelays()
        self._minimum_ms = times.election_ms
        self._rng = rng
        self._backoff = 1.0

    def follower_timeout(self, now: float) -> float:
        """Return the randomized time without a message from a leader before an election starts."""
        return self._randomize(
            self._clamp(LOOP_ITERATIONS_PER_REPLY * self.turn_delays.second_longest(now))
        )

    def vote_timeout(self, now: float) -> float:
        """Return the randomized time to wait for an election result once the vote is durable.

        The backoff widens the range instead of shifting it.  All replicas of a group that has split
        its votes wait at the same time, so a range that grows with its lower end would keep them
        together for longer without parting them.
        """
        turns = LOOP_ITERATIONS_PER_REPLY * self.turn_delays.second_longest(now)
        syncs = SYNCS_PER_VOTE * self.sync_durations.longest(now)
        return self._clamp(turns + syncs) * self._rng.uniform(1, 2 * self._backoff)

    def leader_timeout(self, now: float) -> float:
        """Return the time without replies from a majority after which a leader steps down."""
        turns = LOOP_ITERATIONS_PER_REPLY * self.turn_delays.second_longest(now)
        round_trips = ROUND_TRIPS_PER_REPLY * self.round_trips.second_longest(now)
        return self._clamp(max(turns, round_trips))

    def increase_backoff(self) -> None:
        """Double the timeout of the next election, up to a limit."""
        self._backoff = min(MAX_BACKOFF_FACTOR, self._backoff * 2)

    def reset_backoff(self) -> None:
        """Reset the backoff after a leader was found."""
        self._backoff = 1.0

    def _clamp(self, milliseconds: float) -> float:
        return min(max(self._minimum_ms, milliseconds), self._minimum_ms * MAX_DELAY_FACTOR)

    def _randomize(self, milliseconds: float) -> float:
        return milliseconds * self._rng.uniform(1, 2)
