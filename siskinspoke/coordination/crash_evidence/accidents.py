"""How unlikely it is that a server crashes during a run by chance."""

import math

# A crash that hits a run by chance with probability p has the weight log(K * p ** (K - 1)), a
# p-to-e calibrator. Under chance alone its exponential has the mean 1, so a request that meets many
# unrelated crashes gathers no weight: the probability that it ever reaches weight w is at most
# exp(-w).
CALIBRATOR_KAPPA = 0.3
# Maximum weight of one crash, about that of a probability of 1 in 400.
MAX_CRASH_WEIGHT = 3.0


def crash_chance(ran_ms: float, crashes_per_ms: float) -> float:
    """Return the probability of a crash by chance during a run, given the usual crash rate."""
    return -math.expm1(-crashes_per_ms * max(1.0, ran_ms))


def accident_weight(ran_ms: float, crashes_per_ms: float) -> float:
    """Return the weight of a crash as evidence against one of the requests open there."""
    chance = crash_chance(ran_ms, crashes_per_ms)
    weight = math.log(CALIBRATOR_KAPPA) + (CALIBRATOR_KAPPA - 1) * math.log(chance)
    return min(MAX_CRASH_WEIGHT, weight)
