"""Tokens with which a caller resumes a stream at any entry VM, without shared state.

A token contains customer, request, attempt and backend server, sealed with the shared key.
Only the customer that it names may use it.
"""

import base64
import binascii
from typing import NamedTuple

import msgspec
from expression import Error, Ok, Result

from siskinspoke.core.codes import Failure, ResultCode
from siskinspoke.protocol.claims import Target
from siskinspoke.protocol.seal import open_sealed, seal


class StreamToken(NamedTuple):
    """The identity of a running stream."""

    customer: str
    request: str
    attempt: int
    max_tokens: int
    target: Target
    reservation: str
    helpers: list[Target]


def issue_token(token: StreamToken, key: bytes) -> str:
    """Return the sealed token as text."""
    return base64.urlsafe_b64encode(seal(key, msgspec.json.encode(token))).decode()


def read_token(text: str, customer: str, key: bytes) -> Result[StreamToken, Failure]:
    """Return a token of this customer; one of another customer counts as unknown."""
    unknown = Error(Failure(ResultCode.UNKNOWN_STREAM, "no such stream of this customer"))
    try:
        opened = open_sealed(key, base64.urlsafe_b64decode(text.encode()))
        if opened.is_error():
            return unknown
        token = msgspec.json.decode(opened.ok, type=StreamToken)
    except (msgspec.MsgspecError, binascii.Error, ValueError):
        return unknown
    return Ok(token) if token.customer == customer else unknown
