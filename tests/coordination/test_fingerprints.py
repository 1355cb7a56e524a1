"""Tests of request fingerprints."""

from dataclasses import replace

from siskinspoke.coordination.fingerprints import RequestIdentity, shape_of

SUBJECT = RequestIdentity("acme", "shop.example/stream/x", b"a prompt")


class TestSubject:
    """Only customer, target and body decide whether two requests are equal."""

    def test_same_request(self):
        again = RequestIdentity("acme", "shop.example/stream/x", b"a prompt")
        assert again.fingerprint == SUBJECT.fingerprint
        assert again.shape == SUBJECT.shape

    def test_other_requests(self):
        others = [
            replace(SUBJECT, customer="other"),
            replace(SUBJECT, target="shop.example/stream/y"),
            replace(SUBJECT, body=b"a prompT"),
            replace(SUBJECT, body=b""),
        ]
        assert SUBJECT.fingerprint not in {item.fingerprint for item in others}

    def test_parts_are_delimited(self):
        """Otherwise a customer could have another one's request taken for its own."""
        one = RequestIdentity("ab", "c", b"d")
        assert one.fingerprint != RequestIdentity("a", "bc", b"d").fingerprint
        assert one.fingerprint != RequestIdentity("ab", "", b"cd").fingerprint

    def test_shape_does_not_read_the_body(self):
        """Bodies may have megabytes, and every request is compared while there are suspects."""
        assert replace(SUBJECT, body=b"A PROMPT").shape == SUBJECT.shape
        assert replace(SUBJECT, body=b"a prompt!").shape != SUBJECT.shape

    def test_fingerprint_begins_with_the_shape(self):
        assert shape_of(SUBJECT.fingerprint) == SUBJECT.shape
