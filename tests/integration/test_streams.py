"""Answers are complete, private to their customer, in time, and leak no engine memory."""

import random
import time

import pytest
import trio

from siskinspoke.core.codes import ResultCode
from siskinspoke.loadgen.client import idempotency_key, prompt_text
from siskinspoke.testing.fleet import wait_until
from siskinspoke.testing.site import customer_key

KEY = customer_key("municipio-1")
OTHER_KEY = customer_key("municipio-2")
ENGINES = ("engine-sala-a-1", "engine-sala-b-1", "engine-anexo-1")
SLOW_DECODE = ("--step_base_ms=40",)
OUTPUT_TOKENS = 60
# Longer than the 3 s lease of an announcement.
FREEZE_SECONDS = 3.6


async def complete(
    site, *entries, tokens=2_000, output=OUTPUT_TOKENS, timeout_ms=20_000, **options
):
    """Stream one completion through the named entry VMs."""
    prompt = prompt_text("municipio-1", 0, random.randrange(10**6), tokens, 0.0)
    async with site.caller(*entries) as caller:
        return await caller.complete("redactor", KEY, prompt, output, timeout_ms, **options)


def busy_engine(site):
    """Return the name of an engine that runs a request, or None."""
    running = [name for name in ENGINES if site.server_state(name)["running"]]
    return running[0] if running else None


def all_busy(site):
    """Return whether each engine runs a request."""
    return all(site.server_state(name)["running"] for name in ENGINES)


async def wait_for_busy_engine(site):
    """Wait until an engine runs a request and return the engine's name."""
    await trio.to_thread.run_sync(
        wait_until, lambda: busy_engine(site) is not None, "a request running"
    )
    await trio.sleep(0.5)
    return busy_engine(site)


async def complete_during(site, action, *entries, **options):
    """Call ``action`` with the busy engine's name in the middle of one completion."""
    outcomes = []
    async with trio.open_nursery() as nursery:

        async def send_one():
            outcomes.append(await complete(site, *entries, **options))

        nursery.start_soon(send_one)
        await trio.to_thread.run_sync(action, await wait_for_busy_engine(site))
    return outcomes[0]


