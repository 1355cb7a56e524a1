"""Messages by which backend servers make themselves known."""

from typing import NamedTuple

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
    """An announcement that an entry VM passes on to the server's other watchers."""

    sender: str
    announcement: Announcement
