"""Tests of the header of forwarded requests."""

import base64

import pytest

from siskinspoke.protocol.forwarding import (
    ForwardedCall,
    decode_forwarded,
    digest_of,
    encode_forwarded,
)

KEY = b"k"
CALL = ForwardedCall(
    "10.0.0.1",
    7,
    "r1",
    "shop.example",
    "key",
    "engines",
    2_500.0,
    12.5,
    (3_000, 200),
    "4",
    1,
    1,
    digest_of("POST", "/x", b"body"),
)


class TestForwardedCall:
    """Guards against requests that are taken for a peer's although no VM has sent them."""

    def test_call_is_decoded(self):
        assert decode_forwarded(KEY, encode_forwarded(KEY, CALL)) == CALL

    def test_other_key_is_rejected(self):
        assert decode_forwarded(b"other", encode_forwarded(KEY, CALL)) is None

    @pytest.mark.parametrize("value", [b"", b"x", b"%%%", base64.b64encode(b"0" * 40)])
    def test_other_values_are_rejected(self, value):
        assert decode_forwarded(KEY, value) is None

    def test_changed_value_is_rejected(self):
        value = encode_forwarded(KEY, CALL)
        changed = value[:60] + (b"A" if value[60:61] != b"A" else b"B") + value[61:]
        assert decode_forwarded(KEY, changed) is None

    def test_digest_covers_method_target_and_body(self):
        digests = {
            digest_of(*call)
            for call in [("POST", "/x", b"b"), ("PUT", "/x", b"b"), ("POST", "/y", b"b")]
        }
        assert len(digests | {digest_of("POST", "/x", b"c")}) == 4
