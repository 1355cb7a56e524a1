"""Compare predicted and actual first-token times of prompts, by decision, from gateway logs.

For a placement the error is by how much the first token came later than predicted.  For a retry it
matters whether the token still met its target, and for a move whether the stream kept its maximum
pause; both show in the number of successful requests.
"""

from collections.abc import Iterable, Sequence
from enum import Enum
from typing import NamedTuple

from siskinspoke.analysis.losses import RequestLine

QUANTILES = (0.1, 0.5, 0.8, 0.9, 0.98)


class Decision(Enum):
    """What was decided for a prompt after it was received; the first match applies."""

    MOVED = "moved ahead of a long prefill"
    RETRIED = "retried elsewhere: first token late"
    RESUMED = "resumed elsewhere after an interruption"
    UNCHANGED = "completed where it was placed"


# Prefixes of attempts' outcomes in the log, and the decisions that followed.
_DECISIONS_BY_OUTCOME = (
    ("its engine reads", Decision.MOVED),
    ("no answer in time", Decision.RETRIED),
    ("complete", Decision.UNCHANGED),
)


def classify_decision(line: RequestLine) -> Decision:
    """Return the decision taken for a prompt."""
    for _server, outcome, _at in line.tried:
        for prefix, decision in _DECISIONS_BY_OUTCOME:
            if outcome.startswith(prefix):
                return decision
        return Decision.RESUMED
    return Decision.UNCHANGED


def first_token_error_ms(line: RequestLine) -> float | None:
    """Return how much later than predicted the first token of the last attempt came."""
    if line.first is None or line.expected is None or not line.tried:
        return None
    began = line.tried[-2][2] if len(line.tried) > 1 else 0.0
    return line.first - began - line.expected if line.first >= began else None


class DecisionStats(NamedTuple):
    """Requests, successful requests and first-token errors of one decision."""

    decision: Decision
    request_count: int
    success_count: int
    errors_ms: Sequence[float]

    @property
    def row(self) -> str:
        """Return the table row of this decision."""
        quantiles = "  ".join(f"{_quantile(self.errors_ms, q):7.0f}" for q in QUANTILES)
        return f"{self.request_count:6} {self.success_count:6}  {quantiles}  {self.decision.value}"


def _quantile(values: Sequence[float], fraction: float) -> float:
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def collect_stats(lines: Iterable[RequestLine]) -> list[DecisionStats]:
    """Return the statistics of all prompts by decision."""
    by_decision: dict[Decision, list[RequestLine]] = {}
    for line in lines:
        if line.is_stream:
            by_decision.setdefault(classify_decision(line), []).append(line)
    return [
        DecisionStats(
            decision,
            len(decided),
            sum(line.is_successful for line in decided),
            [error_ms for line in decided if (error_ms := first_token_error_ms(line)) is not None],
        )
        for decision in Decision
        if (decided := by_decision.get(decision))
    ]


def format_table(stats: Iterable[DecisionStats]) -> str:
    """Return the statistics as text, with quantiles of the errors in milliseconds."""
    headings = "  ".join(f"{q:7.0%}" for q in QUANTILES)
    rows = [f" total     ok  {headings}  first token later than predicted (ms), decision"]
    return "\n".join([*rows, *(item.row for item in stats)])
