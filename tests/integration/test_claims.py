"""A non-idempotent call runs at most once."""

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
SLOW_SERVICE_FLAGS = ("--delay_ms=1500",)


def subject(key):
    """Return the name under which the service logs a call with this idempotency key."""
    return f"{CUSTOMER}/{key}"


async def send_call(site, key, *entries, timeout_ms=8_000):
    """Call the plain service through the named entry VMs."""
    async with site.caller(*entries) as caller:
        return await caller.call("despacho", KEY, "send", key, timeout_ms)


def entry_counters(site, entry):
    """Return the counters of an entry VM."""
    return site.fleet.status(entry)["counters"]


async def resend_until_final(site, key, *entries, seconds=12):
    """Resend as a client does, until an answer has no Retry-After or the time is up."""
    deadline = time.monotonic() + seconds
    while True:
        outcome = await send_call(site, key, *entries)
        if outcome.retry_after_ms is None or time.monotonic() > deadline:
            return outcome
        await trio.sleep(0.2)


class TestResend:
    """A client resends a call through the load balancer to another VM."""

    def test_resend_during_first_attempt(self, make_site):
        """A resend to another VM while the first attempt runs does not run the call again.

        It reports that the call is in progress; a third attempt after its end gets the answer.
        """
        site = make_site(service_flags=SLOW_SERVICE_FLAGS, entries_per_domain=2)
        key = idempotency_key("one")

        async def scenario():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_call, site, key, "entry-sala-a-1")
                await trio.to_thread.run_sync(
                    wait_until, lambda: site.runs_by_subject(SERVICE)[subject(key)] == 1, "run"
                )
                during = await send_call(site, key, "entry-sala-b-1")
            after = await send_call(site, key, "entry-anexo-1")
            return during, after

        during, after = trio.run(scenario)
        assert during.code == ResultCode.IN_PROGRESS
        assert after.is_complete
        assert site.runs_by_subject(SERVICE)[subject(key)] == 1

    def test_entry_killed_after_dispatch(self, make_site):
        """The entry VM is killed after it dispatched a call; the client resends to another one.

        The service finishes the call, but its claim is never settled.  The resend must detect
        that the call ran, and not dispatch it again.
        """
        site = make_site(service_flags=SLOW_SERVICE_FLAGS, entries_per_domain=2)
        key = idempotency_key("two")

        async def scenario():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_call, site, key, "entry-sala-a-1")
                await trio.to_thread.run_sync(
                    wait_until, lambda: site.runs_by_subject(SERVICE)[subject(key)] == 1, "run"
                )
                site.fleet.kill("entry-sala-a-1")
            return await resend_until_final(site, key, "entry-sala-b-1")

        outcome = trio.run(scenario)
        assert outcome.code == ResultCode.ALREADY_RAN
        assert site.runs_by_subject(SERVICE)[subject(key)] == 1

    def test_frozen_entry_resumes_after_resend(self, make_site):
        """A VM freezes while its dispatch is in transit, and resumes after a resend has run.

        The network delays the dispatch.  The resend queries the service, which has not seen the
        first attempt and permanently rejects it; then the second attempt runs.  The delayed
        dispatch arrives, and the resumed VM requests the claim again.
        """
        site = make_site()
        key = idempotency_key("three")
        for domain in (0, 1):
            site.proxy.set_rule(2, domain, Rule(cut=True), SERVER_PORT)

        async def scenario():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_call, site, key, "entry-anexo-1")
                await trio.to_thread.run_sync(
                    wait_until,
                    lambda: "claim.granted" in entry_counters(site, "entry-anexo-1"),
                    "claim",
                )
                site.fleet.suspend("entry-anexo-1")
                outcome = await resend_until_final(site, key, "entry-sala-b-1")
                for domain in (0, 1):
                    site.proxy.set_rule(2, domain, Rule(), SERVER_PORT)
                site.fleet.resume("entry-anexo-1")
            return outcome, await send_call(site, key, "entry-anexo-1")

        outcome, late = trio.run(scenario)
        assert outcome.is_complete
        assert late.is_complete
        assert site.runs_by_subject(SERVICE)[subject(key)] == 1

    def test_service_restarted_on_same_address(self, make_site):
        """The service crashes during a call and restarts before the resend arrives.

        The new process has no record of the call and would answer 'never began'; only its
        incarnation shows the restart.  The outcome must be reported as unknown.
        """
        site = make_site(service_flags=SLOW_SERVICE_FLAGS)
        outcome, runs = trio.run(restart_service_during_call, site)
        assert outcome.code == ResultCode.FATE_UNKNOWN
        assert runs == 1

    @pytest.mark.parametrize("mutant", ["any_incarnation", "no_claims", "unknown_is_not_run"])
    def test_mutants_run_twice(self, make_site, mutant):
        """Without any one of these guards the call runs twice."""
        site = make_site(service_flags=SLOW_SERVICE_FLAGS, mutant=mutant)
        _, runs = trio.run(restart_service_during_call, site)
        assert runs == 2


async def restart_service_during_call(site):
    """Kill and restart the service during a call, resend, and return the outcome and run count."""
    key = idempotency_key("four")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_call, site, key, "entry-sala-a-1")
        await trio.to_thread.run_sync(
            wait_until, lambda: site.runs_by_subject(SERVICE)[subject(key)] == 1, "run"
        )
        site.fleet.kill(SERVICE)
        site.restart_server(SERVICE)
        site.fleet.wait_servers(4)
    outcome = await resend_until_final(site, key, "entry-sala-b-1", seconds=4)
    return outcome, site.runs_by_subject(SERVICE)[subject(key)]


class TestControlFaults:
    """Claims during failures of control replicas."""

    def test_claims_survive_leader_and_disk_loss(self, make_site):
        """The leader restarts with an empty disk; once it is readmitted, the new leader is killed.

        The earlier claim must survive both failures, so that a resend does not run again.
        """
        site = make_site()
        key = idempotency_key("five")
        assert trio.run(send_call, site, key).is_complete
        leader = site.fleet.leader()
        site.fleet.kill(leader)
        shutil.rmtree(site.fleet.settings.control_vm(leader).data_folder)
        new_leader = site.fleet.wait_leader()
        site.fleet.start_control(leader)
        wait_until(lambda: site.fleet.running(leader), "started")
        control = site.fleet.settings.control_vm(leader)
        site.fleet.wait_listening(control.host, control.port)
        wait_until(lambda: site.fleet.control_status(leader)["admitted"], "replica readmitted")
        site.fleet.kill(new_leader)
        site.fleet.wait_leader()
        outcome = trio.run(resend_until_final, site, key)
        assert outcome.is_complete
        assert site.runs_by_subject(SERVICE)[subject(key)] == 1

    def test_no_dispatch_without_majority(self, make_site):
        """With two of three control VMs down, a call is refused quickly and never dispatched.

        It is not reported as 'not run': an earlier attempt with its key may have run, which
        cannot be determined without a majority.
        """
        site = make_site()
        leader = site.fleet.leader()
        others = [c.name for c in site.fleet.settings.controls if c.name != leader]
        for name in others:
            site.fleet.kill(name)
        key = idempotency_key("six")
        outcome = trio.run(send_call, site, key)
        assert (outcome.code, outcome.run) == (ResultCode.CLAIMS_UNAVAILABLE, "unknown")
        assert outcome.retry_after_ms > 0
        assert site.runs_by_subject(SERVICE)[subject(key)] == 0
