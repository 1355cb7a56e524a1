"""Requests with one part of their prompts in common, which crashes servers; no two are alike."""

import pytest
import trio

from tests.platform.cell_site import PROMPT, Cell, cell_site
from tests.platform.site import KEY, gateway_site, servers
from tests.platform.standin_server import Events

VMS, SERVERS = 4, 12
SOUND = Events(last=4, pause=0.05)
SHARED_PART, CRASHING_PART, SOUND_PART = "5e", "dead", "50"
SECONDS = 9.0
BAD_PER_SECOND, SOUND_PER_SECOND = 3.0, 30.0
# Most servers that a part may crash, and most requests with it that reach servers later than the
# settling time after the fifth crash.
MAX_CRASHES, MAX_LATE = 6, 3
SETTLE_SECONDS = 3.0
SERVED_SHARE = 0.95


class Traffic:
    """Requests with the part that crashes servers, beside sound ones of the same customer."""

    def __init__(self, cell: Cell):
        self.cell = cell
        self.bad: set[str] = set()

    async def send(self, number: int, part: str, prefix: str) -> None:
        """Send a request whose prompt has a part of its own besides two that it shares."""
        request_id = f"{prefix}{number}"
        if part == CRASHING_PART:
            self.bad.add(request_id)
        parts = f"{SHARED_PART}:40,{part}:500,{prefix.encode().hex()}{number:04x}:300"
        site = self.cell.sites[number % len(self.cell.sites)]
        body = f"{prefix} {number}".encode()
        await self.cell.send(
            site, "/stream/x", request_id, body=body, Prompt_Prefix=parts, Api_Key=KEY, **PROMPT
        )

    async def run(self, seconds: float) -> None:
        """Send both kinds of requests for some seconds."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_steadily, SOUND_PART, "s", SOUND_PER_SECOND, seconds)
            await trio.sleep(0.3)
            nursery.start_soon(self._send_steadily, CRASHING_PART, "b", BAD_PER_SECOND, seconds)

    async def _send_steadily(self, part: str, prefix: str, rate: float, seconds: float) -> None:
        async with trio.open_nursery() as nursery:
            for number in range(round(rate * seconds)):
                nursery.start_soon(self.send, number, part, prefix)
                await trio.sleep(1 / rate)


class Arrivals:
    """When requests with the crashing part reach servers, and when servers crash."""

    def __init__(self, cell: Cell):
        self._cell = cell
        self.times: list[float] = []
        self.crashes: list[float] = []

    async def watch(self) -> None:
        """Record the times until cancelled."""
        while True:
            now = trio.current_time()
            arrived = sum(
                CRASHING_PART in seen.headers.get("Prompt-Prefix", "")
                for server in self._cell.servers
                for seen in server.seen
            )
            self.times += [now] * (arrived - len(self.times))
            self.crashes += [now] * (self._cell.crash_count - len(self.crashes))
            await trio.sleep(0.02)

    @property
    def late(self) -> int:
        """Return how many arrived later than the settling time after the fifth crash."""
        if len(self.crashes) < 5:
            return 0
        return sum(at > self.crashes[4] + SETTLE_SECONDS for at in self.times)


class TestCrashingPart:
    """Guards against a part of prompts that crashes one server after the other."""

    def test_few_servers_crash_and_sound_requests_are_served(self, tmp_path):
        async def run():
            async with cell_site(tmp_path, VMS, "engines") as cell, trio.open_nursery() as nursery:
                await cell.start_servers(
                    [SOUND] * SERVERS,
                    crashing_parts=frozenset({CRASHING_PART}),
                    restart_after=1.0,
                )
                traffic, arrivals = Traffic(cell), Arrivals(cell)
                nursery.start_soon(arrivals.watch)
                await traffic.run(SECONDS)
                sound = [item for item in cell.results if item.request_id not in traffic.bad]
                served = sum(item.served for item in sound) / len(sound)
                found = (cell.crash_count, arrivals.late, len(arrivals.times), served)
                assert cell.crash_count <= MAX_CRASHES, found
                assert arrivals.late <= MAX_LATE, found
                assert served >= SERVED_SHARE, found
                nursery.cancel_scope.cancel()

        trio.run(run)


class TestOddParts:
    """Guards against lists of parts that end a connection, or are changed on their way."""

    @pytest.mark.parametrize(
        "value",
        ["", ",", ":", "a", "a:", "a:x,b", "\xe9:1,b:2", "a:1,a:1,a:1", "x" * 500 + ":1,b:1"],
    )
    def test_request_is_passed_on_unchanged(self, value, tmp_path):
        async def run():
            async with gateway_site(tmp_path) as site, servers(site, "engines", [SOUND]) as (one,):
                answer = await site.ask("/stream/x", Prompt_Prefix=value, **PROMPT)
                assert answer.whole
                assert one.seen[0].headers["Prompt-Prefix"] == value

        trio.run(run)

    def test_ten_thousand_parts_are_refused_or_passed_on(self, tmp_path):
        async def run():
            async with gateway_site(tmp_path) as site, servers(site, "engines", [SOUND]) as (one,):
                many = ",".join(f"{number:x}:1" for number in range(10_000))
                answer = await site.ask("/stream/x", Prompt_Prefix=many, **PROMPT)
                assert answer.status == 431
                some = ",".join(f"{number:x}:1" for number in range(1_000))
                assert (await site.ask("/stream/x", Prompt_Prefix=some, **PROMPT)).whole
                assert len(one.seen) == 1

        trio.run(run)
