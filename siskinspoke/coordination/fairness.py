"""Fair sharing of the fleet between customers, by tokens of work rather than requests."""

import math
from dataclasses import dataclass

OUTPUT_TOKEN_WEIGHT = 4
IDLE_USAGE_TOKENS = 1.0
EXCESS_PENALTY = 8.0


def work_tokens(prompt_tokens: int, max_tokens: int) -> int:
    """Return the work of a request in prefill tokens; an output token counts as several."""
    return prompt_tokens + OUTPUT_TOKEN_WEIGHT * max_tokens


@dataclass(slots=True)
class _Usage:
    amount: float
    at: float


class FairShares:
    """Track each customer's recent work, which decays exponentially with a time constant.

    The customer with the least work per weight is always admitted while the fleet can serve
    anything; one above its fair share is admitted only while waiting times are short.
    """

    def __init__(self, window_ms: float):
        self._window_ms = window_ms
        self._usage: dict[str, _Usage] = {}

    def set_window(self, window_ms: float) -> None:
        """Change the time constant after a configuration change."""
        self._window_ms = window_ms

    def usage(self, customer: str, now: float) -> float:
        """Return a customer's recent work, decayed to ``now``."""
        item = self._usage.get(customer)
        if item is None:
            return 0.0
        return item.amount * math.exp(-(now - item.at) / self._window_ms)

    def record(self, customer: str, work: float, now: float) -> None:
        """Add admitted work."""
        self._usage[customer] = _Usage(self.usage(customer, now) + work, now)

    def ratio(self, customer: str, weights: dict[str, float], now: float) -> float:
        """Return the ratio of a customer's work to its fair share among active customers."""
        active = {}
        for name in list(self._usage):
            used = self.usage(name, now)
            if used < IDLE_USAGE_TOKENS:
                del self._usage[name]
            elif name in weights:
                active[name] = used
        total = sum(active.values())
        if not total or customer not in active:
            return 0.0
        weight_sum = sum(weights[name] for name in active)
        share = weights[customer] / weight_sum
        return active[customer] / (total * share)


def max_backlog_ms(ratio: float, limit_ms: float) -> float:
    """Return the longest backlog at which a customer is admitted.

    ``ratio`` is the customer's work over its fair share.  Up to 1 the limit applies unchanged.
    Above 1 the allowed backlog shrinks as the ratio grows, so that a customer's burst is refused
    before it delays others.
    """
    if ratio <= 1:
        return limit_ms
    return limit_ms / (1 + EXCESS_PENALTY * (ratio - 1))
