"""Proofs that a non-idempotent call runs at most once."""

import shutil
import time

import pytest
import trio

from siskinspoke.core.codes import ResultCode
from siskinspoke.loadgen.client import idempotency_key
from siskinspoke.testing.fleet import wait_until
from siskinspoke.testing.proxy import Rule
from siskinspoke.testing.site import SERVER_PORT, customer_key

CUSTOMER = "municipio-1"
KEY = customer_key(CUSTOMER)
SERVICE = "despacho-sala-a-1"
SLOW = ("--delay_ms=1500",)


def subject(key):
    """Return the name under which the service logs a keyed call."""
    return f"{CUSTOMER}/{key}"


async def call(site, key, *entries, timeout_ms=8_000):
    """Call the plain service through the named entry VMs."""
    async with site.caller(*entries) as caller:
        return await caller.call("despacho", KEY, "send", key, timeout_ms)


def counters(site, entry):
    """Return the counters of an entry VM."""
    return site.fleet.status(entry)["counters"]


async def resend_until_final(site, key, *entries, seconds=12):
    """Resend as a caller does, until the answer is not to come back later."""
    deadline = time.monotonic() + seconds
    while True:
        outcome = await call(site, key, *entries)
        if outcome.retry_after_ms is None or time.monotonic() > deadline:
            return outcome
        await trio.sleep(0.2)


class TestResend:
    """A clerk's client resends through the balancer to another VM."""

    def test_resend_while_the_first_runs(self, make_site):
        """The first answer is slow, the client asks again elsewhere, the debtor gets one letter.

        First attempt at one VM, resend at another while it runs, then once more after its end.
        """
        site = make_site(service_flags=SLOW, entries_per_domain=2)
        key = idempotency_key("one")

        async def scenario():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(call, site, key, "entry-sala-a-1")
                await trio.to_thread.run_sync(
                    wait_until, lambda: site.runs_by_subject(SERVICE)[subject(key)] == 1, "run"
                )
                during = await call(site, key, "entry-sala-b-1")
            after = await call(site, key, "entry-anexo-1")
            return during, after

        during, after = trio.run(scenario)
        assert during.code == ResultCode.IN_PROGRESS
        assert after.whole
        assert site.runs_by_subject(SERVICE)[subject(key)] == 1

    def test_entry_killed_after_dispatch(self, make_site):
        """The VM that took the call dies while it runs; the client resends to another one.

        The service finishes; nobody settles the claim.  The resend must find out and not run.
        """
        site = make_site(service_flags=SLOW, entries_per_domain=2)
        key = idempotency_key("two")

        async def scenario():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(call, site, key, "entry-sala-a-1")
                await trio.to_thread.run_sync(
                    wait_until, lambda: site.runs_by_subject(SERVICE)[subject(key)] == 1, "run"
                )
                site.fleet.kill("entry-sala-a-1")
            return await resend_until_final(site, key, "entry-sala-b-1")

        outcome = trio.run(scenario)
        assert outcome.code == ResultCode.ALREADY_RAN
        assert site.runs_by_subject(SERVICE)[subject(key)] == 1

    def test_frozen_entry_thaws_after_the_resend(self, make_site):
        """A VM freezes with its dispatch on the way, a resend runs elsewhere, then it thaws.

        The dispatch hangs in the network.  The resend asks the service, which has never seen
        the first attempt and forbids it for good; then the second one runs.  The late dispatch
        arrives, and the thawed VM asks for the claim again.
        """
        site = make_site()
        key = idempotency_key("three")
        for domain in (0, 1):
            site.proxy.set_rule(2, domain, Rule(cut=True), SERVER_PORT)

        async def scenario():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(call, site, key, "entry-anexo-1")
                await trio.to_thread.run_sync(
                    wait_until, lambda: "claim.granted" in counters(site, "entry-anexo-1"), "claim"
                )
                site.fleet.freeze("entry-anexo-1")
                outcome = await resend_until_final(site, key, "entry-sala-b-1")
                for domain in (0, 1):
                    site.proxy.set_rule(2, domain, Rule(), SERVER_PORT)
                site.fleet.thaw("entry-anexo-1")
            return outcome, await call(site, key, "entry-anexo-1")

        outcome, late = trio.run(scenario)
        assert outcome.whole
        assert late.whole
        assert site.runs_by_subject(SERVICE)[subject(key)] == 1

    def test_service_restarted_under_its_address(self, make_site):
        """The service dies in mid-call and is back before the resend comes.

        It knows nothing of the call it began, and would say 'never began': only the
        incarnation tells.  The honest answer is that nobody knows.
        """
        site = make_site(service_flags=SLOW)
        outcome, runs = trio.run(restart_in_mid_call, site)
        assert outcome.code == ResultCode.FATE_UNKNOWN
        assert runs == 1

    @pytest.mark.parametrize("mutant", ["any_incarnation", "no_claims", "unknown_is_not_run"])
    def test_mutants_run_twice(self, make_site, mutant):
        """With any of these guards switched off the debtor gets two letters."""
        site = make_site(service_flags=SLOW, mutant=mutant)
        _, runs = trio.run(restart_in_mid_call, site)
        assert runs == 2


async def restart_in_mid_call(site):
    """Kill and restart the service while a call runs, resend, and count the runs."""
    key = idempotency_key("four")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(call, site, key, "entry-sala-a-1")
        await trio.to_thread.run_sync(
            wait_until, lambda: site.runs_by_subject(SERVICE)[subject(key)] == 1, "run"
        )
        site.fleet.kill(SERVICE)
        site.restart_server(SERVICE)
        site.fleet.wait_servers(4)
    outcome = await resend_until_final(site, key, "entry-sala-b-1", seconds=4)
    return outcome, site.runs_by_subject(SERVICE)[subject(key)]


class TestControlFaults:
    """Claims while the control replicas fail."""

    def test_claims_survive_the_leader_and_a_lost_disk(self, make_site):
        """The leader's VM is lost with its disk, comes back empty, and then a second one dies.

        A key claimed before must still be held after both; a resend must not run again.
        """
        site = make_site()
        key = idempotency_key("five")
        assert trio.run(call, site, key).whole
        leader = site.fleet.leader()
        site.fleet.kill(leader)
        shutil.rmtree(site.fleet.settings.control_vm(leader).data_folder)
        second = site.fleet.wait_leader()
        site.fleet.start_control(leader)
        wait_until(lambda: site.fleet.running(leader), "started")
        control = site.fleet.settings.control_vm(leader)
        site.fleet.wait_listening(control.host, control.port)
        wait_until(lambda: site.fleet.control_status(leader)["admitted"], "the disk counts")
        site.fleet.kill(second)
        site.fleet.wait_leader()
        outcome = trio.run(resend_until_final, site, key)
        assert outcome.whole
        assert site.runs_by_subject(SERVICE)[subject(key)] == 1

    def test_no_majority_dispatches_nothing(self, make_site):
        """Two of three control VMs are down; a charge is refused, soon, and never dispatched.

        It is not called 'not run': an earlier attempt with its key may have run, and nobody
        is left who could know.
        """
        site = make_site()
        leader = site.fleet.leader()
        others = [c.name for c in site.fleet.settings.controls if c.name != leader]
        for name in others:
            site.fleet.kill(name)
        key = idempotency_key("six")
        outcome = trio.run(call, site, key)
        assert (outcome.code, outcome.run) == (ResultCode.CLAIMS_UNAVAILABLE, "unknown")
        assert outcome.retry_after_ms > 0
        assert site.runs_by_subject(SERVICE)[subject(key)] == 0
