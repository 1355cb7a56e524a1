"""Tests for running servers that refuse connections, and for probes without a response."""

from collections import deque

import trio

from siskinspoke.gateway import reachability
from tests.platform.site import gateway_site, servers, until
from tests.platform.standin_server import Events
from tests.platform.test_silence import whole_stream
from tests.platform.test_streams import PROMPT, data_of

PARTITION_SECONDS = 0.6


class Firewall:
    """Intercept the gateway's connections to servers: refuse them, or let some attempts hang."""

    def __init__(self, monkeypatch):
        self.refuses: set[int] | None = set()
        self.hanging_attempts = 0
        self._connect = reachability.connect
        monkeypatch.setattr(reachability, "connect", self._open)

    async def _open(self, host, port, *more):
        if self.refuses is None or port in self.refuses:
            if self.hanging_attempts:
                self.hanging_attempts -= 1
                await trio.sleep_forever()
            raise ConnectionRefusedError
        return await self._connect(host, port, *more)


def crashed_servers(site) -> list[str]:
    """Return the names of the servers that this VM considers crashed."""
    return [crash.start[0] for crash in site.gateway.crashes.ledger.crashes]


class TestDomainRefuses:
    """A partition resets all connections into a failure domain and refuses new ones."""

    def test_no_server_counts_as_crashed(self, tmp_path, monkeypatch):
        """Partitioned engines were recorded as crashed, and harmless requests as suspects."""

        async def run():
            firewall = Firewall(monkeypatch)
            script = deque([Events(last=2, pause=0.2, then="cut"), Events(first=3, last=4)])
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [Events()], [Events()], [Events()]) as running,
            ):
                for server in running:
                    server.script = script
                async with site.request_in_background("/stream/x", **PROMPT) as answers:
                    await until(lambda: any(server.seen for server in running))
                    firewall.refuses = None
                    await until(lambda: site.gateway.counters.totals.get("crash.doubted"))
                    assert site.gateway.domains.cut_off(reachability.now_ms())
                    await trio.sleep(PARTITION_SECONDS)
                    assert crashed_servers(site) == []
                    firewall.refuses = set()
                    await until(lambda: answers)
                assert crashed_servers(site) == []
                assert data_of(answers[0].body) == whole_stream(4)

        trio.run(run)

    def test_crash_before_partition_is_detected_afterwards(self, tmp_path, monkeypatch):
        """A request crashes an engine just before a partition; the evidence must not be lost."""

        async def run():
            firewall = Firewall(monkeypatch)
            script = [Events(last=2, pause=0.2, then="cut")]
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", script, script, script) as running,
                site.request_in_background("/stream/x", **PROMPT),
            ):
                await until(lambda: any(server.seen for server in running))
                dead = next(server for server in running if server.seen)
                firewall.refuses = None
                await until(lambda: site.gateway.counters.totals.get("crash.doubted"))
                firewall.refuses = {dead.port}
                await until(lambda: crashed_servers(site))
                assert crashed_servers(site)[0] == dead.name

        trio.run(run)


class TestNothingHeard:
    """The VM is paused while it probes a server, and does not even receive the refusal."""

    def test_crash_is_detected_by_later_probe(self, tmp_path, monkeypatch):
        """One timed-out probe was final, so a crashing request was forwarded without end."""

        async def run():
            firewall = Firewall(monkeypatch)
            script = [Events(last=2, pause=0.2, then="cut")]
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", script, script) as running,
                site.request_in_background("/stream/x", **PROMPT),
            ):
                await until(lambda: any(server.seen for server in running))
                dead = next(server for server in running if server.seen)
                firewall.refuses, firewall.hanging_attempts = {dead.port}, 2
                await until(lambda: crashed_servers(site))
                assert crashed_servers(site)[0] == dead.name

        trio.run(run)
