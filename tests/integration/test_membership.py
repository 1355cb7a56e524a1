"""Joining and leaving backend servers, graceful shutdown and isolated failure domains."""

import random
import time

import pytest
import trio

from siskinspoke.core.codes import ResultCode
from siskinspoke.loadgen.client import idempotency_key, prompt_text
from siskinspoke.testing.fleet import wait_until
from siskinspoke.testing.proxy import Rule
from siskinspoke.testing.site import customer_key

KEY = customer_key("municipio-1")
ENGINE = "engine-sala-a-1"
# Longer than the 3 s lease of an announcement.
LEASE_EXPIRY_SECONDS = 3.5


async def complete(caller, tokens=1_500, output=8, timeout_ms=20_000, **options):
    """Stream one short completion."""
    prompt = prompt_text("municipio-1", 0, random.randrange(10**6), tokens, 0.0)
    return await caller.complete("redactor", KEY, prompt, output, timeout_ms, **options)


async def send_steadily(site, seconds, action, *entries, rate=20, **options):
    """Send requests at a steady rate, run ``action`` after a second, and return all outcomes."""
    outcomes = []
    async with site.caller(*entries) as caller, trio.open_nursery() as nursery:

        async def send_one():
            outcomes.append(await complete(caller, **options))

        async def run_action():
            await trio.sleep(1.0)
            await trio.to_thread.run_sync(action)

        nursery.start_soon(run_action)
        for _ in range(int(seconds * rate)):
            nursery.start_soon(send_one)
            await trio.sleep(1 / rate)
    return outcomes


def started_requests(site, name):
    """Return how many requests an engine has started."""
    return sum(site.server_state(name)["began"].values())


class TestLeaving:
    """A leaving backend server gets no new work after a few seconds."""

    @pytest.mark.parametrize("mutant", ["", "leaving_unheard"])
    def test_no_new_work(self, make_site, mutant):
        """A leaving server keeps sending announcements while it finishes its open streams.

        Datagrams between failure domains are duplicated and reordered, so an announcement sent
        before the leave message can arrive after it and must not undo it.
        """
        site = make_site(mutant=mutant)
        for source in range(3):
            for target in range(3):
                if source != target:
                    rule = Rule(duplicate_probability=0.5, jitter_seconds=1.0)
                    site.proxy.set_rule(source, target, rule)
        trio.run(send_steadily, site, 2, lambda: site.ask_server(ENGINE, "/v1/leave", {}))
        time.sleep(LEASE_EXPIRY_SECONDS)
        before = started_requests(site, ENGINE)
        trio.run(send_steadily, site, 4, lambda: None)
        started_after = started_requests(site, ENGINE) - before
        assert (started_after > 0) is bool(mutant)

    @pytest.mark.parametrize("mutant", ["", "no_lease"])
    def test_cut_off_vm_that_did_not_hear(self, make_site, mutant):
        """A network cut keeps the leave message of a server from two failure domains.

        The VMs there can still connect to the server, and stop using it only when the lease of
        its last announcement expires.
        """
        site = make_site(mutant=mutant)
        internal = site.fleet.settings.entries[0].internal_port
        for target in (1, 2):
            site.proxy.set_rule(0, target, Rule(cut=True), internal)
        site.ask_server(ENGINE, "/v1/leave", {})
        time.sleep(LEASE_EXPIRY_SECONDS)
        before = started_requests(site, ENGINE)
        trio.run(
            lambda: send_steadily(
                site, 4, lambda: None, "entry-sala-b-1", "entry-anexo-1", tokens=8_000
            )
        )
        assert (started_requests(site, ENGINE) > before) is bool(mutant)


class TestCrash:
    """A backend server crashes, or restarts on the same address."""

    def test_killed_engine_fails_no_request(self, make_site):
        """An engine is killed under load, and all requests still succeed."""
        site = make_site()
        outcomes = trio.run(send_steadily, site, 4, lambda: site.fleet.kill(ENGINE))
        assert [item for item in outcomes if not item.is_complete] == []

    def test_restarted_engine_serves_again(self, make_site):
        """An engine that restarts on its old address gets work as a new incarnation."""
        site = make_site()
        site.fleet.kill(ENGINE)
        site.restart_server(ENGINE)
        wait_until(
            lambda: len(site.fleet.status("entry-anexo-1")["servers"]) == 4, "the restarted engine"
        )
        outcomes = trio.run(send_steadily, site, 3, lambda: None)
        assert all(item.is_complete for item in outcomes)
        assert started_requests(site, ENGINE) > 0


