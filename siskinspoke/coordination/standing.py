"""How backend servers have stood up to this VM's own requests; who is set aside for a while.

A server's word on its own health proves nothing: it may fail every request while it says that
it is well, or the reverse.  So only what became of requests counts.  How many may be set aside
is bounded: if most fail, the fault is probably elsewhere, and the last ones would be overrun.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

# A server that cannot be reached is tried again after this time, doubled at each failure.
FIRST_ASIDE_MS = 600.0
MOST_ASIDE_MS = 5_000.0
# Weight of the latest outcome in the share of failures; four failures in a row make it 0.76.
FAILURE_GAIN = 0.3
ASIDE_FROM = 0.5
# At most this share of a service's servers is set aside.
MOST_ASIDE_SHARE = 0.5
LATENCY_GAIN = 0.25
# A latency is believed for this long; then the server is worth another look.
LATENCY_MS = 4_000.0


class Trouble(Enum):
    """What became of a request that did not end well."""

    UNREACHABLE = "unreachable"
    SILENT = "silent"
    BROKEN = "broken"
    ERROR = "error"
    BUSY = "busy"
    HELD = "held"


@dataclass(slots=True)
class _Record:
    failures: float = 0.0
    in_a_row: int = 0
    aside_until: float = 0.0
    latency_ms: float | None = None
    latency_at: float = 0.0
    open_requests: int = 0
    unreachable: bool = False


class Standing:
    """Remember outcomes by server; times are in milliseconds."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def _record(self, server: str) -> _Record:
        found = self._records.get(server)
        if found is None:
            found = self._records[server] = _Record()
        return found

    def began(self, server: str) -> None:
        """Count a request that is open at a server."""
        self._record(server).open_requests += 1

    def ended(self, server: str) -> None:
        """Count a request that has ended there, however it ended."""
        self._record(server).open_requests -= 1

    def succeeded(self, server: str, latency_ms: float | None, now: float) -> None:
        """Note an answer, and how long it took where that can be compared."""
        record = self._record(server)
        record.in_a_row = 0
        record.unreachable = False
        record.failures -= FAILURE_GAIN * record.failures
        if record.failures < ASIDE_FROM:
            record.aside_until = min(record.aside_until, now)
        if latency_ms is None:
            return
        if record.latency_ms is None or now - record.latency_at > LATENCY_MS:
            record.latency_ms = latency_ms
        else:
            record.latency_ms += LATENCY_GAIN * (latency_ms - record.latency_ms)
        record.latency_at = now

    def failed(self, server: str, trouble: Trouble, now: float) -> None:
        """Note a failure and set the server aside if it is the kind or the share for that."""
        record = self._record(server)
        match trouble:
            case Trouble.HELD:
                # This VM has sent it nothing.
                return
            case Trouble.BUSY:
                record.aside_until = max(record.aside_until, now + FIRST_ASIDE_MS / 4)
                return
            case Trouble.UNREACHABLE:
                # It says nothing of how the server does once it can be reached.
                record.in_a_row += 1
                record.unreachable = True
            case Trouble.SILENT:
                record.in_a_row += 1
                record.failures += FAILURE_GAIN * (1 - record.failures)
            case Trouble.BROKEN | Trouble.ERROR:
                record.failures += FAILURE_GAIN * (1 - record.failures)
                record.in_a_row += record.failures >= ASIDE_FROM
        if record.in_a_row:
            doubled = FIRST_ASIDE_MS * 2 ** min(record.in_a_row - 1, 4)
            record.aside_until = now + min(MOST_ASIDE_MS, doubled)

    def started(self, server: str) -> None:
        """Forget how a server stood up before it started anew, but not what is still open."""
        known = self._records.get(server)
        if known is not None:
            self._records[server] = _Record(open_requests=known.open_requests)

    def reached(self, server: str) -> bool:
        """Note that a connection to a server came about; return whether that is news.

        It ends what an earlier one that did not come about has begun, and nothing else: a server
        that fails requests takes connections as well.
        """
        record = self._records.get(server)
        if record is None or not record.unreachable:
            return False
        record.unreachable = False
        record.in_a_row = 0
        record.aside_until = 0.0
        return True

    def is_unreachable(self, server: str) -> bool:
        """Tell whether the last connection to a server did not come about."""
        record = self._records.get(server)
        return record is not None and record.unreachable

    def unreachable(self) -> list[str]:
        """Return the servers whose last connection did not come about."""
        return [name for name, record in self._records.items() if record.unreachable]

    def is_aside(self, server: str, now: float) -> bool:
        """Tell whether a server is set aside; one that cannot be reached is until it can be."""
        record = self._records.get(server)
        return record is not None and (record.unreachable or record.aside_until > now)

    def failure_share(self, server: str) -> float:
        """Return the recent share of failures of a server."""
        record = self._records.get(server)
        return 0.0 if record is None else record.failures

    def usable(self, servers: Iterable[str], now: float) -> list[str]:
        """Return the servers that are not set aside, and some of those if too many were."""
        names = list(servers)
        good = [name for name in names if not self.is_aside(name, now)]
        least = len(names) - int(len(names) * MOST_ASIDE_SHARE)
        if len(good) >= least:
            return good
        aside = [name for name in names if name not in good]
        aside.sort(key=lambda name: self._records[name].aside_until)
        return good + aside[: least - len(good)]

    def load_ms(self, server: str, now: float, usual_ms: float) -> float:
        """Return the time that a request would take at a server, by its latency and queue."""
        record = self._records.get(server)
        if record is None:
            return usual_ms
        latency = record.latency_ms
        if latency is None or now - record.latency_at > LATENCY_MS:
            latency = usual_ms
        return latency * (1 + 0.5 * record.open_requests) * (1 + 4 * record.failures)

    def usual_ms(self, servers: Iterable[str], now: float) -> float:
        """Return the middle latency of some servers, for those that have none of their own."""
        known = sorted(
            record.latency_ms
            for name in servers
            if (record := self._records.get(name)) is not None
            and record.latency_ms is not None
            and now - record.latency_at <= LATENCY_MS
        )
        return known[len(known) // 2] if known else 50.0

    def forget(self, servers: Iterable[str]) -> None:
        """Keep the records of these servers only."""
        known = set(servers)
        for name in list(self._records):
            if name not in known and not self._records[name].open_requests:
                del self._records[name]
