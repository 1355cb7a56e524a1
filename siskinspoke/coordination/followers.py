"""What a leader knows of the other replicas, and what that proves."""

import math
from collections.abc import Callable, Iterable

Counts = Callable[[str, int], bool]


class Progress:
    """What a leader knows of one other replica."""

    def __init__(self, next_index: int, now: float):
        self.next_index = next_index
        self.match = 0
        self.incarnation = 0
        self.heard_at = now
        self.in_flight_until = 0.0
        self.leased_from = -math.inf


class Followers:
    """The progress of all other replicas; ``counts`` tells whether a disk is a member's."""

    def __init__(self, peers: list[str], next_index: int, now: float, counts: Counts):
        self._items = {peer: Progress(next_index, now) for peer in peers}
        self._counts = counts

    def __iter__(self):
        return iter(self._items.items())

    def find(self, name: str) -> Progress | None:
        """Return the progress of one replica."""
        return self._items.get(name)

    def follow(self, names: Iterable[str], next_index: int, now: float) -> None:
        """Begin to keep the progress of new replicas, and drop that of replicas not named."""
        wanted = set(names)
        for name in wanted - self._items.keys():
            self._items[name] = Progress(next_index, now)
        for name in self._items.keys() - wanted:
            del self._items[name]

    def silent_since(self, name: str) -> float:
        """Return when a replica was last heard."""
        return self._items[name].heard_at

    def _counted(self) -> list[tuple[str, Progress]]:
        return [pair for pair in self._items.items() if self._counts(pair[0], pair[1].incarnation)]

    def heard_since(self, since: float) -> int:
        """Return how many have answered since a time; one that is new has until then to answer."""
        return sum(
            item.heard_at > since
            for name, item in self._items.items()
            if not item.incarnation or self._counts(name, item.incarnation)
        )

    def held_by(self, needed: int, own: int | None) -> int:
        """Return the highest index that more than ``needed`` counted disks hold, or 0.

        ``own`` is the leader's last index, None where its own disk does not count.
        """
        matches = [item.match for _, item in self._counted()]
        if own is not None:
            matches.append(own)
        matches.sort(reverse=True)
        return matches[needed] if len(matches) > needed else 0

    def leased_from(self, needed: int) -> float:
        """Return the time from which ``needed`` counted followers had heard the leader."""
        times = sorted((item.leased_from for _, item in self._counted()), reverse=True)
        return times[needed - 1] if len(times) >= needed else -math.inf

    def confirmed_since(self, since: float, needed: int, confirmed_by: str | None) -> bool:
        """Tell whether at least ``needed`` counted followers have confirmed the leader.

        A follower counts if its lease starts at ``since`` or later, or if it is ``confirmed_by``.
        """
        confirmed = (
            name == confirmed_by or item.leased_from >= since for name, item in self._counted()
        )
        return sum(confirmed) >= needed

    def best(self) -> str | None:
        """Return the counted follower that holds most."""
        ranked = [(item.match, name) for name, item in self._counted()]
        return max(ranked)[1] if ranked else None
