"""Evacuations of failure domains: whose servers get no new requests until an operator ends it.

The table is part of the replicated state.  It changes only by orders from the replicated log, so
all replicas agree on it, and the later of two crossing orders wins.
"""

from typing import NamedTuple

from siskinspoke.protocol.evacuations import Evacuation


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
        self._revision = 0

    @property
    def revision(self) -> int:
        """Return the log index of the last order that changed anything, 0 before the first."""
        return self._revision

    @property
    def evacuations(self) -> list[Evacuation]:
        """Return the evacuations in force, by failure domain."""
        return [self._evacuations[domain] for domain in sorted(self._evacuations)]

    def apply(self, order: EvacuationOrder, index: int, now_ms: int) -> EvacuationAnswer:
        """Apply an order from the log; ``now_ms`` is the replicated clock, in Unix milliseconds."""
        changed = order.begin != (order.domain in self._evacuations)
        if changed:
            self._revision = index
            if order.begin:
                evacuation = Evacuation(order.domain, index, now_ms, order.accepted_by)
                self._evacuations[order.domain] = evacuation
            else:
                del self._evacuations[order.domain]
        return EvacuationAnswer(changed, self._revision)

    def to_document(self) -> dict:
        """Return the table for a snapshot."""
        return {"revision": self._revision, "evacuations": self.evacuations}

    def load(self, document: dict | None) -> None:
        """Replace the table with that of a snapshot; builds without evacuations stored none."""
        stored = document or {"revision": 0, "evacuations": []}
        self._revision = stored["revision"]
        self._evacuations = {item[0]: Evacuation(*item) for item in stored["evacuations"]}
