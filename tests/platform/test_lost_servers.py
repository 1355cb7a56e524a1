"""Servers that lose power or are partitioned: found by a probe, not by client timeouts."""

import time

import trio

from siskinspoke.coordination.server_health import FailureKind
from siskinspoke.gateway import reachability
from siskinspoke.gateway.context import now_ms
from tests.platform.site import gateway_site, servers, until
from tests.platform.standin_server import Events, Silent
from tests.platform.test_streams import PROMPT, data_of, event

# Without probes, the first attempt of a short prompt waits 1 s, and a stream 1.4 s.
SOON_SECONDS = 0.6


class Network:
    """Replace the gateway's connect function: connections to ports in ``dark`` hang."""

    def __init__(self, monkeypatch):
        self.dark: set[int] = set()
        self._connect = reachability.connect
        monkeypatch.setattr(reachability, "connect", self._open)

    async def _open(self, host, port, *more):
        while port in self.dark:
            await trio.sleep(0.01)
        return await self._connect(host, port, *more)


def leave_one(site, two):
    """Make the next request go to the server other than ``two``."""
    site.gateway.directory.mark_leaving(*site.gateway.directory.latest(two.name).start)


async def ask_while(site, path, happen, **headers):
    """Send a request, run ``happen``, and return the answer and how long it took."""
    began = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(reachability.probe_overdue_forever, site.gateway)
        async with site.request_in_background(path, **headers) as answers:
            await happen()
            await until(lambda: answers)
        took = trio.current_time() - began
        nursery.cancel_scope.cancel()
    return answers[0], took


class TestOverdueAnswers:
    """Requests at a lost server continue on another one within a quarter of a second."""

    def test_first_token(self, tmp_path, monkeypatch):
        """An engine loses power while short prompts wait for their first tokens.

        Each waited a second, and each other VM found out through a request of its own.
        """

        async def run():
            network = Network(monkeypatch)
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [Silent()], [Events(last=3)]) as (one, two),
            ):
                leave_one(site, two)

                async def happen():
                    await until(lambda: one.seen)
                    network.dark.add(one.port)
                    site.announce(two, "engines", started=5)

                answer, took = await ask_while(site, "/stream/x", happen, **PROMPT)
                assert data_of(answer.body) == b"".join(event(n) for n in (1, 2, 3))
                assert took < SOON_SECONDS
                standing = site.gateway.server_health
                await until(lambda: standing.is_unreachable(one.name), SOON_SECONDS)

        trio.run(run)

    def test_mid_stream(self, tmp_path, monkeypatch):
        async def run():
            network = Network(monkeypatch)
            script = [Events(last=2, then="silent")]
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", script, [Events(last=4)]) as (one, two),
            ):
                leave_one(site, two)

                async def happen():
                    await until(lambda: one.seen)
                    network.dark.add(one.port)
                    site.announce(two, "engines", started=5)

                answer, took = await ask_while(site, "/stream/x", happen, **PROMPT)
                assert data_of(answer.body) == b"".join(event(n) for n in (1, 2, 3, 4))
                assert took < SOON_SECONDS

        trio.run(run)

    def test_next_server_behind_the_same_partition(self, tmp_path, monkeypatch):
        """Two servers are partitioned from this VM; the second has a pooled connection here.

        That connection accepted the stream and never answered, and with its second server lost the
        stream was truncated, though a third one was healthy.
        """

        async def run():
            network = Network(monkeypatch)
            kept = [Events(), Silent()]
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [Silent()], kept, [Events()]) as (one, two, three),
            ):
                standing = site.gateway.server_health
                leave_one(site, three)
                standing.record_failure(one.name, FailureKind.UNREACHABLE, now_ms())
                await site.ask("/stream/x", **PROMPT)
                assert len(two.seen) == 1
                standing.record_connection(one.name)
                standing.record_failure(two.name, FailureKind.UNREACHABLE, now_ms())

                async def happen():
                    await until(lambda: one.seen)
                    network.dark |= {one.port, two.port}
                    standing.record_connection(two.name)
                    await until(lambda: standing.is_unreachable(one.name))
                    site.announce(three, "engines", started=5)

                answer, _ = await ask_while(site, "/stream/x", happen, **PROMPT)
                assert data_of(answer.body) == b"".join(event(n) for n in (1, 2, 3))
                assert len(two.seen) == 1
                assert len(three.seen) == 1

        trio.run(run)

    def test_healthy_server_keeps_its_request(self, tmp_path, monkeypatch):
        """An engine is slow; a probe shows that it is alive, so its work is not discarded."""

        async def run():
            Network(monkeypatch)
            script = [Events(last=4, pause=0.3)]
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", script) as (one,),
            ):
                answer, _ = await ask_while(site, "/stream/x", trio.lowlevel.checkpoint, **PROMPT)
                assert answer.whole
                assert len(one.seen) == 1
                assert one.connections > 1

        trio.run(run)

    def test_non_retryable_call_keeps_waiting(self, tmp_path, monkeypatch):
        """The partition may heal and the answer arrive; a second attempt could run it twice."""

        async def run():
            network = Network(monkeypatch)
            async with gateway_site(tmp_path) as site, servers(site, "plain", [Silent()]) as (one,):

                async def happen():
                    await until(lambda: one.seen)
                    network.dark.add(one.port)

                _, took = await ask_while(site, "/once/x", happen, Deadline_Ms="700")
                assert took > SOON_SECONDS
                assert len(one.seen) == 1

        trio.run(run)


