"""Proofs on answers: whole, to their own caller, in time, and without leaving memory behind."""

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
TOKENS = 60
# Announcements last 3 s.
FROZEN_SECONDS = 3.6


async def complete(site, *entries, tokens=2_000, output=TOKENS, timeout_ms=20_000, **options):
    """Stream one completion through the named entry VMs."""
    prompt = prompt_text("municipio-1", 0, random.randrange(10**6), tokens, 0.0)
    async with site.caller(*entries) as caller:
        return await caller.complete("redactor", KEY, prompt, output, timeout_ms, **options)


def busy_engine(site):
    """Return the engine that runs something."""
    running = [name for name in ENGINES if site.server_state(name)["running"]]
    return running[0] if running else None


async def started(site):
    """Wait until an engine runs something and return its name."""
    await trio.to_thread.run_sync(wait_until, lambda: busy_engine(site) is not None, "a run")
    await trio.sleep(0.5)
    return busy_engine(site)


async def during(site, act, *entries, **options):
    """Run ``act`` on the busy engine's name in the middle of one completion."""
    outcomes = []
    async with trio.open_nursery() as nursery:

        async def one():
            outcomes.append(await complete(site, *entries, **options))

        nursery.start_soon(one)
        await trio.to_thread.run_sync(act, await started(site))
    return outcomes[0]


class TestWholeAnswers:
    """An answer that breaks off is taken up again, exactly where it stopped."""

    def test_entry_killed_in_mid_answer(self, make_site):
        """The VM that a clerk reads from dies; the client reads on at another one."""
        site = make_site(engine_flags=SLOW_DECODE, entries_per_domain=2)
        first = site.entry_address("entry-sala-a-1")
        outcome = trio.run(
            lambda: during(
                site,
                lambda _: site.fleet.kill("entry-sala-a-1"),
                "entry-sala-a-2",
                "entry-sala-b-1",
                entry=first,
            )
        )
        assert outcome.whole
        assert outcome.resumed >= 1
        site.wait_memory_returned(*ENGINES)

    def test_entry_frozen_in_mid_answer(self, make_site):
        """A clerk's answer lacks words in its middle, and still ends as complete.

        The VM that passes it on freezes for longer than announcements last.  As it thaws it
        finds words of the engine and the lapse of its announcement at the same moment, gives
        the attempt up, and goes on elsewhere: exactly where it stopped.
        """
        site = make_site(engine_flags=SLOW_DECODE, entries_per_domain=2)
        name = "entry-sala-a-1"

        def freeze_and_thaw(_) -> None:
            site.fleet.freeze(name)
            time.sleep(FROZEN_SECONDS)
            site.fleet.thaw(name)

        outcome = trio.run(
            lambda: during(site, freeze_and_thaw, "entry-sala-b-1", entry=site.entry_address(name))
        )
        assert outcome.whole, outcome
        site.wait_memory_returned(*ENGINES)

    def test_engine_killed_in_mid_answer(self, make_site):
        """An engine dies; the VM goes on at another one, and the caller sees no seam."""
        site = make_site(engine_flags=SLOW_DECODE)
        outcome = trio.run(during, site, site.fleet.kill)
        assert outcome.whole
        assert outcome.resumed == 0

    def test_engine_frozen_in_mid_answer(self, make_site):
        """An engine freezes: its connection stays open, nothing comes, the clerk waits.

        Only its lapsed announcement tells.  Later it thaws and speaks again; what it says
        must not reach the caller twice.
        """
        site = make_site(engine_flags=SLOW_DECODE)
        outcome = trio.run(during, site, site.fleet.freeze)
        assert outcome.whole
        assert outcome.total < 15
        for name in ENGINES:
            site.fleet.thaw(name)
        site.wait_memory_returned(*ENGINES)

    def test_frozen_engine_is_waited_for_by_the_mutant(self, make_site):
        """Without the watch on announcements the request only ends with its deadline."""
        site = make_site(engine_flags=SLOW_DECODE, mutant="frozen_is_busy")
        outcome = trio.run(lambda: during(site, site.fleet.freeze, timeout_ms=9_000))
        assert outcome.code == ResultCode.DEADLINE_PASSED

    def test_connections_reset(self, make_site):
        """A switch restarts and resets every connection between VMs and engines."""
        site = make_site(engine_flags=SLOW_DECODE)
        outcome = trio.run(during, site, lambda _: site.proxy.reset_all())
        assert outcome.whole
        site.wait_memory_returned(*ENGINES)

    def test_non_idempotent_answer_is_read_again_elsewhere(self, make_site):
        """A summary that may be made only once is asked for again through another VM."""
        site = make_site(engine_flags=SLOW_DECODE)
        key = idempotency_key("summary")

        async def scenario():
            outcomes = []

            async def one(entry):
                outcomes.append(await complete(site, entry, idempotency=key))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(one, "entry-sala-a-1")
                await started(site)
                nursery.start_soon(one, "entry-sala-b-1")
            return outcomes

        first, second = trio.run(scenario)
        assert first.whole and second.whole
        began = [site.server_state(name)["began"].get(first.request_id, 0) for name in ENGINES]
        assert sum(began) == 1

    def test_huge_non_idempotent_prompt_runs_once(self, make_site):
        """A summary over several engines is asked for twice, through two VMs."""
        site = make_site(engine_flags=("--prefill_ms_per_token=0.002", "--chunk_tokens=8192"))
        key = idempotency_key("huge")

        async def scenario():
            outcomes = []

            async def one(entry):
                outcomes.append(
                    await complete(site, entry, tokens=700_000, timeout_ms=40_000, idempotency=key)
                )

            async with trio.open_nursery() as nursery:
                nursery.start_soon(one, "entry-sala-a-1")
                nursery.start_soon(one, "entry-sala-b-1")
            return outcomes

        outcomes = trio.run(scenario)
        print(outcomes)
        assert any(item.whole for item in outcomes)
        began = [sum(site.server_state(name)["began"].values()) for name in ENGINES]
        assert sum(began) == 1
        site.wait_memory_returned(*ENGINES)

    def test_frozen_engine_is_not_called_not_run(self, make_site):
        """All engines freeze before they say a word; the request has left all the same.

        They thaw later and run it.  Calling it "not run" at the deadline would be untrue.
        """
        site = make_site()
        for name in ENGINES:
            site.fleet.freeze(name)
        outcome = trio.run(lambda: complete(site, timeout_ms=1_500, output=4))
        assert (outcome.code, outcome.run) == (ResultCode.DEADLINE_PASSED, "unknown")


