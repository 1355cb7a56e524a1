"""VMs and engines that freeze, or lose datagrams, for longer than the announcement lease."""

import time

import pytest
import trio

from siskinspoke.loadgen.client import prompt_text
from siskinspoke.testing.fleet import wait_until
from siskinspoke.testing.proxy import Rule
from siskinspoke.testing.site import customer_key

KEY = customer_key("municipio-1")
TIMEOUT_MS = 4_000
TOLERANCE_SECONDS = 1.0
# Both are longer than the 3 s lease of an announcement.
FREEZE_SECONDS = 3.3
DATAGRAM_LOSS_SECONDS = 3.4


async def complete(site, name, output, timeout_ms):
    prompt = prompt_text("municipio-1", 0, 1, 2_000, 0.0)
    async with site.caller(name) as caller:
        return await caller.complete("redactor", KEY, prompt, output, timeout_ms, resume=False)


class TestFrozenOnArrival:
    """A request that arrives while a VM is frozen: its deadline counts from before the freeze."""

    @pytest.mark.parametrize("frozen", [0.0, 3.0])
    def test_deadline_counts_from_sending(self, make_site, frozen):
        """A client with a 4 s timeout sends a request to a VM that is frozen for 3 s.

        Guards against counting the timeout from when the resumed VM reads the request, which
        delayed the answer by up to 3 s past its deadline.
        """
        site = make_site(engine_flags=("--step_base_ms=40",))
        name = "entry-sala-a-1"
        outcomes = []

        async def scenario():
            async with trio.open_nursery() as nursery:

                async def send_one():
                    outcomes.append(await complete(site, name, 60, TIMEOUT_MS))

                if frozen:
                    site.fleet.suspend(name)
                nursery.start_soon(send_one)
                await trio.sleep(frozen)
                site.fleet.resume(name)

        trio.run(scenario)
        assert outcomes[0].status
        assert outcomes[0].total <= TIMEOUT_MS / 1000 + TOLERANCE_SECONDS, outcomes


class TestFrozenProcesses:
    """Processes freeze for longer than the announcement lease and resume; no engine is lost."""

    def test_frozen_site_resumes(self, make_site):
        """VMs that resume 0.3 s before the engines still place requests on known engines.

        Guards against refusing clients with NO_SERVER because all announcement leases have
        expired and no engine has announced itself yet.
        """
        site = make_site()
        entries = [entry.name for entry in site.fleet.settings.entries]
        outcomes = trio.run(send_during_freeze, site, [*entries, *site.specs], entries)
        assert [item for item in outcomes if not item.is_complete] == []


async def send_during_freeze(site, frozen, entries):
    """Freeze processes, send a request to each VM just before it resumes, then resume the rest."""
    outcomes = []

    async def send_one(name):
        outcomes.append(await complete(site, name, 8, 20_000))

    for name in frozen:
        site.fleet.suspend(name)
    await trio.sleep(FREEZE_SECONDS - 0.2)
    async with trio.open_nursery() as nursery:
        for name in entries:
            nursery.start_soon(send_one, name)
        await trio.sleep(0.2)
        for name in entries:
            site.fleet.resume(name)
        await trio.sleep(0.3)
        for name in frozen:
            site.fleet.resume(name)
    return outcomes


class TestDatagramLoss:
    """Datagrams between VMs are lost, while engines stay healthy and accept connections."""

    def test_serves_with_known_engines(self, make_site):
        """VMs serve with engines whose leases expired only because datagrams were lost.

        Each engine announces itself to the first VM of its domain, which forwards to the second.
        Guards against second VMs refusing clients with NO_SERVER when all leases expire at once,
        although they can connect to each engine.
        """
        site = make_site(entries_per_domain=2)
        entries = site.fleet.settings.entries
        for name, spec in site.specs.items():
            site.fleet.kill(name)
            first = [e for e in entries if e.failure_domain == spec.failure_domain][:1]
            site.fleet.start_server(spec, [(e.host, e.internal_port) for e in first])
            site.fleet.wait_listening(spec.host, spec.port)
        pids = {name: site.fleet.pid(name) for name in site.specs}
        wait_until(
            lambda: all(
                len(trio.run(complete, site, entry.name, 8, 20_000).request_id) > 0
                for entry in entries
            ),
            "all VMs serving",
        )
        for source in range(3):
            for target in range(3):
                rule = Rule(cut=True)
                site.proxy.set_rule(source, target, rule, entries[0].internal_port)
        time.sleep(DATAGRAM_LOSS_SECONDS)
        outcomes = [trio.run(complete, site, entry.name, 8, 20_000) for entry in entries]
        assert pids == {name: site.fleet.pid(name) for name in site.specs}
        assert [item for item in outcomes if not item.is_complete] == []
