"""Tests of parsing numbers in headers."""

import pytest

from siskinspoke.protocol.decimals import parse_decimal


class TestDecimal:
    """All notations of a finite non-negative number are accepted, and nothing else."""

    @pytest.mark.parametrize(
        ("text", "number"),
        [("1", 1.0), ("0", 0.0), ("0.5", 0.5), (".5", 0.5), ("5.", 5.0), ("1e-05", 1e-05)],
    )
    def test_numbers(self, text, number):
        assert parse_decimal(text) == number

    def test_all_digits_of_a_float(self):
        """Guards against ignoring a limit with sixteen decimal places."""
        assert parse_decimal(repr(1 / 3)) == 1 / 3
        assert parse_decimal(repr(2 / 3 * 1e-7)) == 2 / 3 * 1e-7

    @pytest.mark.parametrize(
        "text",
        [None, "", "-1", "nan", "inf", "1e999", "1_0", "1,5", "0x1", "1 2", "9" * 41, "e", "٣"],
    )
    def test_anything_else(self, text):
        assert parse_decimal(text) is None
