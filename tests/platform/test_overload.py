"""How long the last server is waited for when all are slow."""

import trio

from tests.platform.site import gateway_site, servers
from tests.platform.standin_server import Events

PROMPT = {"Token_Counts": "5000,900"}


class TestLastServer:
    """A request that is limited to two attempts waits for the second server."""

    def test_last_server_is_waited_for(self, tmp_path):
        """All engines are slow for a moment: each begins after 1.3 s instead of 0.1 s.

        The first is abandoned in time to try the second.  Abandoning the second as early would end
        in a failure, although it was about to answer.
        """

        async def run():
            scripts = [[Events(last=2, begin_after=1.3)]] * 2
            async with gateway_site(tmp_path) as site, servers(site, "engines", *scripts):
                answer = await site.ask("/stream/x", Token_Counts="200,900", Deadline_Ms="9000")
                assert answer.status == 200

        trio.run(run)
