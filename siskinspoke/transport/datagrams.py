"""Authenticated UDP datagrams between processes."""

from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import trio

from siskinspoke.core.counters import Counters
from siskinspoke.protocol import decode_message, encode_message, seal, unseal

MAX_DATAGRAM_BYTES = 65_507

MessageHandler = Callable[[Any], Awaitable[None]]


class DatagramPort:
    """A UDP socket that sends sealed messages and passes received ones to a handler."""

    def __init__(self, socket: trio.socket.SocketType, key: bytes, counters: Counters):
        self._socket = socket
        self._key = key
        self._counters = counters

    async def send(self, item: Any, host: str, port: int) -> None:
        """Send a message; it is counted and dropped if sending fails."""
        await self.send_to_all(item, [(host, port)])

    async def send_to_all(self, item: Any, addresses: Iterable[tuple[str, int]]) -> None:
        """Send a message to several addresses, encoding it once."""
        data = seal(self._key, encode_message(item))
        for address in addresses:
            self._counters.count("datagram.bytes_sent", len(data))
            try:
                await self._socket.sendto(data, address)
            except OSError:
                self._counters.count("datagram.send_failed")

    async def receive_forever(self, handle: MessageHandler) -> None:
        """Pass every authentic message to ``handle``; count and drop the others."""
        while True:
            try:
                data, _address = await self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                # An ICMP error for an earlier send is reported here; the socket remains usable.
                self._counters.count("datagram.receive_failed")
                continue
            self._counters.count("datagram.bytes_received", len(data))
            body = unseal(self._key, data)
            if body is None:
                self._counters.count("datagram.refused.seal")
                continue
            decoded = decode_message(body)
            if decoded.is_error():
                self._counters.count("datagram.refused.message")
                continue
            await handle(decoded.ok)


async def open_datagram_port(host: str, port: int, key: bytes, counters: Counters) -> DatagramPort:
    """Bind a UDP socket; with port 0 the operating system chooses a free port."""
    socket = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
    await socket.bind((host, port))
    return DatagramPort(socket, key, counters)
