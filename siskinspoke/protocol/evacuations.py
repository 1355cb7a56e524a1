"""Messages of the feed about evacuated failure domains."""

from typing import NamedTuple

from siskinspoke.protocol.codec import message


class Evacuation(NamedTuple):
    """A failure domain whose servers get no new requests.

    ``revision`` is the log index of the order, ``begun_ms`` its time in Unix milliseconds, and
    ``accepted_by`` the control VM that received it.
    """

    domain: str
    revision: int
    begun_ms: int
    accepted_by: str


@message
class EvacuationState(NamedTuple):
    """All evacuations in force; a follower keeps the state with the highest revision."""

    revision: int
    evacuations: list[Evacuation]


@message
class EvacuationsHeld(NamedTuple):
    """The revision of the evacuations that a follower obeys."""

    revision: int
