"""Servers that are presumed cold, after partitions of this VM and restarts of control VMs."""

import trio

from siskinspoke.coordination.directory import start_of
from siskinspoke.coordination.limiters import Outcome, PermitDecision
from siskinspoke.coordination.work_table import Job
from siskinspoke.gateway.assignment import choose_engines, engine_costs
from siskinspoke.gateway.attempts import Attempt
from siskinspoke.gateway.cold import cold_until, is_cold
from siskinspoke.gateway.cold_permits import lease_clock_ms
from siskinspoke.gateway.context import now_ms
from siskinspoke.gateway.evacuations import apply_evacuations
from siskinspoke.gateway.holds import COLD_HELPER, find_attempt_hold
from siskinspoke.gateway.permits import Decision, Permit
from siskinspoke.gateway.reachability import connect_to, mark_unreachable
from siskinspoke.gateway.remote_placement import place_of_offer
from siskinspoke.protocol.evacuations import Evacuation, EvacuationState
from siskinspoke.protocol.peers import PlaceOffer
from tests.platform.site import gateway_site
from tests.platform.test_cold_servers import SERVICES, _servers, requests_at

STARTED = 5
COLD_SERVICE_MS = 60_000


def announce(site, running, **changes) -> list:
    """Announce some engines and return what the gateway knows of them."""
    for server in running:
        site.announce(server, "engines", started=STARTED, **changes)
    return [site.gateway.directory.latest(server.name) for server in running]


async def cut_off(site, records) -> None:
    """Let two engines be out of reach, so that their failure domain counts as cut off."""
    for record in records[:2]:
        mark_unreachable(site.gateway, record)


class TestPartitionEnds:
    """A failure domain can be reached again."""

    def test_presumptions_end(self, tmp_path):
        """Guards against servers that stay cold for good since this VM never connects to them."""

        async def run():
            async with gateway_site(tmp_path, services=SERVICES) as site, _servers(4) as running:
                records = announce(site, running, cold_left_ms=0, domain="b")
                await cut_off(site, records)
                assert await connect_to(site.gateway, records[2]) is not None
                back_at = now_ms()
                ends = [cold_until(site.gateway, record) for record in records]
                assert all(end <= back_at + COLD_SERVICE_MS for end in ends)

        trio.run(run)

    def test_servers_heard_meanwhile_are_not_cold(self, tmp_path):
        """Guards against needing permits for servers that were never out of control VMs' reach."""

        async def run():
            async with gateway_site(tmp_path, services=SERVICES) as site, _servers(4) as running:
                records = announce(site, running, cold_left_ms=0, domain="b")
                await cut_off(site, records)
                await trio.sleep(0.8)
                announce(site, running[2:], seq=2, cold_left_ms=0, domain="b")
                assert await connect_to(site.gateway, records[2]) is not None
                now = now_ms()
                cold = [is_cold(site.gateway, record, now) for record in records]
                assert cold == [True, True, False, False]

        trio.run(run)


class TestRememberedServers:
    """Servers that control VMs remember from their disks."""

    def test_live_announcement_ends_the_presumption(self, tmp_path):
        """Guards against a minute without requests where heartbeats say nothing of coldness."""

        async def run():
            async with gateway_site(tmp_path, services=SERVICES) as site, _servers(1) as running:
                (record,) = announce(site, running)
                start, gateway = start_of(record.announcement), site.gateway
                gateway.cold_servers.prune([], now_ms())
                gateway.cold_servers.remembered(start, None, now_ms())
                assert is_cold(gateway, record, now_ms())
                (record,) = announce(site, running, seq=2)
                assert not is_cold(gateway, record, now_ms())

        trio.run(run)


class TestGroups:
    """A permit allows one request to the decoding engine and none to helpers."""

    def test_long_prompt_goes_to_one_cold_engine(self, tmp_path):
        """Guards against refusing long prompts while all engines of a domain are cold."""

        async def run():
            async with gateway_site(tmp_path, services=SERVICES) as site, _servers(3) as running:
                records = announce(site, running, cold_left_ms=30_000)
                costs = engine_costs(site.gateway, "engines")
                job = Job(45_000, 100, 1_500.0, 500.0)
                found = choose_engines(site.gateway, costs, job, records)
                assert found is not None
                assert len(found.servers) == 1

        trio.run(run)

    def test_offer_with_a_cold_helper_is_declined(self, tmp_path):
        """Guards against work for a cold server without a permit, offered by another cell."""

        async def run():
            async with gateway_site(tmp_path, services=SERVICES) as site, _servers(2) as running:
                announce(site, running[:1], cold_left_ms=0)
                announce(site, running[1:], cold_left_ms=30_000)
                names = [server.name for server in running]
                offer = PlaceOffer(1, names, 100.0, [0])
                assert place_of_offer(site.gateway, offer, None) is None
                alone = PlaceOffer(1, names[1:], 100.0, [])
                assert place_of_offer(site.gateway, alone, None) is not None

        trio.run(run)

    def test_helper_that_turned_cold_holds_the_attempt(self, tmp_path):
        """Guards against a helper that turns cold between the choice and the request."""

        async def run():
            async with gateway_site(tmp_path, services=SERVICES) as site, _servers(2) as running:
                records = announce(site, running, cold_left_ms=0)
                attempt = Attempt(records, lambda: False)
                assert find_attempt_hold(site.gateway, records[0], attempt, now_ms()) is None
                announce(site, running[1:], seq=2, cold_left_ms=30_000)
                hold = find_attempt_hold(site.gateway, records[0], attempt, now_ms())
                assert (hold.reason, hold.member) == (COLD_HELPER, running[1].name)

        trio.run(run)


class TestEvacuationDuringAWait:
    """A failure domain is evacuated while a request waits for the permit of a server there."""

    def test_request_is_not_sent(self, tmp_path):
        """The first permit expires while the VM connects; the evacuation begins in the second wait.

        Guards against a request that reaches an evacuated server since only its permit was checked.
        """
        waits = []

        async def run():
            async with gateway_site(tmp_path, services=SERVICES) as site, _servers(1) as running:
                site.announce(running[0], "plain", cold_left_ms=30_000)

                async def obtain(queries, server, budget, patience_ms, urgent):
                    waits.append(patience_ms)
                    if len(waits) == 2:
                        evacuation = Evacuation("a", 5, 0, "c1")
                        apply_evacuations(site.gateway, EvacuationState(5, [evacuation]))
                    lifetime_ms = 0.0 if len(waits) == 1 else 300.0
                    granted = Decision(PermitDecision(Outcome.GRANTED, 0.0))
                    return Permit(server.start, lease_clock_ms() + lifetime_ms), granted

                site.gateway.cold_permits.obtain = obtain
                answer = await site.ask("/again/x")
                assert answer.status == 503
                assert len(waits) == 2
                assert requests_at(running[0]) == 0

        trio.run(run)
