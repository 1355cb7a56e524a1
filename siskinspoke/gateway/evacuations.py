"""Evacuations at an entry VM: their newest state, and the services that have no server left.

The evacuations themselves are applied in ``siskinspoke.gateway.holds``.
"""

from siskinspoke.coordination.evacuations import fully_evacuated
from siskinspoke.gateway.context import Gateway, now_ms
from siskinspoke.protocol.evacuations import EvacuationState


def apply_evacuations(gateway: Gateway, state: EvacuationState) -> None:
    """Obey the evacuations that a control VM has sent, unless newer ones are known."""
    if not gateway.evacuations.update(state):
        return
    gateway.log.note(
        "evacuation.in_force",
        revision=state.revision,
        domains=sorted(gateway.evacuations.domains),
    )
    report_evacuations(gateway)


def report_evacuations(gateway: Gateway) -> None:
    """Update the gauge, and log each service that has come to have only evacuated servers."""
    domains = gateway.evacuations.domains
    gateway.counters.gauge("evacuation.domains", len(domains))
    unserved: frozenset[str] = frozenset()
    if domains:
        announcements = [item.announcement for item in gateway.directory.live(now_ms())]
        servers = [(item.service, item.failure_domain) for item in announcements]
        unserved = fully_evacuated(servers, domains)
    for service in sorted(unserved - gateway.unserved_services):
        gateway.log.note(
            "evacuation.no_server",
            service=service,
            domains=sorted(domains),
            revision=gateway.evacuations.revision,
        )
    gateway.unserved_services = unserved
