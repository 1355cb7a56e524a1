"""Seeded traffic mixes modelled on the two example sites."""

import random
from collections.abc import Iterator
from typing import NamedTuple


class LengthBand(NamedTuple):
    """A share of requests with its ranges of prompt and output lengths, in tokens."""

    share: float
    low: int
    high: int
    low_output: int
    high_output: int


class Mix(NamedTuple):
    """The traffic of one site.

    ``shared_prefix_share`` is the fraction of a prompt that a customer's requests have in common,
    ``large_customer_share`` the share of traffic from the first ``large_customers`` customers, and
    ``call_share`` the share of plain service calls.
    """

    name: str
    bands: tuple[LengthBand, ...]
    customers: tuple[str, ...]
    large_customers: int
    large_customer_share: float
    shared_prefix_share: float
    call_share: float


class Arrival(NamedTuple):
    """A request in the open-loop schedule; ``due_seconds`` counts from the start."""

    due_seconds: float
    number: int
    customer: str
    prompt_tokens: int
    max_tokens: int
    template: int
    is_call: bool


_BANDS_PARANA = (
    LengthBand(0.70, 1_000, 4_000, 16, 64),
    LengthBand(0.20, 4_000, 20_000, 16, 64),
    LengthBand(0.08, 20_000, 100_000, 16, 64),
    LengthBand(0.018, 100_000, 400_000, 16, 64),
    LengthBand(0.002, 400_000, 1_000_000, 16, 64),
)

_BANDS_VAKIF = (
    LengthBand(0.85, 1_000, 3_000, 16, 64),
    LengthBand(0.10, 3_000, 20_000, 16, 64),
    LengthBand(0.03, 20_000, 100_000, 16, 64),
    LengthBand(0.018, 100_000, 300_000, 16, 64),
    LengthBand(0.002, 300_000, 1_000_000, 16, 64),
)


def _customers(prefix: str) -> tuple[str, ...]:
    return tuple(f"{prefix}-{number}" for number in range(1, 11))


MIXES = {
    "litoral": Mix("litoral", _BANDS_PARANA, _customers("municipio"), 3, 0.6, 0.3, 0.05),
    "marmara": Mix("marmara", _BANDS_VAKIF, _customers("klinik"), 3, 0.6, 0.3, 0.05),
}


def draw_length(mix: Mix, rng: random.Random) -> tuple[int, int]:
    """Return random prompt and output lengths, in tokens."""
    weights = [band.share for band in mix.bands]
    band = rng.choices(mix.bands, weights)[0]
    # Log-uniform, so that lengths are not concentrated near the upper bound of a band.
    ratio = band.high / band.low
    prompt = int(band.low * ratio ** rng.random())
    return prompt, rng.randint(band.low_output, band.high_output)


def draw_customer(mix: Mix, rng: random.Random) -> str:
    """Return a random customer; a few large ones send most of the traffic."""
    if rng.random() < mix.large_customer_share:
        return mix.customers[rng.randrange(mix.large_customers)]
    return rng.choice(mix.customers)


def arrivals(mix: Mix, rate: float, count: int, seed: int) -> Iterator[Arrival]:
    """Yield a Poisson schedule of ``count`` requests at ``rate`` per second."""
    rng = random.Random(seed)
    at = 0.0
    for number in range(count):
        at += rng.expovariate(rate)
        prompt, output = draw_length(mix, rng)
        yield Arrival(
            at,
            number,
            draw_customer(mix, rng),
            prompt,
            output,
            rng.randrange(4),
            rng.random() < mix.call_share,
        )


def mean_prompt_tokens(mix: Mix, seed: int = 1, samples: int = 20_000) -> float:
    """Estimate the mean prompt length of a mix by sampling."""
    rng = random.Random(seed)
    return sum(draw_length(mix, rng)[0] for _ in range(samples)) / samples
