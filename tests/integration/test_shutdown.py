"""Processes that get signals in series while they shut down, with requests open."""

import signal
from contextlib import contextmanager

import pytest
import trio

from siskinspoke.testing.fleet import wait_until
from siskinspoke.testing.group_site import PUBLIC_PORT, GroupSite
from siskinspoke.testing.networks import group_nets, net_cycle
from tests.platform.site import KEY, document, read_answer, request_bytes
from tests.platform.standin_server import StandinServer, Whole

REGISTRIES = ("c1", "c2", "c3")
SIGNALS = (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
_next_net = net_cycle(group_nets)


@pytest.fixture
def site(tmp_path):
    """Return a site of three registries, which form a new group, and one gateway."""
    group_site = GroupSite(tmp_path / "site", _next_net())
    for name in REGISTRIES:
        group_site.start(name, found=True)
    group_site.start("g1", found=True)
    yield group_site
    group_site.close()


def is_leader(site: GroupSite, name: str) -> bool:
    """Return whether a registry last logged that it is the leader."""
    lines = (site.folder / f"{name}.log").read_text().splitlines()
    roles = [line for line in lines if '"replica.role"' in line]
    return bool(roles) and '"role":"leader"' in roles[-1]


@contextmanager
def paused(site: GroupSite, *names: str):
    """Pause processes while the context is open."""
    for name in names:
        site.signal(name, signal.SIGSTOP)
    try:
        yield
    finally:
        for name in names:
            site.signal(name, signal.SIGCONT)


class TestSignals:
    """Signals that follow the first SIGTERM change nothing."""

    def test_gateway_answers_its_open_call(self, site):
        """Guards against a second SIGTERM that ends a gateway at once with calls open."""
        site.call_until_success("c1", "POST", "/config/replace", document(1))

        async def run():
            server = StandinServer("i-plain0")
            server.script.append(Whole(begin_after=1.5))
            async with trio.open_nursery() as nursery:
                await nursery.start(server.serve)
                heartbeat = {
                    "service": "plain",
                    "address": f"{server.host}:{server.port}",
                    "zone": "a",
                    "seq": 1,
                }
                path = f"/instances/{server.name}/heartbeat"
                await trio.to_thread.run_sync(
                    site.call_until_success, "c1", "POST", path, heartbeat
                )
                stream = await self._connect_when_known(site, server.name)
                await stream.send_all(request_bytes("/once/x", Api_Key=KEY))
                with trio.fail_after(5):
                    while not server.seen:
                        await trio.sleep(0.02)
                for number in SIGNALS:
                    site.signal("g1", number)
                    await trio.sleep(0.1)
                answer = await read_answer(stream)
                nursery.cancel_scope.cancel()
            assert answer.status == 200, answer.raw
            assert answer.whole

        trio.run(run)
        wait_until(lambda: not site.is_running("g1"), "the gateway's exit")
        assert site.exit_code("g1") == 0
        log = (site.folder / "g1.log").read_text()
        assert log.count('"stop.again"') == 2

    async def _connect_when_known(self, site, server: str) -> trio.SocketStream:
        """Return a connection to the gateway once that knows a server and its configuration."""
        with trio.fail_after(10):
            while True:
                log = (site.folder / "g1.log").read_text()
                if "configuration.in_force" in log and server in log:
                    return await trio.open_tcp_stream(site.host_of("g1"), PUBLIC_PORT)
                await trio.sleep(0.05)

    @pytest.mark.parametrize("name", ["c1", "c3"])
    def test_registry_exits_cleanly(self, site, name):
        """Guards against a second SIGTERM that ends a registry before it hands over."""
        site.call_until_success("c1", "POST", "/config/replace", document(1))
        for number in SIGNALS:
            site.signal(name, number)
        wait_until(lambda: not site.is_running(name), "the registry's exit")
        assert site.exit_code(name) == 0


class TestOperators:
    """Orders of operators that are open when their registry stops."""

    def test_order_at_a_stopping_follower_is_answered(self, site):
        """Guards against a closed connection for an order that is open at a stopping registry."""
        site.call_until_success("c1", "POST", "/config/replace", document(1))
        leaders: list[str] = []

        def found_leader() -> bool:
            leaders[:] = [name for name in REGISTRIES if is_leader(site, name)]
            return len(leaders) == 1

        wait_until(found_leader, "a leader")
        follower = next(name for name in REGISTRIES if name != leaders[0])
        others = [name for name in REGISTRIES if name != follower]
        answers: list[tuple[int, object]] = []

        async def run():
            async with trio.open_nursery() as nursery:

                async def order():
                    answers.append(
                        await trio.to_thread.run_sync(
                            site.call, follower, "POST", "/config/replace", document(2)
                        )
                    )

                with paused(site, *others):
                    nursery.start_soon(order)
                    await trio.sleep(0.2)
                    assert not answers
                    site.signal(follower, signal.SIGTERM)
                    await trio.sleep(0.1)

        trio.run(run)
        # Whether the order is confirmed in time depends on the others.
        assert answers[0][0] in (200, 503), answers
        wait_until(lambda: not site.is_running(follower), "the registry's exit")
        assert site.exit_code(follower) == 0
