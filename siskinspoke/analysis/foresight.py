"""Say from gateways' logs how far decisions on prompts were off: what was foreseen, and what came.

The regret of a placement is by how much the first token came later than expected, that of a second
try whether it was in time all the same, and that of a move whether the stream kept its pause.
"""

from collections.abc import Iterable, Sequence
from enum import Enum
from typing import NamedTuple

from siskinspoke.analysis.losses import RequestLine

SHARES = (0.1, 0.5, 0.8, 0.9, 0.98)


class Decision(Enum):
    """What was decided on a prompt after it had come; the first that fits is taken."""

    MOVED = "moved before a long reading"
    SECOND_TRY = "tried elsewhere, since its first token was late"
    RESUMED = "resumed elsewhere after a break"
    STAYED = "stayed where it was placed"


# What an attempt's outcome begins with, and the decision that it led to.
_OUTCOMES = (
    ("its engine reads", Decision.MOVED),
    ("no answer in time", Decision.SECOND_TRY),
    ("complete", Decision.STAYED),
)


def decision_of(line: RequestLine) -> Decision:
    """Return what was decided on a prompt."""
    for _server, outcome, _at in line.tried:
        for begins, decision in _OUTCOMES:
            if outcome.startswith(begins):
                return decision
        return Decision.RESUMED
    return Decision.STAYED


def regret_ms(line: RequestLine) -> float | None:
    """Return by how much a first token came later than expected at its last attempt."""
    if line.first is None or line.expected is None or not line.tried:
        return None
    began = line.tried[-2][2] if len(line.tried) > 1 else 0.0
    return line.first - began - line.expected if line.first >= began else None


class Regret(NamedTuple):
    """One decision's prompts: how many, how many of them ended well, and their regrets."""

    decision: Decision
    asked: int
    well: int
    regrets: Sequence[float]

    @property
    def row(self) -> str:
        """Return the row of a table."""
        spread = "  ".join(f"{_quantile(self.regrets, share):7.0f}" for share in SHARES)
        return f"{self.asked:6} {self.well:6}  {spread}  {self.decision.value}"


def _quantile(values: Sequence[float], share: float) -> float:
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def regrets_of(lines: Iterable[RequestLine]) -> list[Regret]:
    """Return the regrets of all prompts by decision."""
    by_decision: dict[Decision, list[RequestLine]] = {}
    for line in lines:
        if line.is_stream:
            by_decision.setdefault(decision_of(line), []).append(line)
    return [
        Regret(
            decision,
            len(found),
            sum(line.is_good for line in found),
            [regret for line in found if (regret := regret_ms(line)) is not None],
        )
        for decision in Decision
        if (found := by_decision.get(decision))
    ]


def table(regrets: Iterable[Regret]) -> str:
    """Return the regrets as text; milliseconds by share of the prompts."""
    heads = "  ".join(f"{share:7.0%}" for share in SHARES)
    rows = [f" asked   well  {heads}  first token later than expected, ms, and decision"]
    return "\n".join([*rows, *(item.row for item in regrets)])
