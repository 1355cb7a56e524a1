"""Socket options common to all TCP connections, and connection resets."""

import socket

import trio

# A connection is closed after this time with unacknowledged data, as when its peer is partitioned.
# It is half of the shortest time in which a leave must take effect.
USER_TIMEOUT_MS = 1_000
# The same for connections to backend servers, which may be silent for over a second and go on. The
# kernel also gives up its keepalive probes by this time, whatever their number.
SERVER_USER_TIMEOUT_MS = 2_500
# Keepalive probes on an idle connection: delay of the first and interval, and their number.
PROBE_IDLE_SECONDS = 1
PROBE_COUNT = 2


def set_socket_options(sock, user_timeout_ms: int = USER_TIMEOUT_MS) -> None:
    """Set options that detect an unreachable peer and send small writes without delay."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)


def set_unread_timeout(sock, timeout_ms: int) -> None:
    """Set the time after which a connection is closed whose peer takes no data.

    The kernel counts the time in which the peer's receive window is shut as unacknowledged.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def reset_connection(stream: trio.SocketStream) -> None:
    """Reset a connection, discarding unsent data.

    After a normal close the kernel would still send that data once a partition heals. The server
    could then run a request long after its caller was told that it failed.
    """
    zero_linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
    try:
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, zero_linger)
    except OSError:
        # The connection is already closed.
        return
    finally:
        stream.socket.close()
