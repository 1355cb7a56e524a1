"""Identifies equal requests across VMs.

A caller that retries uses a new request id each time and may send to any VM. The customer, the
target and the body stay the same.
"""

import hashlib
from dataclasses import dataclass, field
from functools import cached_property

import xxhash

DIGEST_BYTES = 16
SHAPE_DIGITS = 16


@dataclass(frozen=True)
class RequestIdentity:
    """The properties of a request that decide whether it equals another one.

    ``parts`` name what its prompt shares with those of other requests; they are not compared.
    """

    customer: str
    target: str
    body: bytes | str
    parts: tuple[str, ...] = field(default=(), compare=False)

    @cached_property
    def shape(self) -> str:
        """Return a hash that equal requests share, computed without reading the body."""
        parts = f"{self.customer}\0{self.target}\0{len(self.body)}"
        return xxhash.xxh64_hexdigest(parts.encode())

    @cached_property
    def fingerprint(self) -> str:
        """Return the shape plus a digest that only equal requests share; reads the whole body.

        The digest is cryptographic, so a request cannot be forged to be taken for another one.
        """
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for part in (self.customer.encode(), self.target.encode()):
            digest.update(len(part).to_bytes(4, "big"))
            digest.update(part)
        digest.update(self.body.encode() if isinstance(self.body, str) else self.body)
        return self.shape + digest.hexdigest()


def shape_of(fingerprint: str) -> str:
    """Return the shape of the requests with a given fingerprint."""
    return fingerprint[:SHAPE_DIGITS]
