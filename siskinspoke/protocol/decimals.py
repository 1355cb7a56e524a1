"""Decimal numbers in headers that other programs write."""

import math
import re

_DECIMAL = re.compile(r"[0-9.eE+-]{1,40}")


def decimal(text: str | None) -> float | None:
    """Return a number of zero and more, None where there is none or the text is something else."""
    if text is None or not _DECIMAL.fullmatch(text):
        return None
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None
