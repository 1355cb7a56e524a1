"""A codec for typed messages: a JSON list of the message's name and its fields."""

from typing import Any, TypeVar

import msgspec
from expression import Error, Ok, Result

_types: dict[str, type] = {}

T = TypeVar("T", bound=type)


def message(cls: T) -> T:
    """Register a NamedTuple as a message that may travel between processes."""
    _types[cls.__name__] = cls
    return cls


def encode_message(item: Any) -> bytes:
    """Return the bytes of a registered message."""
    return msgspec.json.encode([type(item).__name__, item])


def decode_message(data: bytes) -> Result[Any, str]:
    """Return the message that the bytes hold, or why they hold none."""
    try:
        name, fields = msgspec.json.decode(data, type=tuple[str, msgspec.Raw])
        if name not in _types:
            return Error(f"unknown message {name!r}")
        return Ok(msgspec.json.decode(fields, type=_types[name]))
    except msgspec.MsgspecError as error:
        return Error(str(error))
