"""A leader's view of the other replicas: replication progress, leases and quorum checks."""

import math
from collections.abc import Callable, Iterable

IsCounted = Callable[[str, int], bool]


class Progress:
    """The replication progress and lease of one other replica."""

    def __init__(self, next_index: int, now: float):
        self.next_index = next_index
        self.match = 0
        self.incarnation = 0
        self.heard_at = now
        self.in_flight_until = 0.0
        self.leased_from = -math.inf


class Followers:
    """The progress of all other replicas.

    ``is_counted`` returns whether a replica's disk, given by replica name and incarnation, belongs
    to a member and so counts towards a quorum.
    """

    def __init__(self, peers: list[str], next_index: int, now: float, is_counted: IsCounted):
        self._progress = {peer: Progress(next_index, now) for peer in peers}
        self._is_counted = is_counted

    def __iter__(self):
        return iter(self._progress.items())

    def find(self, name: str) -> Progress | None:
        """Return the progress of one replica, or None."""
        return self._progress.get(name)

    def follow(self, names: Iterable[str], next_index: int, now: float) -> None:
        """Start to track new replicas, and stop tracking those not named."""
        wanted = set(names)
        for name in wanted - self._progress.keys():
            self._progress[name] = Progress(next_index, now)
        for name in self._progress.keys() - wanted:
            del self._progress[name]

    def last_heard_at(self, name: str) -> float:
        """Return the time at which a replica was last heard from."""
        return self._progress[name].heard_at

    def _counted_items(self) -> list[tuple[str, Progress]]:
        return [
            pair
            for pair in self._progress.items()
            if self._is_counted(pair[0], pair[1].incarnation)
        ]

    def heard_since(self, since: float) -> int:
        """Return the number of replicas heard from after ``since``.

        A new replica counts as heard from at the time when tracking began.
        """
        return sum(
            item.heard_at > since
            for name, item in self._progress.items()
            if not item.incarnation or self._is_counted(name, item.incarnation)
        )

    def replicated_index(self, needed: int, own: int | None) -> int:
        """Return the highest index stored on more than ``needed`` counted disks, or 0.

        ``own`` is the leader's last index, None if its own disk does not count.
        """
        matches = [item.match for _, item in self._counted_items()]
        if own is not None:
            matches.append(own)
        matches.sort(reverse=True)
        return matches[needed] if len(matches) > needed else 0

    def quorum_lease_start(self, needed: int) -> float:
        """Return the latest time at or after which ``needed`` counted leases start, or -inf."""
        times = sorted((item.leased_from for _, item in self._counted_items()), reverse=True)
        return times[needed - 1] if len(times) >= needed else -math.inf

    def confirmed_since(self, since: float, needed: int, confirmed_by: str | None) -> bool:
        """Return whether at least ``needed`` counted followers have confirmed the leader.

        A follower has if its lease starts at ``since`` or later, or if it is ``confirmed_by``.
        """
        confirmed = (
            name == confirmed_by or item.leased_from >= since
            for name, item in self._counted_items()
        )
        return sum(confirmed) >= needed

    def most_up_to_date(self) -> str | None:
        """Return the counted follower with the most of the log, or None."""
        ranked = [(item.match, name) for name, item in self._counted_items()]
        return max(ranked)[1] if ranked else None