class TestOwnCaller:
    """Nobody reads another customer's answer."""

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
                theirs = await caller.post(entry, "/v1/streams/resume", OTHER_KEY, document)
                forged = document | {"resume_token": tokens[0][:-8] + "AAAAAAA="}
                bad = await caller.post(entry, "/v1/streams/resume", KEY, forged)
                nursery.cancel_scope.cancel()
            return theirs, bad

        for response in trio.run(scenario):
            assert response.json()["error"]["code"] == ResultCode.UNKNOWN_STREAM


class TestMemory:
    """Engines get all their memory back, whoever dies."""

    def test_callers_hang_up(self, make_site):
        """A hundred callers give up at random moments; no engine goes on for them."""
        site = make_site(engine_flags=SLOW_DECODE)
        rng = random.Random(5)

        async def scenario():
            async def give_up():
                with trio.move_on_after(rng.uniform(0.05, 1.5)):
                    await complete(site, tokens=rng.randrange(1_000, 60_000), output=500)

            async with trio.open_nursery() as nursery:
                for _ in range(100):
                    nursery.start_soon(give_up)

        trio.run(scenario)
        site.wait_memory_returned(*ENGINES)

    @pytest.mark.parametrize("mutant", ["", "no_engine_lease"])
    def test_entries_killed_at_random(self, make_site, mutant):
        """Entry VMs die in the middle of everything, group reservations included.

        Their leases run out and the engines are empty again; without leases they stay full.
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
    """Each admitted request ends within its time."""

    def test_all_engines_freeze(self, make_site):
        """Nothing answers any more; every caller still hears in time."""
        site = make_site(engine_flags=SLOW_DECODE)

        async def scenario():
            outcomes = []
            async with site.caller() as caller, trio.open_nursery() as nursery:

                async def one():
                    prompt = prompt_text("municipio-1", 0, 1, 2_000, 0.0)
                    outcomes.append(await caller.complete("redactor", KEY, prompt, 40, 4_000))

                for _ in range(10):
                    nursery.start_soon(one)
                await started(site)
                for name in ENGINES:
                    site.fleet.freeze(name)
            return outcomes

        outcomes = trio.run(scenario)
        assert len(outcomes) == 10
        assert [item.total for item in outcomes if item.total >= 4.0] == []
        assert not any(item.whole for item in outcomes)

    def test_refusal_comes_at_once_with_a_time_to_come_back(self, make_site):
        """A prompt that cannot be read in time is refused now, not at its deadline."""
        site = make_site()

        async def scenario():
            async with trio.open_nursery() as nursery:
                for _ in range(6):
                    nursery.start_soon(
                        lambda: complete(site, tokens=300_000, timeout_ms=60_000, resume=False)
                    )
                await trio.sleep(1.0)
                refused = await complete(site, tokens=100_000, timeout_ms=5_000)
                nursery.cancel_scope.cancel()
            return refused

        refused = trio.run(scenario)
        assert (refused.code, refused.run) == (ResultCode.OVERLOADED, "not_run")
        assert refused.retry_after_ms > 0
        assert refused.total < 1.0

    def test_prompt_that_nothing_can_hold(self, make_site):
        site = make_site(engine_flags=("--memory_tokens=100000",))
        refused = trio.run(lambda: complete(site, tokens=900_000, timeout_ms=60_000))
        assert (refused.code, refused.run) == (ResultCode.PROMPT_TOO_LONG, "not_run")
        assert refused.retry_after_ms is None
