"""Poll the engines for their status, each by one entry VM that informs the others.

An engine that has become slow or unresponsive looks healthy until work sent to it is late.
Polling each engine that has work once a second detects this earlier. An idle engine is not polled:
the first prompt sent to it reveals the problem, and until then it does no harm. An engine that was
slow is polled until it has recovered, since it would otherwise never be used again. The polling VM
is selected by rendezvous hashing among the entry VMs of the cell, so each engine is polled once
regardless of the number of VMs, and another VM takes over when the set of known VMs changes.
"""

from collections.abc import Callable, Iterable

import trio
import xxhash

from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.coordination.server_health import FailureKind
from siskinspoke.coordination.work_table import WorkTable
from siskinspoke.gateway.announcements import handle_announcement
from siskinspoke.gateway.context import Gateway, now_ms
from siskinspoke.gateway.exchange import ask
from siskinspoke.gateway.reachability import NoConnection, probe_now, start_probe

POLL_INTERVAL_SECONDS = 1.0
REPORT_TIMEOUT_SECONDS = 0.4
# Up to this pace an engine counts as fast as configured; paces vary by a tenth.
MAX_HEALTHY_PACE = 1.15
MAX_CONNECTION_IDLE_MS = 5_000.0
# How often one server of each unreachable domain is probed to detect its recovery.
UNREACHABLE_PROBE_SECONDS = 0.4
# How often to check for unreachable domains while none is known.
UNREACHABLE_CHECK_SECONDS = 1.0


def is_poller(own_host: str, peers: list[str], server: str) -> bool:
    """Return whether this VM is the one that polls a server."""
    return own_host == max(
        [own_host, *peers], key=lambda host: xxhash.xxh64_intdigest(f"{server}/{host}".encode())
    )


class PollAssignment:
    """The servers that this VM polls, recomputed only when VMs or servers have changed.

    Recomputing costs one hash for each pair of a server and a VM: 5,300 a second with 68 VMs.
    """

    def __init__(self, own_host: str):
        self._own_host = own_host
        self._inputs: tuple[frozenset[str], frozenset[str]] | None = None
        self._assigned: frozenset[str] = frozenset()

    def update(self, peers: list[str], servers: Iterable[str]) -> frozenset[str]:
        """Return the servers that this VM polls."""
        inputs = frozenset(peers), frozenset(servers)
        if inputs != self._inputs:
            self._inputs = inputs
            self._assigned = frozenset(
                name for name in inputs[1] if is_poller(self._own_host, peers, name)
            )
        return self._assigned


async def poll_forever(gateway: Gateway, hears_control: Callable[[], bool]) -> None:
    """Poll this VM's share of its cell's engines, forever.

    While no control VM is heard, idle engines are polled as well, since their responses are then
    the only evidence that they are healthy.
    """
    assignment = PollAssignment(gateway.settings.host)
    async with trio.open_nursery() as nursery:
        while True:
            await trio.sleep(POLL_INTERVAL_SECONDS)
            engines = {record.announcement.server: record for record in _engines(gateway)}
            neighbours = [host for host, _ in gateway.cells.addresses(gateway.cells.own_cell)]
            for name in assignment.update(neighbours, engines):
                if hears_control() and not needs_polling(gateway.work_table, name):
                    continue
                nursery.start_soon(_poll, gateway, engines[name])


def needs_polling(work_table: WorkTable, engine: str) -> bool:
    """Return whether an engine has work, or was slow in its last report."""
    engine_load = work_table.engine(engine)
    return bool(engine_load.in_flight) or engine_load.slowdown > MAX_HEALTHY_PACE


def _engines(gateway: Gateway) -> list[ServerRecord]:
    """Return the engines of this VM's cell."""
    if gateway.table is None:
        return []
    services = [item.name for item in gateway.table.services.values() if item.engine is not None]
    names = [server for service in services for server in gateway.cells.servers(service)]
    return gateway.directory.routable_among(names, now_ms())


async def _poll(gateway: Gateway, record: ServerRecord) -> None:
    """Poll one engine, and pass its reported pace on to the peers."""
    announcement = record.announcement
    request = gateway.wire.report_request(announcement.server)
    reply = await ask(gateway, record, request, b"", REPORT_TIMEOUT_SECONDS, MAX_CONNECTION_IDLE_MS)
    report = None if reply is None else gateway.wire.decode_report(reply.status, reply.body)
    gateway.counters.count("report.failed" if report is None else "report.read")
    if report is not None:
        incarnation = announcement.incarnation
        if report.started is not None and report.started > incarnation:
            # The engine's next announcement, which may be a second away, has a higher number.
            incarnation = report.started
            # What the former process has stated of its cold state does not apply to the new one.
            handle_announcement(
                gateway, announcement._replace(incarnation=incarnation, seq=0, cold_ms=None)
            )
        gateway.directory.record_answer(announcement.server, incarnation, now_ms())
        gateway.peers.update_pace(announcement.server, report.pace)
    elif not gateway.domains.is_cut_off(announcement.failure_domain, now_ms()):
        gateway.server_health.record_failure(announcement.server, FailureKind.SILENT, now_ms())
        start_probe(gateway, record)


async def probe_unreachable_domains_forever(gateway: Gateway) -> None:
    """Probe unreachable failure domains to detect when they are back."""
    while True:
        unreachable = gateway.domains.cut_off(now_ms())
        await trio.sleep(UNREACHABLE_PROBE_SECONDS if unreachable else UNREACHABLE_CHECK_SECONDS)
        for domain in gateway.domains.cut_off(now_ms()):
            servers = [
                record
                for record in gateway.directory.live(now_ms())
                if record.announcement.failure_domain == domain
            ]
            if servers and await probe_now(gateway, gateway.rng.choice(servers)) is (
                NoConnection.REFUSED
            ):
                gateway.domains.record_refusals(domain, now_ms())
