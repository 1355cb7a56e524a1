"""Decimal numbers in headers received from other programs."""

import math
import re

_DECIMAL_PATTERN = re.compile(r"[0-9.eE+-]{1,40}")


def parse_decimal(text: str | None) -> float | None:
    """Parse a finite non-negative number; return None if the text is missing or invalid."""
    if text is None or not _DECIMAL_PATTERN.fullmatch(text):
        return None
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None
