"""Listen on the public address before the rest of the program is loaded.

An entry VM takes 0.3 to 0.5 s to load, and longer where all VMs of a site start at once.  Callers
who come in that time are refused by its machine, and most try only once more; connections that
wait in the queue of a listener are served as soon as there is a configuration.  So this module
needs only what the interpreter has, and loads in some milliseconds.
"""

import json
import os
import socket

from siskinspoke.platform import SETTINGS_VARIABLE

BACKLOG = 2_048
FILE_FLAG = "--vm_file="
PUBLIC = "public"

# The listener of this process until the server of clients takes it over.
_early: socket.socket | None = None


def listen_early(arguments: list[str]) -> None:
    """Listen on the public address that the settings file names, if it names one.

    Whatever is wrong with the file or the address is said by the command itself, which reads and
    binds again.
    """
    global _early
    address = _public_address(arguments)
    if address is None:
        return
    listener = socket.socket()
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        return
    _early = listener


def take_early(host: str, port: int) -> socket.socket | None:
    """Return the listener of an address, once, or None where there is none."""
    global _early
    if _early is None or _early.getsockname() != (host, port):
        return None
    listener, _early = _early, None
    return listener


def _public_address(arguments: list[str]) -> tuple[str, int] | None:
    path = os.environ.get(SETTINGS_VARIABLE, "")
    for word in arguments:
        if word.startswith(FILE_FLAG):
            path = word.removeprefix(FILE_FLAG)
    try:
        with open(path, encoding="utf-8") as file:
            host, _, port = json.load(file)[PUBLIC].rpartition(":")
        return host, int(port)
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return None
