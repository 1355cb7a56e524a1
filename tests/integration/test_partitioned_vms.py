"""The product's own interface: entry VMs that are partitioned from all servers."""

from collections import Counter

import pytest
import trio

from siskinspoke.core.codes import ResultCode
from siskinspoke.loadgen.client import idempotency_key, prompt_text
from siskinspoke.testing.proxy import Rule
from siskinspoke.testing.site import DOMAINS, SERVER_PORT, customer_key

KEY = customer_key("municipio-1")
CUT_DOMAIN = 0
SETTLE_SECONDS = 1.0
SECONDS = 5.0
PER_SECOND = 2
SERVED_SHARE = 0.95
RULES = {"hang": Rule(cut=True), "reset": Rule(refuse=True)}


def partition(site, rule: Rule) -> None:
    """Partition the VMs of one failure domain from all servers."""
    site.proxy.set_client_rule(CUT_DOMAIN, SERVER_PORT, rule)


class Traffic:
    """Streams, and calls that may run once, at each entry VM."""

    def __init__(self, site):
        self._site = site
        self.outcomes: dict[str, list[bool]] = {}
        self.sent_keys: list[str] = []

    async def send_stream(self, name: str, number: int) -> None:
        """Stream a completion through one VM."""
        entry = self._site.entry_address(name)
        prompt = prompt_text("municipio-1", 0, number, 1_000, 0.0)
        async with self._site.caller(name) as caller:
            outcome = await caller.complete("redactor", KEY, prompt, 20, 4_000, entry=entry)
        self.outcomes.setdefault(name, []).append(outcome.is_complete)

    async def send_call(self, name: str, number: int) -> None:
        """Call a plain service, which may run the call once, through one VM."""
        key = idempotency_key(f"{name}-{number}")
        self.sent_keys.append(key)
        async with self._site.caller(name) as caller:
            response = await caller.post(
                self._site.entry_address(name),
                "/v1/services/despacho",
                KEY,
                {"input": f"{number}", "timeout_ms": 4_000},
                {"Idempotency-Key": key},
            )
        self.outcomes.setdefault(name, []).append(response.status_code == 200)

    async def run(self, names: list[str]) -> None:
        """Send requests at a rate for each VM, and wait for their answers."""
        async with trio.open_nursery() as nursery:
            for number in range(round(SECONDS * PER_SECOND)):
                for name in names:
                    nursery.start_soon(self.send_stream, name, number)
                    nursery.start_soon(self.send_call, name, number)
                await trio.sleep(1 / PER_SECOND)

    def served_share(self, names: list[str]) -> float:
        """Return the share of the requests at some VMs that were served."""
        results = [item for name in names for item in self.outcomes[name]]
        return sum(results) / len(results)


class TestPartitionedVms:
    """Guards against refusals to the callers of VMs that reach no server, though their peers do."""

    @pytest.mark.parametrize("links", RULES)
    def test_callers_are_served_as_those_of_other_vms(self, links, make_site):
        site = make_site(entries_per_domain=2, engines_per_domain=2, services=3)
        entries = site.fleet.settings.entries
        cut = [item.name for item in entries if item.failure_domain == DOMAINS[CUT_DOMAIN]]
        others = [item.name for item in entries if item.name not in cut]
        traffic = Traffic(site)

        async def run():
            partition(site, RULES[links])
            await trio.sleep(SETTLE_SECONDS)
            await traffic.run([*cut, *others])

        trio.run(run)
        found = (traffic.served_share(cut), traffic.served_share(others))
        assert found[0] >= SERVED_SHARE * found[1], found
        assert found[1] >= SERVED_SHARE, found
        services = [name for name in site.specs if name.startswith("despacho")]
        runs: Counter = site.runs_by_subject(*services)
        assert max(runs.values()) == 1
        assert sum(runs.values()) <= len(traffic.sent_keys)


class TestAllVmsPartitioned:
    """Guards against callers that wait until their deadline though no VM reaches a server."""

    def test_refused_at_once(self, make_site):
        site = make_site()
        for domain in range(len(DOMAINS)):
            site.proxy.set_client_rule(domain, SERVER_PORT, Rule(cut=True))

        async def run():
            await trio.sleep(2 * SETTLE_SECONDS)
            began = trio.current_time()
            async with site.caller() as caller:
                prompt = prompt_text("municipio-1", 0, 1, 1_000, 0.0)
                outcome = await caller.complete("redactor", KEY, prompt, 20, 8_000)
            assert trio.current_time() - began < SETTLE_SECONDS
            assert outcome.code == ResultCode.NOT_REACHABLE_NOW
            assert outcome.run == "not_run"
            assert outcome.retry_after_ms is not None

        trio.run(run)
