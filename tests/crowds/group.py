"""Three registries and a gateway as processes, with a sound server and ordinary requests."""

from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager

import trio

from siskinspoke.testing.fleet import wait_until
from siskinspoke.testing.group_site import PUBLIC_PORT, GroupSite
from siskinspoke.testing.networks import group_nets, net_cycle
from tests.crowds.client_crowd import Target, client_crowd
from tests.crowds.processes import DescriptorWatch, descriptor_limit, peak_memory_mb
from tests.platform.site import document, read_answer, request_bytes
from tests.platform.standin_server import StandinServer, Whole

# Limits of the VM that the crowd meets.
MEMORY_MB = 120
DESCRIPTORS = 512
# Time in which an ordinary request, sent again and again, must be answered.
ANSWER_SECONDS = 30.0
METRICS_PORT = 9_464
_next_net = net_cycle(group_nets)


@contextmanager
def group_site(tmp_path, limited: str) -> Iterator[GroupSite]:
    """Run three registries and a gateway; the VM ``limited`` has little memory."""
    site = GroupSite(tmp_path / "site", _next_net())
    try:
        for name in ("c1", "c2", "c3", "g1"):
            limits = {"memory_mb": MEMORY_MB} if name == limited else {}
            with descriptor_limit(DESCRIPTORS if name == limited else 4_096):
                site.start(name, found=True, **limits)
        site.call_until_success("c1", "POST", "/config/replace", document(1))
        yield site
    finally:
        site.close()


@asynccontextmanager
async def sound_server(site: GroupSite) -> AsyncIterator[None]:
    """Run a server in this process that the gateway knows."""
    async with trio.open_nursery() as nursery:
        server = StandinServer("i-plain0")
        server.script.append(Whole())
        await nursery.start(server.serve)
        heartbeat = {
            "service": "plain",
            "address": f"127.0.0.1:{server.port}",
            "zone": "a",
            "seq": 1,
            "slots": 8,
        }
        path = f"/instances/{server.name}/heartbeat"
        await trio.to_thread.run_sync(site.call_until_success, "c2", "POST", path, heartbeat)
        yield
        nursery.cancel_scope.cancel()


async def is_served(site: GroupSite, body: bytes = b"") -> bool:
    """Return whether a request is answered by the server."""
    try:
        stream = await trio.open_tcp_stream(site.host_of("g1"), PUBLIC_PORT)
        async with stream:
            await stream.send_all(request_bytes("/again/x", "r1", body))
            answer = await read_answer(stream, seconds=4.0)
        return answer.status == 200 and answer.whole
    except (OSError, trio.BrokenResourceError):
        return False


async def wait_until_served(site: GroupSite) -> None:
    """Send a request until it is answered by the server."""
    with trio.fail_after(ANSWER_SECONDS):
        while not await is_served(site):
            await trio.sleep(0.2)


class CrowdResult:
    """What a VM had taken up beside a crowd, and how the crowd's connections ended."""

    def __init__(self, peak_mb: float, descriptors: int, ended: dict[str, int]):
        self.peak_mb = peak_mb
        self.descriptors = descriptors
        self.ended = ended


def run_gateway_crowd(tmp_path, port: int, form: str, count: int, served_beside: bool = False):
    """Run a crowd against a gateway; the gateway lives and serves a request afterwards.

    With ``served_beside`` a request is also served while the crowd's connections are open.
    """
    with group_site(tmp_path, limited="g1") as site:

        async def run() -> CrowdResult:
            async with sound_server(site):
                await wait_until_served(site)
                target = Target(site.host_of("g1"), port, headers=gateway_headers())
                with DescriptorWatch(site.pid("g1")) as descriptors:
                    crowd = client_crowd(target, form, count)
                    running = await trio.to_thread.run_sync(crowd.__enter__)
                    try:
                        if served_beside:
                            await wait_until_served(site)
                        ended = await trio.to_thread.run_sync(running.end)
                    finally:
                        await trio.to_thread.run_sync(crowd.__exit__, None, None, None)
                assert site.is_running("g1")
                await wait_until_served(site)
                peak = peak_memory_mb(site.pid("g1"))
                return CrowdResult(peak, descriptors.peak, ended)

        result = trio.run(run)
    print("peak", result.peak_mb, "descriptors", result.descriptors, "ended", result.ended)
    return result


def run_registry_crowd(tmp_path, target: Target, form: str, count: int) -> CrowdResult:
    """Run a crowd against the registry c1, which lives and answers an operator afterwards."""
    with group_site(tmp_path, limited="c1") as site:
        target = target._replace(host=site.host_of("c1"))
        with (
            DescriptorWatch(site.pid("c1")) as descriptors,
            client_crowd(target, form, count) as crowd,
        ):
            ended = crowd.end()
        assert site.is_running("c1")
        wait_until(lambda: is_read(site), "the configuration is read", ANSWER_SECONDS)
        result = CrowdResult(peak_memory_mb(site.pid("c1")), descriptors.peak, ended)
    print("peak", result.peak_mb, "descriptors", result.descriptors, "ended", result.ended)
    return result


def is_read(site: GroupSite) -> bool:
    """Return whether the registry c1 answers an operator."""
    return site.call("c1", "GET", "/config/get")[0] == 200


def gateway_headers() -> tuple[str, ...]:
    """Return the headers of a proper request to the gateway."""
    return ("Host: shop.example", "Request-Id: c1", "Api-Key: k1", "Deadline-Ms: 2500")
