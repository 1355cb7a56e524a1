"""Helpers for memory channels."""

from typing import TypeVar

import trio

T = TypeVar("T")


def receive_queued(channel: trio.MemoryReceiveChannel[T], limit: float) -> list[T]:
    """Return at most ``limit`` items that are queued in a channel, without waiting."""
    items: list[T] = []
    while len(items) < limit:
        try:
            items.append(channel.receive_nowait())
        except trio.WouldBlock:
            break
    return items
