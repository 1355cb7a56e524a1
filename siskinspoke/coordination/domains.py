"""Detects failure domains that cannot be reached from this VM, from its own connections.

Without this, each request would try the servers of an unreachable domain one after the other and
wait for the connection timeout of each.
"""

from dataclasses import dataclass, field

# This many different servers of a domain that cannot be reached, and none reached since, mean that
# the domain is cut off.
MIN_UNREACHABLE_SERVERS = 2
# Failures further apart than this are not related; about ten connection timeouts.
FAILURE_WINDOW_MS = 2_500.0
# A domain counts as cut off until this long after the last failure; probes extend or end this.
PARTITION_TTL_MS = 3_000.0


@dataclass(slots=True)
class _Domain:
    failed_at: dict[str, float] = field(default_factory=dict)
    partitioned_since: float | None = None


class DomainMonitor:
    """Tracks unreachable servers by failure domain; times are in milliseconds.

    Only this VM's own connections count: another VM that reports a partition may itself be the one
    that is partitioned.
    """

    def __init__(self) -> None:
        self._domains: dict[str, _Domain] = {}

    def record_success(self, domain: str) -> float | None:
        """Record a connection to a server; return since when a partition lasted that this ends."""
        record = self._domains.pop(domain, None)
        return None if record is None else record.partitioned_since

    def record_failure(self, domain: str, server: str, now: float) -> bool:
        """Record a failed connection; return whether the domain is newly considered cut off."""
        record = self._domains.setdefault(domain, _Domain())
        record.failed_at[server] = now
        recently_failed = [
            name for name, at in record.failed_at.items() if now - at < FAILURE_WINDOW_MS
        ]
        if record.partitioned_since is not None or len(recently_failed) < MIN_UNREACHABLE_SERVERS:
            return False
        record.partitioned_since = now
        return True

    def record_refusals(self, domain: str, now: float) -> bool:
        """Record that several servers of a domain refuse at once; return whether that is new."""
        record = self._domains.setdefault(domain, _Domain())
        record.failed_at["refused"] = now
        if record.partitioned_since is not None:
            return False
        record.partitioned_since = now
        return True

    def is_cut_off(self, domain: str, now: float) -> bool:
        """Return whether a domain is considered unreachable."""
        record = self._domains.get(domain)
        if record is None or record.partitioned_since is None:
            return False
        return now - max(record.failed_at.values()) < PARTITION_TTL_MS

    def cut_off(self, now: float) -> list[str]:
        """Return the domains that are considered unreachable."""
        return [name for name in self._domains if self.is_cut_off(name, now)]
