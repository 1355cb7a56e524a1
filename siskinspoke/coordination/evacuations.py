"""Evacuations of failure domains: whose servers get no new requests until an operator ends it.

The table is part of the replicated state.  It changes only by orders from the replicated log, so
all replicas agree on it, and the later of two crossing orders wins.
"""

from collections.abc import Iterable
from typing import NamedTuple

from siskinspoke.protocol.evacuations import Evacuation, EvacuationState

# A repeat of an accepted order must not be refused because the servers that made its failure domain
# known are gone; the domains of the latest orders therefore stay known.
MAX_ORDERED_DOMAINS = 1_000
MAX_DOMAIN_LENGTH = 128


def is_valid_domain(name: str) -> bool:
    """Return whether a name can be that of a failure domain: 1 to 128 printable characters."""
    return 0 < len(name) <= MAX_DOMAIN_LENGTH and name.isprintable()


class EvacuationOrder(NamedTuple):
    """An operator's order to begin or end the evacuation of a failure domain.

    ``accepted_by`` is the control VM that received the order.
    """

    domain: str
    begin: bool
    accepted_by: str


class EvacuationAnswer(NamedTuple):
    """Whether an order changed anything, and the revision that is now current."""

    changed: bool
    revision: int


class EvacuationTable:
    """The failure domains that are evacuated; the revision grows with each change."""

    def __init__(self) -> None:
        self._evacuations: dict[str, Evacuation] = {}
        self._ordered: dict[str, None] = {}
        self._revision = 0

    @property
    def revision(self) -> int:
        """Return the log index of the last order that changed anything, 0 before the first."""
        return self._revision

    @property
    def evacuations(self) -> list[Evacuation]:
        """Return the evacuations in force, by failure domain."""
        return [self._evacuations[domain] for domain in sorted(self._evacuations)]

    @property
    def domains(self) -> frozenset[str]:
        """Return the failure domains that are evacuated."""
        return frozenset(self._evacuations)

    @property
    def state(self) -> EvacuationState:
        """Return the message that tells followers the whole table."""
        return EvacuationState(self._revision, self.evacuations)

    def is_in_force(self, order: EvacuationOrder) -> bool:
        """Return whether an order would change nothing."""
        return order.begin == (order.domain in self._evacuations)

    def has_ordered(self, domain: str) -> bool:
        """Return whether one of the latest orders named a failure domain."""
        return domain in self._ordered or domain in self._evacuations

    def apply(self, order: EvacuationOrder, index: int, now_ms: int) -> EvacuationAnswer:
        """Apply an order from the log; ``now_ms`` is the replicated clock, in Unix milliseconds."""
        self._remember(order.domain)
        changed = not self.is_in_force(order)
        if changed:
            self._revision = index
            if order.begin:
                evacuation = Evacuation(order.domain, index, now_ms, order.accepted_by)
                self._evacuations[order.domain] = evacuation
            else:
                del self._evacuations[order.domain]
        return EvacuationAnswer(changed, self._revision)

    def _remember(self, domain: str) -> None:
        self._ordered.pop(domain, None)
        self._ordered[domain] = None
        if len(self._ordered) > MAX_ORDERED_DOMAINS:
            del self._ordered[next(iter(self._ordered))]

    def to_document(self) -> dict:
        """Return the table for a snapshot."""
        return {
            "revision": self._revision,
            "evacuations": self.evacuations,
            "ordered": list(self._ordered),
        }

    def load(self, document: dict | None) -> None:
        """Replace the table with that of a snapshot; builds without evacuations stored none."""
        stored = document or {"revision": 0, "evacuations": []}
        self._revision = stored["revision"]
        self._evacuations = {item[0]: Evacuation(*item) for item in stored["evacuations"]}
        self._ordered = dict.fromkeys(stored.get("ordered", []))


class ObeyedEvacuations:
    """The evacuations that an entry VM obeys: the newest state that any control VM has sent."""

    def __init__(self) -> None:
        self._state = EvacuationState(0, [])
        self._domains: frozenset[str] = frozenset()

    @property
    def revision(self) -> int:
        """Return the revision of the state, 0 before the first one."""
        return self._state.revision

    @property
    def domains(self) -> frozenset[str]:
        """Return the failure domains whose servers get no new requests."""
        return self._domains

    def update(self, state: EvacuationState) -> bool:
        """Apply a state unless a newer one is known; return whether it was applied.

        A control VM that lags or is partitioned sends older states, which would undo an order.
        """
        if state.revision <= self._state.revision:
            return False
        self._state = state
        self._domains = frozenset(item.domain for item in state.evacuations)
        return True


def fully_evacuated(servers: Iterable[tuple[str, str]], domains: frozenset[str]) -> frozenset[str]:
    """Return the services all of whose servers are in evacuated failure domains.

    ``servers`` are pairs of a service and the failure domain of one of its servers.
    """
    known, left = set(), set()
    for service, domain in servers:
        known.add(service)
        if domain not in domains:
            left.add(service)
    return frozenset(known - left)
