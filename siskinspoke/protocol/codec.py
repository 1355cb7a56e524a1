"""The codec for typed messages: a JSON array of the message's class name and its fields."""

from typing import Any, TypeVar

import msgspec
from expression import Error, Ok, Result

_message_types: dict[str, type] = {}

T = TypeVar("T", bound=type)


def message(cls: T) -> T:
    """Register a NamedTuple class as a message; its name and field order are the wire format."""
    _message_types[cls.__name__] = cls
    return cls


def encode_message(item: Any) -> bytes:
    """Encode a registered message."""
    return msgspec.json.encode([type(item).__name__, item])


def decode_message(data: bytes) -> Result[Any, str]:
    """Decode a message; return the reason if the data is invalid."""
    try:
        name, fields = msgspec.json.decode(data, type=tuple[str, msgspec.Raw])
        if name not in _message_types:
            return Error(f"unknown message {name!r}")
        return Ok(msgspec.json.decode(fields, type=_message_types[name]))
    except msgspec.MsgspecError as error:
        return Error(str(error))
