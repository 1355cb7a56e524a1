"""Which services had no room for a prompt a moment ago."""

from typing import NamedTuple

# Many that wait for room in one fleet learn the same: after one has found none, the others do not
# look for so long.  A look costs about 1 ms with 23 engines, and 200 silent streams of one VM that
# each looked five times a second took all of its processor.  Milliseconds.
FULL_MS = 100.0


class _Full(NamedTuple):
    tokens: int
    at: float


class Fullness:
    """Remember for a moment that a service was full; times are in milliseconds."""

    def __init__(self) -> None:
        self._full: dict[str, _Full] = {}

    def note(self, service: str, tokens: int, now: float) -> None:
        """Note that no engine of a service had room for a prompt of so many tokens."""
        self._full[service] = _Full(tokens, now)

    def is_full(self, service: str, tokens: int, now: float) -> bool:
        """Tell whether a prompt of so many tokens need not be tried at a service now."""
        found = self._full.get(service)
        return found is not None and tokens >= found.tokens and now - found.at < FULL_MS
