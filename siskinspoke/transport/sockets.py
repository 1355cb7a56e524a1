"""What every connection of the system has set, whatever is spoken on it."""

import socket

import trio

# A connection whose peer is cut off without a word is given up after this time with bytes
# unacknowledged: half of the shortest time in which a leave must be obeyed.  Milliseconds.
USER_TIMEOUT_MS = 1_000
# Probes of an idle connection: first after this many seconds, then as often, this many.
PROBE_IDLE_SECONDS = 1
PROBE_COUNT = 2


def tune(sock) -> None:
    """Set what makes a silent peer visible and small writes leave at once."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def reset(stream: trio.SocketStream) -> None:
    """Close a connection so that nothing held up in it is delivered later.

    A plain close would still send what a cut holds back; a server could then run a request
    long after its caller was told that it failed.
    """
    linger_none = b"\x01\x00\x00\x00\x00\x00\x00\x00"
    try:
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger_none)
    except OSError:
        # The connection is gone already, which is what was wanted.
        return
    finally:
        stream.socket.close()
