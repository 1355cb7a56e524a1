"""Stand-in plain servers that run a limited number of calls at once and refuse others."""

import json
import random
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace

import trio

from siskinspoke.platform.control_app import announcement_from
from tests.platform.site import Site, gateway_site
from tests.platform.standin_server import Refuse, StandinServer, Whole

QUEUE_CAPACITY = 200


@dataclass
class PlainServer(StandinServer):
    """A server with places; its script lists only complete answers.

    Each answer states the load, unless ``states_load`` is False.  A share of the calls is answered
    with status 500.
    """

    slots: int = 6
    states_load: bool = True
    error_share: float = 0.0
    running: int = 0
    most_running: int = 0
    refused: int = 0
    rng: random.Random = None

    async def _answer(self, stream, vm, headers, behaviour) -> bool:
        if self.running >= self.slots:
            self.refused += 1
            self.seen[-1].ran = False
            refusal = Refuse(headers=(b"Not-Run: 1", *self._load()))
            return await super()._answer(stream, vm, headers, refusal)
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            await trio.sleep(behaviour.begin_after)
            status = behaviour.status
            if self.error_share and self.rng.random() < self.error_share:
                status = 500
            answer = replace(behaviour, begin_after=0.0, status=status, headers=self._load())
            return await super()._answer(stream, vm, headers, answer)
        finally:
            self.running -= 1

    def _load(self) -> tuple[bytes, ...]:
        if not self.states_load:
            return ()
        return (b"Server-Load: %d,0,%d" % (self.running, self.slots),)


def announce_plain(site: Site, server: PlainServer, seq: int = 1, slots: int | None = None) -> None:
    """Announce a server with its slots."""
    heartbeat = {
        "service": "plain",
        "address": f"{server.host}:{server.port}",
        "zone": "a",
        "seq": seq,
        "slots": server.slots if slots is None else slots,
    }
    body = json.dumps(heartbeat).encode()
    site.daemon._on_announcements([announcement_from(server.name, body).ok])


@asynccontextmanager
async def plain_servers(number: int, seconds: float = 0.06, **traits):
    """Run servers whose calls take some seconds each."""
    async with trio.open_nursery() as nursery:
        running = []
        for index in range(number):
            server = PlainServer(f"i-plain{index}", rng=random.Random(index), **traits)
            server.script.append(Whole(begin_after=seconds))
            await nursery.start(server.serve)
            running.append(server)
        yield running
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def plain_site(tmp_path, servers, capacity: int = QUEUE_CAPACITY, **changes):
    """Run a gateway at which up to ``capacity`` calls may wait, and announce the servers to it."""
    settings = {"queue_capacity": capacity}
    async with gateway_site(tmp_path, settings=settings, **changes) as site:
        for server in servers:
            announce_plain(site, server)
        yield site


async def ask_at_once(site: Site, calls: int, path: str = "/again/x", **headers) -> list:
    """Send calls at the same time; return the pairs of answer and seconds."""
    answers = []

    async def ask(number: int) -> None:
        began = trio.current_time()
        answer = await site.ask(path, f"r{number}", **headers)
        answers.append((answer, trio.current_time() - began))

    async with trio.open_nursery() as nursery:
        for number in range(calls):
            nursery.start_soon(ask, number)
    return answers


async def ask_steadily(
    site: Site, per_second: float, seconds: float, path: str = "/again/x", **headers
) -> list:
    """Send calls at a rate; return the pairs of answer and seconds."""
    answers = []

    async def ask(number: int) -> None:
        began = trio.current_time()
        answer = await site.ask(path, f"r{number}", **headers)
        answers.append((answer, trio.current_time() - began))

    async with trio.open_nursery() as nursery:
        for number in range(round(per_second * seconds)):
            nursery.start_soon(ask, number)
            await trio.sleep(1 / per_second)
    return answers
