"""Messages by which backend servers make themselves known."""

from typing import NamedTuple

import xxhash

from siskinspoke.protocol.codec import message


@message
class Announcement(NamedTuple):
    """A backend server's word on itself; a later one of the same incarnation replaces it.

    ``incarnation`` grows with each start of the server and ``seq`` with each announcement.
    Token counts are KV cache capacity; rates are tokens a second; ``queued`` holds the prefill
    tokens that wait, by priority rank.  ``fencing`` says whether it refuses old orders.
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


@message
class Spread(NamedTuple):
    """An announcement that an entry VM passes on whole to another watcher."""

    announcement: Announcement


@message
class Load(NamedTuple):
    """The part of an announcement that changes, for watchers that know the rest.

    ``key`` stands for the server's name and ``sender`` is the place of the entry VM in the
    settings; both keep the datagram small, since it is most of what a daemon sends.
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
    """A watcher that does not know a server asks for its whole announcement."""

    key: int
    sender: int


def server_key(server: str) -> int:
    """Return the short stand-in for a server's name."""
    return xxhash.xxh32_intdigest(server.encode())


def load_of(announcement: Announcement, sender: int) -> Load:
    """Return the changing part of an announcement; ranks at the end without work go."""
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


def with_load(announcement: Announcement, load: Load) -> Announcement:
    """Return a known announcement brought up to date by a later load."""
    return announcement._replace(
        seq=load.seq,
        free_tokens=load.free_tokens,
        running=load.running,
        queued=load.queued,
        accepted_seq=load.accepted_seq,
    )
