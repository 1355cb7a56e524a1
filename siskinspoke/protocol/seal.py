"""Message authentication between the system's processes with a shared key.

A seal is a keyed BLAKE2b digest in front of the body. It proves that the sender holds the key; it
neither encrypts the body nor prevents replays. The protocols on top tolerate replays:
announcements by their sequence number, replication messages by term and index.
"""

import hmac
from hashlib import blake2b

from expression import Error, Ok, Result

SEAL_BYTES = 16


def _digest(key: bytes, body: bytes) -> bytes:
    return blake2b(body, key=key[:64], digest_size=SEAL_BYTES).digest()


def seal(key: bytes, body: bytes) -> bytes:
    """Return the body prefixed with its seal."""
    return _digest(key, body) + body


def unseal(key: bytes, data: bytes) -> bytes | None:
    """Return the body of a sealed message, or None if the seal is invalid.

    Daemons call this for every message; a Result would cost 30 microseconds more.
    """
    given, body = data[:SEAL_BYTES], data[SEAL_BYTES:]
    return body if hmac.compare_digest(given, _digest(key, body)) else None


def open_sealed(key: bytes, data: bytes) -> Result[bytes, str]:
    """Return the body of a sealed message, or an error if the seal is invalid."""
    body = unseal(key, data)
    return Error("invalid seal") if body is None else Ok(body)
