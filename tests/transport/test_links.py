"""Tests of the links between control replicas."""

import socket

import trio

from siskinspoke.core.counters import Counters
from siskinspoke.protocol.replication import Join
from siskinspoke.transport import links
from siskinspoke.transport.links import LinkListener, LinkSender
from siskinspoke.transport.sockets import USER_TIMEOUT_MS
from tests.client_resources import unlogged_resources

HOST = "127.0.0.1"
KEY = b"test"


class TestSilentConnections:
    """Connections whose peer is lost without a reset."""

    def test_both_ends_set_user_timeout_and_keepalive(self, monkeypatch):
        """Guards against messages sent into a dead connection until its buffers are full."""
        user_timeouts = []
        set_options = links.set_socket_options

        def set_and_record(sock):
            set_options(sock)
            user_timeouts.append(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT))
            assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)

        monkeypatch.setattr(links, "set_socket_options", set_and_record)

        async def run():
            received = trio.Event()

            async def handle(item):
                received.set()

            counters = Counters()
            async with trio.open_nursery() as nursery:
                listener = LinkListener(KEY, counters, handle, unlogged_resources(counters))
                (server,) = await nursery.start(listener.serve, HOST, 0)
                port = server.socket.getsockname()[1]
                sender = LinkSender(HOST, port, KEY, counters)
                nursery.start_soon(sender.run)
                sender.send(Join("a", 1))
                with trio.fail_after(5):
                    await received.wait()
                nursery.cancel_scope.cancel()

        trio.run(run)
        assert user_timeouts == [USER_TIMEOUT_MS, USER_TIMEOUT_MS]
