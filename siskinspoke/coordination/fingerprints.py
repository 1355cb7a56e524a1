"""Tell whether two requests are the same, whoever of the VMs has them.

A caller that asks again has another request id each time, and may ask any VM.  What stays the
same is the customer, the target and the body.
"""

import hashlib
from dataclasses import dataclass
from functools import cached_property

import xxhash

DIGEST_BYTES = 16
SHAPE_DIGITS = 16


@dataclass(frozen=True)
class Subject:
    """What makes two requests the same."""

    customer: str
    target: str
    body: bytes | str

    @cached_property
    def shape(self) -> str:
        """Return what equal requests share, without reading the body."""
        parts = f"{self.customer}\0{self.target}\0{len(self.body)}"
        return xxhash.xxh64_hexdigest(parts.encode())

    @cached_property
    def fingerprint(self) -> str:
        """Return what only equal requests share, after their shape; it reads the whole body.

        The hash is a cryptographic one: nobody can make up a request that is taken for another.
        """
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for part in (self.customer.encode(), self.target.encode()):
            digest.update(len(part).to_bytes(4, "big"))
            digest.update(part)
        digest.update(self.body.encode() if isinstance(self.body, str) else self.body)
        return self.shape + digest.hexdigest()


def shape_of(fingerprint: str) -> str:
    """Return the shape of the requests that have a fingerprint."""
    return fingerprint[:SHAPE_DIGITS]
