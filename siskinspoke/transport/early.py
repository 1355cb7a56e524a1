"""Listen on the public address before the rest of the program is imported.

The imports of an entry VM take 0.3 to 0.5 s, and longer if all VMs of a site start at once. Without
a listener the kernel refuses connections in that time, and most clients retry only once.
Connections in the listener's queue are served as soon as there is a configuration. This module
therefore imports only the standard library and constants, and loads within a few milliseconds.
"""

import contextlib
import json
import os
import socket

from siskinspoke.coordination.socket_buffers import BACKLOG, RECEIVE_BUFFER_BYTES, SEND_BUFFER_BYTES
from siskinspoke.platform import SETTINGS_VARIABLE

SETTINGS_FLAG = "--vm_file="
ADDRESS_FIELD = "public"

# The listener of this process until the client server takes it over.
_early_listener: socket.socket | None = None


def listen_early(arguments: list[str]) -> None:
    """Listen on the public address in the settings file, if there is one.

    Errors in the file or the address are left to the command, which reads and binds again and
    reports them.
    """
    global _early_listener
    address = _public_address(arguments)
    if address is None:
        return
    with contextlib.suppress(OSError):
        _early_listener = listen(*address)


def listen(host: str, port: int) -> socket.socket:
    """Return a socket that listens on an address."""
    listener = socket.socket()
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections have the same limits.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        listener.bind((host, port))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener


def take_early_listener(host: str, port: int) -> socket.socket | None:
    """Return the early listener of an address and release it, or None if there is none."""
    global _early_listener
    if _early_listener is None or _early_listener.getsockname() != (host, port):
        return None
    listener, _early_listener = _early_listener, None
    return listener


def _public_address(arguments: list[str]) -> tuple[str, int] | None:
    path = os.environ.get(SETTINGS_VARIABLE, "")
    for word in arguments:
        if word.startswith(SETTINGS_FLAG):
            path = word.removeprefix(SETTINGS_FLAG)
    try:
        with open(path, encoding="utf-8") as file:
            host, _, port = json.load(file)[ADDRESS_FIELD].rpartition(":")
        return host, int(port)
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return None
