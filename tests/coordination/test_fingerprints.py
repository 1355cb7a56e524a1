"""Tests of how a request is known again."""

from dataclasses import replace

from siskinspoke.coordination.fingerprints import Subject, shape_of

ONE = Subject("acme", "shop.example/stream/x", b"a prompt")


class TestSubject:
    """Customer, target and body make two requests the same, and nothing else does."""

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

    def test_parts_do_not_run_into_each_other(self):
        """A customer could otherwise have another one's request taken for its own."""
        one = Subject("ab", "c", b"d")
        assert one.fingerprint != Subject("a", "bc", b"d").fingerprint
        assert one.fingerprint != Subject("ab", "", b"cd").fingerprint

    def test_shape_does_not_read_the_body(self):
        """Bodies reach megabytes, and every request is compared while something is suspected."""
        assert replace(ONE, body=b"A PROMPT").shape == ONE.shape
        assert replace(ONE, body=b"a prompt!").shape != ONE.shape

    def test_fingerprint_begins_with_the_shape(self):
        assert shape_of(ONE.fingerprint) == ONE.shape
