"""Processes whose servers answer before they have read an upload, and reset the connection."""

from collections import Counter

import pytest
import trio

from siskinspoke.testing.group_site import PUBLIC_PORT, GroupSite
from siskinspoke.testing.networks import group_nets, net_cycle
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
