"""Decide when a prompt is offered to other cells, and which of their offers it takes."""

from collections.abc import Iterable

from siskinspoke.coordination.placement import Place

# Number of other cells that are asked for an offer.
ASKED_CELLS = 4
# A cell lacks room for a prompt if the first token is expected after this share of its target.
# Estimates are off by a third, so beyond this share one in ten first tokens is late.
MAX_TARGET_SHARE = 0.6
# Another cell's estimate must be at most this multiple of the own cell's: a prompt that leaves its
# own cell adds to the work of a cell that it is not assigned to.
MAX_OFFER_RATIO = 0.8


def lacks_room(own_place: Place | None, target_ms: float) -> bool:
    """Return whether a prompt should be offered to other cells."""
    return own_place is None or own_place.first_token_ms > MAX_TARGET_SHARE * target_ms


def best_offer(own_place: Place | None, offers: Iterable[Place]) -> Place | None:
    """Return the offer with the earliest first token if it beats the own cell's place, or None."""
    best = min(offers, key=lambda place: place.first_token_ms, default=None)
    if best is None or own_place is None:
        return best
    return best if best.first_token_ms <= MAX_OFFER_RATIO * own_place.first_token_ms else None
