"""Decimal numbers in headers that other programs write."""

import re

# A longer one would round to infinity, or take long to read.
_DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")


def decimal(text: str | None) -> float | None:
    """Return a number of zero and more, None where there is none or the text is something else."""
    return float(text) if text is not None and _DECIMAL.fullmatch(text) else None
