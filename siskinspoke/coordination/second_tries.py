"""When a short prompt that still has no first token is worth a second try elsewhere.

A server may take a request in and never answer, while it takes connections and answers its other
requests.  Nothing but the time shows it.  A second try pays only while it can still bring the
first token within the target; in an overload none can, and would add to the load.
"""

from typing import NamedTuple

# Nearly all first tokens come within this many times what was expected.  Most doubts are put off
# until little of the target is left.
DOUBT_FACTOR = 1.3
# Nor must it wait for a moment that is nearer than this: second thoughts come every 20 ms, and
# the one after would be too late.
LAST_MOMENT_MS = 25.0


class Move(NamedTuple):
    """Whether to try elsewhere now; if not, ``again_ms`` later it is worth another thought."""

    now: bool
    again_ms: float = 0.0


def doubt_after_ms(expected_ms: float) -> float:
    """Return how long after its sending a missing first token is a reason for doubt."""
    return DOUBT_FACTOR * expected_ms


def move(left_ms: float, best_ms: float | None, margin_ms: float) -> Move | None:
    """Return whether to try elsewhere, or None where no second try would be in time.

    ``left_ms`` is the time left of the target, ``best_ms`` what the best other server needs,
    None where there is none.  ``margin_ms`` is by how much first tokens come later than that.
    While there is time the first server has it: most that are late still come.
    """
    if best_ms is None or best_ms > left_ms:
        return None
    spare_ms = left_ms - best_ms - margin_ms
    if spare_ms <= LAST_MOMENT_MS:
        return Move(now=True)
    return Move(now=False, again_ms=spare_ms - LAST_MOMENT_MS)