class TestWholeAnswers:
    """An interrupted answer resumes exactly where it stopped."""

    def test_entry_killed_mid_stream(self, make_site):
        """The entry VM is killed, and the client resumes the stream at another one."""
        site = make_site(engine_flags=SLOW_DECODE, entries_per_domain=2)
        first = site.entry_address("entry-sala-a-1")
        outcome = trio.run(
            lambda: complete_during(
                site,
                lambda _: site.fleet.kill("entry-sala-a-1"),
                "entry-sala-a-2",
                "entry-sala-b-1",
                entry=first,
            )
        )
        assert outcome.is_complete
        assert outcome.resume_count >= 1
        site.wait_memory_returned(*ENGINES)

    def test_entry_frozen_mid_stream(self, make_site):
        """A VM that freezes for longer than the announcement lease loses no part of an answer.

        As it resumes, it finds received output and the expired lease of the engine together, and
        continues on another engine.  Guards against a gap in an answer that ends as complete.
        """
        site = make_site(engine_flags=SLOW_DECODE, entries_per_domain=2)
        name = "entry-sala-a-1"

        def freeze_and_thaw(_) -> None:
            site.fleet.suspend(name)
            time.sleep(FREEZE_SECONDS)
            site.fleet.resume(name)

        outcome = trio.run(
            lambda: complete_during(
                site, freeze_and_thaw, "entry-sala-b-1", entry=site.entry_address(name)
            )
        )
        assert outcome.is_complete, outcome
        site.wait_memory_returned(*ENGINES)

    def test_engine_killed_mid_stream(self, make_site):
        """An engine is killed; the VM continues on another one, invisibly to the client."""
        site = make_site(engine_flags=SLOW_DECODE)
        outcome = trio.run(complete_during, site, site.fleet.kill)
        assert outcome.is_complete
        assert outcome.resume_count == 0

    def test_engine_frozen_mid_stream(self, make_site):
        """A frozen engine, whose connection stays open, is detected by its expired lease.

        The output that it sends after it resumes must not reach the client twice.
        """
        site = make_site(engine_flags=SLOW_DECODE)
        outcome = trio.run(complete_during, site, site.fleet.suspend)
        assert outcome.is_complete
        assert outcome.total < 15
        for name in ENGINES:
            site.fleet.resume(name)
        site.wait_memory_returned(*ENGINES)

    def test_frozen_engine_is_waited_for_by_the_mutant(self, make_site):
        """Without the lease check, the request ends only at its deadline."""
        site = make_site(engine_flags=SLOW_DECODE, mutant="frozen_is_busy")
        outcome = trio.run(lambda: complete_during(site, site.fleet.suspend, timeout_ms=9_000))
        assert outcome.code == ResultCode.DEADLINE_PASSED

    def test_connections_reset(self, make_site):
        """All connections between VMs and engines are reset, as by a switch restart."""
        site = make_site(engine_flags=SLOW_DECODE)
        outcome = trio.run(complete_during, site, lambda _: site.proxy.reset_all())
        assert outcome.is_complete
        site.wait_memory_returned(*ENGINES)

    def test_non_idempotent_request_resent_to_other_entry(self, make_site):
        """A non-idempotent request that is resent through another VM runs only once."""
        site = make_site(engine_flags=SLOW_DECODE)
        key = idempotency_key("summary")

        async def scenario():
            outcomes = []

            async def send_one(entry):
                outcomes.append(await complete(site, entry, idempotency=key))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_one, "entry-sala-a-1")
                await wait_for_busy_engine(site)
                nursery.start_soon(send_one, "entry-sala-b-1")
            return outcomes

        first, second = trio.run(scenario)
        assert first.is_complete and second.is_complete
        executions = [site.server_state(name)["began"].get(first.request_id, 0) for name in ENGINES]
        assert sum(executions) == 1

    def test_huge_non_idempotent_prompt_runs_once(self, make_site):
        """A request that spans several engines is sent through two VMs at once."""
        site = make_site(engine_flags=("--prefill_ms_per_token=0.002", "--chunk_tokens=8192"))
        key = idempotency_key("huge")

        async def scenario():
            outcomes = []

            async def send_one(entry):
                outcomes.append(
                    await complete(site, entry, tokens=700_000, timeout_ms=40_000, idempotency=key)
                )

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_one, "entry-sala-a-1")
                nursery.start_soon(send_one, "entry-sala-b-1")
            return outcomes

        outcomes = trio.run(scenario)
        print(outcomes)
        assert any(item.is_complete for item in outcomes)
        executions = [sum(site.server_state(name)["began"].values()) for name in ENGINES]
        assert sum(executions) == 1
        site.wait_memory_returned(*ENGINES)

    def test_frozen_engine_leaves_outcome_unknown(self, make_site):
        """Engines that are frozen before the dispatch may still run the request later.

        At its deadline, the request must be reported as "unknown", not as "not run".
        """
        site = make_site()
        for name in ENGINES:
            site.fleet.suspend(name)
        outcome = trio.run(lambda: complete(site, timeout_ms=1_500, output=4))
        assert (outcome.code, outcome.run) == (ResultCode.DEADLINE_PASSED, "unknown")


class TestStreamOwnership:
    """A customer cannot read another customer's stream."""

    def test_token_of_another_customer_is_refused(self, make_site):
        site = make_site(engine_flags=SLOW_DECODE)

        async def scenario():
            async with site.caller() as caller, trio.open_nursery() as nursery:
                tokens = []

                async def read():
                    host, port = caller.next_entry()
                    document = {"model": "redactor", "prompt": "x" * 4_000, "stream": True}
                    async with caller._client.stream(
                        "POST",
                        f"http://{host}:{port}/v1/completions",
                        json=document,
                        headers={"Authorization": f"Bearer {KEY}"},
                    ) as response:
                        async for line in response.aiter_lines():
                            if "resume_token" in line:
                                tokens.append(line.split('"resume_token":"')[1].split('"')[0])
                                await trio.sleep_forever()

                nursery.start_soon(read)
                while not tokens:
                    await trio.sleep(0.05)
                document = {"resume_token": tokens[0], "offset": 0}
                entry = caller.next_entry()
                other_customer = await caller.post(entry, "/v1/streams/resume", OTHER_KEY, document)
                forged = document | {"resume_token": tokens[0][:-8] + "AAAAAAA="}
                forged_token = await caller.post(entry, "/v1/streams/resume", KEY, forged)
                nursery.cancel_scope.cancel()
            return other_customer, forged_token

        for response in trio.run(scenario):
            assert response.json()["error"]["code"] == ResultCode.UNKNOWN_STREAM


