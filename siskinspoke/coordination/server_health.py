"""Tracks the health of backend servers from this VM's own requests and ejects failing ones.

A server's own health report proves nothing: it may fail every request while reporting that it is
healthy, or the reverse. So only the outcome of requests counts. The number of ejected servers is
limited: if most of them fail, the cause is probably elsewhere, and the remaining ones would be
overloaded.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

# First ejection time after a connection failure, timeout or run of errors; it doubles with each
# further failure.
BASE_EJECTION_MS = 600.0
MAX_EJECTION_MS = 5_000.0
# Weight of the latest outcome in the moving average of failures; four failures in a row give 0.76.
FAILURE_EWMA_WEIGHT = 0.3
EJECTION_FAILURE_SHARE = 0.5
# At most this share of a service's servers is ejected.
MAX_EJECTED_SHARE = 0.5
LATENCY_EWMA_WEIGHT = 0.25
# A latency is used for this long; after that the server gets a request to measure it again.
LATENCY_TTL_MS = 4_000.0


class FailureKind(Enum):
    """How a request failed."""

    UNREACHABLE = "unreachable"
    SILENT = "silent"
    BROKEN = "broken"
    INVALID = "invalid"
    ERROR = "error"
    BUSY = "busy"
    HELD = "held"


@dataclass(slots=True)
class _Record:
    failure_ewma: float = 0.0
    consecutive_failures: int = 0
    ejected_until: float = 0.0
    latency_ms: float | None = None
    latency_at: float = 0.0
    open_requests: int = 0
    unreachable: bool = False


class ServerHealth:
    """Request outcomes by server; times are in milliseconds."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def _record(self, server: str) -> _Record:
        record = self._records.get(server)
        if record is None:
            record = self._records[server] = _Record()
        return record

    def request_started(self, server: str) -> None:
        """Count a request that was started at a server."""
        self._record(server).open_requests += 1

    def request_ended(self, server: str) -> None:
        """Count a request that has ended, whatever its outcome."""
        self._record(server).open_requests -= 1

    def record_success(self, server: str, latency_ms: float | None, now: float) -> None:
        """Record an answer, with its latency if that is comparable between requests."""
        record = self._record(server)
        record.consecutive_failures = 0
        record.unreachable = False
        record.failure_ewma -= FAILURE_EWMA_WEIGHT * record.failure_ewma
        if record.failure_ewma < EJECTION_FAILURE_SHARE:
            record.ejected_until = min(record.ejected_until, now)
        if latency_ms is None:
            return
        if record.latency_ms is None or now - record.latency_at > LATENCY_TTL_MS:
            record.latency_ms = latency_ms
        else:
            record.latency_ms += LATENCY_EWMA_WEIGHT * (latency_ms - record.latency_ms)
        record.latency_at = now

    def record_failure(self, server: str, kind: FailureKind, now: float) -> None:
        """Record a failure, and eject the server if its kind or the failure rate calls for it."""
        record = self._record(server)
        match kind:
            case FailureKind.HELD:
                # This VM has not sent it the request.
                return
            case FailureKind.BUSY:
                record.ejected_until = max(record.ejected_until, now + BASE_EJECTION_MS / 4)
                return
            case FailureKind.UNREACHABLE:
                # Does not show how the server performs once it can be reached.
                record.consecutive_failures += 1
                record.unreachable = True
            case FailureKind.SILENT | FailureKind.INVALID:
                record.consecutive_failures += 1
                record.failure_ewma += FAILURE_EWMA_WEIGHT * (1 - record.failure_ewma)
            case FailureKind.BROKEN | FailureKind.ERROR:
                record.failure_ewma += FAILURE_EWMA_WEIGHT * (1 - record.failure_ewma)
                record.consecutive_failures += record.failure_ewma >= EJECTION_FAILURE_SHARE
        if record.consecutive_failures:
            ejection_ms = BASE_EJECTION_MS * 2 ** min(record.consecutive_failures - 1, 4)
            record.ejected_until = now + min(MAX_EJECTION_MS, ejection_ms)

    def reset(self, server: str) -> None:
        """Reset the statistics of a server that has restarted, except for its open requests."""
        record = self._records.get(server)
        if record is not None:
            self._records[server] = _Record(open_requests=record.open_requests)

    def record_connection(self, server: str) -> bool:
        """Record a successful connection; return whether the server was unreachable before.

        This ends an ejection only if it was caused by a failed connection, since a server that
        fails requests still accepts connections.
        """
        record = self._records.get(server)
        if record is None or not record.unreachable:
            return False
        record.unreachable = False
        record.consecutive_failures = 0
        record.ejected_until = 0.0
        return True

    def is_unreachable(self, server: str) -> bool:
        """Return whether the last connection to a server failed."""
        record = self._records.get(server)
        return record is not None and record.unreachable

    def unreachable(self) -> list[str]:
        """Return the servers to which the last connection failed."""
        return [name for name, record in self._records.items() if record.unreachable]

    @property
    def has_unreachable(self) -> bool:
        """Return whether there is a server to which the last connection failed."""
        return any(record.unreachable for record in self._records.values())

    def is_ejected(self, server: str, now: float) -> bool:
        """Return whether a server is ejected; an unreachable one is until it can be reached."""
        record = self._records.get(server)
        return record is not None and (record.unreachable or record.ejected_until > now)

    def failure_share(self, server: str) -> float:
        """Return the moving average of a server's failures."""
        record = self._records.get(server)
        return 0.0 if record is None else record.failure_ewma

    def available(self, servers: Iterable[str], now: float) -> list[str]:
        """Return the servers that are not ejected, readmitting some if too many are."""
        names = list(servers)
        available = [name for name in names if not self.is_ejected(name, now)]
        min_available = len(names) - int(len(names) * MAX_EJECTED_SHARE)
        if len(available) >= min_available:
            return available
        ejected = [name for name in names if name not in available]
        ejected.sort(key=lambda name: self._records[name].ejected_until)
        return available + ejected[: min_available - len(available)]

    def expected_ms(
        self, server: str, now: float, default_latency_ms: float, others: float = 0.0
    ) -> float:
        """Return the expected time of a request at a server, from its latency and queue.

        ``others`` is the estimated number of open requests of other VMs.
        """
        record = self._records.get(server)
        if record is None:
            return default_latency_ms * (1 + 0.5 * others)
        latency = record.latency_ms
        if latency is None or now - record.latency_at > LATENCY_TTL_MS:
            latency = default_latency_ms
        return latency * (1 + 0.5 * (record.open_requests + others)) * (1 + 4 * record.failure_ewma)

    def median_latency_ms(self, servers: Iterable[str], now: float) -> float:
        """Return the median latency of some servers, as a default for those without one."""
        latencies = sorted(
            record.latency_ms
            for name in servers
            if (record := self._records.get(name)) is not None
            and record.latency_ms is not None
            and now - record.latency_at <= LATENCY_TTL_MS
        )
        return latencies[len(latencies) // 2] if latencies else 50.0

    def prune(self, servers: Iterable[str]) -> None:
        """Drop the records of servers not in ``servers`` unless they have open requests."""
        kept = set(servers)
        for name in list(self._records):
            if name not in kept and not self._records[name].open_requests:
                del self._records[name]
