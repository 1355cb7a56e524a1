"""Tests for decoding the restrictions in server responses."""

import pytest

from siskinspoke.platform.calls import PlatformWire
from siskinspoke.transport.http1 import ResponseHead


def restrictions(*headers: tuple[bytes, bytes], status: int = 200):
    """Return the restrictions in a response with these headers."""
    return PlatformWire().decode_answer(ResponseHead(status, list(headers))).restrictions


class TestBackOff:
    """A refusal may state for how many seconds its server accepts no requests of this VM."""

    @pytest.mark.parametrize("status", [503, 429])
    def test_seconds(self, status):
        assert restrictions((b"Retry-After", b"1.5"), status=status).back_off_ms == 1_500

    def test_other_statuses_are_ignored(self):
        assert restrictions((b"Retry-After", b"1"), status=200).back_off_ms is None

    @pytest.mark.parametrize(
        "value", [b"", b"-1", b"nan", b"inf", b"9" * 400, b"Wed, 21 Oct 2026 07:28:00 GMT"]
    )
    def test_anything_else_is_unreadable(self, value):
        found = restrictions((b"Retry-After", value), status=503)
        assert found.back_off_ms is None
        assert found.unreadable == ("back_off",)


class TestLeaving:
    """A leaving server says so in all its responses."""

    @pytest.mark.parametrize(("value", "leaving"), [(b"1", True), (b"0", False), (b"", False)])
    def test_value(self, value, leaving):
        assert restrictions((b"Server-Leaving", value)).leaving is leaving


class TestRateLimit:
    """A rate limit is a decimal number; any other value is ignored."""

    @pytest.mark.parametrize(
        ("value", "rate"), [(b"1", 1.0), (b"0.5", 0.5), (b"12.25", 12.25), (b"0", 0.0)]
    )
    def test_decimal_number(self, value, rate):
        assert restrictions((b"Server-Limit", value)).rate_limit == rate

    @pytest.mark.parametrize(
        "value",
        [b"", b"many", b"-1", b"nan", b"inf", b"1e999", b"1_0", b"1,5", b"9" * 400, b"\xff"],
    )
    def test_anything_else_is_unreadable(self, value):
        found = restrictions((b"Server-Limit", value))
        assert found.rate_limit is None
        assert found.unreadable == ("rate_limit",)

    def test_no_header(self):
        assert restrictions().rate_limit is None
        assert not restrictions().unreadable
