"""Messages by which VMs tell each other which servers crashed, and who was open there.

Clocks differ between VMs, so times are ages: milliseconds before the message was sent.
"""

from collections.abc import Iterable
from typing import NamedTuple

from siskinspoke.protocol.codec import message


class SuspectReport(NamedTuple):
    """A request that was open at a server when it crashed, and how long before it was sent."""

    fingerprint: str
    ran_ms: int


class CrashReport(NamedTuple):
    """A crash and some of those who were open there; ``servers`` is how many the service had."""

    server: str
    incarnation: int
    service: str
    servers: int
    age_ms: int
    suspects: list[SuspectReport]


class SuspectEvent(NamedTuple):
    """Something that happened to a suspect."""

    fingerprint: str
    age_ms: int


class RefutedCrash(NamedTuple):
    """A server that was taken for dead and has answered since."""

    server: str
    incarnation: int


@message
class CrashNews(NamedTuple):
    """What a VM has learned of crashes.

    ``served`` are suspects that were answered whole, ``probed`` those of which one attempt was let
    through after their quarantine.
    """

    crashes: list[CrashReport]
    served: list[SuspectEvent]
    probed: list[SuspectEvent]
    refuted: list[RefutedCrash]


def crash_news(
    crashes: Iterable[CrashReport] = (),
    served: Iterable[SuspectEvent] = (),
    probed: Iterable[SuspectEvent] = (),
    refuted: Iterable[RefutedCrash] = (),
) -> CrashNews:
    """Return news of some of these kinds."""
    return CrashNews(list(crashes), list(served), list(probed), list(refuted))


@message
class CrashSpread(NamedTuple):
    """News between entry VMs; one of another failure domain passes them on in its own."""

    domain: str
    news: CrashNews


@message
class CrashWant(NamedTuple):
    """A question for all that matters of crashes, from the VM at this place in the settings."""

    place: int
