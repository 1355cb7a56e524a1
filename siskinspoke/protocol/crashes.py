"""Messages about crashed servers and the requests that were open there.

Clocks differ between VMs, so times are sent as ages: milliseconds before the message was sent.
"""

from collections.abc import Iterable
from typing import NamedTuple

from siskinspoke.protocol.codec import message


class SuspectReport(NamedTuple):
    """A request that was open at a server when it crashed, and how long it had been running.

    ``parts`` are the parts of its prompt before the last one.
    """

    fingerprint: str
    ran_ms: int
    parts: tuple[str, ...] = ()


class CrashReport(NamedTuple):
    """A crash and requests open at the time; ``servers`` is the service's number of servers."""

    server: str
    incarnation: int
    service: str
    servers: int
    age_ms: int
    suspects: list[SuspectReport]


class SuspectEvent(NamedTuple):
    """An event that concerns a suspect request, or the parts of prompts that ``parts`` names."""

    fingerprint: str
    age_ms: int
    parts: tuple[str, ...] = ()


class RefutedCrash(NamedTuple):
    """A server that was considered crashed and has answered since."""

    server: str
    incarnation: int


@message
class CrashNews(NamedTuple):
    """New crashes and events of suspects seen by a VM.

    ``served`` are suspects that were answered completely, ``probed`` those of which one attempt was
    allowed after their quarantine.
    """

    crashes: list[CrashReport]
    served: list[SuspectEvent]
    probed: list[SuspectEvent]
    refuted: list[RefutedCrash]


def make_crash_news(
    crashes: Iterable[CrashReport] = (),
    served: Iterable[SuspectEvent] = (),
    probed: Iterable[SuspectEvent] = (),
    refuted: Iterable[RefutedCrash] = (),
) -> CrashNews:
    """Return a CrashNews message; kinds that are not given are empty."""
    return CrashNews(list(crashes), list(served), list(probed), list(refuted))


@message
class CrashSpread(NamedTuple):
    """Crash news between entry VMs; a recipient in another failure domain relays them there."""

    domain: str
    news: CrashNews


@message
class CrashWant(NamedTuple):
    """A request for all current crash news; ``place`` is the sender's index in the settings."""

    place: int