class TestShutdown:
    """A graceful shutdown interrupts no request."""

    def test_long_stream_completes_after_sigterm(self, make_site):
        """An entry VM that gets SIGTERM during a long answer completes it and refuses new work."""
        site = make_site(engine_flags=("--step_base_ms=60",), entries_per_domain=2)
        name = "entry-sala-a-1"

        async def scenario():
            outcomes = []
            async with site.caller(name) as caller, trio.open_nursery() as nursery:

                async def stream_long_answer():
                    outcomes.append(await complete(caller, output=150, resume=False))

                nursery.start_soon(stream_long_answer)
                await trio.sleep(1.5)
                process = site.fleet.terminate(name)
                await trio.sleep(0.3)
                refused = await complete(caller, resume=False)
            return outcomes[0], refused, process

        outcome, refused, process = trio.run(scenario)
        assert outcome.is_complete
        assert (refused.code, refused.run) == (ResultCode.DRAINING, "not_run")
        assert refused.status == 503
        assert process.wait(10) == 0

    def test_rolling_restart_of_every_process(self, make_site):
        """Each entry VM and control replica restarts in turn under load; no request fails.

        The load balancer tries the next VM when one is draining or does not listen.
        """
        site = make_site(entries_per_domain=2)
        fleet = site.fleet

        def restart_all():
            for entry in fleet.settings.entries:
                assert fleet.terminate(entry.name).wait(20) == 0
                fleet.start_entry(entry.name)
                fleet.wait_entries([entry.name])
                fleet.wait_servers(4, [entry.name])
            for control in fleet.settings.controls:
                assert fleet.terminate(control.name).wait(20) == 0
                fleet.start_control(control.name)
                fleet.wait_caught_up(control.name)

        async def scenario():
            outcomes, calls = [], []
            finished = trio.Event()
            async with site.caller() as caller, trio.open_nursery() as nursery:

                async def send_one():
                    outcomes.append(await send_through_balancer(complete, caller))

                async def send_call(number):
                    key = idempotency_key(f"call-{number}")
                    calls.append(
                        await send_through_balancer(
                            lambda c: c.call("despacho", KEY, "x", key, 15_000), caller
                        )
                    )

                async def restart():
                    await trio.to_thread.run_sync(restart_all)
                    finished.set()

                nursery.start_soon(restart)
                number = 0
                while not finished.is_set():
                    number += 1
                    nursery.start_soon(send_one)
                    if number % 5 == 0:
                        nursery.start_soon(send_call, number)
                    await trio.sleep(0.1)
            return outcomes, calls

        outcomes, calls = trio.run(scenario)
        assert [item for item in outcomes if not item.is_complete] == []
        assert [item for item in calls if not item.is_complete] == []
        runs = site.runs_by_subject("despacho-sala-a-1")
        assert set(runs.values()) == {1}


async def send_through_balancer(send, caller):
    """Send as a load balancer does: try the next VM if one is draining or unreachable."""
    for _ in range(6):
        outcome = await send(caller)
        if outcome.code != ResultCode.DRAINING and outcome.status != 0:
            break
    return outcome


class TestIsolatedDomain:
    """An isolated failure domain keeps serving with the engines that it can reach."""

    def test_both_sides_serve_and_no_call_runs_twice(self, make_site):
        """During a silent network partition each side serves with its own engines.

        Non-idempotent calls run only on the majority side; the isolated domain refuses them.
        Resends of one call on both sides, also after the partition heals, run it only once.
        """
        site = make_site(services=3)
        site.proxy.isolate(2, 3)
        time.sleep(LEASE_EXPIRY_SECONDS)
        isolated = trio.run(send_steadily, site, 2, lambda: None, "entry-anexo-1")
        connected = trio.run(
            send_steadily, site, 2, lambda: None, "entry-sala-a-1", "entry-sala-b-1"
        )
        assert all(item.is_complete for item in isolated + connected)
        key = idempotency_key("cut")

        async def charge(entry):
            async with site.caller(entry) as caller:
                return await caller.call("despacho", KEY, "x", key)

        refused = trio.run(charge, "entry-anexo-1")
        assert refused.code == ResultCode.CLAIMS_UNAVAILABLE
        assert trio.run(charge, "entry-sala-a-1").is_complete
        site.proxy.isolate(2, 3, cut=False)
        wait_until(
            lambda: len(site.fleet.status("entry-anexo-1")["servers"]) == 6,
            "all servers after the partition healed",
        )
        assert trio.run(charge, "entry-anexo-1").is_complete
        services = [name for name in site.specs if name.startswith("despacho")]
        assert sum(site.runs_by_subject(*services).values()) == 1

    def test_prompt_that_needs_unreachable_engines(self, make_site):
        """A prompt that needs unreachable engines is refused with a Retry-After time."""
        site = make_site()
        site.proxy.isolate(2, 3)
        time.sleep(LEASE_EXPIRY_SECONDS)

        async def send_huge_prompt():
            async with site.caller("entry-anexo-1") as caller:
                return await complete(caller, tokens=900_000, timeout_ms=60_000)

        refused = trio.run(send_huge_prompt)
        assert (refused.code, refused.run) == (ResultCode.NOT_REACHABLE_NOW, "not_run")
        assert refused.retry_after_ms > 0
