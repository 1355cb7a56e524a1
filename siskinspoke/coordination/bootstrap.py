"""Determine whether a replica with an empty disk is a founder or has lost its data."""

import random

from siskinspoke.protocol.replication import Introduce, IntroduceReply

FOUNDER_INCARNATION = 1
MAX_INCARNATION = 2**62
INTRODUCE_INTERVAL_MS = 200.0


def new_incarnation(rng: random.Random) -> int:
    """Return a random disk incarnation that differs from that of founders.

    A collision with another disk is possible but negligibly unlikely.
    """
    return rng.randrange(FOUNDER_INCARNATION + 1, MAX_INCARNATION)


class Bootstrap:
    """Query the other replicas; become a founder if all are new, join the group otherwise.

    A replica may use the founders' incarnation only if it cannot have voted before. If it had, the
    candidate would have a term and would not be new. Only replies to a query of the current process
    run are valid, since an older reply may date from before the disk was lost.
    """

    def __init__(self, name: str, peers: list[str], rng: random.Random, now: float):
        self.next_query_at = now
        self._name = name
        self._peers = peers
        self._rng = rng
        self._run = rng.randrange(MAX_INCARNATION)
        self._fresh_peers: set[str] = set()

    def due_queries(self, now: float) -> list[tuple[str, Introduce]]:
        """Return the queries that are due, each with its recipient."""
        if now < self.next_query_at:
            return []
        self.next_query_at = now + INTRODUCE_INTERVAL_MS
        return [(peer, Introduce(self._name, self._run)) for peer in self._peers]

    def handle_reply(self, reply: IntroduceReply) -> int | None:
        """Process a reply and return the incarnation of this replica once it is known."""
        if reply.run != self._run:
            return None
        if not reply.fresh:
            return new_incarnation(self._rng)
        self._fresh_peers.add(reply.sender)
        return FOUNDER_INCARNATION if self._fresh_peers == set(self._peers) else None
