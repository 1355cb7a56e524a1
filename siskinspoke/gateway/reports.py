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

from siskinspoke.coordination.books import Books
from siskinspoke.coordination.directory import ServerRecord
from siskinspoke.coordination.standing import Trouble
from siskinspoke.gateway.context import Gateway, now_ms
from siskinspoke.gateway.exchange import ask
from siskinspoke.gateway.lives import hear
from siskinspoke.gateway.reaching import look, look_soon

EVERY_SECONDS = 1.0
ANSWER_SECONDS = 0.4
# Up to this pace an engine counts as fast as configured; paces vary by a tenth.
SOUND_PACE = 1.15
FRESH_MS = 5_000.0
# How often one server of each unreachable domain is probed to detect its recovery.
TRY_CUT_SECONDS = 0.4
# How often to check for unreachable domains while none is known.
NO_CUT_SECONDS = 1.0


def asks(me: str, peers: list[str], server: str) -> bool:
    """Return whether this VM is the one that polls a server."""
    return me == max(
        [me, *peers], key=lambda host: xxhash.xxh64_intdigest(f"{server}/{host}".encode())
    )


class Asked:
    """The servers that this VM polls, recomputed only when VMs or servers have changed.

    Recomputing costs one hash for each pair of a server and a VM: 5,300 a second with 68 VMs.
    """

    def __init__(self, me: str):
        self._me = me
        self._drawn_for: tuple[frozenset[str], frozenset[str]] | None = None
        self._mine: frozenset[str] = frozenset()

    def of(self, peers: list[str], servers: Iterable[str]) -> frozenset[str]:
        """Return the servers that this VM polls."""
        wanted = frozenset(peers), frozenset(servers)
        if wanted != self._drawn_for:
            self._drawn_for = wanted
            self._mine = frozenset(name for name in wanted[1] if asks(self._me, peers, name))
        return self._mine


async def ask_forever(gateway: Gateway, hears_control: Callable[[], bool]) -> None:
    """Poll this VM's share of its cell's engines, forever.

    While no control VM is heard, idle engines are polled as well, since their responses are then
    the only evidence that they are healthy.
    """
    asked = Asked(gateway.settings.host)
    async with trio.open_nursery() as nursery:
        while True:
            await trio.sleep(EVERY_SECONDS)
            engines = {record.announcement.server: record for record in _engines(gateway)}
            neighbours = [host for host, _ in gateway.cells.addresses(gateway.cells.mine)]
            for name in asked.of(neighbours, engines):
                if hears_control() and not is_worth_asking(gateway.books, name):
                    continue
                nursery.start_soon(_ask, gateway, engines[name])


def is_worth_asking(books: Books, engine: str) -> bool:
    """Return whether an engine has work, or was slow in its last report."""
    book = books.engine(engine)
    return bool(book.works) or book.pace > SOUND_PACE


def _engines(gateway: Gateway) -> list[ServerRecord]:
    """Return the engines of this VM's cell."""
    if gateway.table is None:
        return []
    services = [item.name for item in gateway.table.services.values() if item.engine is not None]
    names = [server for service in services for server in gateway.cells.servers(service)]
    return gateway.directory.believed_among(names, now_ms())


async def _ask(gateway: Gateway, record: ServerRecord) -> None:
    """Poll one engine, and pass its reported pace on to the peers."""
    said = record.announcement
    question = gateway.wire.report_request(said.server)
    reply = await ask(gateway, record, question, b"", ANSWER_SECONDS, FRESH_MS)
    report = None if reply is None else gateway.wire.decode_report(reply.status, reply.body)
    gateway.counters.count("report.failed" if report is None else "report.read")
    if report is not None:
        incarnation = said.incarnation
        if report.started is not None and report.started > incarnation:
            # The engine's next announcement, which may be a second away, has a higher number.
            incarnation = report.started
            hear(gateway, said._replace(incarnation=incarnation, seq=0))
        gateway.directory.prove(said.server, incarnation, now_ms())
        gateway.peers.paced(said.server, report.pace)
    elif not gateway.domains.is_cut(said.failure_domain, now_ms()):
        gateway.standing.failed(said.server, Trouble.SILENT, now_ms())
        look_soon(gateway, record)


async def try_cut_domains_forever(gateway: Gateway) -> None:
    """Probe unreachable failure domains to detect when they are back."""
    while True:
        cut = gateway.domains.cut_now(now_ms())
        await trio.sleep(TRY_CUT_SECONDS if cut else NO_CUT_SECONDS)
        for domain in gateway.domains.cut_now(now_ms()):
            known = [
                record
                for record in gateway.directory.live(now_ms())
                if record.announcement.failure_domain == domain
            ]
            if known:
                await look(gateway, gateway.rng.choice(known))
