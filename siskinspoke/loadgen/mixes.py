"""Seeded mixes of requests like those of the two users."""

import random
from collections.abc import Iterator
from typing import NamedTuple


class LengthBand(NamedTuple):
    """A share of requests whose prompts lie between two lengths, in tokens."""

    share: float
    low: int
    high: int
    low_output: int
    high_output: int


class Mix(NamedTuple):
    """What one user's traffic looks like.

    ``shared`` is the part of a prompt that customers reuse, ``large`` the share of traffic of
    the few large customers, ``calls`` the share of calls to the plain service.
    """

    name: str
    bands: tuple[LengthBand, ...]
    customers: tuple[str, ...]
    large_customers: int
    large: float
    shared: float
    calls: float


class Arrival(NamedTuple):
    """One request of the open-loop schedule; ``at`` is seconds from the start."""

    at: float
    number: int
    customer: str
    prompt_tokens: int
    max_tokens: int
    template: int
    call: bool


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
    """Return prompt and output tokens of one request."""
    weights = [band.share for band in mix.bands]
    band = rng.choices(mix.bands, weights)[0]
    # Uniform in the logarithm, so that a band is not all near its upper end.
    ratio = band.high / band.low
    prompt = int(band.low * ratio ** rng.random())
    return prompt, rng.randint(band.low_output, band.high_output)


def draw_customer(mix: Mix, rng: random.Random) -> str:
    """Return a customer; a few large ones send most of the traffic."""
    if rng.random() < mix.large:
        return mix.customers[rng.randrange(mix.large_customers)]
    return rng.choice(mix.customers)


def arrivals(mix: Mix, rate: float, count: int, seed: int) -> Iterator[Arrival]:
    """Yield a Poisson schedule of ``count`` requests at ``rate`` a second."""
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
            rng.random() < mix.calls,
        )


def mean_prompt_tokens(mix: Mix, seed: int = 1, samples: int = 20_000) -> float:
    """Return the mean prompt length of a mix, by sampling."""
    rng = random.Random(seed)
    return sum(draw_length(mix, rng)[0] for _ in range(samples)) / samples
