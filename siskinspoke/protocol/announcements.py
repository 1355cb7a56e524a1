"""Messages that register backend servers and report their load."""

from typing import NamedTuple

import xxhash

from siskinspoke.protocol.codec import message


@message
class Announcement(NamedTuple):
    """The registration of a backend server; a later one of the same incarnation replaces it.

    ``incarnation`` grows with each start of the server and ``seq`` with each announcement.
    Token counts are KV cache capacity, rates are in tokens per second, and ``queued`` holds the
    number of waiting prefill tokens by priority rank. ``fencing`` tells whether the server rejects
    outdated orders. ``cold_ms`` is how much longer the server is cold, in milliseconds, None if it
    does not say. ``slots`` is the number of requests that it runs at once, 0 if it does not say.
    """

    server: str
    incarnation: int
    seq: int
    failure_domain: str
    host: str
    port: int
    kind: str
    service: str
    leaving: bool
    fencing: bool
    total_tokens: int
    free_tokens: int
    running: int
    queued: list[int]
    prefill_rate: float
    accepted_seq: int
    cold_ms: int | None = None
    slots: int = 0


@message
class Spread(NamedTuple):
    """A whole announcement that an entry VM forwards to another watcher."""

    announcement: Announcement


@message
class Load(NamedTuple):
    """The variable fields of an announcement, for watchers that know the others.

    ``key`` is a hash of the server's name and ``sender`` the index of the entry VM in the settings.
    Both keep the datagram small, because a daemon sends this message more than any other.
    """

    key: int
    incarnation: int
    seq: int
    free_tokens: int
    running: int
    queued: list[int]
    accepted_seq: int
    sender: int


@message
class Want(NamedTuple):
    """A watcher's request for the whole announcement of a server that it does not know."""

    key: int
    sender: int


def server_key(server: str) -> int:
    """Return the 32-bit hash that identifies a server in Load and Want messages."""
    return xxhash.xxh32_intdigest(server.encode())


def extract_load(announcement: Announcement, sender: int) -> Load:
    """Return the variable fields of an announcement, without trailing ranks with an empty queue."""
    queued = list(announcement.queued)
    while queued and not queued[-1]:
        queued.pop()
    return Load(
        server_key(announcement.server),
        announcement.incarnation,
        announcement.seq,
        announcement.free_tokens,
        announcement.running,
        queued,
        announcement.accepted_seq,
        sender,
    )


def merge_load(announcement: Announcement, load: Load) -> Announcement:
    """Return an announcement updated with a later load."""
    return announcement._replace(
        seq=load.seq,
        free_tokens=load.free_tokens,
        running=load.running,
        queued=load.queued,
        accepted_seq=load.accepted_seq,
    )
