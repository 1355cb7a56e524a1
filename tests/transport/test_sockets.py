"""Options of connections to backend servers."""

import socket

import trio

from siskinspoke.transport.http1 import connect

# Sound servers may be silent for so long.
SILENCE_MS = 1_600


def tolerated_silence_ms(sock) -> int:
    """Return the shortest silence after which the kernel ends an idle connection.

    The silence may begin right before the first keepalive probe. At each further probe Linux gives
    up if the user timeout has passed since the last data; without one, the number of probes counts.
    """

    def option(name: int) -> int:
        return sock.getsockopt(socket.IPPROTO_TCP, name)

    idle, interval = 1000 * option(socket.TCP_KEEPIDLE), 1000 * option(socket.TCP_KEEPINTVL)
    user_timeout, count = option(socket.TCP_USER_TIMEOUT), option(socket.TCP_KEEPCNT)
    gives_up = idle + interval
    while gives_up < user_timeout if user_timeout else gives_up < idle + count * interval:
        gives_up += interval
    return gives_up - idle


class TestSilentServers:
    """Guards against connections to sound servers that end because the server was silent."""

    def test_connection_outlasts_the_silence(self):
        async def run():
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            port = listeners[0].socket.getsockname()[1]
            connection = await connect("127.0.0.1", port, None, 0.0)
            sock = connection._stream.socket
            assert tolerated_silence_ms(sock) >= SILENCE_MS
            assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) >= SILENCE_MS
            connection.reset()
            await listeners[0].aclose()

        trio.run(run)
