"""Accept several waiting connections of a listening socket at once."""

import errno
import socket

import trio

from siskinspoke.coordination.socket_buffers import RECEIVE_BUFFER_BYTES, SEND_BUFFER_BYTES

# The process or the machine lacks descriptors or memory for another connection.
EXHAUSTED = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS))
# The waiting connection has failed, not the listening socket.
CONNECTION_FAILED = frozenset(
    (
        errno.ECONNABORTED,
        errno.EPROTO,
        errno.EPERM,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
    )
)


def prepare_listener(listener) -> None:
    """Bound the kernel's buffers of the connections that a listening socket accepts."""
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)


def accept_waiting(listener: socket.socket, count: int) -> tuple[list[socket.socket], bool]:
    """Accept up to ``count`` connections without waiting.

    Return them, and whether the process or the machine lacks room for more.
    """
    accepted: list[socket.socket] = []
    while len(accepted) < count:
        try:
            accepted.append(listener.accept()[0])
        except BlockingIOError:
            break
        except OSError as error:
            if error.errno in EXHAUSTED:
                return accepted, True
            if error.errno not in CONNECTION_FAILED:
                raise
    return accepted, False


def stream_of(connection: socket.socket) -> trio.SocketStream:
    """Return the stream of an accepted connection."""
    return trio.SocketStream(trio.socket.from_stdlib_socket(connection))
