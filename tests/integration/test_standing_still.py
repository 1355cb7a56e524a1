"""VMs and engines that stand still, or hear nothing, for longer than announcements last."""

import time

import pytest
import trio

from siskinspoke.loadgen.client import prompt_text
from siskinspoke.testing.fleet import wait_until
from siskinspoke.testing.proxy import Rule
from siskinspoke.testing.site import customer_key

KEY = customer_key("municipio-1")
TIMEOUT_MS = 4_000
SLACK_SECONDS = 1.0
# Announcements are believed for 3 s.
STILL_SECONDS = 3.3
DEAF_SECONDS = 3.4


async def complete(site, name, output, timeout_ms):
    prompt = prompt_text("municipio-1", 0, 1, 2_000, 0.0)
    async with site.caller(name) as caller:
        return await caller.complete("redactor", KEY, prompt, output, timeout_ms, resume=False)


class TestFrozenOnArrival:
    """A VM that is frozen when a request comes counts its deadline from before it froze."""

    @pytest.mark.parametrize("frozen", [0.0, 3.0])
    def test_deadline_counts_from_sending(self, make_site, frozen):
        """A caller sends to a VM that stands still for three seconds, and waits for four.

        The VM read the request once it woke and counted the four seconds from there, so the
        answer came up to three seconds after its time.
        """
        site = make_site(engine_flags=("--step_base_ms=40",))
        name = "entry-sala-a-1"
        outcomes = []

        async def scenario():
            async with trio.open_nursery() as nursery:

                async def one():
                    outcomes.append(await complete(site, name, 60, TIMEOUT_MS))

                if frozen:
                    site.fleet.freeze(name)
                nursery.start_soon(one)
                await trio.sleep(frozen)
                site.fleet.thaw(name)

        trio.run(scenario)
        assert outcomes[0].status
        assert outcomes[0].total <= TIMEOUT_MS / 1000 + SLACK_SECONDS, outcomes


class TestStandsStill:
    """Processes stand still for longer than announcements last, and go on; no engine was lost."""

    def test_whole_site(self, make_site):
        """The VMs wake 0.3 s before the engines: all leases have run out, nobody speaks yet.

        Each VM refused its callers with NO_SERVER, though it knew three engines that were well.
        """
        site = make_site()
        entries = [entry.name for entry in site.fleet.settings.entries]
        outcomes = trio.run(around, site, [*entries, *site.specs], entries)
        assert [item for item in outcomes if not item.whole] == []


async def around(site, frozen, entries):
    """Freeze, send a request to each VM shortly before it wakes, thaw the VMs, then the rest."""
    outcomes = []

    async def one(name):
        outcomes.append(await complete(site, name, 8, 20_000))

    for name in frozen:
        site.fleet.freeze(name)
    await trio.sleep(STILL_SECONDS - 0.2)
    async with trio.open_nursery() as nursery:
        for name in entries:
            nursery.start_soon(one, name)
        await trio.sleep(0.2)
        for name in entries:
            site.fleet.thaw(name)
        await trio.sleep(0.3)
        for name in frozen:
            site.fleet.thaw(name)
    return outcomes


class TestDeafVM:
    """Datagrams between VMs get lost for a while; engines and connections to them are well."""

    def test_goes_on_with_the_engines_it_knows(self, make_site):
        """Each engine speaks to the first VM of its domain; the second ones hear by way of those.

        The leases of all engines run out together at the second VMs, which refused their callers
        with NO_SERVER while connections to each engine came about.
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
            "all VMs serve",
        )
        for source in range(3):
            for target in range(3):
                rule = Rule(cut=True)
                site.proxy.set_rule(source, target, rule, entries[0].internal_port)
        time.sleep(DEAF_SECONDS)
        outcomes = [trio.run(complete, site, entry.name, 8, 20_000) for entry in entries]
        assert pids == {name: site.fleet.pid(name) for name in site.specs}
        assert [item for item in outcomes if not item.whole] == []
