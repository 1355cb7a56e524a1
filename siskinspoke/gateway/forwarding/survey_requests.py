"""Requests for probes of the servers of some failure domains, handled by a task of its own."""

import trio


class SurveyRequests:
    """The failure domains whose servers are to be probed; requests that wait are merged."""

    def __init__(self) -> None:
        self._domains: set[str] = set()
        self._all = False
        self._requested = trio.Event()

    def request_all(self) -> None:
        """Request a survey of all failure domains."""
        self._all = True
        self._requested.set()

    def request(self, domain: str) -> None:
        """Request a survey of one failure domain."""
        self._domains.add(domain)
        self._requested.set()

    async def wait(self) -> frozenset[str] | None:
        """Wait for a request; return the failure domains, or None for all."""
        await self._requested.wait()
        self._requested = trio.Event()
        domains, self._domains = frozenset(self._domains), set()
        is_all, self._all = self._all, False
        return None if is_all else domains
