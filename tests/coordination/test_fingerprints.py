"""Tests of request fingerprints."""

from dataclasses import replace

from siskinspoke.coordination.fingerprints import Subject, shape_of

ONE = Subject("acme", "shop.example/stream/x", b"a prompt")


class TestSubject:
    """Only customer, target and body decide whether two requests are equal."""

    def test_same_request(self):
        again = Subject("acme", "shop.example/stream/x", b"a prompt")
        assert again.fingerprint == ONE.fingerprint
        assert again.shape == ONE.shape

    def test_other_requests(self):
        others = [
            replace(ONE, customer="other"),
            replace(ONE, target="shop.example/stream/y"),
            replace(ONE, body=b"a prompT"),
            replace(ONE, body=b""),
        ]
        assert ONE.fingerprint not in {item.fingerprint for item in others}

    def test_parts_are_delimited(self):
        """Otherwise a customer could have another one's request taken for its own."""
        one = Subject("ab", "c", b"d")
        assert one.fingerprint != Subject("a", "bc", b"d").fingerprint
        assert one.fingerprint != Subject("ab", "", b"cd").fingerprint

    def test_shape_does_not_read_the_body(self):
        """Bodies may have megabytes, and every request is compared while there are suspects."""
        assert replace(ONE, body=b"A PROMPT").shape == ONE.shape
        assert replace(ONE, body=b"a prompt!").shape != ONE.shape

    def test_fingerprint_begins_with_the_shape(self):
        assert shape_of(ONE.fingerprint) == ONE.shape
