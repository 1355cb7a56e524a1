"""Answers that a server in trouble may send, as the bytes on the wire."""

from tests.platform.standin_server import STAMP, Raw, event

STATUS = b"HTTP/1.1 200 OK\r\n"
FIELDS = b"Request-Id: {id}\r\nServer-Stamp: " + STAMP + b"\r\n"
LENGTH = b"Content-Length: 4\r\n"
WHOLE = STATUS + FIELDS + LENGTH + b"\r\ndone"
# What a client must not get: a part of a body, or bytes that are not the server's body.
PART = b"only-a-part"
FOREIGN = b"foreign"
UNFRAMED = STATUS + FIELDS + b"Connection: close\r\n\r\n"
EVENT_PARTS = event(1) + event(2)
# Longer than the buffers of a connection, so that it is still being written when the answer comes.
LONG_BODY = b"x" * 3_900_000

# Answers without a length whose connection does not end in order, while the request is unread.
UNREAD_ENDS = {
    "reset": ("reset", 0.0),
    "reset later": ("reset", 0.02),
    "close": ("close unread", 0.0),
    "close later": ("close unread", 0.02),
}

INVALID_STATUSES = {
    status: b"HTTP/1.1 %b OK\r\n" % status.encode() + FIELDS + LENGTH + b"\r\ndone"
    for status in ("000", "099", "101", "2000", "20", "2x0", "")
}

_INVALID_FIELDS = {
    "blank in a name": b"X Name: 1",
    "tab in a name": b"X\tName: 1",
    "control byte in a name": b"X\x01Name: 1",
    "delete in a name": b"X\x7fName: 1",
    "NUL in a name": b"X\0Name: 1",
    "CR in a name": b"X\rName: 1",
    "byte above 127 in a name": b"X\xe9Name: 1",
    "blank after a name": b"X-Name : 1",
    "tab after a name": b"X-Name\t: 1",
    "blank in the name of the length": b"Content Length: 4",
    "blank after the name of the length": b"Content-Length : 4",
    "empty name": b": 1",
    "no colon": b"X-Name",
    "NUL in a value": b"X-Name: a\0b",
}
INVALID_FIELDS = {
    name: STATUS + FIELDS + line + b"\r\n" + LENGTH + b"\r\ndone"
    for name, line in _INVALID_FIELDS.items()
}
INVALID_FIELDS["blank before the first name"] = STATUS + b" " + FIELDS + LENGTH + b"\r\ndone"

# Lines that a parser may join to the field before, so that they no longer state the length.
FOLDED = {
    name: STATUS + FIELDS + line + b"\r\n" + more + b"\r\ndone" + FOREIGN
    for name, line, more in (
        ("blank before the length", b" Content-Length: 4", b""),
        ("tab before the length", b"\tContent-Length: 4", b""),
        ("blanks before the length", b" \t Content-Length: 4", b""),
        ("blank before the last name", b" X-Name: 1", b""),
        ("blank before a name", b" Content-Length: 4", b"X-Name: 1\r\n"),
        ("line of blanks", b"  ", b""),
    )
}
FOLDED["bare line feed before it"] = (
    STATUS + FIELDS[:-2] + b"\n Content-Length: 4\r\n\r\ndone" + FOREIGN
)
FOLDED["after an interim answer"] = (
    b"HTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n\r\n" + FOLDED["blank before the length"]
)
FOLDED["in an interim answer"] = b"HTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n x: 1\r\n\r\n" + WHOLE
FOLDED["with a length"] = STATUS + FIELDS + b" X-Name: 1\r\n" + LENGTH + b"\r\ndone"

_HEAD = STATUS + FIELDS + LENGTH + b"\r\n"
CUT_HEADS = {
    "in the status line": STATUS[:11],
    "in the status line's end": STATUS[:-1],
    "after the status line": STATUS,
    "in a name": STATUS + FIELDS + b"Content-Le",
    "after a name": STATUS + FIELDS + b"Content-Length:",
    "in a value": STATUS + FIELDS + b"Content-Length: 4",
    "before the last line's end": STATUS + FIELDS + LENGTH,
    "in the last line's end": _HEAD[:-1],
}


def unread(data: bytes, end: str, end_after: float = 0.0) -> Raw:
    """Return an answer that is sent before the request has been read."""
    return Raw(data, end, end_after, reads_body=False)
