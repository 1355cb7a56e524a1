"""Authentication of HTTP requests between the system's processes: a MAC of path and body."""

import hmac
from hashlib import blake2b

SEAL_HEADER = "X-Siskinspoke-Seal"


def compute_seal(key: bytes, path: str, body: bytes) -> str:
    """Return the value of a request's seal header."""
    digest = blake2b(key=key[:64], digest_size=16)
    digest.update(path.encode() + b"\n")
    digest.update(body)
    return digest.hexdigest()


def verify_seal(key: bytes, path: str, body: bytes, given: str | None) -> bool:
    """Tell whether ``given`` is the seal of a request's path and body."""
    return given is not None and hmac.compare_digest(given, compute_seal(key, path, body))
