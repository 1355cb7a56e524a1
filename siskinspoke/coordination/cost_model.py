"""Cost model of a model engine that computes in passes.  Pure functions, without state."""

from collections.abc import Iterable
from typing import NamedTuple

from siskinspoke.coordination.routes import EngineCosts

PAIRS_PER_MILLION = 1_000_000


class DecodingStream(NamedTuple):
    """A decoding stream, with the context length that each of its steps attends to."""

    context_tokens: int


def prefill_ms(costs: EngineCosts, tokens: int, parts: int = 1) -> float:
    """Return the time in which one engine prefills its part of a prompt.

    Tokens and attention pairs (a token with an earlier one) are divided evenly among the parts.
    """
    pairs = tokens * tokens / 2 / PAIRS_PER_MILLION
    return (tokens / costs.read_tokens_per_ms + pairs * costs.pair_ms_per_million) / parts


def pass_ms(costs: EngineCosts, writers: Iterable[DecodingStream]) -> float:
    """Return the time of a pass that decodes these streams and does no prefill."""
    streams, context = 0, 0
    for writer in writers:
        streams += 1
        context += writer.context_tokens
    if not streams:
        return 0.0
    step = costs.step_ms + streams * costs.stream_step_ms
    return costs.pass_steps * (step + context / 1000 * costs.context_step_ms_per_k)
