"""Processes whose servers answer before they have read an upload, and reset the connection."""

from collections import Counter

import pytest
import trio

from siskinspoke.core.codes import ResultCode
from siskinspoke.core.counters import Counters
from siskinspoke.loadgen.client import idempotency_key
from siskinspoke.protocol.announcements import Announcement
from siskinspoke.testing.group_site import PUBLIC_PORT, GroupSite
from siskinspoke.testing.networks import group_nets, net_cycle
from siskinspoke.testing.site import customer_key
from siskinspoke.transport.datagrams import open_datagram_port
from tests.integration.test_endless_answers import announce
from tests.platform.broken_answers import EVENT_PARTS, LONG_BODY, PART, UNFRAMED, unread
from tests.platform.site import KEY, document, read_answer, request_bytes
from tests.platform.standin_server import Events, StandinServer, Whole, event
from tests.platform.test_streams import data_of

SERVERS = 3
REQUESTS = 40
WHOLE_EVENTS = b"".join(event(number) for number in range(1, 5))
SOUND = {"plain": Whole(), "engines": Events(last=4)}
PARTS = {"plain": PART, "engines": EVENT_PARTS}
PATHS = {"/once/x": "plain", "/again/x": "plain", "/stream/x": "engines", "/solo/x": "engines"}
# Less than max_body_bytes, and longer than the buffers of a connection.
LONG_TEXT = "x" * 15_000_000
_next_net = net_cycle(group_nets)


async def send(site: GroupSite, path: str, number: int) -> str:
    """Send an upload through the gateway; return what its client took the answer for."""
    headers = {"Token_Counts": "500,90"} if PATHS[path] == "engines" else {}
    raw = request_bytes(path, f"r{number}", LONG_BODY, Api_Key=KEY, **headers)
    stream = await trio.open_tcp_stream(site.host_of("g1"), PUBLIC_PORT)
    async with stream:
        try:
            await stream.send_all(raw)
        except trio.BrokenResourceError:
            return "cut"
        answer = await read_answer(stream, seconds=4.0)
    if not answer.whole:
        return "cut"
    if answer.status != 200:
        return str(answer.status)
    if PATHS[path] == "plain":
        is_sound = answer.body == b"done"
    else:
        is_sound = data_of(answer.body) == WHOLE_EVENTS
    return "sound" if is_sound else "a part as whole"


async def run_gateway(folder, path: str, script: list) -> Counter[str]:
    """Send requests to a gateway process whose servers all follow a script; count the results."""
    service = PATHS[path]
    site = GroupSite(folder, _next_net())
    results: Counter[str] = Counter()
    try:
        for name in ("c1", "c2", "c3"):
            site.start(name, found=True)
        site.start("g1", found=True)
        site.call_until_success("c1", "POST", "/config/replace", document(1))
        async with trio.open_nursery() as nursery:
            ports = []
            for number in range(SERVERS):
                server = StandinServer(f"i-{service}-a{number}")
                server.script.extend(script)
                await nursery.start(server.serve)
                ports.append(server.port)
            await announce(site, service, ports, "a")
            for number in range(REQUESTS):
                results[await send(site, path, number)] += 1
            nursery.cancel_scope.cancel()
    finally:
        site.close()
    print(path, dict(results))
    return results


class TestGateway:
    """Uploads through a gateway process, which the servers answer before they have read them."""

    @pytest.mark.parametrize("path", PATHS)
    @pytest.mark.parametrize("end", ["reset", "close unread"])
    def test_no_part_is_taken_for_whole(self, tmp_path, path, end):
        """Guards against a part of a body that a client gets as a complete answer."""
        service = PATHS[path]
        script = [unread(UNFRAMED + PARTS[service], end), SOUND[service]] * REQUESTS
        results = trio.run(run_gateway, tmp_path / "site", path, script)
        assert results["sound"] > 0
        assert results["a part as whole"] == 0, results

    @pytest.mark.parametrize("path", ["/once/x", "/solo/x"])
    def test_early_answers_that_end_in_order(self, tmp_path, path):
        """Guards against failing sound answers, because the rest of the upload was not read."""
        body = WHOLE_EVENTS if PATHS[path] == "engines" else b"done"
        script = [unread(UNFRAMED + body, "finish")]
        results = trio.run(run_gateway, tmp_path / "site", path, script)
        assert results["sound"] == REQUESTS, results


def announcement(server: StandinServer, seq: int) -> Announcement:
    """Return an announcement of a plain server of the product's own interface."""
    return Announcement(
        server.name, 1, seq, "sala-a", server.host, server.port, "plain", "despacho", False, False,
        0, 0, 0, [], 0.0, 0,
    )  # fmt: skip


class TestOwnInterface:
    """The only server answers each call in the broken way."""

    @pytest.mark.parametrize("end", ["reset", "close unread"])
    def test_no_part_is_taken_for_whole(self, make_site, end):
        """Guards against a part of a body that a caller gets as the answer of a call that ran."""
        site = make_site(services=0, engines_per_domain=0)
        outcomes = []

        async def announce_forever(server: StandinServer) -> None:
            key = site.fleet.settings.internal_key
            entry = site.fleet.settings.entry("entry-sala-a-1")
            port = await open_datagram_port("127.0.0.1", 0, key, Counters())
            with port._socket:
                for seq in range(1, 1_000):
                    message = announcement(server, seq)
                    await port.send(message, entry.host, entry.internal_port)
                    await trio.sleep(0.3)

        async def run() -> None:
            async with trio.open_nursery() as nursery, site.caller("entry-sala-a-1") as caller:
                server = StandinServer("despacho-broken")
                server.script.append(unread(UNFRAMED + PART, end))
                await nursery.start(server.serve)
                nursery.start_soon(announce_forever, server)
                with trio.fail_after(10):
                    while not site.fleet.status("entry-sala-a-1")["servers"]:
                        await trio.sleep(0.1)
                for number in range(3):
                    key = idempotency_key(f"{end.split()[0]}-{number}")
                    outcome = await caller.call(
                        "despacho", customer_key("municipio-1"), LONG_TEXT, key
                    )
                    outcomes.append(outcome)
                nursery.cancel_scope.cancel()

        trio.run(run)
        assert [outcome.code for outcome in outcomes] == [ResultCode.FATE_UNKNOWN] * 3, outcomes
        assert all(outcome.run != "not_run" for outcome in outcomes)
