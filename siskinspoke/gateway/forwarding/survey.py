"""Probe servers of several failure domains at once to find out which this VM can reach."""

import trio

from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.coordination.server_health import FailureKind
from siskinspoke.coordination.witnesses import choose_witnesses
from siskinspoke.gateway.context import Gateway, now_ms
from siskinspoke.gateway.reachability import (
    NoConnection,
    probe_now,
    record_refusing_domain,
    unreachable_domains,
)

# Least time between two surveys.
SURVEY_INTERVAL_SECONDS = 0.25


async def survey_forever(gateway: Gateway) -> None:
    """Survey failure domains whenever that is requested."""
    while True:
        wanted = await gateway.surveys.wait()
        domains = _domains(gateway) if wanted is None else wanted
        gateway.counters.count("survey.run")
        async with trio.open_nursery() as nursery:
            for domain in domains:
                if not gateway.domains.is_cut_off(domain, now_ms()):
                    nursery.start_soon(_survey, gateway, domain)
        log_partition(gateway)
        await trio.sleep(SURVEY_INTERVAL_SECONDS)


def _domains(gateway: Gateway) -> set[str]:
    return {item.announcement.failure_domain for item in gateway.directory.live(now_ms())}


async def _survey(gateway: Gateway, domain: str) -> None:
    """Probe two servers of a failure domain that have neither failed nor crashed."""
    others = {
        item.announcement.server: item
        for item in gateway.directory.live(now_ms())
        if item.announcement.failure_domain == domain
        and not gateway.server_health.is_unreachable(item.announcement.server)
        and not gateway.crashes.has_crashed(item.start)
    }
    chosen = [others[name] for name in choose_witnesses(sorted(others), gateway.rng)]
    results: list[NoConnection | None] = []

    async def probe(record: ServerRecord) -> None:
        found = await probe_now(gateway, record)
        results.append(found)
        if found is NoConnection.REFUSED:
            name = record.announcement.server
            gateway.server_health.record_failure(name, FailureKind.UNREACHABLE, now_ms())

    async with trio.open_nursery() as nursery:
        for record in chosen:
            nursery.start_soon(probe, record)
    if len(chosen) > 1 and None not in results and NoConnection.REFUSED in results:
        record_refusing_domain(gateway, chosen[0])


def log_partition(gateway: Gateway) -> None:
    """Log that this VM can reach no failure domain any more, or can reach one again."""
    domains = _domains(gateway)
    unreachable = domains & unreachable_domains(gateway)
    partitioned = bool(domains) and unreachable == domains
    gateway.counters.gauge("domains.unreachable", len(unreachable))
    if partitioned == gateway.partitioned:
        return
    gateway.partitioned = partitioned
    peers = {
        item.host: sorted(gateway.peers.unreachable_domains(item.host))
        for item in (gateway.known_peers() if partitioned else [])
    }
    gateway.log.note(
        "vm.partitioned" if partitioned else "vm.reconnected",
        domains=sorted(domains),
        peers=len(peers),
        peers_partitioned=sum(domains <= set(items) for items in peers.values()),
    )