class TestMemory:
    """Engines release all request memory after clients or VMs fail."""

    def test_callers_disconnect(self, make_site):
        """100 clients disconnect at random times, and the engines release their requests."""
        site = make_site(engine_flags=SLOW_DECODE)
        rng = random.Random(5)

        async def scenario():
            async def send_and_disconnect():
                with trio.move_on_after(rng.uniform(0.05, 1.5)):
                    await complete(site, tokens=rng.randrange(1_000, 60_000), output=500)

            async with trio.open_nursery() as nursery:
                for _ in range(100):
                    nursery.start_soon(send_and_disconnect)

        trio.run(scenario)
        site.wait_memory_returned(*ENGINES)

    @pytest.mark.parametrize("mutant", ["", "no_engine_lease"])
    def test_entries_killed_at_random(self, make_site, mutant):
        """Entry VMs are killed under load, with group reservations held.

        The engines release memory when the leases expire; without leases they never do.
        """
        site = make_site(mutant=mutant)
        rng = random.Random(7)

        async def scenario():
            async with trio.open_nursery() as nursery:
                for number in range(12):
                    tokens = 500_000 if number % 4 == 0 else rng.randrange(1_000, 90_000)
                    nursery.start_soon(lambda tokens=tokens: complete(site, tokens=tokens))
                await trio.sleep(2)
                for entry in site.fleet.settings.entries:
                    site.fleet.kill(entry.name)
                nursery.cancel_scope.cancel()

        trio.run(scenario)
        if mutant:
            with pytest.raises(Exception, match="is empty"):
                site.wait_memory_returned(*ENGINES)
        else:
            site.wait_memory_returned(*ENGINES)


class TestDeadlines:
    """Each admitted request ends within its deadline."""

    def test_all_engines_freeze(self, make_site):
        """With all engines frozen, every client gets an error before its deadline."""
        site = make_site(engine_flags=SLOW_DECODE)

        async def scenario():
            outcomes = []
            async with site.caller() as caller, trio.open_nursery() as nursery:

                async def send_one():
                    prompt = prompt_text("municipio-1", 0, 1, 2_000, 0.0)
                    outcomes.append(await caller.complete("redactor", KEY, prompt, 40, 4_000))

                for _ in range(10):
                    nursery.start_soon(send_one)
                await wait_for_busy_engine(site)
                for name in ENGINES:
                    site.fleet.suspend(name)
            return outcomes

        outcomes = trio.run(scenario)
        assert len(outcomes) == 10
        assert [item.total for item in outcomes if item.total >= 4.0] == []
        assert not any(item.is_complete for item in outcomes)

    def test_refusal_comes_at_once_with_a_time_to_come_back(self, make_site):
        """A prompt that cannot be prefilled in time is refused at once, not at its deadline."""
        site = make_site()

        async def scenario():
            async with trio.open_nursery() as nursery:
                for _ in range(6):
                    nursery.start_soon(
                        lambda: complete(site, tokens=300_000, timeout_ms=60_000, resume=False)
                    )
                # An engine without a long prompt could serve the next one, so each must have one.
                await trio.to_thread.run_sync(wait_until, lambda: all_busy(site), "all busy")
                await trio.sleep(1.0)
                refused = await complete(site, tokens=100_000, timeout_ms=5_000)
                nursery.cancel_scope.cancel()
            return refused

        refused = trio.run(scenario)
        assert (refused.code, refused.run) == (ResultCode.OVERLOADED, "not_run")
        assert refused.retry_after_ms > 0
        assert refused.total < 1.0

    def test_prompt_exceeds_all_engines(self, make_site):
        site = make_site(engine_flags=("--memory_tokens=100000",))
        refused = trio.run(lambda: complete(site, tokens=900_000, timeout_ms=60_000))
        assert (refused.code, refused.run) == (ResultCode.PROMPT_TOO_LONG, "not_run")
        assert refused.retry_after_ms is None