class TestDoubts:
    """An engine that accepts a request and never answers is detected by its expected time."""

    def test_second_attempt_is_in_time(self, tmp_path, monkeypatch):
        """Two of 18 engines never answer four of ten requests; their machines are reachable.

        A short prompt waited a second there, where its target is 300 ms.
        """

        async def run():
            Network(monkeypatch)
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [Silent()], [Events()]) as (one, two),
            ):
                leave_one(site, two)

                async def happen():
                    await until(lambda: one.seen)
                    site.announce(two, "engines", started=5)

                answer, took = await ask_while(site, "/stream/x", happen, **PROMPT)
                assert answer.whole
                assert took < SOON_SECONDS
                assert len(two.seen) == 1

        trio.run(run)


class TestRefusedConnections:
    """A server that accepts no more connections still works on its requests."""

    def test_no_attempt_ends(self, tmp_path, monkeypatch):
        """A probe is refused, since the server has reached its connection limit.

        The server was taken for lost, and its stream was restarted elsewhere while it still ran:
        one request ran on more servers than its route allows.
        """

        async def refuse(*_args):
            raise ConnectionRefusedError

        async def run():
            script = [Events(last=4, pause=0.2)]
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", script, [Events(last=4)]) as (one, two),
            ):
                leave_one(site, two)

                async def happen():
                    await until(lambda: one.seen)
                    monkeypatch.setattr(reachability, "connect", refuse)
                    site.announce(two, "engines", started=5)

                answer, _ = await ask_while(site, "/stream/x", happen, **PROMPT)
                assert answer.whole
                assert len(one.seen) == 1
                assert two.seen == []

        trio.run(run)


class TestLossReports:
    """Another VM's report starts a probe, and the probe decides."""

    def test_unreachable_for_all(self, tmp_path, monkeypatch):
        async def run():
            network = Network(monkeypatch)
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [Events()], [Events()]) as (one, two),
            ):
                network.dark.add(one.port)
                reachability.handle_loss_report(site.gateway, one.name)
                await until(lambda: site.gateway.server_health.is_unreachable(one.name))
                for _ in range(3):
                    assert (await site.ask("/stream/x", **PROMPT)).whole
                assert one.seen == []
                assert len(two.seen) == 3

        trio.run(run)

    def test_unreachable_for_the_reporting_vm_only(self, tmp_path, monkeypatch):
        """The reporting VM is itself partitioned; its reports must not empty the fleet."""

        async def run():
            Network(monkeypatch)
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [Events()]) as (one,),
            ):
                reachability.handle_loss_report(site.gateway, one.name)
                await until(lambda: one.connections)
                assert not site.gateway.server_health.is_ejected(one.name, now_ms())

        trio.run(run)


class TestRecovery:
    """A server that was lost is used again once it can be reached."""

    def test_found_by_a_probe(self, tmp_path, monkeypatch):
        async def run():
            network = Network(monkeypatch)
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [Events()]) as (one,),
            ):
                network.dark.add(one.port)
                reachability.handle_loss_report(site.gateway, one.name)
                await until(lambda: site.gateway.server_health.is_unreachable(one.name))
                network.dark.clear()
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(reachability.probe_unreachable_forever, site.gateway)
                    await until(lambda: not site.gateway.server_health.is_unreachable(one.name))
                    nursery.cancel_scope.cancel()
                assert one.seen == []

        trio.run(run)

    def test_cancelled_probe(self, tmp_path, monkeypatch):
        """A client disconnects while its VM connects to a lost server, and then that is back.

        The probe counted as in progress from then on, so no other was started, and the VM never
        used the server again.
        """

        async def run():
            network = Network(monkeypatch)
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [Events()]) as (one,),
            ):
                record = site.gateway.directory.latest(one.name)
                network.dark.add(one.port)
                await reachability.probe(site.gateway, record)
                with trio.move_on_after(0.02):
                    await reachability.connect_to(site.gateway, record)
                network.dark.clear()
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(reachability.probe_unreachable_forever, site.gateway)
                    await until(lambda: not site.gateway.server_health.is_unreachable(one.name))
                    nursery.cancel_scope.cancel()

        trio.run(run)


class TestStalledVM:
    """A connection timeout of a VM that stalled itself proves nothing."""

    def test_connects_once_more(self, tmp_path, monkeypatch):
        """A CPU quota stalls the VM for 0.1 s; all servers would look lost."""
        tries = []

        async def race(_gateway, _server, _seconds):
            tries.append(trio.current_time())
            if len(tries) == 1:
                time.sleep(0.1)
                return reachability.NoConnection.SILENT
            return "connection"

        async def run():
            monkeypatch.setattr(reachability, "_race", race)
            async with (
                gateway_site(tmp_path) as site,
                servers(site, "engines", [Events()]) as (one,),
            ):
                record = site.gateway.directory.latest(one.name)
                for _ in range(20):
                    site.gateway.connect_timeout.record(4.0)
                assert await reachability.open_connection(site.gateway, record) == "connection"

        trio.run(run)
