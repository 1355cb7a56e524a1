"""When a prompt leaves the cell that it came to, and which of other cells' offers it takes."""

from collections.abc import Iterable

from siskinspoke.coordination.placement import Place

# So many cells are asked.
ASKED_CELLS = 4
# A cell is short for a prompt whose first token is expected later than this part of its target.
# Expectations are off by a third, so beyond it one in ten first tokens comes late.
SHORT_FROM = 0.6
# Another cell must be better by this factor: a prompt that leaves its own adds to the work of a
# cell that it is not dealt to.
BETTER_BY = 0.8


def is_short(found: Place | None, target_ms: float) -> bool:
    """Tell whether a prompt should be offered to other cells."""
    return found is None or found.first_token_ms > SHORT_FROM * target_ms


def best_offer(found: Place | None, offers: Iterable[Place]) -> Place | None:
    """Return the soonest offer if it is better than what the own cell has found, or None."""
    best = min(offers, key=lambda place: place.first_token_ms, default=None)
    if best is None or found is None:
        return best
    return best if best.first_token_ms <= BETTER_BY * found.first_token_ms else None
